"""What the recorders of model calls and plain calls have in common."""

from yuccagauge.burn.base import RequestSample
from yuccagauge.clock import Millis
from yuccagauge.dispatch import metrics
from yuccagauge.dispatch.base import Call
from yuccagauge.dispatch.recovery import Ending
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.explain.base import AttemptRecord, DecisionRecord
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Refusal, Verdict

_FIRST_SERVER_ERROR = 500


class Recorder:
    """Keeps the decision record of one call and counts its end.

    Parameters
    ----------
    service
        The state of the service.
    call
        The call.
    """

    def __init__(self, service: ServiceState, call: Call) -> None:
        """Prepare; a subclass opens the record with ``_open``."""
        self._service = service
        self._call = call
        self._kinds: dict[int, tuple[str, Millis]] = {}
        self._is_sampled = True
        self._log = service.around.decisions

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
            self._service.around.record_sample(self._build_sample(verdict))
        self._log.change(self._call.request_id, verdict=verdict.value)
        metrics.VERDICTS.add(
            1,
            {'service': self._service.name, 'verdict': verdict.value},
        )

    def _open(
        self,
        *,
        weights_version: str = '',
        prompt_tokens: int = 0,
        levels: int = 0,
    ) -> None:
        call = self._call
        self._log.add(
            DecisionRecord(
                request_id=call.request_id,
                customer=call.customer,
                service=call.service,
                document_version=call.document_version,
                weights_version=weights_version,
                priority=call.priority,
                received_at=call.received_at,
                deadline=call.deadline,
                prompt_tokens=prompt_tokens,
                levels=levels,
            ),
        )

    def _build_sample(self, verdict: Verdict) -> RequestSample:
        return RequestSample(
            service=self._call.service,
            customer=self._call.customer,
            priority=self._call.priority,
            is_answered=verdict is Verdict.ANSWERED,
        )

    def _record_attempt(
        self,
        attempt: object,
        server: Endpoint,
        ending: Ending,
        verdict: Verdict,
        reason: str,
        **tokens: int,
    ) -> None:
        """Add one attempt; ``tokens`` are those of a model call."""
        kind, started_at = self._kinds.pop(id(attempt))
        self._log.add_attempt(
            self._call.request_id,
            AttemptRecord(
                backend_server=str(server),
                kind=kind,
                ending=ending.value,
                verdict=verdict.value,
                reason=reason,
                started_at=started_at,
                duration_ms=Millis(self._now() - started_at),
                **tokens,
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
