"""What is recorded while a call of a plain service runs."""

from yuccagauge.burn.base import RequestSample
from yuccagauge.clock import Millis
from yuccagauge.dispatch import metrics
from yuccagauge.dispatch.attempt import Outcome
from yuccagauge.dispatch.base import Call
from yuccagauge.dispatch.plainattempt import PlainAttempt
from yuccagauge.dispatch.recovery import Ending
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.explain.base import AttemptRecord, DecisionRecord
from yuccagauge.quarantine.base import crash_name
from yuccagauge.verdict import Refusal, Verdict

_FIRST_SERVER_ERROR = 500


class PlainRecorder:
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
        self._service = service
        self._call = call
        self._kinds: dict[int, tuple[str, Millis]] = {}
        self._is_sampled = True
        self._log = service.around.decisions
        self._log.add(
            DecisionRecord(
                request_id=call.request_id,
                customer=call.customer,
                service=call.service,
                document_version=call.document_version,
                weights_version='',
                priority=call.priority,
                received_at=call.received_at,
                deadline=call.deadline,
            ),
        )

    def started(self, attempt: PlainAttempt, kind: str) -> None:
        """Count an attempt that is about to be sent."""
        self._kinds[id(attempt)] = (kind, self._now())
        self._service.servers.started(attempt.server)
        self._service.quarantine.started(
            self._call.fingerprint,
            attempt.server,
        )

    def ended(self, attempt: PlainAttempt, outcome: Outcome) -> None:
        """Record the end of an attempt."""
        self._release(attempt)
        now = self._now()
        if outcome.ending in {Ending.BROKEN, Ending.NOT_RUN}:
            self._service.servers.failed(attempt.server, now)
        if outcome.ending is Ending.BROKEN:
            # Plain servers have no incarnation; a broken call is taken
            # for a crash.
            self._service.quarantine.crashed(
                self._call.fingerprint,
                crash_name(attempt.server, f'{self._call.request_id}/{now}'),
                now,
            )
        if outcome.ending is Ending.NOT_RUN and outcome.status:
            self._service.rest(attempt.server, spread=True)
        if outcome.ending is Ending.DONE:
            self._service.quarantine.completed(self._call.fingerprint)
        self._record(attempt, outcome.ending, outcome.verdict, outcome.reason)

    def abandoned(self, attempt: PlainAttempt) -> None:
        """Record an attempt that nobody waits for any more."""
        self._release(attempt)
        self._record(attempt, Ending.ABANDONED, attempt.verdict, '')

    def refused(self, refusal: Refusal) -> None:
        """Record which limit or rule ended the call.

        A refusal below 500 is the caller's doing, such as a key in use or
        a limit, and does not count against the objectives.
        """
        self._is_sampled = refusal.status >= _FIRST_SERVER_ERROR
        self._log.change(self._call.request_id, limit=refusal.code)

    def closed(self, verdict: Verdict) -> None:
        """Record the final verdict."""
        if self._is_sampled:
            self._service.around.record_sample(
                RequestSample(
                    service=self._call.service,
                    customer=self._call.customer,
                    priority=self._call.priority,
                    is_answered=verdict is Verdict.ANSWERED,
                ),
            )
        self._log.change(self._call.request_id, verdict=verdict.value)
        metrics.VERDICTS.add(
            1,
            {'service': self._service.name, 'verdict': verdict.value},
        )

    def _release(self, attempt: PlainAttempt) -> None:
        self._service.servers.ended(attempt.server)
        self._service.quarantine.ended(self._call.fingerprint, attempt.server)

    def _record(
        self,
        attempt: PlainAttempt,
        ending: Ending,
        verdict: Verdict,
        reason: str,
    ) -> None:
        kind, started_at = self._kinds.pop(id(attempt))
        self._log.add_attempt(
            self._call.request_id,
            AttemptRecord(
                backend_server=str(attempt.server),
                kind=kind,
                ending=ending.value,
                verdict=verdict.value,
                reason=reason,
                started_at=started_at,
                duration_ms=Millis(self._now() - started_at),
            ),
        )
        metrics.ATTEMPTS.add(
            1,
            {
                'service': self._service.name,
                'kind': kind,
                'ending': ending.value,
            },
        )

    def _now(self) -> Millis:
        return self._service.around.clock.now()
