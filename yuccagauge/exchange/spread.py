"""When changes of the operator's records are passed on at once. No I/O."""

from collections.abc import Set

from yuccagauge.clock import Millis
from yuccagauge.directory.position import StorePosition

#: Time after which a peer is asked for the same records again: its answer, or
#: that of another peer, is there by then.
FETCH_PAUSE = Millis(200)


def successor(name: str, others: Set[str]) -> str:
    """Return the router that comes after this one in the order of all.

    Random partners alone would leave out one router in twenty. If each router
    also tells the next one, none is left out.
    """
    return min(
        (other for other in others if other > name),
        default=min(others, default=name),
    )


class ChangeSpread:
    """Passes on changes that only the readers of a fleet have read.

    Load pattern: two of hundreds of routers read the operator's records.
    Periodic exchanges would bring a change to the last router after seconds.
    Instead, each router that has a change tells its partners and the next
    router at once, and whoever lacks it asks for it, so that it reaches all
    within some round trips, with a few messages of each router.
    """

    def __init__(self) -> None:
        """Start without records."""
        self._passed_on: StorePosition | None = None
        self._fetched: StorePosition | None = None
        self._fetched_at = Millis(0)

    def passes_on(self, position: StorePosition, *, is_shared: bool) -> bool:
        """Return whether to tell partners now.

        Parameters
        ----------
        position
            Up to where this router has the records.
        is_shared
            Whether the fleet shares the reads of the operator's records.
        """
        if self._passed_on is not None and position <= self._passed_on:
            return False
        self._passed_on = position
        return is_shared

    def fetches(
        self,
        position: StorePosition,
        peer_position: StorePosition | None,
        now: Millis,
    ) -> bool:
        """Return whether to ask a peer for what this router lacks.

        Parameters
        ----------
        position, peer_position
            Up to where this router and the peer have the records.
        """
        if peer_position is None or peer_position <= position:
            return False
        is_asked = (
            self._fetched is not None
            and peer_position <= self._fetched
            and now - self._fetched_at < FETCH_PAUSE
        )
        if is_asked:
            return False
        self._fetched = peer_position
        self._fetched_at = now
        return True
