"""An approximate prefix tree for each router, with a load threshold."""

from yuccagauge.clock import Millis
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)

#: The tree is followed while queues differ by less than this, in ms.
BALANCE_THRESHOLD_MS = 500.0

#: A match below this share of the prompt is not followed.
MATCH_THRESHOLD = 0.3


@placement_policies.register
class PrefixTreePolicy(PlacementPolicy):
    """Follows the longest match of its own sends unless load is uneven."""

    name = 'prefix-tree'

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the engine with the longest match, or the least loaded."""
        candidates = [
            self._candidate(request, engine, now)
            for engine in self._usable(request, now)
        ]
        if not candidates:
            return Decision(())
        by_load = sorted(candidates, key=lambda each: each.queue_ms)
        spread = by_load[-1].queue_ms - by_load[0].queue_ms
        longest = max(each.expected_tokens for each in candidates)
        matched = longest >= MATCH_THRESHOLD * request.prefix.prompt_tokens
        if matched and spread < BALANCE_THRESHOLD_MS:
            by_load.sort(key=lambda each: -each.expected_tokens)
        chosen = by_load[0].engine
        self._view.expect(
            chosen,
            self._table.incarnation(chosen),
            request.prefix,
            now,
        )
        return Decision(tuple(by_load[:MAXIMUM_CANDIDATES]))
