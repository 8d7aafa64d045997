"""Placement by expected cost over a few candidates."""

import itertools

from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)
from yuccagauge.placement.ring import Ring

#: Engines that are considered from the ring order of each level.
ENGINES_PER_LEVEL = 3

#: Random engines that are considered besides.
RANDOM_ENGINES = 2

#: Levels whose ring order is considered; the deepest ones are kept.
MAXIMUM_ANCHORS = 8


@placement_policies.register
class CostPolicy(PlacementPolicy):
    """Chooses the candidate with the lowest expected cost."""

    name = 'cost'
    reads_events = True

    _ring: Ring | None = None
    _members: tuple[EngineKey, ...] = ()

    def place(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the candidates in order of their cost."""
        usable = self._usable(request, now)
        if not usable:
            return Decision(())
        engines = self._engines(request, usable)
        candidates = [
            self._candidate(request, engine, now) for engine in engines
        ]
        candidates.sort(key=lambda each: each.cost_ms)
        chosen = candidates[0].engine
        self._view.expect(
            chosen,
            self._table.incarnation(chosen),
            request.prefix,
            now,
        )
        return Decision(tuple(candidates[:MAXIMUM_CANDIDATES]))

    def _engines(
        self,
        request: PlacementRequest,
        usable: tuple[EngineKey, ...],
    ) -> list[EngineKey]:
        """Return the engines to consider, in ring order, deepest first."""
        if self._ring is None or usable is not self._members:
            self._ring = Ring(usable)
            self._members = usable
        allowed = frozenset(usable)
        found: dict[EngineKey, None] = {}
        for level in reversed(request.prefix.levels[-MAXIMUM_ANCHORS:]):
            order = self._ring.order(level.digest)
            found.update(
                dict.fromkeys(itertools.islice(order, ENGINES_PER_LEVEL)),
            )
            for engine, _ in self._view.holders(level.digest):
                if engine in allowed:
                    found[engine] = None
        for index in self._random.integers(len(usable), size=RANDOM_ENGINES):
            found[usable[index]] = None
        return list(found)
