"""Open connections to backend servers, kept for the next request."""

from collections import defaultdict, deque
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Factory

from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.endpoints import tcp_endpoint
from yuccagauge.settings.options import Endpoint

#: Idle connections kept for one backend server.
_IDLE_CONNECTIONS = 64

#: Seconds before an idle connection is closed; shorter than the idle limit
#: of common HTTP servers, so that few requests meet a closing connection.
_IDLE_S = 10


class ConnectionPool:
    """Open connections by backend server.

    Parameters
    ----------
    reactor
        Gives connections and timers.
    endpoint
        Makes the way to a backend server.
    may_hang
        Returns whether open connections to a backend server may hang.
    """

    def __init__(
        self,
        reactor: Any,
        endpoint: Callable[[Any, Endpoint], IStreamClientEndpoint] = (
            tcp_endpoint
        ),
        may_hang: Callable[[Endpoint], bool] = lambda server: False,
    ) -> None:
        """Start without connections."""
        self._reactor = reactor
        self._may_hang = may_hang
        self._endpoint = endpoint
        self._idle: dict[Endpoint, deque[Connection]] = defaultdict(deque)

    def open(self, server: Endpoint, *, fresh: bool) -> Deferred[Connection]:
        """Return an idle connection, or connect.

        Parameters
        ----------
        fresh
            Never reuse a connection: the backend server might be closing it
            while the request is written, which ends in ``may have run``.
        """
        idle = self._idle[server]
        if idle and self._may_hang(server):
            _abort_all(idle)
        while idle and not fresh:
            connection = idle.pop()
            connection.idle_timer.cancel()
            if connection.reusable:
                return succeed(connection)
        endpoint = self._endpoint(self._reactor, server)
        return endpoint.connect(Factory.forProtocol(Connection))

    def probe(self, server: Endpoint) -> Deferred[Connection]:
        """Connect to see whether a server lives."""
        return self.open(server, fresh=True)

    def may_hang(self, server: Endpoint) -> bool:
        """Return whether open connections to a server may hang."""
        return self._may_hang(server)

    def take_older(self, server: Endpoint, moment: int) -> Connection | None:
        """Return an idle connection that was open before a moment."""
        if self._may_hang(server):
            return None
        idle = self._idle.get(server, ())
        for connection in tuple(idle):
            if connection.reusable and connection.opened_at < moment:
                idle.remove(connection)
                connection.idle_timer.cancel()
                return connection
        return None

    def give_back(self, server: Endpoint, connection: Connection) -> None:
        """Keep a connection whose response was complete, or close it."""
        idle = self._idle[server]
        if not connection.reusable or len(idle) >= _IDLE_CONNECTIONS:
            connection.abort()
            return
        connection.on_close = lambda closed: self._forget(server, closed)
        connection.idle_timer = self._reactor.callLater(
            _IDLE_S, connection.abort
        )
        idle.append(connection)

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            _abort_all(idle)

    def _forget(self, server: Endpoint, connection: Connection) -> None:
        idle = self._idle[server]
        if connection in idle:
            idle.remove(connection)
        if connection.idle_timer.active():
            connection.idle_timer.cancel()


def _abort_all(idle: deque[Connection]) -> None:
    while idle:
        connection = idle.pop()
        connection.idle_timer.cancel()
        connection.abort()


class ProbePool:
    """Opens connections of a pool that carry no call.

    Parameters
    ----------
    pool
        Opens them, and keeps them afterwards.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        """Use a pool."""
        self._pool = pool

    def open(self, server: Endpoint, *, fresh: bool) -> Deferred[Connection]:
        """Connect anew, whatever is idle."""
        return self._pool.probe(server)

    def give_back(self, server: Endpoint, connection: Connection) -> None:
        """Keep a connection for a call."""
        self._pool.give_back(server, connection)


class SingleConnectionPool:
    """A pool that has one connection, whose user keeps it.

    Parameters
    ----------
    connection
        The connection.
    """

    def __init__(self, connection: Connection) -> None:
        """Use a connection."""
        self._connection = connection

    def open(self, server: Endpoint, *, fresh: bool) -> Deferred[Connection]:
        """Return the connection."""
        return succeed(self._connection)

    def give_back(self, server: Endpoint, connection: Connection) -> None:
        """Leave the connection open."""
