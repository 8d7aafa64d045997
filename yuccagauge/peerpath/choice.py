"""Which peers are asked to carry a connection. No I/O."""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.exchange.members import Member
from yuccagauge.settings.options import Endpoint

#: Peers that are asked for one connection.
MAXIMUM_PEERS = 4

#: Time for which a peer is not asked again for a server that it did not reach.
#: A server that is down costs each router few requests.
FAILED_PAUSE = Millis(1000)


@dataclass(frozen=True, slots=True)
class _Outcome:
    """How a request to a peer ended."""

    opened: bool
    at: Millis


class PeerChoice:
    """Orders the peers that may carry a connection to a server.

    Load pattern: a partition separates many routers of a data centre from the
    servers, and their calls all come to the few peers that reach them.

    Parameters
    ----------
    data_centre
        Data centre of this router.
    random_fraction
        Returns a random number from 0 to 1.
    """

    def __init__(
        self, data_centre: str, random_fraction: Callable[[], float]
    ) -> None:
        """Know no outcomes."""
        self._data_centre = data_centre
        self._random_fraction = random_fraction
        self._by_server: dict[tuple[str, Endpoint], _Outcome] = {}
        self._by_peer: dict[str, _Outcome] = {}
        #: Paths in use by peer.
        self._open_paths: Counter[str] = Counter()

    def choose(
        self, peers: Iterable[Member], server: Endpoint, now: Millis
    ) -> tuple[Member, ...]:
        """Return the peers to ask, the best one first.

        Peers of the own data centre and of others alternate if they are
        equally good: all routers of a data centre may be cut off.
        """
        ranked = sorted(
            (self._rank(peer, server), index, peer)
            for index, peer in enumerate(peers)
            if not self._has_failed_lately(peer, server, now)
        )
        near = [
            (rank, peer)
            for rank, _, peer in ranked
            if peer.data_centre == self._data_centre
        ]
        far = [
            (rank, peer)
            for rank, _, peer in ranked
            if peer.data_centre != self._data_centre
        ]
        chosen: list[Member] = []
        prefers_near = True
        while len(chosen) < MAXIMUM_PEERS and (near or far):
            takes_near = _takes_near(near, far, prefers_near=prefers_near)
            prefers_near = not takes_near
            source = near if takes_near else far
            chosen.append(source.pop(0)[1])
        return tuple(chosen)

    def record_opened(self, peer: str, server: Endpoint, now: Millis) -> None:
        """Record that a path was opened, which is in use from now on."""
        self._record(peer, server, _Outcome(opened=True, at=now))
        self._open_paths[peer] += 1

    def record_failed(self, peer: str, server: Endpoint, now: Millis) -> None:
        """Record that a peer refused, or did not answer in time."""
        self._record(peer, server, _Outcome(opened=False, at=now))

    def record_closed(self, peer: str) -> None:
        """Record that a path is not in use any more."""
        self._open_paths[peer] -= 1
        if self._open_paths[peer] <= 0:
            self._open_paths.pop(peer)

    def remove_gone(self, peers: Iterable[str], servers: set[Endpoint]) -> None:
        """Forget the peers and the servers that are not listed any more."""
        names = set(peers)
        self._by_peer = {
            name: outcome
            for name, outcome in self._by_peer.items()
            if name in names
        }
        self._by_server = {
            (name, server): outcome
            for (name, server), outcome in self._by_server.items()
            if name in names and server in servers
        }

    def _record(self, peer: str, server: Endpoint, outcome: _Outcome) -> None:
        self._by_server[peer, server] = outcome
        self._by_peer[peer] = outcome

    def _rank(self, peer: Member, server: Endpoint) -> tuple[float, ...]:
        """Return the class of a peer, and its place within the class.

        What a peer did for another server counts less than what it did for
        this one: it may be separated from some servers only.
        """
        outcome = self._by_server.get((peer.name, server))
        is_own = outcome is not None
        if outcome is None:
            outcome = self._by_peer.get(peer.name)
        chance = self._random_fraction()
        if outcome is None:
            return (2, 0, chance)
        if outcome.opened:
            return (0 if is_own else 1, self._open_paths[peer.name], chance)
        return (4 if is_own else 3, outcome.at, chance)

    def _has_failed_lately(
        self, peer: Member, server: Endpoint, now: Millis
    ) -> bool:
        outcome = self._by_server.get((peer.name, server))
        return (
            outcome is not None
            and not outcome.opened
            and now - outcome.at < FAILED_PAUSE
        )


_Ranked = list[tuple[tuple[float, ...], Member]]


def _takes_near(near: _Ranked, far: _Ranked, *, prefers_near: bool) -> bool:
    """Return whether the next peer is one of the own data centre."""
    if not near or not far:
        return bool(near)
    near_class = near[0][0][0]
    far_class = far[0][0][0]
    if near_class == far_class:
        return prefers_near
    return near_class < far_class
