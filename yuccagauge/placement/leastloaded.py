"""Policy that places requests on the engine with the shortest queue."""

from yuccagauge.clock import Millis
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)


@placement_policies.register
class LeastLoadedPolicy(PlacementPolicy):
    """Chooses by estimated queue, then by own requests in flight.

    Remaining ties are broken at random.
    """

    name = 'least-loaded'

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the engines with the shortest queues."""
        usable = self._eligible_engines(request, now)
        ties = self._random.random(len(usable)).tolist()
        ranked = sorted(
            (
                self._table.queue_ms(engine, now),
                self._table.in_flight(engine),
                tie,
                engine,
            )
            for engine, tie in zip(usable, ties, strict=True)
        )
        best = [entry[-1] for entry in ranked[:MAXIMUM_CANDIDATES]]
        return self._build_decision(request, best, now)
