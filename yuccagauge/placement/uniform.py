"""Uniform random placement."""

from yuccagauge.clock import Millis
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)


@placement_policies.register
class RandomPolicy(PlacementPolicy):
    """Chooses any engine."""

    name = 'random'

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return a few engines in random order."""
        usable = self._usable(request, now)
        count = min(MAXIMUM_CANDIDATES, len(usable))
        chosen = self._random.choice(len(usable), count, replace=False)
        return self._decide(request, [usable[index] for index in chosen], now)
