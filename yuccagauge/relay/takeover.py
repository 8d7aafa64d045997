"""Keeps the attempt of a silent server until another one has taken the call."""

from typing import Protocol

from yuccagauge.clock import Millis
from yuccagauge.directory.base import RouteKind
from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.dispatch.connection import ResponseUser
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.dispatch.timers import Timers
from yuccagauge.relay.attempt import AttemptTracker
from yuccagauge.relay.base import RelayCall
from yuccagauge.relay.context import RelayContext
from yuccagauge.relay.repeats import CallRepeats
from yuccagauge.relay.report import CallReporter
from yuccagauge.relay.response import ResponseForwarder
from yuccagauge.relay.stall import is_silent
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.verdict import Verdict

_FIRST_SERVER_ERROR_STATUS = 500

#: How long two servers may have the same stream. One that is full rejects it
#: well within this time.
STREAM_OVERLAP_LIMIT = Millis(300)

_TIMER = 'takeover'


class TakeoverOwner(ResponseUser, Protocol):
    """The call, which sends the next attempt."""

    def return_to(self, exchange: Exchange, attempt: AttemptTracker) -> None:
        """Go on with a kept attempt instead of the next one."""


class Takeover:
    """Keeps an attempt while the call is sent to another server.

    A silent server may go on. Its attempt ends once the next server has begun
    an answer. The call returns to it if the next attempt fails, or if the
    silent server sends something first.

    Parameters
    ----------
    owner
        The call.
    context
        What all calls share.
    timers
        Timers of the call.
    repeats, response, reporter
        Runs, response and log lines of the call.
    """

    def __init__(
        self,
        owner: TakeoverOwner,
        context: RelayContext,
        timers: Timers,
        *,
        repeats: CallRepeats,
        response: ResponseForwarder,
        reporter: CallReporter,
    ) -> None:
        """Keep no attempt."""
        self._owner = owner
        self._context = context
        self._timers = timers
        self._repeats = repeats
        self._response = response
        self._reporter = reporter
        self._exchange: Exchange | None = None
        self._attempt: AttemptTracker | None = None

    @property
    def keeps_attempt(self) -> bool:
        """Whether an attempt is kept."""
        return self._exchange is not None

    def choose_server(
        self, call: RelayCall, request: SelectionRequest
    ) -> SelectionDecision | None:
        """Return a server that can take the call at once, if there is one.

        If so, a retry of the budget is spent.
        """
        if self.keeps_attempt or not self._repeats.may_run_again(
            self._response
        ):
            return None
        decision = self._context.choose_server(call, request)
        if decision.placement is None or not self._repeats.try_send_again():
            return None
        return decision

    def keep(self, exchange: Exchange, attempt: AttemptTracker) -> None:
        """Keep an attempt whose server is silent."""
        self._exchange = exchange
        self._attempt = attempt
        exchange.hand_over(self)

    def limit_overlap(
        self, exchange: Exchange, attempt: AttemptTracker
    ) -> None:
        """Let only one of two servers go on with a stream after a limit."""
        is_stream = self._repeats.route.kind is RouteKind.STREAMING
        if is_stream and self.keeps_attempt:
            self._timers.start(
                _TIMER,
                STREAM_OVERLAP_LIMIT,
                self._end_overlap,
                exchange,
                attempt,
            )

    def try_return(self) -> bool:
        """Return the call to the kept attempt; return whether there was one."""
        exchange, attempt = self._release()
        if exchange is None:
            return False
        exchange.hand_over(self._owner)
        self._owner.return_to(exchange, attempt)
        return True

    def end(self, reason: str) -> None:
        """End the kept attempt, if there is one."""
        exchange, attempt = self._release()
        if exchange is not None:
            exchange.abandon()
            attempt.end_broken_attempt()
            self._repeats.record_run()
            self._response.discard_unsent()
            self._reporter.record_failed_attempt(
                'silent',
                reason,
                silent_ms=attempt.time_without_response,
                server=attempt.placement.server.server_id,
            )

    def close(self) -> None:
        """End the kept attempt together with the call."""
        exchange, attempt = self._release()
        if exchange is not None:
            exchange.abandon()
            attempt.abandon_run()
            attempt.release_slot()

    def head(self, head: ResponseHead) -> None:
        """Return to the server that begins its answer, unless it failed."""
        info = self._context.backend_protocol.parse_head(head)
        is_failure = head.status >= _FIRST_SERVER_ERROR_STATUS
        if is_failure or info.is_not_run or info.is_misdirected:
            self.end(f'the server answered {head.status}')
        elif self.try_return():
            self._owner.head(head)

    def data(self, data: bytes) -> None:
        """Return to the server that goes on with its answer."""
        if self.try_return():
            self._owner.data(data)

    def complete(self) -> None:
        """Return to the server that ends its answer."""
        if self.try_return():
            self._owner.complete()

    def lost(self, reason: str) -> None:
        """End the attempt, because its connection is lost."""
        self.end(reason)

    def _end_overlap(self, exchange: Exchange, attempt: AttemptTracker) -> None:
        if exchange.verdict is Verdict.NOT_RUN:
            self.limit_overlap(exchange, attempt)
        elif is_silent(attempt):
            self.try_return()
        else:
            self.end('another server has accepted the call')

    def _release(self) -> tuple[Exchange | None, AttemptTracker | None]:
        kept = (self._exchange, self._attempt)
        self._exchange = self._attempt = None
        self._timers.stop(_TIMER)
        return kept
