"""Policy that follows the longest cached prefix while load is balanced."""

from yuccagauge.clock import Millis
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)

#: Difference between the longest and the shortest queue, in ms, from which
#: the policy ignores prefix matches and chooses the shortest queue.
QUEUE_SPREAD_LIMIT_MS = 500.0

#: Share of the prompt that the longest match must cover to be followed.
MINIMUM_MATCH_SHARE = 0.3


@placement_policies.register
class PrefixTreePolicy(PlacementPolicy):
    """Chooses the engine with the longest prefix match of its own sends.

    The cache view serves as an approximate prefix tree of these sends. If the
    load is uneven or the match is short, the policy chooses the engine with
    the shortest queue.
    """

    name = 'prefix-tree'

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return engines by longest match, or by queue if load is uneven."""
        candidates = [
            self._estimate_candidate(request, engine, now)
            for engine in self._eligible_engines(request, now)
        ]
        if not candidates:
            return Decision(())
        by_load = sorted(candidates, key=lambda each: each.queue_ms)
        spread = by_load[-1].queue_ms - by_load[0].queue_ms
        longest = max(each.expected_tokens for each in candidates)
        matched = longest >= MINIMUM_MATCH_SHARE * request.prefix.prompt_tokens
        if matched and spread < QUEUE_SPREAD_LIMIT_MS:
            by_load.sort(key=lambda each: -each.expected_tokens)
        chosen = by_load[0].engine
        self._view.expect_prompt(
            chosen,
            self._table.incarnation(chosen),
            request.prefix,
            now,
        )
        return Decision(tuple(by_load[:MAXIMUM_CANDIDATES]))
