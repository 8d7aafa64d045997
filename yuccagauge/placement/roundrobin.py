"""Placement in turn."""

from yuccagauge.clock import Millis
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)


@placement_policies.register
class RoundRobinPolicy(PlacementPolicy):
    """Chooses the engines in turn, each router from its own start."""

    name = 'round-robin'
    aliases = ('roundrobin',)

    #: Requests placed so far; random at first so that routers differ.
    _turn: int = -1

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the engines that are next in turn."""
        usable = self._usable(request, now)
        if not usable:
            return Decision(())
        if self._turn < 0:
            self._turn = int(self._random.integers(len(usable)))
        self._turn += 1
        start = self._turn % len(usable)
        order = (usable[start:] + usable[:start])[:MAXIMUM_CANDIDATES]
        return self._decide(request, order, now)
