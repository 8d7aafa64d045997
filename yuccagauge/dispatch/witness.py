"""Connections that show whether one process of a server has lived on."""

from collections import defaultdict
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import BackendMessage, CallLater, ResponseHead
from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.tcpinfo import Delivery
from yuccagauge.dispatch.timers import Timers
from yuccagauge.settings.options import Endpoint

#: A connection that is still open this long after its host was heard to have the
#: check belongs to a process that lives: others reset it. The answer to the
#: check may take longer, as it waits for a slot of the server.
OPEN_LIMIT = Millis(100)

#: Time between two looks whether the host has the check.
_LOOK_INTERVAL = Millis(10)

#: Longest time for the rest of an answer to a check.
_ANSWER_LIMIT = Millis(2_000)

#: Connections that are kept for the next calls to one server.
_MAXIMUM_SPARE = 8

#: The status of a process that is not the server which a request names.
_MISDIRECTED = 421

#: Longest time for which a call waits until the connection beside it is open.
_OPENING_LIMIT = Millis(100)

_LIMIT = 'witness'
_ANSWER = 'answer to a check'


class Witness:
    """A connection beside that of a call.

    Parameters
    ----------
    server
        The server.
    """

    def __init__(self, server: Endpoint) -> None:
        """Have no connection yet."""
        self.server = server
        #: ``None`` before it opens, and if it fails to.
        self.connection: Connection | None = None
        self.is_released = False
        self._is_opening = False
        self._on_opened: Callable[[], None] | None = None

    def open(self, opening: Deferred[Connection]) -> None:
        """Use a connection that is being opened."""
        self._is_opening = True
        opening.addCallbacks(self._handle_connection, self._handle_failure)

    def when_opened(self, on_opened: Callable[[], None]) -> None:
        """Call a function once the connection is open, or failed to."""
        if self._is_opening:
            self._on_opened = on_opened
        else:
            on_opened()

    def testifies(self, moment: int) -> bool:
        """Return whether it is open, and was so before a moment."""
        connection = self.connection
        return (
            connection is not None
            and connection.can_send
            and connection.opened_at < moment
        )

    def _handle_connection(self, connection: Connection) -> None:
        self.connection = connection
        self._end_opening()

    def _handle_failure(self, _: Any) -> None:
        self._end_opening()

    def _end_opening(self) -> None:
        self._is_opening = False
        on_opened, self._on_opened = self._on_opened, None
        if on_opened is not None:
            on_opened()


class WitnessCheck:
    """Asks on an older connection whether its process lives.

    The operating system closes the connections of a process that ends, and
    resets them when something is sent there. So the process lives if it
    answers, and also if its host has acknowledged the check and the connection
    is still open some time after that was heard: the server may be busy, or
    silent. On a connection that a peer carries, only the answer tells: the peer
    may have been paused.

    Parameters
    ----------
    connection
        The older connection.
    call_later
        The reactor's function.
    on_result
        Called once with what showed that the process lives; empty if the
        connection has ended.
    on_idle
        Called with the connection once the answer to the check is complete.
    needs_answer
        Whether an open connection alone does not show that the process lives,
        since the server answers checks at once whatever its load is.
    """

    def __init__(
        self,
        connection: Connection,
        call_later: CallLater,
        on_result: Callable[[str], None],
        on_idle: Callable[[Connection], None],
        *,
        needs_answer: bool = False,
    ) -> None:
        """Ask nothing yet."""
        self._connection = connection
        self._timers = Timers(call_later)
        #: Outlive the check.
        self._answer_timers = Timers(call_later)
        self._on_result: Callable[[str], None] | None = on_result
        self._on_idle = on_idle
        self._needs_answer = needs_answer
        self._is_answered = False
        #: Whether the host has the check; ``None`` if that is not known.
        self._delivery: Delivery | None = None

    def start(self, message: BackendMessage) -> None:
        """Send a check that any process of the server answers."""
        self._delivery = self._connection.watch_delivery()
        if self._delivery is not None and not self._needs_answer:
            self._await_delivery()
        self._connection.send(message, self)

    def close(self) -> None:
        """Report nothing any more, and wait for no answer."""
        self._on_result = None
        self._timers.close()
        if not self._is_answered and self._connection.is_open:
            self._connection.abort()

    def head(self, head: ResponseHead) -> None:
        """Report that the process answers, unless it is another server.

        An answer counts only if the host of the server has the check.
        """
        if self._delivery is not None and not self._delivery.has_arrived:
            # It was sent before the check, maybe by a process that has ended.
            self._report('')
            return
        self._is_answered = True
        self._answer_timers.start(
            _ANSWER, _ANSWER_LIMIT, self._connection.abort
        )
        is_other = head.status == _MISDIRECTED
        self._report('' if is_other else 'older_connection')

    def data(self, data: bytes) -> None:
        """Ignore what it says."""

    def complete(self) -> None:
        """Let later calls have the connection."""
        self._answer_timers.close()
        self._on_idle(self._connection)

    def lost(self, reason: str) -> None:
        """Report that the connection shows nothing any more."""
        self._answer_timers.close()
        self._report('')

    def _await_delivery(self) -> None:
        self._timers.start(_LIMIT, _LOOK_INTERVAL, self._look)

    def _look(self) -> None:
        """Wait for the end of the connection once the host has the check."""
        if self._delivery.has_arrived:
            self._timers.start_limit(_LIMIT, OPEN_LIMIT, self._check_open)
        else:
            self._await_delivery()

    def _check_open(self) -> None:
        """Report that the connection is open, unless its end is to be read."""
        if self._delivery.is_open:
            self._report('open_connection')

    def _report(self, proof: str) -> None:
        on_result = self._on_result
        self.close()
        if on_result is not None:
            on_result(proof)


