"""Checks whether a server lives whose connection ended an answer."""

from collections.abc import Callable

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from yuccagauge.clock import Millis
from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.timers import Timers
from yuccagauge.settings.options import Endpoint

#: The operating system closes the port of a killed process up to this long
#: after the first of its connections.
_PORT_CLOSING_TIME = Millis(10)

#: A server that has not accepted a connection after this time is down or
#: unreachable: the operating system of a busy one still accepts at once.
ACCEPT_LIMIT = Millis(250)

_TIMER = 'end check'


class EndCheck:
    """Opens a connection to a server, as a sign that its process lives.

    The operating system closes the connections of a killed process as the
    process itself closes them at the end of an answer, but it closes the port
    as well. A connection that opens is kept for the next call, which needs one
    in place of the connection that has ended.

    Parameters
    ----------
    pool
        Opens the connection, and keeps it.
    timers
        Timers of the call.
    """

    def __init__(self, pool: ConnectionPool, timers: Timers) -> None:
        """Create a check that has not started."""
        self._pool = pool
        self._timers = timers
        self._opening: Deferred[Connection] | None = None
        self._on_result: Callable[[bool], None] | None = None

    def start(
        self, server: Endpoint, on_result: Callable[[bool], None]
    ) -> None:
        """Report once whether the server accepts a connection in time."""
        self._on_result = on_result
        self._timers.start(_TIMER, _PORT_CLOSING_TIME, self._connect, server)

    def close(self) -> None:
        """Report nothing any more."""
        self._on_result = None
        self._timers.stop(_TIMER)
        if self._opening is not None:
            self._opening.cancel()

    def _connect(self, server: Endpoint) -> None:
        self._timers.start(_TIMER, ACCEPT_LIMIT, self._report, False)
        self._opening = self._pool.probe(server)
        self._opening.addCallbacks(
            self._handle_connection, self._handle_failure, (server,)
        )

    def _handle_connection(
        self, connection: Connection, server: Endpoint
    ) -> None:
        self._pool.give_back(server, connection)
        self._report(is_alive=True)

    def _handle_failure(self, failure: Failure) -> None:
        if not failure.check(CancelledError):
            self._report(is_alive=False)

    def _report(self, is_alive: bool) -> None:
        on_result = self._on_result
        self.close()
        if on_result is not None:
            on_result(is_alive)
