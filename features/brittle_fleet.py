"""Routers before brittle servers, which end if they reject too much."""

import re
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from features.crash_fleet import CrashFleet, router_host
from features.crash_server import SERVER_PORT, ServerProtocol, SimulatedServer
from features.relay_fixture import HOST, KEY
from yuccagauge.clock import Millis

SLOTS = 6
WORK_S = 0.09

#: Time for which a health check has a slot, in seconds.
_CHECK_S = 0.002

#: Requests that wait at a server, and fewer from some time on while it is
#: brittle, as the users' page has it.
_QUEUE = 24
_BRITTLE_QUEUE = 2
_STABLE = Millis(3000)
_SECOND = Millis(1000)

_STEP_S = 0.001
_CALLER_HOST = '10.3.0.1'
_STATUS = re.compile(rb'HTTP/1.1 (\d+)')


class BrittleServer(SimulatedServer):
    """A server with slots and a queue, which says that it is brittle."""

    def __init__(self, fleet: 'BrittleFleet', number: int) -> None:
        """Create a sound server that does not run yet."""
        super().__init__(fleet, number)
        #: Requests that wait; those without an id are health checks.
        self._waiting: list[tuple[Protocol, str]] = []
        self._working = 0
        self._life = 0
        self._rejected_at: list[Millis] = []
        #: Requests that ran to their ends.
        self.completed = 0
        #: How many requests were rejected for want of room.
        self.rejections = 0
        self.falls = 0

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        return _BrittleProtocol(self)

    def entry_document(self) -> dict[str, Any]:
        """Return the entry, with the slots."""
        return {**super().entry_document(), 'slots': SLOTS}

    def take(self, protocol: Protocol, request_id: str) -> None:
        """Run a request, let it wait, or reject it."""
        if self._working + len(self._waiting) >= SLOTS + self._queue:
            self._reject(protocol, request_id)
            return
        self._waiting.append((protocol, request_id))
        self._fill()

    @property
    def _queue(self) -> int:
        return _BRITTLE_QUEUE if self._is_narrow else _QUEUE

    @property
    def _is_narrow(self) -> bool:
        since = self._fleet.brittle_since
        return since is not None and self._fleet.clock.now() - since >= _STABLE

    def _fill(self) -> None:
        while self._waiting and self._working < SLOTS:
            protocol, request_id = self._waiting.pop(0)
            if protocol.transport is None:
                continue
            self._working += 1
            self._fleet.network.reactor.callLater(
                WORK_S if request_id else _CHECK_S,
                self._complete,
                protocol,
                request_id,
                self._life,
            )

    def _complete(self, protocol: Protocol, request_id: str, life: int) -> None:
        if life != self._life:
            return
        self._working -= 1
        self.completed += bool(request_id)
        self._answer(protocol, 200, request_id, 'X-Yuccagauge-Server-Stamp: s')
        self._fill()

    def _reject(self, protocol: Protocol, request_id: str) -> None:
        now = self._fleet.clock.now()
        self.rejections += 1
        self._rejected_at = [
            at for at in self._rejected_at if now - at < _SECOND
        ]
        self._rejected_at.append(now)
        self._answer(protocol, 503, request_id, 'X-Yuccagauge-Not-Executed: 1')
        if self._is_narrow and len(self._rejected_at) > self._fleet.allowed:
            self._fleet.network.reactor.callLater(0, self.fall)

    def fall(self) -> None:
        """End the process with all that it runs; it returns after a while."""
        if self.is_up:
            self.falls += 1
            self._life += 1
            self._working = 0
            self._waiting.clear()
            self._rejected_at.clear()
            self.end()

    def _answer(
        self, protocol: Protocol, status: int, request_id: str, mark: str
    ) -> None:
        if protocol.transport is None:
            return
        is_framed = not (request_id and self._fleet.ends_with_connection)
        lines = [
            f'HTTP/1.1 {status} X',
            f'X-Yuccagauge-Instance-Id: {self.server_id}',
            *([f'X-Yuccagauge-Request-Id: {request_id}'] if request_id else []),
            *(['Content-Length: 2'] if is_framed else []),
            mark,
            *self._fleet.statements,
        ]
        head = '\r\n'.join([*lines, '', ''])
        protocol.transport.write(head.encode() + b'ok')
        if not is_framed:
            protocol.transport.loseConnection()


class _BrittleProtocol(ServerProtocol):
    """A connection to a brittle server."""

    def run_request(self, headers: dict[str, str], body: bytes) -> None:
        """Hand a request that has arrived whole to the server."""
        self._server.take(self, headers['x-yuccagauge-request-id'])

    def _answer_check(self, is_report: bool) -> None:
        """Let a health check wait for a slot, as any other request does."""
        self._server.take(self, '')


class _Caller(Protocol):
    """A caller that sends one request and counts the status."""

    def __init__(self, fleet: 'BrittleFleet', data: bytes) -> None:
        self._fleet = fleet
        self._data = data
        self._received = b''
        self._sent_at = fleet.clock.now()

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        self.transport.write(self._data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Leave after the answer."""
        self._received += data
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Record the answer."""
        found = _STATUS.match(self._received)
        status = int(found.group(1)) if found else 0
        took = Millis(self._fleet.clock.now() - self._sent_at)
        self._fleet.answers.append((status, took))


class BrittleFleet(CrashFleet):
    """Routers before brittle servers, in virtual time."""

    server_type = BrittleServer

    def __init__(self, routers: int, servers: int, seed: int = 1) -> None:
        """Start a fleet whose servers are sound."""
        #: Since when servers say that they are brittle.
        self.brittle_since: Millis | None = None
        #: Whether answers have no length and end with their connections.
        self.ends_with_connection = False
        #: Rejections in a second that they bear.
        self.allowed = 5
        #: Status of each answer, and the time that it took.
        self.answers: list[tuple[int, Millis]] = []
        super().__init__(routers, servers, seed)
        self.caller_timeout = Millis(4000)
        self.down_s = 3.0

    @property
    def statements(self) -> list[str]:
        """The header lines in all answers of the servers."""
        if self.brittle_since is None:
            return []
        return [f'Server-Brittle: {self.allowed}']

    @property
    def served(self) -> int:
        """The number of calls that were answered with success."""
        return sum(status == 200 for status, _ in self.answers)

    def run(self, seconds: float, step_s: float = _STEP_S) -> None:
        """Pass time in steps that are short beside a call."""
        super().run(seconds, step_s)

    def call(self, name: str, route: str) -> None:
        """Send a request to a router, and record its answer."""
        self._request_count += 1
        body = f'{self._request_count}'
        lines = [
            f'POST /{route}/x HTTP/1.1',
            f'Host: {HOST}',
            f'X-Yuccagauge-Request-Id: c{self._request_count}',
            f'X-Yuccagauge-Deadline-Ms: {self.caller_timeout}',
            f'Authorization: Bearer {KEY}',
            f'Content-Length: {len(body)}',
        ]
        data = '\r\n'.join([*lines, '', body]).encode()
        caller = _Caller(self, data)
        factory = Factory()
        factory.startedConnecting = lambda connector: None
        factory.clientConnectionFailed = lambda connector, reason: None
        factory.buildProtocol = lambda address: caller
        self.network.connect(
            _CALLER_HOST, router_host(name), SERVER_PORT, factory, 1
        )
