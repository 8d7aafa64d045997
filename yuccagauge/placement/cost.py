"""Placement by expected cost over a few candidates."""

import itertools

import numpy as np

from yuccagauge.cacheview.view import CacheView, Match
from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.load.table import EngineTable
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Candidate,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)
from yuccagauge.placement.notices import (
    NoticeOutbox,
    PlacementNotice,
    notice_levels,
)
from yuccagauge.placement.ring import Ring

#: Engines that are considered from the ring order.
RING_ENGINES = 3

#: Random engines that are considered besides.
RANDOM_ENGINES = 2

#: Weight of the work that a recomputation takes from later requests.
RECOMPUTE_WEIGHT = 2.0

#: Expected wait of later requests at an engine that is half utilized, in ms.
PRESSURE_MS = 100.0

#: Utilization above which the pressure does not grow.
MAXIMUM_UTILIZATION = 0.9

#: Bytes of notices that a router sends to each of its peers.
NOTICE_BYTES_PER_SECOND = 1000.0

_NO_MATCH = Match(0, 0)


@placement_policies.register
class CostPolicy(PlacementPolicy):
    """Chooses the candidate with the lowest expected cost."""

    name = 'cost'
    reads_events = True

    def __init__(
        self,
        table: EngineTable,
        view: CacheView,
        random: np.random.Generator,
    ) -> None:
        """Start without a ring; the first decision builds it."""
        super().__init__(table, view, random)
        self._ring: Ring | None = None
        self._members: tuple[EngineKey, ...] = ()
        self._outbox = NoticeOutbox(NOTICE_BYTES_PER_SECOND)

    def take_notices(self) -> tuple[PlacementNotice, ...]:
        """Return what peers should hear since the last call."""
        return self._outbox.take()

    def hear(
        self,
        notices: tuple[PlacementNotice, ...],
        now: Millis,
    ) -> None:
        """Count a peer's sends and expect what they store."""
        for notice in notices:
            engine = notice.engine
            if notice.incarnation != self._table.incarnation(engine):
                continue
            self._table.sent_by_peer(
                engine,
                notice.missing_tokens,
                notice.placed_at,
            )
            self._view.computed(engine, notice.missing_tokens)
            self._view.expect_levels(
                engine,
                notice.incarnation,
                notice.levels,
                notice.placed_at,
            )

    def place(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the candidates in order of their cost."""
        usable = self._usable(request, now)
        if not usable:
            return Decision(())
        self._view.count(request.prefix, now)
        matches = self._view.matches(request.prefix)
        left = request.deadline - now
        ranked = sorted(
            (
                self._rank(request, engine, matches, now)
                for engine in self._engines(request, usable, matches)
            ),
            key=lambda each: (each[1].cost_ms > left, each[0]),
        )
        best = tuple(each for _, each in ranked[:MAXIMUM_CANDIDATES])
        self._note(request, best[0], now)
        return Decision(best)

    def _note(
        self,
        request: PlacementRequest,
        chosen: Candidate,
        now: Millis,
    ) -> None:
        """Expect the prompt at the engine, and tell the peers."""
        prefix = request.prefix
        incarnation = self._table.incarnation(chosen.engine)
        missing = max(0, prefix.prompt_tokens - chosen.expected_tokens)
        self._view.computed(chosen.engine, missing)
        self._view.expect(chosen.engine, incarnation, prefix, now)
        notice = PlacementNotice(
            engine=chosen.engine,
            incarnation=incarnation,
            levels=notice_levels(prefix),
            missing_tokens=missing,
            placed_at=now,
        )
        self._outbox.offer(notice, missing / max(1, prefix.prompt_tokens), now)

    def _rank(
        self,
        request: PlacementRequest,
        engine: EngineKey,
        matches: dict[EngineKey, Match],
        now: Millis,
    ) -> tuple[float, Candidate]:
        """Return what decides, and the candidate."""
        expected = int(matches.get(engine, _NO_MATCH).tokens)
        queue = self._table.queue_ms(engine, now)
        missing = max(0, request.prefix.prompt_tokens - expected)
        work = self._table.prefill_ms(missing)
        cost = queue + work + 2 * self._table.distance_ms(engine)
        candidate = Candidate(engine, cost, expected, queue)
        load = min(MAXIMUM_UTILIZATION, self._table.utilization(engine, now))
        pressure = PRESSURE_MS * load / (1 - load)
        return cost + RECOMPUTE_WEIGHT * work + pressure, candidate

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
