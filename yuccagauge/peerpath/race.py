"""The direct way to a server and paths through peers, at the same time."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.dispatch.endpoints import tcp_endpoint
from yuccagauge.dispatch.timers import Timers
from yuccagauge.exchange.members import Member
from yuccagauge.peerpath.attempt import PathAttempt
from yuccagauge.peerpath.choice import PeerChoice
from yuccagauge.peerpath.direct import DirectAttempt
from yuccagauge.peerpath.metrics import PATHS
from yuccagauge.peerpath.reach import DirectReach
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.fleetmessages import PathOpen

#: Time after which the next peer is asked beside one that has not answered.
PEER_LIMIT = Millis(60)

_TIMER = 'peer'


@dataclass(frozen=True, slots=True, kw_only=True)
class RaceParts:
    """What a race needs to know and use."""

    #: Name of this router.
    name: str
    server: Endpoint
    reach: DirectReach
    choice: PeerChoice
    reactor: Any
    clock: Clock
    choose_peers: Callable[[], tuple[Member, ...]]
    path_request: PathOpen


class Race:
    """Opens one connection by the first way that opens.

    The other ways are closed unused: no byte of a request was sent on them.

    Parameters
    ----------
    parts
        The server, and what is known of the ways to it.
    factory
        Builds the protocol of the connection.
    """

    def __init__(self, parts: RaceParts, factory: Any) -> None:
        """Open no connection yet."""
        self._parts = parts
        self._factory = factory
        self._timers = Timers(parts.reactor.callLater)
        self._result: Deferred[Any] = Deferred(self._cancel)
        self._direct: DirectAttempt | None = None
        self._direct_failure: Failure | None = None
        #: Peers that are still to be asked; ``None`` before the first.
        self._peers: list[Member] | None = None
        self._paths: list[PathAttempt] = []
        self._has_ended = False

    def start(self, *, peers_only: bool = False) -> Deferred[Any]:
        """Return a Deferred of the protocol; cancelling it closes all.

        Parameters
        ----------
        peers_only
            Whether the direct way is left out.
        """
        if peers_only:
            self._direct_failure = Failure(ConnectionRefusedError())
            self._ask_peers()
        elif self._parts.reach.is_lost(self._parts.server):
            self._ask_peers()
        else:
            self._connect_directly()
        return self._result

    def _connect_directly(self) -> None:
        parts = self._parts
        self._direct = DirectAttempt(
            parts.server,
            tcp_endpoint(parts.reactor, parts.server),
            reach=parts.reach,
            reactor=parts.reactor,
            clock=parts.clock,
            on_opened=self._win,
            on_failed=self._handle_direct_failure,
            on_slow=self._ask_peers,
        )
        self._direct.start(self._factory)

    def _handle_direct_failure(self, failure: Failure) -> None:
        self._direct_failure = failure
        self._ask_peers()
        self._check_failed()

    def _ask_peers(self) -> None:
        """Ask the first peer, unless one was asked before."""
        if self._peers is None and not self._has_ended:
            self._peers = list(self._parts.choose_peers())
            self._ask_next_peer()

    def _ask_next_peer(self) -> None:
        self._timers.stop(_TIMER)
        if not self._peers:
            self._handle_no_peer()
            return
        attempt = PathAttempt(
            self._peers.pop(0),
            self._parts.path_request,
            sender=self._parts.name,
            reactor=self._parts.reactor,
            on_opened=self._handle_path,
            on_failed=self._handle_failed_path,
        )
        self._paths.append(attempt)
        self._timers.start(_TIMER, PEER_LIMIT, self._handle_slow_path, attempt)
        attempt.start()

    def _handle_no_peer(self) -> None:
        if self._direct is None and self._direct_failure is None:
            self._connect_directly()
        self._check_failed()

    def _handle_slow_path(self, attempt: PathAttempt) -> None:
        PATHS.add(1, {'outcome': 'slow'})
        self._record_failed(attempt)
        self._ask_next_peer()

    def _handle_failed_path(self, attempt: PathAttempt) -> None:
        if self._has_ended:
            return
        PATHS.add(1, {'outcome': 'failed'})
        self._record_failed(attempt)
        is_latest = attempt is self._paths[-1]
        self._paths.remove(attempt)
        if is_latest:
            self._ask_next_peer()
        self._check_failed()

    def _record_failed(self, attempt: PathAttempt) -> None:
        parts = self._parts
        parts.choice.record_failed(
            attempt.peer.name, parts.server, parts.clock.now()
        )

    def _handle_path(self, attempt: PathAttempt) -> None:
        parts = self._parts
        PATHS.add(1, {'outcome': 'opened'})
        peer = attempt.peer.name
        now = parts.clock.now()
        parts.choice.record_opened(peer, parts.server, now)
        parts.reach.record_path(parts.server, peer, now)
        self._paths.remove(attempt)
        protocol = attempt.use(
            self._factory, lambda: parts.choice.record_closed(peer)
        )
        self._win(protocol)

    def _win(self, protocol: Any) -> None:
        self._end()
        self._result.callback(protocol)

    def _check_failed(self) -> None:
        """Fail if no way is left that may still open."""
        if self._has_ended or self._paths or self._peers:
            return
        if self._direct_failure is not None:
            self._end()
            self._result.errback(self._direct_failure)

    def _cancel(self, result: Deferred[Any]) -> None:
        self._end()

    def _end(self) -> None:
        self._has_ended = True
        self._timers.close()
        if self._direct is not None:
            self._direct.cancel()
        for attempt in self._paths:
            attempt.cancel()
