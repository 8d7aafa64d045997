"""Policy that places requests on the engines in turn."""

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
    """Chooses the engines in turn, each router from a random start."""

    name = 'round-robin'
    aliases = ('roundrobin',)

    #: Counter of placed requests; -1 before the first. It starts at a random
    #: value, so that routers do not all begin with the same engine.
    _position: int = -1

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the engines that are next in turn."""
        usable = self._eligible_engines(request, now)
        if not usable:
            return Decision(())
        if self._position < 0:
            self._position = int(self._random.integers(len(usable)))
        self._position += 1
        start = self._position % len(usable)
        order = (usable[start:] + usable[:start])[:MAXIMUM_CANDIDATES]
        return self._build_decision(request, order, now)
