"""Forwards one call: attempts on servers, the response and the verdict.

A call may be sent again if no server has run it, or if its route is retryable.
The verdict over all attempts determines which statuses a refusal may have.
"""

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import AnswerSink, ResponseHead
from yuccagauge.dispatch.errors import (
    BackendProtocolError,
    ContinuationError,
)
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.dispatch.timers import Timers
from yuccagauge.relay import refusals
from yuccagauge.relay.attempt import AttemptTracker
from yuccagauge.relay.base import RelayCall, ResponseInfo
from yuccagauge.relay.beginning import BeginningMonitor
from yuccagauge.relay.context import RelayContext
from yuccagauge.relay.ending import EndProof
from yuccagauge.relay.exchanges import open_exchange
from yuccagauge.relay.faults import CallGuard
from yuccagauge.relay.firstevent import FirstEvent
from yuccagauge.relay.repeats import CallRepeats
from yuccagauge.relay.report import CallReporter
from yuccagauge.relay.response import ResponseForwarder
from yuccagauge.relay.stall import StallMonitor
from yuccagauge.relay.takeover import Takeover
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.verdict import Refusal, Verdict


class CallForwarder:
    """Forwards one call, from its acceptance to its answer.

    Parameters
    ----------
    call
        The call.
    selection_request
        The requirements of the call for the selection of a server.
    sink
        Receives the answer.
    context
        What all calls share.
    """

    def __init__(
        self,
        call: RelayCall,
        selection_request: SelectionRequest,
        sink: AnswerSink,
        context: RelayContext,
    ) -> None:
        """Create a forwarder that has not sent the call."""
        self._call = call
        self._selection_request = selection_request
        self._sink = sink
        self._context = context
        self._response = ResponseForwarder(sink, call.resumed_after)
        self._reporter = CallReporter(call, context.clock)
        self._exchange: Exchange | None = None
        #: The latest attempt; it may have ended.
        self._attempt: AttemptTracker | None = None
        self._verdict = Verdict.NOT_RUN
        self._repeats = CallRepeats(call, context)
        self._has_ended = False
        self._waits_for_server = False
        self._guard = CallGuard(call.fields.request_id, self.abort_call)
        self._timers = Timers(self._guard.guard_timers(context.call_later))
        self._end_proof = EndProof(
            context.identities,
            self._guard.guard_timers(context.call_later),
            self._guard.guard(self._handle_end_proof),
        )
        self._stall_monitor = StallMonitor(
            context.clock,
            self._repeats,
            self._timers,
            on_connect_stall=self._handle_connect_stall,
            on_stall=self._handle_stall,
        )
        self._takeover = Takeover(
            self, context, self._repeats, self._response, self._reporter
        )
        self._beginning_monitor = BeginningMonitor(
            self, self._takeover, self._timers
        )
        self._first_event = FirstEvent(
            context.origins, self._timers, self._take_held_data
        )

    def start(self) -> None:
        """Select a server and send the call; the sink receives the answer."""
        self._context.running_calls[self._selection_request.call_id] = self
        self._context.record_request(self._call.service)
        self._sink.watch(self)
        remaining = self._call.deadline - self._context.clock.now()
        self._timers.start('deadline', remaining, self._handle_deadline)
        handle_origin = self._guard.guard(self._handle_origin)
        self._context.origins.resolve(self._call, handle_origin)

    def pause(self) -> None:
        """Stop reading from the server, because the caller reads slower."""
        self._takeover.pause()
        if self._exchange is not None:
            self._exchange.pause()
            self._attempt.pause()

    def resume(self) -> None:
        """Resume reading from the server."""
        self._takeover.resume()
        if self._exchange is not None:
            self._attempt.resume()
            self._exchange.resume()

    def left(self) -> None:
        """Abandon the call, because the caller closed its connection."""
        if self._has_ended:
            return
        self._record_unanswered_run()
        self._abandon_exchange()
        self._finish_call('caller_left')

    def abort_call(self, code: str = 'router_stops') -> None:
        """End the call at once, because the router stops or has failed."""
        if not self._has_ended:
            self._abandon_exchange()
            self._refuse(self._unanswered_refusal(code))

    def select_again(self) -> bool:
        """Select a server now if the call waits; return whether one took it."""
        if not self._waits_for_server or self._has_ended:
            return False
        self._timers.stop('selection')
        self._select_server()
        return not self._waits_for_server

    def withdraw(self, reason: str) -> None:
        """Leave the server of the latest attempt, which has not begun."""
        verdict = self._exchange.verdict
        if verdict is Verdict.ANSWERED:
            return
        self._abandon_exchange()
        self._attempt.release_slot()
        if verdict is Verdict.MAY_HAVE_RUN:
            self._run_again_or_refuse('withdrawn', reason)
            return
        self._end_exchange()
        self._reporter.record_failed_attempt('withdrawn', reason)
        self._retry_or_refuse('servers_full')

    def head(self, head: ResponseHead) -> None:
        """Handle the head of a server's response."""
        info = self._context.backend_protocol.parse_head(head)
        self._attempt.record_activity(info)
        if info.is_not_run or info.is_misdirected:
            self._abandon_exchange()
            self._handle_rejection(head, info)
            return
        headers = self._context.backend_protocol.end_to_end_headers(head)
        try:
            self._attempt.check_version()
            if self._takeover.withholds_head(head):
                return
            self._response.accept_head(head, headers)
            self._attempt.evidence.record_framing(head)
        except ContinuationError as error:
            self._handle_failed_continuation(str(error))

    def data(self, data: bytes) -> None:
        """Handle a part of the body of a server's response."""
        self._attempt.record_activity()
        if self._first_event.holds(data):
            return
        try:
            if self._takeover.withholds_data(data):
                return
            if self._must_wait(data):
                self._attempt.record_output(self._reporter)
                self._first_event.hold(
                    data, self._call, self._attempt.placement.server
                )
                return
        except ContinuationError as error:
            self._handle_failed_continuation(str(error))
            return
        self._take_data(data)

    def _must_wait(self, data: bytes) -> bool:
        """Return whether data begins a stream whose origin is to be kept."""
        server = self._attempt.placement.server
        return self._context.origins.must_be_kept(
            self._call, server
        ) and self._response.would_start(data)

    def _take_data(self, data: bytes) -> None:
        """Forward a part of the body of a server's response."""
        try:
            is_forwarded = self._forward(data)
        except ContinuationError as error:
            self._handle_failed_continuation(str(error))
            return
        if self._has_ended:
            return
        self._attempt.record_output(self._reporter)
        if is_forwarded:
            self._reporter.record_first_output()

    def _release_first_event(self) -> bool:
        """Pass on what is held back; return whether the attempt goes on."""
        exchange = self._exchange
        self._first_event.release()
        return self._exchange is exchange and not self._has_ended

    def _take_held_data(self, data: bytes) -> None:
        try:
            self._take_data(data)
        except BackendProtocolError as error:
            self._abandon_exchange()
            self._handle_broken_attempt(str(error))

    def complete(self) -> None:
        """Handle the end of a response by its framing."""
        self._attempt.record_activity()
        if not self._release_first_event():
            return
        try:
            self._takeover.finish()
        except ContinuationError as error:
            self._handle_failed_continuation(str(error))
            return
        failed = self._response.is_server_error
        if self._response.is_inside_event and not failed:
            self._handle_broken_attempt('the stream ended inside an event')
        elif self._response.lacks_number and not failed:
            self._handle_failed_continuation('its events have no numbers')
        elif self._response.ends_with_connection and not failed:
            self._stall_monitor.stop()
            self._attempt.record_response_end()
            self._end_proof.start(
                self._attempt,
                self._selection_request.service,
                limit=Millis(self._call.deadline - self._context.clock.now()),
                can_move=self._repeats.may_move(self._response),
            )
        else:
            self._complete_attempt(failed=failed)

    def lost(self, reason: str) -> None:
        """Handle a connection that failed before the response was complete."""
        if not self._release_first_event():
            return
        if self._attempt.confirmation.is_refuted:
            self._handle_other_process(reason)
            return
        if self._exchange.verdict is Verdict.NOT_RUN:
            self._handle_connect_failure('unreachable')
            return
        self._handle_broken_attempt(reason)

    def _forward(self, data: bytes) -> bool:
        """Forward data; record the origin of a stream that begins with it."""
        had_started = self._response.has_started
        try:
            return self._response.forward_data(data)
        finally:
            if self._response.has_started and not had_started:
                self._context.origins.record_beginning(
                    self._call, self._attempt.placement.server
                )

    def _handle_end_proof(self, proof: str) -> None:
        """Handle the end of a response that only its connection showed."""
        attempt = self._attempt
        self._reporter.record_end_check(
            proof,
            checked_ms=attempt.time_without_response,
            sent_to=attempt.placement.server.incarnation,
            listed=attempt.listed_incarnation,
            response=self._response,
        )
        if proof:
            self._complete_attempt(failed=False)
            return
        self._handle_broken_attempt('nothing proves that the server lived on')

    def _complete_attempt(self, *, failed: bool) -> None:
        """Handle a complete response."""
        self._end_exchange()
        self._attempt.end_attempt(failed=failed)
        self._repeats.record_run()
        self._verdict = Verdict.ANSWERED
        can_retry = failed and not self._response.has_started
        if can_retry and self._repeats.try_run_again(self._response):
            self._reporter.record_failed_attempt(
                'server_failed', response=self._response.summary
            )
            self._retry_on_another_server()
            return
        if not failed:
            # A server may fail a request without running it.
            self._context.quarantine.record_completion(self._call.fingerprint)
            self._attempt.record_sound()
        self._reporter.record_first_output()
        self._finish_call('answered', self._response.status)
        self._response.finish_response()

    def _handle_broken_attempt(self, reason: str) -> None:
        """Handle an attempt that may have run and has no complete response."""
        self._attempt.end_broken_attempt()
        self._run_again_or_refuse('broke', reason)

    def _handle_failed_continuation(self, reason: str) -> None:
        """Handle an answer that is not the rest of the caller's stream."""
        self._abandon_exchange()
        self._attempt.end_attempt(failed=True)
        self._run_again_or_refuse('not_continued', reason)

    def _handle_origin(
        self, software_version: str | None, refusal: Refusal | None
    ) -> None:
        """Send the call to a server of the version that began its stream."""
        if self._has_ended:
            return
        if refusal is not None:
            self._refuse(refusal)
            return
        self._selection_request = self._selection_request.for_version(
            software_version
        )
        self._select_server()

    def _run_again_or_refuse(self, ending: str, reason: str) -> None:
        self._end_exchange()
        self._repeats.record_run()
        self._verdict = self._verdict.combine(Verdict.MAY_HAVE_RUN)
        self._reporter.record_failed_attempt(
            ending,
            reason,
            self._response.summary,
            self._attempt.time_without_response,
        )
        if self._takeover.try_return():
            return
        self._response.discard_unsent()
        if self._repeats.try_run_again(self._response):
            self._retry_on_another_server()
            return
        self._refuse(refusals.broken_attempt('server_broke'))

    def _handle_rejection(self, head: ResponseHead, info: ResponseInfo) -> None:
        """Handle a response that states that the call has not run."""
        self._end_exchange()
        self._attempt.record_rejection(info)
        self._attempt.end_attempt(failed=not info.is_misdirected)
        self._reporter.record_failed_attempt(f'turned_away_{head.status}')
        self._retry_or_refuse('servers_full')

    def _retry_or_refuse(self, code: str) -> None:
        """Retry a call that did not run in the last attempt, or refuse it."""
        if self._takeover.try_return():
            return
        if self._repeats.try_send_again():
            self._retry_on_another_server()
            return
        if self._verdict is Verdict.NOT_RUN:
            wait = self._context.add_jitter(refusals.FULL_RETRY_AFTER, share=1)
            self._refuse(refusals.not_run(code, wait))
            return
        self._refuse(refusals.broken_attempt(code))

    def _retry_on_another_server(self) -> None:
        self._selection_request = self._request_for_another_server()
        self._select_server()

    def _request_for_another_server(self) -> SelectionRequest:
        return self._selection_request.for_another_server(
            self._attempt.placement.server,
            keeps_version=self._response.has_started,
        )

    def _select_server(self) -> None:
        if self._has_ended:
            return
        decision = self._context.choose_server(
            self._call, self._selection_request
        )
        self._waits_for_server = decision.wait_until is not None
        if decision.placement is not None:
            self._send_attempt(decision)
        elif decision.wait_until is not None:
            wait = max(1, decision.wait_until - self._context.clock.now())
            self._reporter.record_wait(decision.reason)
            self._timers.start('selection', wait, self._select_server)
        elif self._verdict is Verdict.NOT_RUN:
            retry_after = self._context.add_jitter(decision.retry_after)
            self._refuse(refusals.not_run(decision.reason, retry_after))
        else:
            self._refuse(refusals.broken_attempt(decision.reason))

    def _send_attempt(self, decision: SelectionDecision) -> None:
        self._repeats.record_send()
        version = self._selection_request.software_version
        if version is not None:
            known = self._context.incarnations.listed_version(version)
            self._context.origins.renew(self._call, known or version)
        self._attempt = AttemptTracker(
            self._call,
            self._selection_request,
            decision.placement,
            self._context,
            is_movable=self._repeats.is_retryable
            and self._repeats.allows_another_run,
        )
        self._reporter.record_send(decision)
        exchange = open_exchange(
            self._call,
            decision.placement,
            self._response.last_event_id,
            self._context,
            self,
            self._attempt.evidence.prepare(),
            self._attempt.evidence.record_sending,
            self._attempt.confirmation.confirm,
        )
        self._exchange = exchange
        self._beginning_monitor.watch(self._attempt)
        exchange.start(fresh=not self._repeats.is_retryable)
        # A connection whose process is known may end the attempt at once.
        if self._exchange is exchange and not self._has_ended:
            self._stall_monitor.start(exchange, self._attempt)

    def _handle_connect_stall(self) -> None:
        """Move to another server; this one accepts no connection."""
        self._abandon_exchange()
        self._context.on_unresponsive(self._attempt.placement.server.server_id)
        self._handle_connect_failure('connect_stalled')

    def _handle_stall(self) -> None:
        """Send the call to another server too, if one can take it at once.

        The silent server may go on.
        """
        request = self._request_for_another_server()
        decision = self._takeover.choose_server(self._call, request)
        if decision is None:
            self._stall_monitor.start(self._exchange, self._attempt)
            return
        self._verdict = self._verdict.combine(Verdict.MAY_HAVE_RUN)
        self._takeover.keep(self._exchange, self._attempt)
        self._selection_request = request
        self._send_attempt(decision)

    def return_to(self, exchange: Exchange, attempt: AttemptTracker) -> None:
        """Go on with an attempt whose server was silent."""
        if self._exchange is not None:
            if self._exchange.verdict is Verdict.MAY_HAVE_RUN:
                self._repeats.record_run()
                self._attempt.abandon_run()
            self._exchange.abandon()
            self._attempt.release_slot()
            self._reporter.record_failed_attempt('superseded')
        self._selection_request = self._request_for_another_server()
        self._exchange = exchange
        self._attempt = attempt
        self._reporter.record_return(attempt.placement.server.server_id)
        self._stall_monitor.start(exchange, attempt)

    def _handle_connect_failure(self, ending: str) -> None:
        """Handle a server that accepted no connection."""
        self._end_exchange()
        self._attempt.record_unreachable()
        self._attempt.end_attempt(failed=True)
        self._reporter.record_failed_attempt(ending)
        self._retry_or_refuse('server_unreachable')

    def _handle_other_process(self, reason: str) -> None:
        """Send the rest of a stream elsewhere; this server was not asked."""
        self._end_exchange()
        self._attempt.release_slot()
        self._repeats.return_send()
        self._reporter.record_failed_attempt('not_confirmed', reason)
        if not self._takeover.try_return():
            self._select_server()

    def _handle_deadline(self) -> None:
        """Refuse the call at its deadline."""
        if self._has_ended:
            return
        if self._exchange is not None and not self._response.has_started:
            self._attempt.record_failure()
        self._record_unanswered_run()
        self._abandon_exchange()
        self._refuse(self._unanswered_refusal('out_of_time'))

    def _record_unanswered_run(self) -> None:
        """Record a run whose response nobody waits for any longer."""
        exchange = self._exchange
        if exchange is not None and exchange.verdict is Verdict.MAY_HAVE_RUN:
            self._attempt.abandon_run()

    def _unanswered_refusal(self, code: str) -> Refusal:
        verdict = self._verdict
        if self._exchange is not None:
            verdict = verdict.combine(self._exchange.verdict)
        return refusals.unanswered(code, verdict)

    def _refuse(self, refusal: Refusal) -> None:
        self._finish_call(refusal.code, refusal.status, refusal)
        self._sink.refuse(refusal)

    def _finish_call(
        self, outcome: str, status: int = 0, refusal: Refusal | None = None
    ) -> None:
        self._has_ended = True
        self._end_proof.close()
        self._first_event.close()
        self._takeover.close()
        self._repeats.close()
        self._timers.close()
        if self._attempt is not None:
            self._attempt.release_slot()
        self._context.running_calls.pop(self._selection_request.call_id, None)
        self._reporter.record_end(
            outcome, status, refusal, self._response, self._repeats.obstacle
        )

    def _abandon_exchange(self) -> None:
        if self._exchange is not None:
            self._exchange.abandon()

    def _end_exchange(self) -> None:
        self._exchange = None
        self._stall_monitor.stop()
