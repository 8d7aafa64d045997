"""Routers before servers whose answers end with their connections.

Servers leave without a word: their entries are removed, and they serve on.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from features.crash_server import SERVER_PORT
from features.partition_fleet import PartitionFleet
from features.partition_servers import EVENTS, PartitionServer, StreamProtocol
from features.stating import StartedEntry
from yuccagauge.clock import Millis

#: Time between two halves of a body, and between two events. Routers read a
#: change of the list before an answer ends.
_HALF_INTERVAL_S = 0.18
_EVENT_INTERVAL_S = 0.1

#: Time from the end of a process to the start of the next one, and for which
#: the links of its host hold data back. The next process is listed before the
#: routers notice the end.
_RESTART_S = 0.03
_LATE_END_S = 0.32

_BODY = (b'o', b'k')

#: Wall time at the start of the fleet, in ms. A start at 0 is not stated.
_EPOCH = 1


class UnframedServer(PartitionServer):
    """A server whose answers have neither a length nor chunks."""

    def __init__(self, fleet: Any, number: int) -> None:
        """Create a server that is listed once it runs."""
        super().__init__(fleet, number)
        self._is_listed = True
        #: Time from a start to the entry that names it, in seconds.
        self.entry_lag_s: float = 0
        #: Called with the server when it has sent the end of an answer.
        self.on_answered: Callable[[UnframedServer], None] = lambda server: None
        #: Time between the two halves of a plain answer, in seconds.
        self.half_interval_s = _HALF_INTERVAL_S
        #: Whether a plain answer has a length.
        self.states_length = False
        #: Time for which a health check waits for a slot, in seconds.
        self.check_delay_s: float = 0
        #: Whether the connection of a health check ends with its answer.
        self.closes_after_check = False
        #: Time after which an idle connection is closed, in seconds.
        self.idle_limit_s: float = 0
        self._connections: list[Protocol] = []
        self._begun: set[str] = set()
        #: Ids of the requests that were answered whole.
        self.answered: set[str] = set()

    @property
    def is_model(self) -> bool:
        """Whether it answers with streams."""
        return self._number % 2 == 0

    @property
    def started_at(self) -> int:
        """Wall time of its start, in ms."""
        return _EPOCH + self._born

    @property
    def part_interval_s(self) -> float:
        """Time between two parts of an answer, in seconds."""
        return _EVENT_INTERVAL_S if self.is_model else self.half_interval_s

    @property
    def parts(self) -> tuple[bytes, ...]:
        """The parts of an answer."""
        if not self.is_model:
            return _BODY
        return tuple(
            b'id: %d\ndata: token\n\n' % number
            for number in range(1, EVENTS + 1)
        )

    def start(self) -> None:
        """Start the server, and list it at once."""
        super().start()
        self.later(self.entry_lag_s, lambda: self._write_entry(self._entry()))

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        connection = _UnframedProtocol(self)
        self._connections.append(connection)
        return connection

    def entry_document(self) -> dict[str, Any]:
        """Return what the server writes to the store."""
        return {**super().entry_document(), 'born': self.started_at}

    def is_running(self, request_id: str) -> bool:
        """Return whether a request runs here."""
        return request_id in self._begun - self.answered

    def record_run(
        self, request_id: str, source: str, opened_at: Millis
    ) -> None:
        """Note that a request has begun to run."""
        super().record_run(request_id, source, opened_at)
        self._begun.add(request_id)

    def leave(self) -> None:
        """Have the entry removed, and serve on."""
        self._is_listed = False
        self._fleet.store.append_entry(self.server_id, None)

    def kill(self) -> None:
        """End the process; the system closes its connections and its port."""
        for connection in self._connections:
            connection.transport.loseConnection()
        self._connections.clear()
        self.is_up = False
        self._fleet.network.end_host(self.host)

    def lose_idle_connections(self) -> None:
        """Let the links lose all that follows on connections without a request."""
        for connection in self._connections:
            if not connection.has_request:
                connection.transport.end(silently=True)

    def go_down(self, seconds: float) -> None:
        """End the process, and start it anew after a time."""
        self.kill()
        self._fleet.network.reactor.callLater(seconds, self.start)

    def leave_port_open(self) -> None:
        """End the process, but let another one keep its port open."""
        self.kill()
        factory = Factory.forProtocol(Protocol)
        factory.noisy = False
        self._fleet.network.listen(self.host, SERVER_PORT, factory)

    def fall_silent(self, seconds: float) -> None:
        """Let the process do nothing for a time."""
        network = self._fleet.network
        network.frozen_hosts.add(self.host)
        network.reactor.callLater(
            seconds, network.frozen_hosts.discard, self.host
        )

    def restart(self, *, is_listed: bool = True) -> None:
        """End, and start anew before the routers notice the end."""
        network = self._fleet.network
        network.is_cut = lambda *hosts: self.host in hosts
        self.kill()
        self._is_listed = is_listed

        def heal() -> None:
            network.is_cut = lambda *hosts: False

        network.reactor.callLater(_RESTART_S, self.start)
        network.reactor.callLater(_LATE_END_S, heal)

    def _entry(self) -> StartedEntry:
        return StartedEntry(*super()._entry(), start=self._starts)

    def _write_entry(self, entry: StartedEntry) -> None:
        known_from = self._born + round(self.entry_lag_s * 1000)
        is_known = self._fleet.clock.now() >= known_from
        if self._is_listed and entry.start == self._starts and is_known:
            super()._write_entry(entry[:2])


class _UnframedProtocol(StreamProtocol):
    """A connection that ends with its answer."""

    #: Whether it has carried a request.
    has_request = False

    def connectionMade(self) -> None:  # noqa: N802
        """Close a connection that stays idle."""
        super().connectionMade()
        if self._server.idle_limit_s:
            self._server.later(self._server.idle_limit_s, self._close_idle)

    def dataReceived(self, data: bytes) -> None:
        """Note that the connection is used."""
        self.has_request = True
        super().dataReceived(data)

    def begin(self, request_id: str, last_event: int) -> None:
        """Write the head and what follows it."""
        kind = 'event-stream' if self._server.is_model else 'plain'
        fields = [f'Content-Type: text/{kind}']
        if self._server.states_length and not self._server.is_model:
            fields.append(f'Content-Length: {sum(map(len, _BODY))}')
        self.write_head(request_id, *fields)
        self._send_next(request_id, last_event)

    def _close_idle(self) -> None:
        if not self.has_request:
            self.transport.loseConnection()

    def _answer_check(self, is_report: bool) -> None:
        if is_report:
            super()._answer_check(is_report)
            return
        self._server.later(self._server.check_delay_s, self._pass_check)

    def _pass_check(self) -> None:
        closes = self._server.closes_after_check
        field = 'Connection: close\r\n' if closes else ''
        self.transport.write(
            f'HTTP/1.1 200 X\r\nContent-Length: 0\r\n{field}'
            f'X-Yuccagauge-Instance-Id: {self._server.server_id}\r\n\r\n'.encode()
        )
        if closes:
            self.transport.loseConnection()

    def _send_next(self, request_id: str, number: int) -> None:
        if number == len(self._server.parts):
            self._server.answered.add(request_id)
            self.transport.loseConnection()
            self._server.on_answered(self._server)
            return
        self.transport.write(self._server.parts[number])
        self._server.later(
            self._server.part_interval_s,
            lambda: self._send_next(request_id, number + 1),
        )


class LeavingFleet(PartitionFleet):
    """Routers before servers whose answers end with their connections."""

    server_type = UnframedServer