class Witnesses:
    """Has connections that are older than the calls whose ends they prove.

    A connection belongs to one process. If one that was open before a request
    was sent outlives the response, no other process has taken the place of the
    one that wrote it. That a server accepts connections afterwards proves
    nothing: it may have restarted, or another process may keep its port.

    A server that frames its answers has one such connection, as it may stop to.
    Calls to others have one each, because a check may end its connection.

    Parameters
    ----------
    pool
        Opens connections.
    """

    def __init__(self, pool: ConnectionPool) -> None:
        """Have no connection."""
        self._pool = pool
        self._spare: dict[Endpoint, list[Witness]] = defaultdict(list)
        #: Servers of which all answers, or not all, had a length or chunks.
        self._framed: set[Endpoint] = set()
        self._unframed: set[Endpoint] = set()

    def prepare(self, server: Endpoint) -> Witness:
        """Return a connection for a call that is about to be sent.

        It may still be opening.
        """
        spare = self._open_spare(server)
        if spare and server in self._framed:
            return spare[0]
        if spare:
            return spare.pop()
        witness = Witness(server)
        if server in self._framed:
            spare.append(witness)
        opening = self._pool.probe(server)
        witness.open(
            opening.addCallbacks(
                self._handle_connection,
                self._handle_failure,
                callbackArgs=(witness,),
                errbackArgs=(witness,),
            )
        )
        return witness

    def record_framing(self, server: Endpoint, *, is_framed: bool) -> None:
        """Record whether an answer of a server told where it ends."""
        if not is_framed:
            self._unframed.add(server)
            self._framed.discard(server)
        elif server not in self._unframed:
            self._framed.add(server)

    def take(self, witness: Witness, moment: int) -> Connection | None:
        """Return a connection that was open before a moment, for a check."""
        server = witness.server
        spare = self._open_spare(server)
        for candidate in (witness, *spare):
            if candidate.testifies(moment):
                if candidate in spare:
                    spare.remove(candidate)
                connection, candidate.connection = candidate.connection, None
                return connection
        return self._pool.take_older(server, moment)

    def release(self, witness: Witness) -> None:
        """Keep the connection of a call that has ended for later ones."""
        witness.is_released = True
        if witness.connection is not None:
            self._keep(witness)

    def give_back(self, server: Endpoint, connection: Connection) -> None:
        """Keep the connection of a check that was answered."""
        witness = Witness(server)
        witness.connection = connection
        self._keep(witness)

    def close(self) -> None:
        """Close all connections that are kept."""
        for server in tuple(self._spare):
            self._drop_spare(server)

    def _open_spare(self, server: Endpoint) -> list[Witness]:
        """Return the connections that are kept, without those that ended."""
        if self._pool.may_hang(server):
            self._drop_spare(server)
        spare = [
            witness
            for witness in self._spare[server]
            if witness.connection is None or witness.connection.can_send
        ]
        self._spare[server] = spare
        return spare

    def _drop_spare(self, server: Endpoint) -> None:
        for witness in self._spare.pop(server, ()):
            if witness.connection is not None:
                witness.connection.abort()

    def _keep(self, witness: Witness) -> None:
        spare = self._open_spare(witness.server)
        if witness in spare:
            return
        is_framed = witness.server in self._framed
        if not witness.connection.can_send:
            witness.connection.abort()
        elif not spare or (not is_framed and len(spare) < _MAXIMUM_SPARE):
            spare.append(witness)
        else:
            self._pool.give_back(witness.server, witness.connection)

    def _handle_connection(
        self, connection: Connection, witness: Witness
    ) -> Connection:
        if witness.is_released:
            witness.connection = connection
            self._keep(witness)
        return connection

    def _handle_failure(self, failure: Failure, witness: Witness) -> Failure:
        spare = self._spare[witness.server]
        if witness in spare:
            spare.remove(witness)
        return failure


class WitnessedPool:
    """Opens the connection of a call, and waits for the one beside it.

    Parameters
    ----------
    pool
        Opens the connection of the call.
    witness
        The connection beside it.
    call_later
        The reactor's function.
    """

    def __init__(
        self, pool: ConnectionPool, witness: Witness, call_later: CallLater
    ) -> None:
        """Open nothing yet."""
        self._pool = pool
        self._witness = witness
        self._timers = Timers(call_later)

    def open(self, server: Endpoint, *, fresh: bool) -> Deferred[Connection]:
        """Return a connection once both are open, or the other one is late."""
        opening = self._pool.open(server, fresh=fresh)
        return opening.addCallback(self._wait)

    def give_back(self, server: Endpoint, connection: Connection) -> None:
        """Keep the connection of the call for the next one."""
        self._pool.give_back(server, connection)

    def _wait(self, connection: Connection) -> Deferred[Connection]:
        ready: Deferred[Connection] = Deferred(lambda _: connection.abort())

        def go_on() -> None:
            self._timers.close()
            if ready.called:
                return
            if connection.can_send:
                ready.callback(connection)
            else:
                ready.errback(ConnectionLost('closed before the request'))

        self._timers.start(_LIMIT, _OPENING_LIMIT, go_on)
        self._witness.when_opened(go_on)
        return ready
