"""Connections that show whether one process of a server has lived on."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, succeed

from yuccagauge.dispatch.base import BackendMessage, ResponseHead
from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.settings.options import Endpoint

#: Servers of which it is remembered that their answers are framed.
_MAXIMUM_FRAMED = 10_000


class _Witness:
    """One connection, for one check after the other."""

    def __init__(self, connection: Connection) -> None:
        """Take over a connection without a request."""
        self.connection = connection
        #: Checks that begin with the next request.
        self._waiting: list[Deferred[bool]] = []
        #: Checks that the head of the next answer decides.
        self._asking: list[Deferred[bool]] = []
        self._message: BackendMessage | None = None
        #: Whether a request is sent, and its answer is not complete.
        self._is_asking = False
        #: Called once no check is under way; see ``release``.
        self._on_idle: Callable[[], None] | None = None

    def check(self, message: BackendMessage) -> Deferred[bool]:
        """Return whether the server answers from now on.

        An answer to a request that was sent before proves nothing for later.
        """
        self._message = message
        result: Deferred[bool] = Deferred()
        self._waiting.append(result)
        self._ask()
        return result

    def release(self, on_idle: Callable[[], None]) -> None:
        """Call a function once no check is under way."""
        self._on_idle = on_idle
        self._ask()

    def head(self, head: ResponseHead) -> None:
        """Note that the process of the connection lives."""
        self._settle(is_alive=True)

    def data(self, data: bytes) -> None:
        """Ignore what it says."""

    def complete(self) -> None:
        """Begin the checks that came meanwhile."""
        self._is_asking = False
        self._ask()

    def lost(self, reason: str) -> None:
        """Report that the connection shows nothing any more."""
        self._is_asking = False
        self._waiting, self._asking = [], [*self._asking, *self._waiting]
        self._settle(is_alive=False)

    def _ask(self) -> None:
        if self._is_asking:
            return
        if not self._waiting:
            on_idle, self._on_idle = self._on_idle, None
            if on_idle is not None:
                on_idle()
        elif self.connection.can_send:
            self._is_asking = True
            self._asking, self._waiting = self._waiting, []
            self.connection.send(self._message, self)
        else:
            self.lost('closed')

    def _settle(self, *, is_alive: bool) -> None:
        asking, self._asking = self._asking, []
        for result in asking:
            if not result.called:
                result.callback(is_alive)


class Witnesses:
    """Holds connections to servers whose answers may end with theirs.

    A connection belongs to one process. One that was open before a request was
    sent, and on which the server answers after the end of the response, shows
    that no other process has taken the place of the one that wrote it. That
    a server accepts connections afterwards does not: it may have restarted, or
    another process may keep its port.

    Parameters
    ----------
    pool
        Opens connections, and has idle ones.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        """Hold no connection."""
        self._pool = pool
        self._held: dict[Endpoint, _Witness] = {}
        self._opening: set[Endpoint] = set()
        #: Servers whose last answer had a length or chunks, the latest last.
        self._framed: dict[Endpoint, None] = {}

    def prepare(self, server: Endpoint) -> None:
        """Open a connection before a request is sent, unless one is held.

        Servers that frame their answers need none: those connections that are
        idle by chance have to do if one of them stops to.
        """
        held = self._held.get(server)
        is_held = held is not None and held.connection.is_open
        if is_held or server in self._framed or server in self._opening:
            return
        self._opening.add(server)
        self._pool.probe(server).addCallbacks(
            self._handle_connection,
            self._handle_failure,
            callbackArgs=(server,),
            errbackArgs=(server,),
        )

    def record_framing(self, server: Endpoint, *, is_framed: bool) -> None:
        """Record whether an answer of a server told where it ends."""
        if not is_framed:
            self._framed.pop(server, None)
            return
        if server in self._framed:
            return
        self._framed[server] = None
        if len(self._framed) > _MAXIMUM_FRAMED:
            self._framed.pop(next(iter(self._framed)))
        self._release(server)

    def prove(
        self, server: Endpoint, moment: int, message: BackendMessage
    ) -> Deferred[bool]:
        """Return whether the process lives that had the server at a moment.

        ``False`` proves nothing: no connection may be old enough.

        Parameters
        ----------
        moment
            When the request was sent.
        message
            A request that the server answers in any state.
        """
        held = self._held.get(server)
        if held is None or not _testifies(held.connection, moment):
            older = self._pool.take_older(server, moment)
            if older is None:
                return succeed(False)
            held = self._hold(server, older)
        return held.check(message)

    def close(self) -> None:
        """Close all connections that are held."""
        for held in self._held.values():
            held.connection.abort()
        self._held.clear()

    def _hold(self, server: Endpoint, connection: Connection) -> _Witness:
        self._release(server)
        held = _Witness(connection)
        self._held[server] = held
        return held

    def _release(self, server: Endpoint) -> None:
        """Let calls use the connection to a server, after its checks."""
        held = self._held.pop(server, None)
        if held is not None:
            held.release(lambda: self._pool.give_back(server, held.connection))

    def _handle_connection(
        self, connection: Connection, server: Endpoint
    ) -> None:
        self._opening.discard(server)
        if server in self._framed:
            self._pool.give_back(server, connection)
        else:
            self._hold(server, connection)

    def _handle_failure(self, _: Any, server: Endpoint) -> None:
        self._opening.discard(server)


def _testifies(connection: Connection, moment: int) -> bool:
    return connection.is_open and connection.opened_at < moment
