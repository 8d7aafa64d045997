"""Log lines and metrics of one call."""

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.quarantine.events import short_fingerprint
from yuccagauge.relay import metrics
from yuccagauge.relay.base import Placement, RelayCall
from yuccagauge.relay.response import ResponseForwarder, ResponseSummary
from yuccagauge.selection.base import SelectionDecision
from yuccagauge.telemetry.journal import log_decision
from yuccagauge.verdict import Refusal


class CallReporter:
    """Logs the decisions on a call with their inputs, and records metrics.

    Parameters
    ----------
    call
        The call that is reported.
    clock
        The source of time.
    """

    def __init__(self, call: RelayCall, clock: Clock) -> None:
        """Create a reporter for a call that has not been sent."""
        self._call = call
        self._clock = clock
        self._sends = 0
        self._server = ''
        self._waits = 0
        self._first_output_at: Millis | None = None

    def record_wait(self, reason: str) -> None:
        """Count a wait for a server, and log the reason of the first one."""
        self._waits += 1
        if self._waits == 1:
            self._log('call_waits', reason=reason)

    def record_send(self, decision: SelectionDecision) -> None:
        """Log why a server got an attempt, and count the cached tokens."""
        placement = decision.placement
        self._sends += 1
        self._server = placement.server.server_id
        fields = self._call.fields
        self._log(
            'call_sent',
            send=self._sends,
            server=self._server,
            service=self._call.service,
            fingerprint=short_fingerprint(self._call.fingerprint),
            shared_parts=self._call.shared_part_ids,
            reason=decision.reason,
            expected_ms=round(placement.expected_first_output_ms, 1),
            prompt_tokens=fields.prompt_tokens,
            cached_tokens=placement.cached_tokens,
            weights=placement.weights_version,
            superseded_ms=placement.superseded_ms,
            software=placement.server.software_version,
            started_at=placement.server.started_at,
            resumes=fields.resumed_request_id,
            rate_limit=placement.rate_limit,
            fetches=placement.kv_fetch_endpoint is not None,
            configuration=self._call.configuration_version,
        )
        if fields.prompt_tokens:
            cached = min(placement.cached_tokens, fields.prompt_tokens)
            metrics.CACHED_TOKENS.add(cached, {'cached': 'yes'})
            uncached = fields.prompt_tokens - cached
            metrics.CACHED_TOKENS.add(uncached, {'cached': 'no'})

    def record_failed_attempt(
        self,
        ending: str,
        detail: str = '',
        response: ResponseSummary | None = None,
        silent_ms: Millis | None = None,
        server: str = '',
    ) -> None:
        """Log and count an attempt that did not answer the call.

        Parameters
        ----------
        silent_ms
            Time for which the server had sent nothing.
        server
            Its id, if it is not the server of the latest attempt.
        """
        metrics.SENDS.add(1, {'service': self._call.service, 'ending': ending})
        self._log(
            'attempt_failed',
            send=self._sends,
            server=server or self._server,
            ending=ending,
            detail=detail,
            output_ms=self._time_since_output(),
            silent_ms=silent_ms,
            **_response_fields(response),
        )

    def record_beginning(
        self, placement: Placement, superseded_ms: Millis, waited: Millis
    ) -> None:
        """Log that an answer on superseded weights began, and their age.

        Parameters
        ----------
        superseded_ms
            Time since newer weights were named, as far as this router knows.
        waited
            Time since the call was sent to the server.
        """
        metrics.SUPERSEDED_AGE.record(in_seconds(superseded_ms))
        self._log(
            'began_on_superseded',
            send=self._sends,
            server=placement.server.server_id,
            weights=placement.weights_version,
            superseded_ms=superseded_ms,
            waited_ms=waited,
        )

    def record_return(self, server: str) -> None:
        """Log that the call returns to a server that was silent."""
        self._server = server
        self._log('call_returned', send=self._sends, server=server)

    def record_end_check(
        self,
        proof: str,
        *,
        checked_ms: Millis,
        sent_to: str,
        listed: str | None,
        response: ResponseForwarder,
    ) -> None:
        """Log what proved that an answer is whole, whose framing does not tell.

        Parameters
        ----------
        proof
            What showed that the server had not ended; empty for nothing.
        checked_ms
            Time from the end of the connection to the result.
        sent_to, listed
            The incarnation that the call was sent to, and the one that is
            listed now; ``None`` if there is none.
        """
        metrics.END_CHECKS.add(1, {'proof': proof or 'none'})
        self._log(
            'end_checked',
            send=self._sends,
            server=self._server,
            proof=proof,
            checked_ms=checked_ms,
            sent_to=sent_to,
            listed=listed,
            **_response_fields(response.summary),
        )

    def record_first_output(self) -> None:
        """Record the time to the first output, once per call."""
        if self._first_output_at is None:
            self._first_output_at = self._clock.now()
            elapsed = self._first_output_at - self._call.request.received_at
            metrics.FIRST_OUTPUT.record(in_seconds(elapsed))

    def record_end(
        self,
        outcome: str,
        status: int,
        refusal: Refusal | None,
        response: ResponseForwarder,
        obstacle: str,
    ) -> None:
        """Log the outcome of the call, and record its duration.

        A refusal resets the connection of a caller that has a part of an
        answer.

        Parameters
        ----------
        obstacle
            Why the call was not sent again when that was last wanted.
        """
        received = self._call.request.received_at
        elapsed = self._clock.now() - received
        first_output_ms = (
            None
            if self._first_output_at is None
            else self._first_output_at - received
        )
        kind = self._call.route.kind.value
        metrics.CALLS.add(1, {'kind': kind, 'outcome': outcome})
        metrics.CALL_DURATION.record(in_seconds(elapsed))
        self._log(
            'call_ended',
            outcome=outcome,
            status=status,
            answer_begun=response.has_started,
            verdict=refusal.verdict.value if refusal is not None else None,
            retry_after_ms=refusal.retry_after if refusal else None,
            server=self._server,
            sends=self._sends,
            not_resent=obstacle,
            waits=self._waits,
            first_ms=first_output_ms,
            total_ms=elapsed,
            route=self._call.route.name,
            **_response_fields(response.summary),
        )

    def _time_since_output(self) -> Millis | None:
        """Return the time since the first output of the call, if any."""
        if self._first_output_at is None:
            return None
        return Millis(self._clock.now() - self._first_output_at)

    def _log(self, event: str, **fields: object) -> None:
        log_decision(event, self._call.fields.request_id, **fields)


def _response_fields(response: ResponseSummary | None) -> dict[str, object]:
    """Return the fields that tell how the latest response ended."""
    if response is None:
        return {}
    return {
        'server_status': response.status,
        'framing': response.framing.value,
        'continues': response.is_continuation,
        'events': response.events,
        'rest_bytes': response.rest_bytes,
    }
