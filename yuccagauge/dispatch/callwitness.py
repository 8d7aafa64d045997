"""A second connection of one call, which shows that its server lived on."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import BackendMessage, CallLater, ResponseHead
from yuccagauge.dispatch.connection import Connection, next_moment
from yuccagauge.dispatch.endpoints import ACCEPT_LIMIT
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.tcpinfo import Delivery
from yuccagauge.dispatch.timers import Timers
from yuccagauge.settings.options import Endpoint

#: It asks for nothing but an answer of any status (RFC 9110, 9.3.7). Services
#: of the own interface name no path for health checks.
_CHECK = BackendMessage(method='OPTIONS', path='*')

_OPENING = 'witness opening'
_CHECKING = 'witness check'


class CallWitness:
    """Opens a connection beside that of a call, and asks on it afterwards.

    The operating system closes the connections of a process that ends as the
    process itself does at the end of an answer. A connection belongs to one
    process: if the server answers on one that was open before the request was
    sent, no other process has taken its place since.

    Each call has one of its own, because a server that ends its answers with
    its connections ends this one with its check too. It is opened after the
    connection of the call, so that a server with one connection at a time
    serves the call first.

    Parameters
    ----------
    pool
        Opens connections, and has idle ones.
    call_later
        The reactor's function.
    is_fresh
        Whether it must not be an idle one, which the server may be closing.
    """

    def __init__(
        self, pool: ConnectionPool, call_later: CallLater, *, is_fresh: bool
    ) -> None:
        """Have no connection yet."""
        self._pool = pool
        self._timers = Timers(call_later)
        self._is_fresh = is_fresh
        self._opening: Deferred[Connection] | None = None
        self._connection: Connection | None = None
        #: The moment before which a connection is older than the request.
        self._moment = 0
        self._on_result: Callable[[bool], None] | None = None
        self._is_closed = False
        #: Whether the host has the check; ``None`` if that is not known.
        self._delivery: Delivery | None = None

    def open(self, server: Endpoint, *, fresh: bool) -> Deferred[Connection]:
        """Return the connection of the call once the other one is open too.

        It does not wait for longer than a server takes that accepts at all.
        """
        opening = self._pool.open(server, fresh=fresh)
        return opening.addCallback(self._open_second, server)

    def give_back(self, server: Endpoint, connection: Connection) -> None:
        """Keep both connections for other calls if the server does."""
        if connection.reusable and self._connection is not None:
            self._pool.give_back(server, self._connection)
            self._connection = None
        self._pool.give_back(server, connection)

    def check(
        self,
        server: Endpoint,
        limit: Millis,
        on_result: Callable[[bool], None],
    ) -> None:
        """Report once whether the process lives that got the request.

        Parameters
        ----------
        limit
            Time for its answer.
        """
        self._on_result = on_result
        connection = self._connection
        if connection is None or not connection.can_send:
            self._drop_connection()
            connection = self._pool.take_older(server, self._moment)
        self._connection = connection
        if connection is None:
            self._report(is_alive=False)
            return
        self._timers.start_limit(_CHECKING, limit, self._report, False)
        self._delivery = connection.watch_delivery()
        connection.send(_CHECK, self)

    def close(self) -> None:
        """Report nothing any more."""
        self._is_closed = True
        self._on_result = None
        self._timers.close()
        self._drop_connection()
        if self._opening is not None:
            self._opening.cancel()

    def head(self, head: ResponseHead) -> None:
        """Report that the process lives, whatever it answers.

        What was sent before the host of the server had the check is no answer.
        """
        delivery = self._delivery
        self._report(is_alive=delivery is None or delivery.has_arrived)

    def data(self, data: bytes) -> None:
        """Ignore what it says."""

    def complete(self) -> None:
        """Ignore the end of the answer."""

    def lost(self, reason: str) -> None:
        """Report that the connection shows nothing any more."""
        self._report(is_alive=False)

    def _open_second(
        self, connection: Connection, server: Endpoint
    ) -> Deferred[Connection]:
        ready: Deferred[Connection] = Deferred(lambda _: connection.abort())
        opening = self._pool.open(server, fresh=self._is_fresh)
        if not opening.called:
            self._opening = opening
            self._timers.start(_OPENING, ACCEPT_LIMIT, opening.cancel)
        opening.addCallbacks(self._keep_connection, self._ignore_failure)
        opening.addCallback(self._end_opening, connection, ready)
        return ready

    def _keep_connection(self, connection: Connection) -> None:
        self._connection = connection

    def _ignore_failure(self, _: Failure) -> None:
        """Send the call all the same; its answer may tell where it ends."""

    def _end_opening(
        self, _: Any, connection: Connection, ready: Deferred[Connection]
    ) -> None:
        self._opening = None
        self._timers.stop(_OPENING)
        self._moment = next_moment()
        if ready.called:
            return
        if self._is_closed:
            ready.cancel()
        elif connection.can_send:
            ready.callback(connection)
        else:
            ready.errback(ConnectionLost('closed before the request'))

    def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def _report(self, is_alive: bool) -> None:
        on_result = self._on_result
        self.close()
        if on_result is not None:
            on_result(is_alive)
