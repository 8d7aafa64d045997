"""Policy that places requests at random."""

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
    """Chooses engines at random, all with the same probability."""

    name = 'random'

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return a random sample of the engines in random order."""
        usable = self._eligible_engines(request, now)
        count = min(MAXIMUM_CANDIDATES, len(usable))
        chosen = self._random.choice(len(usable), count, replace=False)
        return self._build_decision(
            request, [usable[index] for index in chosen], now
        )
