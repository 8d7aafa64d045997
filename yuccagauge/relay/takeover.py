"""Keeps the attempt of a silent server until another one has taken the call."""

from typing import Protocol

from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.dispatch.connection import ResponseUser
from yuccagauge.dispatch.errors import ContinuationError
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.relay.attempt import AttemptTracker
from yuccagauge.relay.base import RelayCall, ResponseInfo
from yuccagauge.relay.context import RelayContext
from yuccagauge.relay.repeats import CallRepeats
from yuccagauge.relay.report import CallReporter
from yuccagauge.relay.response import ResponseForwarder
from yuccagauge.selection.base import SelectionDecision, SelectionRequest


class TakeoverOwner(ResponseUser, Protocol):
    """The call, which sends the next attempt."""

    def return_to(self, exchange: Exchange, attempt: AttemptTracker) -> None:
        """Go on with a kept attempt instead of the next one."""


class Takeover:
    """Keeps an attempt while the call is sent to another server.

    A silent server may go on. Its attempt ends once the next server has sent
    the next event, or another answer as a whole. Until then, what the next
    server sends is withheld, and the call returns to the silent server if the
    next attempt fails, or if the silent server sends something first.

    A model engine begins to run a stream with its first event, so that two
    engines do not work on it side by side for longer than its way takes.

    Parameters
    ----------
    owner
        The call.
    context
        What all calls share.
    repeats, response, reporter
        Runs, response and log lines of the call.
    """

    def __init__(
        self,
        owner: TakeoverOwner,
        context: RelayContext,
        repeats: CallRepeats,
        response: ResponseForwarder,
        reporter: CallReporter,
    ) -> None:
        """Keep no attempt."""
        self._owner = owner
        self._context = context
        self._repeats = repeats
        self._response = response
        self._reporter = reporter
        self._exchange: Exchange | None = None
        self._attempt: AttemptTracker | None = None
        self._withheld_head: ResponseHead | None = None
        self._withheld_data = b''

    @property
    def keeps_attempt(self) -> bool:
        """Whether an attempt is kept."""
        return self._exchange is not None

    def keeps(self, attempt: AttemptTracker) -> bool:
        """Return whether this attempt is kept."""
        return self._attempt is attempt

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

    def pause(self) -> None:
        """Stop reading from the kept server as well."""
        if self._exchange is not None:
            self._exchange.pause()
            self._attempt.pause()

    def resume(self) -> None:
        """Resume reading from the kept server as well."""
        if self._exchange is not None:
            self._attempt.resume()
            self._exchange.resume()

    def withholds_head(self, head: ResponseHead) -> bool:
        """Return whether a head waits until its server has begun the answer.

        Raises
        ------
        ContinuationError
            If the response is no better than one that may go on.
        """
        if self._exchange is None:
            return False
        self._response.check_replaces(head)
        self._withheld_head = head
        self._withheld_data = b''
        return True

    def withholds_data(self, data: bytes) -> bool:
        """Return whether the data waits for the rest of the first event.

        Raises
        ------
        ContinuationError
            If the event is not the next one of the stream.
        """
        if self._withheld_head is None:
            return False
        self._withheld_data += data
        if self._response.may_begin(self._withheld_head, self._withheld_data):
            self.end('another server has begun its answer')
        return True

    def finish(self) -> None:
        """Let the next server go on with the call, if it has answered.

        Raises
        ------
        ContinuationError
            If it has ended a stream without an event, so that nothing shows
            that the stream is whole.
        """
        head = self._withheld_head
        if head is None:
            return
        if not self._response.may_begin(
            head, self._withheld_data, is_whole=True
        ):
            raise ContinuationError('the stream ended without an event')
        self.end('another server has answered')

    def try_return(self) -> bool:
        """Return the call to the kept attempt; return whether there was one."""
        exchange, attempt = self._release()
        if exchange is None:
            return False
        self._discard_withheld()
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
            self._record_end(attempt, reason)
        self._pass_on()

    def withdraw(self, reason: str) -> None:
        """End the kept attempt before it begins; its server is not to blame."""
        exchange, attempt = self._release()
        exchange.abandon()
        attempt.release_slot()
        self._repeats.record_run()
        self._record_end(attempt, reason, ending='withdrawn')
        self._pass_on()

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
        if info.is_not_run or info.is_misdirected:
            self._end_answered(head, info)
        elif head.is_server_error:
            self._repeats.record_run()
            self._end_answered(head, info)
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

    def _end_answered(self, head: ResponseHead, info: ResponseInfo) -> None:
        """End the kept attempt after its server has rejected or failed it."""
        exchange, attempt = self._release()
        exchange.abandon()
        attempt.record_activity(info)
        if info.is_not_run or info.is_misdirected:
            attempt.record_rejection(info)
        attempt.end_attempt(failed=not info.is_misdirected)
        self._record_end(attempt, f'the server answered {head.status}')
        self._pass_on()

    def _pass_on(self) -> None:
        """Let the call have what was withheld, as no attempt is kept now."""
        head, data = self._withheld_head, self._withheld_data
        if head is None:
            return
        self._discard_withheld()
        self._owner.head(head)
        if data and self._response.is_reading(head):
            self._owner.data(data)

    def _record_end(
        self, attempt: AttemptTracker, reason: str, ending: str = 'silent'
    ) -> None:
        self._response.discard_unsent()
        self._reporter.record_failed_attempt(
            ending,
            reason,
            silent_ms=attempt.time_without_response,
            server=attempt.placement.server.server_id,
        )

    def _release(self) -> tuple[Exchange | None, AttemptTracker | None]:
        kept = (self._exchange, self._attempt)
        self._exchange = self._attempt = None
        return kept

    def _discard_withheld(self) -> None:
        self._withheld_head = None
        self._withheld_data = b''
