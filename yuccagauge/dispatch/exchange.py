"""One request on one backend server, and its verdict.

The verdict changes only in transitions: it turns from ``not run`` to ``may
have run`` in the one that hands the first byte to the transport.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from automat import TypeMachineBuilder
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.python.failure import Failure

from yuccagauge.dispatch.base import BackendMessage, ResponseHead
from yuccagauge.dispatch.connection import Connection, ResponseUser
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.guard import record_call_fault
from yuccagauge.verdict import Verdict

#: Returns a connection that may carry the request, or fails.
Confirmation = Callable[[Connection], Deferred[Connection]]


class ExchangeInputs(Protocol):
    """What can happen to an exchange."""

    def connected(self, connection: Connection) -> None:
        """A connection is open."""

    def refused(self, reason: str) -> None:
        """No connection could be opened."""

    def head(self, head: ResponseHead) -> None:
        """Status and headers arrived."""

    def complete(self) -> None:
        """The response is complete."""

    def lost(self, reason: str) -> None:
        """The connection broke before the response was complete."""

    def abandon(self) -> None:
        """Nobody wants the response any more."""


@dataclass(slots=True, kw_only=True)
class _Core:
    message: BackendMessage
    user: ResponseUser
    give_back: Callable[[Connection], None]
    #: Changed by transitions alone.
    verdict: Verdict = Verdict.NOT_RUN
    #: Whether the state is ``answering``; changed by transitions alone.
    answering: bool = False
    connection: Connection | None = None
    opening: Deferred | None = field(default=None)


class _Relay:
    """Hands what a connection hears to the machine.

    A part of a body changes no state, and there are tens of thousands in a
    second, so it goes to the user directly.
    """

    def __init__(self, inputs: ExchangeInputs, core: _Core) -> None:
        self.head = inputs.head
        self.complete = inputs.complete
        self.lost = inputs.lost
        self._core = core

    def data(self, data: bytes) -> None:
        """Pass a part of the body on while it is wanted."""
        if self._core.answering:
            self._core.user.data(data)


_builder = TypeMachineBuilder(ExchangeInputs, _Core)
_connecting = _builder.state('connecting')
_sent = _builder.state('sent')
_answering = _builder.state('answering')
_answered = _builder.state('answered')
_not_sent = _builder.state('not_sent')
_broken = _builder.state('broken')


def _ignore_late(ended: Any) -> None:
    """Make a state ignore whatever still arrives."""
    ended.upon(ExchangeInputs.head).loop().returns(None)
    ended.upon(ExchangeInputs.complete).loop().returns(None)
    ended.upon(ExchangeInputs.lost).loop().returns(None)
    ended.upon(ExchangeInputs.abandon).loop().returns(None)


@_connecting.upon(ExchangeInputs.connected).to(_sent)
def _send(
    inputs: ExchangeInputs,
    core: _Core,
    connection: Connection,
) -> None:
    core.verdict = Verdict.MAY_HAVE_RUN
    core.connection = connection
    connection.send(core.message, _Relay(inputs, core))


@_connecting.upon(ExchangeInputs.refused).to(_not_sent)
def _report_refused(inputs: ExchangeInputs, core: _Core, reason: str) -> None:
    core.user.lost(reason)


@_connecting.upon(ExchangeInputs.abandon).to(_not_sent)
def _stop_connecting(inputs: ExchangeInputs, core: _Core) -> None:
    if core.opening is not None:
        core.opening.cancel()


@_sent.upon(ExchangeInputs.head).to(_answering)
def _report_head(
    inputs: ExchangeInputs,
    core: _Core,
    head: ResponseHead,
) -> None:
    core.answering = True
    core.user.head(head)


@_answering.upon(ExchangeInputs.complete).to(_answered)
def _report_complete(inputs: ExchangeInputs, core: _Core) -> None:
    core.verdict = Verdict.ANSWERED
    core.answering = False
    core.give_back(core.connection)
    core.user.complete()


@_sent.upon(ExchangeInputs.lost).to(_broken)
@_answering.upon(ExchangeInputs.lost).to(_broken)
def _report_lost(inputs: ExchangeInputs, core: _Core, reason: str) -> None:
    core.answering = False
    core.user.lost(reason)


@_sent.upon(ExchangeInputs.abandon).to(_broken)
@_answering.upon(ExchangeInputs.abandon).to(_broken)
def _abort(inputs: ExchangeInputs, core: _Core) -> None:
    core.answering = False
    core.connection.abort()


@_not_sent.upon(ExchangeInputs.connected).loop()
def _close_late(
    inputs: ExchangeInputs,
    core: _Core,
    connection: Connection,
) -> None:
    connection.abort()


_not_sent.upon(ExchangeInputs.refused).loop().returns(None)
_ignore_late(_answered)
_ignore_late(_not_sent)
_ignore_late(_broken)

_ExchangeMachine = _builder.build()


class Exchange:
    """Drives the state machine of one request on one backend server.

    Parameters
    ----------
    pool
        Opens the connection.
    server
        The backend server.
    message
        The request.
    user
        Hears the response, and ``lost`` with a reason if there is none.
    may_send
        Returns whether the request may still be sent, once there is a
        connection for it.
    confirm
        Asks which process a connection leads to, before it is used.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        server: Endpoint,
        message: BackendMessage,
        user: ResponseUser,
        may_send: Callable[[], bool] = lambda: True,
        confirm: Confirmation = succeed,
    ) -> None:
        """Prepare without connecting."""
        self._confirm = confirm
        self._may_send = may_send
        self._pool = pool
        self._server = server
        self._core = _Core(
            message=message,
            user=user,
            give_back=self._give_back,
        )
        self._machine = _ExchangeMachine(self._core)

    @property
    def verdict(self) -> Verdict:
        """Whether the backend server may have run the request."""
        return self._core.verdict

    def start(self, *, fresh: bool) -> None:
        """Connect and send; ``fresh`` forbids a pooled connection."""
        opening = self._pool.open(self._server, fresh=fresh)
        opening.addCallback(self._confirm)
        self._core.opening = opening
        opening.addCallbacks(self._connected, self._refused)
        opening.addErrback(self._handle_failed_send)

    def hand_over(self, user: ResponseUser) -> None:
        """Report the rest of the response to another user."""
        self._core.user = user

    def abandon(self) -> None:
        """Drop whatever would still arrive."""
        self._machine.abandon()

    def pause(self) -> None:
        """Stop reading from the backend server."""
        if self._core.connection is not None:
            self._core.connection.pause()

    def resume(self) -> None:
        """Read from the backend server again."""
        if self._core.connection is not None:
            self._core.connection.resume()

    def _connected(self, connection: Connection) -> None:
        if self._may_send():
            self._machine.connected(connection)
        else:
            connection.abort()
            self._machine.refused('no longer permitted')

    def _refused(self, failure: Failure) -> None:
        if not failure.check(CancelledError):
            self._machine.refused(failure.getErrorMessage())

    def _handle_failed_send(self, failure: Failure) -> None:
        """End the exchange, whose request could not be sent."""
        record_call_fault('send_request', '', failure.value)
        if self._core.connection is not None:
            self._core.connection.abort()
        self._machine.lost(f'not sent: {failure.type.__name__}')

    def _give_back(self, connection: Connection) -> None:
        self._pool.give_back(self._server, connection)
