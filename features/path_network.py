"""A router, peers and a server whose links can be cut, in virtual time."""

from types import SimpleNamespace
from typing import Any

from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from features.memory_network import MemoryNetwork, NodeReactor
from features.rollout_engines import VirtualClock
from yuccagauge.clock import Millis
from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.exchange.members import Member
from yuccagauge.peerpath.carrier import PathCarrier
from yuccagauge.peerpath.choice import PeerChoice
from yuccagauge.peerpath.dialer import PathDialer
from yuccagauge.peerpath.reach import DirectReach
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.fleetmessages import PathOpen
from yuccagauge.wire.server import PeerServer

SERVER = Endpoint('10.0.9.1', 80)
NEAR_HOST = '10.0.0.1'
_PEER_PORT = 7000
_CLOSED_PORT = 9
_STEP_S = 0.001


class RefusingNetwork(MemoryNetwork):
    """A network that also refuses connections between two hosts."""

    def __init__(self) -> None:
        """Create a network without hosts."""
        super().__init__()
        self.refused: set[tuple[str, str]] = set()
        #: Attempts to connect, by source and target host.
        self.attempts: list[tuple[str, str]] = []

    def connect(
        self, source: str, host: str, port: int, factory: Any, timeout: float
    ) -> Any:
        """Open a connection, unless it is refused."""
        self.attempts.append((source, host))
        if (source, host) in self.refused:
            port = _CLOSED_PORT
        return super().connect(source, host, port, factory, timeout)


class ServerConnection(Protocol):
    """Keeps what a server receives."""

    def __init__(self, connections: list['ServerConnection']) -> None:
        """Join the connections of the server."""
        self.received = bytearray()
        self.end: Failure | None = None
        connections.append(self)

    def dataReceived(self, data: bytes) -> None:
        """Keep it."""
        self.received += data

    def connectionLost(self, reason: Any = None) -> None:
        """Keep the reason."""
        self.end = reason


def directory(*endpoints: Endpoint) -> Any:
    """Return a directory that knows servers by the names s1, s2 and so on."""
    return SimpleNamespace(
        servers={
            f's{number}': SimpleNamespace(
                server_id=f's{number}', endpoint=endpoint
            )
            for number, endpoint in enumerate(endpoints, 1)
        },
        removed_servers=lambda now: (),
    )


class PathNetwork:
    """One router that opens connections, and peers that may carry them."""

    def __init__(self, peer_count: int) -> None:
        """Start all of them."""
        self.network = RefusingNetwork()
        self.clock = VirtualClock(self.network.reactor)
        self.server_connections: list[ServerConnection] = []
        self._cuts: set[tuple[str, str]] = set()
        self.network.is_cut = lambda host, other: (
            (host, other) in self._cuts or (other, host) in self._cuts
        )
        factory = Factory.forProtocol(
            lambda: ServerConnection(self.server_connections)
        )
        self.network.listen(SERVER.host, SERVER.port, factory)
        self.peer_hosts = [
            f'10.0.1.{number + 1}' for number in range(peer_count)
        ]
        #: Peers that were asked for a path, with the name of the asking router.
        self.asked: list[tuple[str, str]] = []
        self.carriers = [self._add_peer(host) for host in self.peer_hosts]
        reactor = NodeReactor(self.network, NEAR_HOST)
        self.reactor = reactor
        self.reach = DirectReach(self._middle)
        self.dialer = PathDialer(
            'near',
            directory(SERVER),
            self._members,
            reach=self.reach,
            choice=PeerChoice('a', self._middle),
            reactor=reactor,
            clock=self.clock,
        )
        self.pool = ConnectionPool(
            reactor, self.dialer.endpoint, self.reach.may_hang
        )

    def separate(self, host: str, face: str) -> None:
        """Separate a host from the server: connections hang or are refused."""
        if face == 'hang':
            self._cuts.add((host, SERVER.host))
        else:
            self.network.refused.add((host, SERVER.host))

    def heal(self) -> None:
        """Let all hosts reach the server."""
        self._cuts.clear()
        self.network.refused.clear()

    def open(self, *, fresh: bool = True) -> list[tuple[Any, Millis]]:
        """Open a connection; the list gets its outcome and duration."""
        begun = self.clock.now()
        outcomes: list[tuple[Any, Millis]] = []
        opening = self.pool.open(SERVER, fresh=fresh)
        opening.addBoth(
            lambda result: outcomes.append((result, self.clock.now() - begun))
        )
        self.opening = opening
        return outcomes

    def run(self, duration: Millis) -> None:
        """Pass time."""
        for _ in range(duration):
            self.network.reactor.advance(_STEP_S)

    def attempts_of(self, host: str) -> int:
        """Return how often a host tried to connect to the server."""
        return self.network.attempts.count((host, SERVER.host))

    def _members(self) -> tuple[Member, ...]:
        return tuple(
            Member(
                name=host,
                endpoint=Endpoint(host, _PEER_PORT),
                data_centre='a',
                last_seen_at=self.clock.now(),
            )
            for host in self.peer_hosts
        )

    def _add_peer(self, host: str) -> PathCarrier:
        reactor = NodeReactor(self.network, host)
        server = PeerServer(reactor, Endpoint(host, _PEER_PORT), host)
        carrier = PathCarrier(
            server,
            directory(SERVER),
            DirectReach(self._middle),
            reactor,
            self.clock,
        )
        carrier.start()
        self._note_requests(server, host)
        server.start()
        return carrier

    def _note_requests(self, server: PeerServer, host: str) -> None:
        handle = server._connection_handlers[PathOpen]

        def note(frames: Any, received: Any) -> None:
            self.asked.append((host, received.sender))
            handle(frames, received)

        server.add_connection_handler(PathOpen, note)

    def _middle(self) -> float:
        return 0.5


def is_carried(connection: Connection) -> bool:
    """Return whether a connection goes through a peer."""
    return not getattr(connection.transport, 'allows_reuse', True)
