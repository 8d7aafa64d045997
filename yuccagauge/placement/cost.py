"""Placement by expected cost over a few candidates."""

import itertools

import numpy as np

from yuccagauge.cacheview.view import CacheView
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

#: Expected holders that are considered, those of most tokens first.
HOLDERS = 6

#: Random engines that are considered besides.
RANDOM_ENGINES = 2

#: Weight of the work that a recomputation takes from later requests.
RECOMPUTE_WEIGHT = 2.0

#: Weight of the cache space that a second copy of a prefix takes, as a share
#: of the time to compute it. A copy that is not needed is thus not used, and
#: evicted; without it, copies made in a fault outlast the fault.
COPY_WEIGHT = 0.3

#: An engine with less than this share of the best match is no primary holder.
PRIMARY_SHARE = 0.5

#: Expected wait of later requests at an engine that is half utilized, in ms.
PRESSURE_MS = 100.0

#: Utilization above which the pressure does not grow.
MAXIMUM_UTILIZATION = 0.9

#: Tokens of a cache block, as most engines are set up.
TOKENS_PER_BLOCK = 16

_DRAWN_AT_ONCE = 1024

#: Bytes of notices that a router sends to each of its peers.
NOTICE_BYTES_PER_SECOND = 1000.0


@placement_policies.register
class CostPolicy(PlacementPolicy):
    """Chooses the candidate with the lowest expected cost."""

    name = 'cost'
    uses_cache_events = True

    def __init__(
        self,
        table: EngineTable,
        view: CacheView,
        random: np.random.Generator,
    ) -> None:
        """Start without a ring; the first decision builds it."""
        super().__init__(table, view, random)
        self._ring = Ring(())
        self._members: tuple[EngineKey, ...] = ()
        self._usable_engines: tuple[EngineKey, ...] = ()
        self._allowed: frozenset[EngineKey] = frozenset()
        self._draws: list[float] = []
        self._outbox = NoticeOutbox(NOTICE_BYTES_PER_SECOND)

    def take_notices(self) -> tuple[PlacementNotice, ...]:
        """Return what peers should hear since the last call."""
        return self._outbox.take()

    def apply_peer_notices(
        self,
        notices: tuple[PlacementNotice, ...],
        now: Millis,
    ) -> None:
        """Count a peer's sends and expect what they store."""
        for notice in notices:
            engine = notice.engine
            if notice.incarnation != self._table.incarnation(engine):
                continue
            self._table.record_peer_send(
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

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the candidates in order of their cost."""
        version = request.prefix.cache_scope.weights_version
        usable = self._table.usable_engines(version, now)
        self._follow(usable)
        matches = self._view.matches(request.prefix)
        engines = self._engines(request, usable, matches)
        primary = _primary(engines, matches)
        left = request.deadline - now
        ranked = sorted(
            (
                self._rank(request, engine, matches, primary, now)
                for engine in engines
            ),
            key=lambda each: (each[1].cost_ms > left, each[0]),
        )
        best = tuple(each for _, each in ranked[:MAXIMUM_CANDIDATES])
        if not best:
            return Decision(())
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
        self._view.record_placement(chosen.engine, incarnation, prefix, now)
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
        matches: dict[EngineKey, float],
        primary: EngineKey | None,
        now: Millis,
    ) -> tuple[float, Candidate]:
        """Return what decides, and the candidate."""
        expected = int(matches.get(engine, 0))
        queue = self._table.queue_ms(engine, now)
        missing = max(0, request.prefix.prompt_tokens - expected)
        work = self._table.prefill_ms(missing)
        cost = queue + work + 2 * self._table.network_delay_ms(engine)
        candidate = Candidate(engine, cost, expected, queue)
        load = min(MAXIMUM_UTILIZATION, self._table.utilization(engine, now))
        pressure = PRESSURE_MS * load / (1 - load)
        rank = cost + RECOMPUTE_WEIGHT * work + pressure
        if engine is not primary:
            rank += COPY_WEIGHT * expected / self._table.prefill_rate
        return rank, candidate

    def _engines(
        self,
        request: PlacementRequest,
        usable: tuple[EngineKey, ...],
        matches: dict[EngineKey, float],
    ) -> list[EngineKey]:
        """Return the engines to consider, in ring order first."""
        banned = request.excluded_engines
        levels = request.prefix.levels
        order = (
            engine
            for engine in self._ring.order(levels[0].digest if levels else b'')
            if engine in self._allowed and engine not in banned
        )
        found = dict.fromkeys(itertools.islice(order, RING_ENGINES))
        holders = [
            engine
            for engine in matches
            if engine in self._allowed and engine not in banned
        ]
        if len(holders) > HOLDERS:
            holders.sort(key=matches.__getitem__, reverse=True)
            del holders[HOLDERS:]
        holders.sort()
        found.update(dict.fromkeys(holders))
        for _ in range(RANDOM_ENGINES if found else 0):
            engine = usable[self._draw(len(usable))]
            if engine not in banned:
                found[engine] = None
        return list(found)

    def _follow(self, usable: tuple[EngineKey, ...]) -> None:
        """Keep ring and set of engines in step with the table.

        The ring has all known engines, so that an engine that pauses moves
        no prefix but its own.
        """
        if self._table.engines is not self._members:
            self._members = self._table.engines
            self._ring = Ring(self._members)
        if usable is not self._usable_engines:
            self._usable_engines = usable
            self._allowed = frozenset(usable)
            for engine in usable:
                report = self._table.last_report(engine)
                capacity = report.total_blocks * TOKENS_PER_BLOCK
                self._view.set_capacity(engine, capacity)

    def _draw(self, count: int) -> int:
        """Return a random index; numbers are drawn in blocks for speed."""
        if not self._draws:
            self._draws = self._random.random(_DRAWN_AT_ONCE).tolist()
        return int(self._draws.pop() * count)


def _primary(
    engines: list[EngineKey],
    matches: dict[EngineKey, float],
) -> EngineKey | None:
    """Return the first of the engines that holds most of what any holds."""
    best = max((matches.get(engine, 0) for engine in engines), default=0)
    for engine in engines:
        if best and matches.get(engine, 0) >= PRIMARY_SHARE * best:
            return engine
    return None
