"""What is recorded while a call of a plain service runs."""

from yuccagauge.dispatch.attempt import Outcome
from yuccagauge.dispatch.base import Call
from yuccagauge.dispatch.plainattempt import PlainAttempt
from yuccagauge.dispatch.recorder import Recorder
from yuccagauge.dispatch.recovery import Ending
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.quarantine.base import crash_id
from yuccagauge.verdict import Verdict


class PlainRecorder(Recorder):
    """Tells the service's state what becomes of one call.

    Parameters
    ----------
    service
        The state of the service.
    call
        The call.
    """

    def __init__(self, service: ServiceState, call: Call) -> None:
        """Open the decision record."""
        super().__init__(service, call)
        self._open()

    def started(self, attempt: PlainAttempt, kind: str) -> None:
        """Count an attempt that is about to be sent."""
        self._kinds[id(attempt)] = (kind, self._now())
        self._service.servers.started(attempt.server)
        self._service.quarantine.record_start(
            self._call.fingerprint,
            attempt.server,
        )

    def ended(self, attempt: PlainAttempt, outcome: Outcome) -> None:
        """Record the end of an attempt."""
        self._release(attempt)
        now = self._now()
        if attempt.is_framed is not None:
            self._service.servers.record_framing(
                attempt.server, is_framed=attempt.is_framed
            )
        if outcome.ending in {Ending.BROKEN, Ending.NOT_RUN}:
            self._service.servers.failed(attempt.server, now)
        if outcome.ending is Ending.BROKEN:
            # Plain servers have no incarnation; a broken call is taken
            # for a crash.
            self._service.quarantine.record_crash(
                self._call.fingerprint,
                crash_id(attempt.server, f'{self._call.request_id}/{now}'),
                now,
            )
        if outcome.ending is Ending.NOT_RUN and outcome.status:
            self._service.rest(attempt.server, spread=True)
        if outcome.ending is Ending.DONE:
            self._service.quarantine.record_completion(self._call.fingerprint)
        self._record(attempt, outcome.ending, outcome.verdict, outcome.reason)

    def abandoned(self, attempt: PlainAttempt) -> None:
        """Record an attempt that nobody waits for any more."""
        self._release(attempt)
        self._record(attempt, Ending.ABANDONED, attempt.verdict, '')

    def _release(self, attempt: PlainAttempt) -> None:
        self._service.servers.ended(attempt.server)
        self._service.quarantine.record_end(
            self._call.fingerprint, attempt.server
        )

    def _record(
        self,
        attempt: PlainAttempt,
        ending: Ending,
        verdict: Verdict,
        reason: str,
    ) -> None:
        self._record_attempt(attempt, attempt.server, ending, verdict, reason)
