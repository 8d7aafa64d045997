"""Creates the components that lead calls to servers through peers."""

from collections.abc import Callable, Iterable
from typing import Any

from yuccagauge.clock import Clock
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.exchange.members import Member
from yuccagauge.peerpath.carrier import PathCarrier
from yuccagauge.peerpath.choice import PeerChoice
from yuccagauge.peerpath.dialer import PathDialer
from yuccagauge.peerpath.pool import PathPool
from yuccagauge.peerpath.reach import DirectReach
from yuccagauge.relay.carried import CarriedStatements
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.relay import RelaySection
from yuccagauge.wire.server import PeerServer


class RelayPaths:
    """The ways of callers' calls to servers, and those of peers.

    Orders do not use them: the servers accept those from one VM only.

    Parameters
    ----------
    section
        Name and data centre of this router.
    directory
        Knows the servers.
    peers
        Returns the other live routers.
    reactor, clock
        Open connections and tell the time.
    random_fraction
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        section: RelaySection,
        directory: Directory,
        peers: Callable[[], Iterable[Member]],
        *,
        reactor: Any,
        clock: Clock,
        random_fraction: Callable[[], float],
    ) -> None:
        """Create and connect the components."""
        self._directory = directory
        self._reactor = reactor
        self._clock = clock
        self._reach = DirectReach(random_fraction)
        self._dialer = PathDialer(
            section.name,
            directory,
            peers,
            reach=self._reach,
            choice=PeerChoice(section.data_centre, random_fraction),
            reactor=reactor,
            clock=clock,
        )
        self._pool = PathPool(reactor, self._dialer, self._reach.may_hang)
        self._peer_pool = ConnectionPool(reactor, self._dialer.peer_endpoint)
        self._carrier: PathCarrier | None = None

    @property
    def peer_pool(self) -> ConnectionPool:
        """Connections that peers carry, to see what they reach."""
        return self._peer_pool

    @property
    def lost(self) -> tuple[Endpoint, ...]:
        """The servers whose last direct attempt failed."""
        return self._reach.lost

    @property
    def pool(self) -> ConnectionPool:
        """The connections of callers' calls."""
        return self._pool

    @property
    def carried_count(self) -> int:
        """Number of connections that are carried for peers."""
        return self._carrier.carried_count

    def accept_from(
        self, server: PeerServer, statements: CarriedStatements
    ) -> None:
        """Carry connections for the peers that connect to a server."""
        self._carrier = PathCarrier(
            server, self._directory, self._reach, self._reactor, self._clock
        )
        self._carrier.refuses_calls = statements.refuses_calls
        self._carrier.on_answer = statements.record_answer
        self._carrier.start()

    def check(self, server: Endpoint) -> None:
        """Find out whether a server is reached on which a call broke."""
        self._dialer.check(server)

    def update(self) -> None:
        """Forget what is not listed any more, and look for the rest again."""
        self._dialer.remove_gone()
        self._dialer.probe_lost()

    def stop_accepting(self) -> None:
        """Refuse new paths of peers, because the router stops."""
        self._carrier.stop_accepting()

    def abort_paths(self) -> None:
        """End the paths of peers, because the router stops."""
        self._carrier.abort_paths()

    def close(self) -> None:
        """Close all idle connections."""
        self._pool.close()
        self._peer_pool.close()
