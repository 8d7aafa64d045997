"""A plain service of the own interface whose answers end with connections."""

from collections import defaultdict, deque
from collections.abc import Callable

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from features.memory_network import MemoryNetwork
from features.plain_service import ROUTER_HOST, SERVER_PORT, PlainService

#: Time between the two halves of an answer, in seconds.
HALF_INTERVAL_S = 0.1

_HALVES = (b'o', b'k')
_UNFRAMED_HEAD = b'HTTP/1.1 200 X\r\n\r\n'
_FRAMED_ANSWER = b'HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok'
_CHECK_ANSWER = b'HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n'
_CLOSING_CHECK_ANSWER = b'HTTP/1.0 200 X\r\n\r\n'


class UnframedPlainServer:
    """A server whose answers have neither a length nor chunks.

    Parameters
    ----------
    network
        Where it listens.
    host
        Its host.
    """

    def __init__(self, network: MemoryNetwork, host: str) -> None:
        """Create a server that is down."""
        self.host = host
        #: Whether its answers have a length.
        self.is_framed = False
        #: Whether each of its connections ends with the first answer.
        self.closes_connections = False
        #: Whether it serves one connection after the other.
        self.is_sequential = False
        #: Called with the server once an answer is sent.
        self.on_answered: Callable[[UnframedPlainServer], None] = (
            lambda server: None
        )
        #: Runs by the id of their request.
        self.runs: dict[str, int] = defaultdict(int)
        #: Ids of the requests that were answered whole.
        self.answered: set[str] = set()
        self._network = network
        self._starts = 0
        self._connections: deque[_UnframedProtocol] = deque()

    @property
    def running(self) -> set[str]:
        """Ids of the requests that run."""
        return set(self.runs) - self.answered

    def start(self) -> None:
        """Let a process accept connections."""
        self._starts += 1
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = self._accept
        self._network.listen(self.host, SERVER_PORT, factory)

    def kill(self) -> None:
        """End the process; the system closes its connections and its port."""
        self._starts += 1
        for connection in self._connections:
            connection.transport.loseConnection()
        self._connections.clear()
        self._network.end_host(self.host)

    def go_down(self, seconds: float) -> None:
        """End the process, and start it anew after a time."""
        self.kill()
        self._network.reactor.callLater(seconds, self.start)

    def leave_port_open(self) -> None:
        """End the process, but let another one keep its port open."""
        self.kill()
        factory = Factory.forProtocol(Protocol)
        factory.noisy = False
        self._network.listen(self.host, SERVER_PORT, factory)

    def fall_silent(self, seconds: float) -> None:
        """Let the process do nothing for a time."""
        hosts = self._network.frozen_hosts
        hosts.add(self.host)
        self._network.reactor.callLater(seconds, hosts.discard, self.host)

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call an action unless the process has ended since."""
        start = self._starts

        def act() -> None:
            if start == self._starts:
                action()

        self._network.reactor.callLater(delay_s, act)

    def serves(self, connection: '_UnframedProtocol') -> bool:
        """Return whether requests of a connection are read."""
        if not self.is_sequential:
            return True
        return bool(self._connections) and self._connections[0] is connection

    def forget(self, connection: '_UnframedProtocol') -> None:
        """Read requests of the next connection, if one was waiting."""
        if connection in self._connections:
            self._connections.remove(connection)
        if self._connections:
            self._connections[0].read_request()

    def _accept(self, _: object) -> '_UnframedProtocol':
        connection = _UnframedProtocol(self)
        self._connections.append(connection)
        return connection


class _UnframedProtocol(Protocol):
    """A connection that ends with its answer."""

    def __init__(self, server: UnframedPlainServer) -> None:
        self._server = server
        self._buffer = b''

    def dataReceived(self, data: bytes) -> None:
        """Keep a part of a request."""
        self._buffer += data
        self.read_request()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Leave the server to other connections."""
        self._server.forget(self)

    def read_request(self) -> None:
        """Run a request that has arrived whole, if it is its turn."""
        head, found, _ = self._buffer.partition(b'\r\n\r\n')
        if not found or not self._server.serves(self):
            return
        self._buffer = b''
        lines = head.decode().split('\r\n')
        if lines[0].startswith('OPTIONS * '):
            self._answer_check()
            return
        headers = dict(line.split(': ', 1) for line in lines[1:])
        request_id = headers['Request-Id']
        self._server.runs[request_id] += 1
        is_head = lines[0].startswith('HEAD ')
        if is_head:
            self.transport.write(_UNFRAMED_HEAD)
            self._server.answered.add(request_id)
            return
        if self._server.is_framed:
            self.transport.write(_FRAMED_ANSWER)
            self._server.answered.add(request_id)
            self._close_if_closing()
            return
        self.transport.write(_UNFRAMED_HEAD)
        self._send_next(request_id, 0)

    def _answer_check(self) -> None:
        if self._server.closes_connections:
            self.transport.write(_CLOSING_CHECK_ANSWER)
        else:
            self.transport.write(_CHECK_ANSWER)
        self._close_if_closing()

    def _close_if_closing(self) -> None:
        if self._server.closes_connections:
            self._close()

    def _send_next(self, request_id: str, number: int) -> None:
        if number == len(_HALVES):
            self._server.answered.add(request_id)
            self._close()
            self._server.on_answered(self._server)
            return
        self.transport.write(_HALVES[number])
        self._server.later(
            HALF_INTERVAL_S, lambda: self._send_next(request_id, number + 1)
        )

    def _close(self) -> None:
        self.transport.loseConnection()
        self._server.forget(self)


class UnframedService(PlainService):
    """Two such servers, and calls of their service."""

    server_hosts = ('10.1.0.1', '10.1.0.2')

    def start_servers(self) -> None:
        """Start both servers."""
        self.servers = [
            UnframedPlainServer(self.network, host)
            for host in self.server_hosts
        ]
        for server in self.servers:
            server.start()

    def runs_of(self, request_id: str) -> int:
        """Return how often a request has run."""
        return sum(server.runs[request_id] for server in self.servers)

    def pause_router(self, seconds: float) -> None:
        """Let the process of the router do nothing for a time."""
        reactor = self.router_reactor

        def thaw() -> None:
            self.network.frozen_hosts.discard(ROUTER_HOST)
            reactor.thaw()

        self.network.frozen_hosts.add(ROUTER_HOST)
        reactor.freeze()
        self.network.reactor.callLater(seconds, thaw)
