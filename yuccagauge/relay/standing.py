"""Connections that name processes which state nothing of themselves."""

import secrets
from collections.abc import Collection, Iterable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.base import BackendServer
from yuccagauge.dispatch.base import CallLater
from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.pool import ConnectionPool, SingleConnectionPool
from yuccagauge.relay.identity import LOCAL_NAME, ProcessNameSource


class _StandingConnection:
    """One connection to a server, which carries no call."""

    def __init__(self, name: str) -> None:
        self.name = name
        #: ``None`` while it opens.
        self.connection: Connection | None = None
        #: When it was open.
        self.opened_at = Millis(0)
        self.is_asked = False
        #: Those who wait until it is open, or has failed to open.
        self.opening: list[Deferred[str]] = []
        #: Those who wait for an answer to a request that is sent from now on.
        self.waiting: list[Deferred[str]] = []

    @property
    def has_ended(self) -> bool:
        """Whether it was open, and is not any more."""
        return self.connection is not None and not self.connection.is_open


class StandingConnections:
    """Names the process of a server by a connection that stays open.

    Load pattern: engines restart under their ids, and state neither their start
    nor an epoch. A connection belongs to one process. If one that was open
    before answers later, no other process of the server has run meanwhile, so
    that all connections which were opened in between lead to the same one.

    Parameters
    ----------
    source
        Asks the servers.
    pool
        Opens the connections.
    clock
        The source of time.
    call_later
        The reactor's function.
    """

    def __init__(
        self,
        source: ProcessNameSource,
        pool: ConnectionPool,
        clock: Clock,
        call_later: CallLater,
    ) -> None:
        """Have no connection."""
        self._source = source
        self._pool = pool
        self._clock = clock
        self._call_later = call_later
        self._open: dict[str, _StandingConnection] = {}
        #: Peers hear the names, so each router has names of its own.
        self._prefix = f'{LOCAL_NAME}{secrets.token_hex(4)}'
        self._count = 0

    def is_open(self, server_id: str) -> bool:
        """Return whether the connection to a server is open."""
        standing = self._open.get(server_id)
        return (
            standing is not None
            and standing.connection is not None
            and not standing.has_ended
        )

    def open(self, server: BackendServer, timeout: Millis) -> Deferred[str]:
        """Open the connection to a server that has none.

        Returns the name of the process that accepts it; empty if none does in
        time.
        """
        server_id = server.server_id
        standing = self._open.get(server_id)
        if standing is not None and standing.has_ended:
            self._drop(server_id)
            standing = None
        opening: Deferred[str] = Deferred()
        if standing is None:
            standing = self._begin(server, opening)
        else:
            standing.opening.append(opening)
        self._call_later(in_seconds(timeout), _answer, [opening], '')
        return opening

    def ask(self, server: BackendServer, timeout: Millis) -> Deferred[str]:
        """Return the name of the process that runs now; empty without one."""
        answer: Deferred[str] = Deferred()
        if not self.is_open(server.server_id):
            answer.callback('')
            return answer
        standing = self._open[server.server_id]
        standing.waiting.append(answer)
        if not standing.is_asked:
            self._send(standing, server, timeout)
        return answer

    def opened_at(self, server_id: str) -> Millis | None:
        """Return since when the connection to a server is open, if it is."""
        standing = self._open.get(server_id)
        if standing is None or standing.connection is None:
            return None
        return standing.opened_at

    def keep_only(self, server_ids: Collection[str]) -> None:
        """Close the connections to all other servers."""
        for server_id in self._open.keys() - set(server_ids):
            self._drop(server_id)

    def close(self) -> None:
        """Close all connections."""
        self.keep_only(())

    def _begin(
        self, server: BackendServer, opening: Deferred[str]
    ) -> _StandingConnection:
        self._count += 1
        standing = _StandingConnection(f'{self._prefix}.{self._count}')
        standing.opening.append(opening)
        self._open[server.server_id] = standing
        self._pool.probe(server.endpoint).addCallbacks(
            self._handle_open,
            self._handle_lost,
            callbackArgs=(standing,),
            errbackArgs=(server, standing),
        )
        return standing

    def _handle_open(
        self, connection: Connection, standing: _StandingConnection
    ) -> None:
        if standing not in self._open.values():
            connection.abort()
            _answer(standing.opening, '')
            return
        standing.connection = connection
        standing.opened_at = self._clock.now()
        _answer(standing.opening, standing.name)

    def _send(
        self,
        standing: _StandingConnection,
        server: BackendServer,
        timeout: Millis,
    ) -> None:
        waiting, standing.waiting = standing.waiting, []
        standing.is_asked = True
        source = self._source.through(SingleConnectionPool(standing.connection))
        source.read_process_name(server, timeout).addCallbacks(
            self._handle_answer,
            self._handle_lost,
            callbackArgs=(server, standing, waiting, timeout),
            errbackArgs=(server, standing, waiting),
        )

    def _handle_answer(
        self,
        _: Any,
        server: BackendServer,
        standing: _StandingConnection,
        waiting: list[Deferred[str]],
        timeout: Millis,
    ) -> None:
        standing.is_asked = False
        _answer(waiting, standing.name)
        if standing.waiting:
            self._send(standing, server, timeout)

    def _handle_lost(
        self,
        _: Failure,
        server: BackendServer,
        standing: _StandingConnection,
        waiting: tuple[Deferred[str], ...] | list[Deferred[str]] = (),
    ) -> None:
        """Forget a connection, so that the next question opens another."""
        if self._open.get(server.server_id) is standing:
            self._drop(server.server_id)
        _answer([*standing.opening, *waiting, *standing.waiting], '')

    def _drop(self, server_id: str) -> None:
        connection = self._open.pop(server_id).connection
        if connection is not None:
            connection.abort()


def _answer(waiting: Iterable[Deferred[str]], name: str) -> None:
    """Answer all who have not been answered yet."""
    for answer in tuple(waiting):
        if not answer.called:
            answer.callback(name)
