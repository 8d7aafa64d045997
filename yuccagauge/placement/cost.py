"""Placement by expected cost over a few candidates."""

import itertools

from yuccagauge.cacheview.view import Match
from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Candidate,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)
from yuccagauge.placement.ring import Ring

#: Engines that are considered from the ring order.
RING_ENGINES = 3

#: Random engines that are considered besides.
RANDOM_ENGINES = 2

#: Weight of the work that a recomputation takes from later requests.
RECOMPUTE_WEIGHT = 2.0

_NO_MATCH = Match(0, 0)


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
        self._view.count(request.prefix, now)
        matches = self._view.matches(request.prefix, now)
        ranked = sorted(
            (
                self._rank(request, engine, matches, now)
                for engine in self._engines(request, usable, matches)
            ),
            key=lambda each: each[0],
        )
        best = tuple(each for _, each in ranked[:MAXIMUM_CANDIDATES])
        chosen = best[0].engine
        self._view.expect(
            chosen,
            self._table.incarnation(chosen),
            request.prefix,
            now,
        )
        return Decision(best)

    def _rank(
        self,
        request: PlacementRequest,
        engine: EngineKey,
        matches: dict[EngineKey, Match],
        now: Millis,
    ) -> tuple[float, Candidate]:
        """Return what decides, and the candidate."""
        expected = matches.get(engine, _NO_MATCH).tokens
        queue = self._table.queue_ms(engine, now)
        missing = max(0, request.prefix.prompt_tokens - expected)
        work = missing / self._table.prefill_rate
        cost = queue + work + 2 * self._table.distance_ms(engine)
        candidate = Candidate(engine, cost, expected, queue)
        return cost + RECOMPUTE_WEIGHT * work, candidate

    def _engines(
        self,
        request: PlacementRequest,
        usable: tuple[EngineKey, ...],
        matches: dict[EngineKey, Match],
    ) -> list[EngineKey]:
        """Return the engines to consider, in ring order first."""
        if self._ring is None or usable is not self._members:
            self._ring = Ring(usable)
            self._members = usable
        allowed = frozenset(usable)
        order = self._ring.order(request.prefix.levels[0].digest)
        found = dict.fromkeys(itertools.islice(order, RING_ENGINES))
        found.update(
            dict.fromkeys(engine for engine in matches if engine in allowed),
        )
        for index in self._random.integers(len(usable), size=RANDOM_ENGINES):
            found[usable[index]] = None
        return list(found)
