"""One call: attempts on servers, the answer, and the verdict.

A call may be sent again if no server has run it, or if it may be repeated.
The verdict over all attempts decides which statuses a refusal may have.
"""

import dataclasses

from yuccagauge.clock import Millis
from yuccagauge.directory.base import RouteKind
from yuccagauge.dispatch.base import AnswerSink, ResponseHead
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.dispatch.timers import Timers
from yuccagauge.relay import refusals
from yuccagauge.relay.answer import Answer
from yuccagauge.relay.attempt import RunningAttempt
from yuccagauge.relay.base import AttemptRequest, RelayCall, ResponseInfo
from yuccagauge.relay.report import CallReport
from yuccagauge.relay.stall import CONNECT_STALL, stall_limit
from yuccagauge.relay.surroundings import Surroundings
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.verdict import Refusal, Verdict

_FIRST_FAILURE = 500

#: Sends of one call, those that no server ran included.
MAXIMUM_SENDS = 3

#: A send with less time than this left cannot be answered.
LEAST_TIME = Millis(30)

#: Time between two looks at a call that might stall.
_STALL_LOOK = Millis(100)

#: When a caller comes back whose call was refused by full servers.
FULL_RETRY = Millis(250)


class RelayedCall:
    """Carries one call from its acceptance to its answer.

    Parameters
    ----------
    call
        What the caller asked.
    selection_request
        The same for the choice of servers.
    sink
        Takes the answer.
    around
        What all calls share.
    """

    def __init__(
        self,
        call: RelayCall,
        selection_request: SelectionRequest,
        sink: AnswerSink,
        around: Surroundings,
    ) -> None:
        """Prepare without sending."""
        self._call = call
        self._selection_request = selection_request
        self._sink = sink
        self._around = around
        self._answer = Answer(sink)
        self._report = CallReport(call, around.clock)
        self._exchange: Exchange | None = None
        #: The last attempt, which may have ended.
        self._attempt: RunningAttempt | None = None
        self._verdict = Verdict.NOT_RUN
        self._sends = 0
        self._runs = 0
        self._is_over = False
        self._timers = Timers(around.call_later)

    @property
    def is_retryable(self) -> bool:
        """Whether a server may run it after another may have."""
        return self._call.route.is_retryable

    def start(self) -> None:
        """Look for a server; the answer comes through the sink."""
        self._around.running[self._selection_request.call_id] = self
        self._around.record_request(self._call.service)
        self._sink.watch(self)
        left = self._call.deadline - self._now()
        self._timers.start('deadline', left, self._run_out)
        self._decide()

    def pause(self) -> None:
        """Stop reading from the server: the caller reads slower."""
        if self._exchange is not None:
            self._exchange.pause()

    def resume(self) -> None:
        """Read from the server again."""
        if self._exchange is not None:
            self._exchange.resume()

    def left(self) -> None:
        """Stop working for a caller that closed its connection."""
        if self._is_over:
            return
        self._drop_exchange()
        self._end('caller_left')

    def cut(self) -> None:
        """End at once because the router stops."""
        if not self._is_over:
            self._drop_exchange()
            self._refuse(self._unanswered('router_stops'))

    def head(self, head: ResponseHead) -> None:
        """Take the head of a server's answer."""
        info = self._around.protocol.parse_head(head)
        self._attempt.heard(info)
        if info.is_not_run or info.is_misdirected:
            self._drop_exchange()
            self._turned_away(head, info)
            return
        headers = self._around.protocol.end_to_end_headers(head)
        self._answer.take_head(head, headers)

    def data(self, data: bytes) -> None:
        """Take a part of a server's answer."""
        self._attempt.heard()
        went_out = self._answer.take_data(data)
        if self._is_over:
            return
        self._attempt.note_output()
        if went_out:
            self._report.note_output()

    def complete(self) -> None:
        """Take the end of a server's whole answer."""
        self._attempt.heard()
        failed = self._answer.status >= _FIRST_FAILURE
        self._exchange = None
        self._attempt.end(failed=failed)
        self._runs += 1
        self._verdict = Verdict.ANSWERED
        if failed and not self._answer.is_begun and self._may_repeat():
            self._report.note_attempt('server_failed')
            self._send_elsewhere()
            return
        self._around.quarantine.record_completion(self._call.fingerprint)
        self._report.note_output()
        self._end('answered', self._answer.status)
        self._answer.complete()

    def lost(self, reason: str) -> None:
        """Take the end of an incomplete answer."""
        verdict = self._exchange.verdict
        if verdict is Verdict.NOT_RUN:
            self._not_connected('unreachable')
            return
        self._broke(reason)

    def _broke(self, reason: str) -> None:
        """Handle an attempt that may have run and has no whole answer."""
        self._exchange = None
        self._attempt.broke()
        self._runs += 1
        self._verdict = self._verdict.combine(Verdict.MAY_HAVE_RUN)
        self._answer.drop_partial()
        self._report.note_attempt('broke', reason)
        if self._may_repeat():
            self._send_elsewhere()
            return
        self._refuse(refusals.failed('server_broke'))

    def _turned_away(self, head: ResponseHead, info: ResponseInfo) -> None:
        """Handle a server's statement that it has not run the call."""
        self._exchange = None
        self._attempt.note_turned_away(info)
        self._attempt.end(failed=not info.is_misdirected)
        self._report.note_attempt(f'turned_away_{head.status}')
        self._retry_not_run('servers_full')

    def _retry_not_run(self, code: str) -> None:
        """Send a call again that no server has run in this attempt."""
        if self._may_send_again():
            self._send_elsewhere()
            return
        if self._verdict is Verdict.NOT_RUN:
            jitter = 1 + self._around.draw()
            retry_after = Millis(int(FULL_RETRY * jitter))
            self._refuse(refusals.not_run(code, retry_after))
            return
        self._refuse(refusals.failed(code))

    def _may_repeat(self) -> bool:
        """Return whether a run may be followed by another one."""
        route = self._call.route
        if not self.is_retryable or self._runs >= route.attempts:
            return False
        if self._answer.is_begun and route.kind is not RouteKind.STREAMING:
            return False
        return self._may_send_again()

    def _may_send_again(self) -> bool:
        now = self._now()
        if self._sends >= MAXIMUM_SENDS:
            return False
        if self._call.deadline - now < LEAST_TIME:
            return False
        return self._around.try_second_send(self._call.service)

    def _send_elsewhere(self) -> None:
        server_id = self._attempt.placement.server.server_id
        excluded_servers = self._selection_request.excluded_servers | {
            server_id
        }
        self._selection_request = dataclasses.replace(
            self._selection_request, excluded_servers=excluded_servers
        )
        self._decide()

    def _decide(self) -> None:
        if self._is_over:
            return
        around = self._around
        stores = around.directory.configuration.kv_cache_stores
        decision = around.selector.choose(
            self._selection_request, stores, self._now()
        )
        if decision.placement is not None:
            self._send(decision)
        elif decision.wait_until is not None:
            wait = max(1, decision.wait_until - self._now())
            self._report.note_wait(decision.reason)
            self._timers.start('choice', wait, self._decide)
        elif self._verdict is Verdict.NOT_RUN:
            retry_after = self._spread(decision.retry_after)
            self._refuse(refusals.not_run(decision.reason, retry_after))
        else:
            self._refuse(refusals.failed(decision.reason))

    def _send(self, decision: SelectionDecision) -> None:
        self._sends += 1
        timeout = Millis(max(1, self._call.deadline - self._now()))
        attempt = AttemptRequest(
            call=self._call,
            placement=decision.placement,
            timeout=timeout,
            priority=self._call.priority,
            last_event_id=(
                self._answer.last_event or self._call.fields.last_event_id
            ),
        )
        self._attempt = RunningAttempt(
            self._call,
            self._selection_request,
            decision.placement,
            self._around,
            is_movable=self.is_retryable and self._has_attempts(),
        )
        self._report.note_send(decision)
        self._exchange = Exchange(
            self._around.pool,
            decision.placement.server.endpoint,
            self._around.protocol.encode_attempt(attempt),
            self,
        )
        self._exchange.start(fresh=not self.is_retryable)
        if not self._is_over:
            self._look_later(self._exchange)

    def _look_later(self, exchange: Exchange) -> None:
        self._timers.start(
            'stall',
            _STALL_LOOK,
            self._look_for_stall,
            exchange,
        )

    def _look_for_stall(self, exchange: Exchange) -> None:
        """Move a call off a server that shows no sign of life.

        A call that may run once moves only while no connection is open.
        """
        if self._is_over or exchange is not self._exchange:
            return
        if exchange.verdict is Verdict.NOT_RUN:
            if self._attempt.silence >= CONNECT_STALL:
                self._drop_exchange()
                self._around.on_silent(
                    self._attempt.placement.server.server_id,
                )
                self._not_connected('connect_stalled')
                return
        elif not self.is_retryable:
            return
        elif self._has_stalled():
            self._drop_exchange()
            self._broke('no sign of life')
            return
        self._look_later(exchange)

    def _has_stalled(self) -> bool:
        expected = self._attempt.placement.expected_first_output_ms
        limit = stall_limit(self._call.route, expected)
        return self._attempt.silence >= limit and self._has_attempts()

    def _not_connected(self, ending: str) -> None:
        """Leave a server that accepted no connection."""
        self._exchange = None
        self._attempt.note_unreachable()
        self._attempt.end(failed=True)
        self._report.note_attempt(ending)
        self._retry_not_run('server_unreachable')

    def _has_attempts(self) -> bool:
        return self._runs + 1 < self._call.route.attempts

    def _run_out(self) -> None:
        """Give the final answer at the deadline."""
        if self._is_over:
            return
        if self._exchange is not None and not self._answer.is_begun:
            self._attempt.note_failed()
        self._drop_exchange()
        self._refuse(self._unanswered('out_of_time'))

    def _unanswered(self, code: str) -> Refusal:
        verdict = self._verdict
        if self._exchange is not None:
            verdict = verdict.combine(self._exchange.verdict)
        if verdict is Verdict.NOT_RUN:
            return refusals.not_run(code, None)
        return refusals.out_of_time()

    def _refuse(self, refusal: Refusal) -> None:
        self._end(refusal.code, refusal.status, refusal)
        self._sink.refuse(refusal)

    def _end(
        self,
        outcome: str,
        status: int = 0,
        refusal: Refusal | None = None,
    ) -> None:
        self._is_over = True
        self._timers.close()
        if self._attempt is not None:
            self._attempt.forget()
        self._around.running.pop(self._selection_request.call_id, None)
        self._report.note_end(outcome, status, refusal)

    def _drop_exchange(self) -> None:
        if self._exchange is not None:
            self._exchange.abandon()

    def _spread(self, retry_after: Millis | None) -> Millis | None:
        """Spread callers that were refused together."""
        if retry_after is None:
            return None
        return Millis(int(retry_after * (1 + self._around.draw() / 2)))

    def _now(self) -> Millis:
        return self._around.clock.now()
