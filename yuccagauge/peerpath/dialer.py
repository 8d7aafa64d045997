"""Opens connections to backend servers, directly or through a peer."""

from collections.abc import Callable, Iterable
from functools import partial
from itertools import chain
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from yuccagauge.clock import Clock
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.endpoints import ACCEPT_LIMIT, tcp_endpoint
from yuccagauge.exchange.members import Member
from yuccagauge.peerpath.choice import PeerChoice
from yuccagauge.peerpath.direct import DirectAttempt
from yuccagauge.peerpath.race import Race, RaceParts
from yuccagauge.peerpath.reach import DirectReach
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.fleetmessages import PathOpen


class PathDialer:
    """Makes the ways to backend servers for the calls of callers.

    Parameters
    ----------
    name
        Name of this router.
    directory
        Knows the servers.
    peers
        Returns the other live routers.
    reach, choice
        Remember what is reached directly, and through which peers.
    reactor, clock
        Open connections and tell the time.
    """

    def __init__(
        self,
        name: str,
        directory: Directory,
        peers: Callable[[], Iterable[Member]],
        *,
        reach: DirectReach,
        choice: PeerChoice,
        reactor: Any,
        clock: Clock,
    ) -> None:
        """Open no connection yet."""
        self._name = name
        self._directory = directory
        self._peers = peers
        self._reach = reach
        self._choice = choice
        self._reactor = reactor
        self._clock = clock

    def endpoint(self, reactor: Any, server: Endpoint) -> IStreamClientEndpoint:
        """Return the way to a backend server, for a connection pool."""
        return _ServerEndpoint(partial(self.connect, server))

    def probe_endpoint(
        self, reactor: Any, server: Endpoint
    ) -> IStreamClientEndpoint:
        """Return the way for connections that carry no call."""
        return _ServerEndpoint(partial(self.connect, server, is_probe=True))

    def peer_endpoint(
        self, reactor: Any, server: Endpoint
    ) -> IStreamClientEndpoint:
        """Return the way through a peer, to see what it reaches."""
        return _ServerEndpoint(
            lambda factory: Race(
                self._parts(server, is_probe=True), factory
            ).start(peers_only=True)
        )

    def connect(
        self, server: Endpoint, factory: Any, *, is_probe: bool = False
    ) -> Deferred[Any]:
        """Connect by the first way that opens."""
        if self._reach.try_probe(server, self._clock.now()):
            self._probe(server)
        return Race(self._parts(server, is_probe=is_probe), factory).start()

    def _parts(self, server: Endpoint, *, is_probe: bool) -> RaceParts:
        return RaceParts(
            name=self._name,
            server=server,
            reach=self._reach,
            choice=self._choice,
            reactor=self._reactor,
            clock=self._clock,
            choose_peers=lambda: self._choose_peers(server),
            path_request=self._path_request(server, is_probe=is_probe),
        )

    def check(self, server: Endpoint) -> None:
        """Try the direct way to a server on which a call broke or hung.

        A connection that hangs looks like a slow server, and other calls would
        be sent on connections that hang as well.
        """
        if self._reach.try_check(server, self._clock.now()):
            self._probe(server)

    def probe_lost(self) -> None:
        """Try the direct way to servers that are not reached."""
        for server in self._reach.take_due_probes(self._clock.now()):
            self._probe(server)

    def remove_gone(self) -> None:
        """Forget the peers and the servers that are not listed any more."""
        servers = {
            server.endpoint for server in self._directory.servers.values()
        }
        self._reach.remove_gone(servers)
        self._choice.remove_gone((peer.name for peer in self._peers()), servers)

    def _probe(self, server: Endpoint) -> None:
        probe_server(server, self._reach, self._reactor, self._clock)

    def _choose_peers(self, server: Endpoint) -> tuple[Member, ...]:
        return self._choice.choose(self._peers(), server, self._clock.now())

    def _path_request(self, target: Endpoint, *, is_probe: bool) -> PathOpen:
        # A server that was removed may serve on, and its answers end with
        # their connections: only a probe shows whether they are whole.
        removed = (
            self._directory.removed_servers(self._clock.now())
            if is_probe
            else ()
        )
        server_id = next(
            (
                server.server_id
                for server in chain(self._directory.servers.values(), removed)
                if server.endpoint == target
            ),
            '',
        )
        return PathOpen(server=server_id, target=target, is_probe=is_probe)


@implementer(IStreamClientEndpoint)
class _ServerEndpoint:
    """The way to one backend server."""

    def __init__(self, connect: Callable[[Any], Deferred[Any]]) -> None:
        self._connect = connect

    def connect(self, factory: Any) -> Deferred[Any]:
        """Connect by the first way that opens."""
        return self._connect(factory)


def probe_server(
    server: Endpoint, reach: DirectReach, reactor: Any, clock: Clock
) -> None:
    """Record whether a server is reached directly; close the connection."""
    factory = Factory.forProtocol(Protocol)
    factory.noisy = False
    DirectAttempt(
        server,
        tcp_endpoint(reactor, server),
        reach=reach,
        reactor=reactor,
        clock=clock,
        on_opened=_close,
        on_failed=_ignore,
    ).start(factory, ACCEPT_LIMIT)


def _close(protocol: Any) -> None:
    protocol.transport.loseConnection()


def _ignore(failure: Failure) -> None:
    """The attempt has recorded it."""
