"""Policy that places requests by expected cost over a few candidates."""

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
from yuccagauge.placement.ring import HashRing

#: Candidates from the start of the ring order.
RING_CANDIDATES = 3

#: Maximum candidates among the engines that are expected to hold part of the
#: prompt; those with most tokens come first.
HOLDER_CANDIDATES = 6

#: Additional candidates that are drawn at random.
RANDOM_CANDIDATES = 2

#: Weight of the prefill time that a recomputation takes from later requests.
RECOMPUTE_WEIGHT = 2.0

#: Cost of using a secondary copy of a prefix, which takes cache space, as a
#: share of the time to compute the prefix. Copies that are not needed are then
#: not used and get evicted; without this cost, copies made during a fault
#: outlast the fault.
COPY_WEIGHT = 0.3

#: Share of the best match that an engine must hold to be the primary holder.
PRIMARY_SHARE = 0.5

#: Cost of a placement on an engine that is half utilized, in ms: the expected
#: wait of later requests.
HALF_UTILIZATION_COST_MS = 100.0

#: Utilization above which the utilization cost stays constant.
MAXIMUM_UTILIZATION = 0.9

#: Tokens of a cache block in the configuration of most engines.
TOKENS_PER_BLOCK = 16

_RANDOM_BATCH_SIZE = 1024

#: Limit on the placement notices to each peer.
NOTICE_BYTES_PER_SECOND = 1000.0


@placement_policies.register
class CostPolicy(PlacementPolicy):
    """Chooses the candidate with the lowest expected cost.

    The cost of a candidate includes the expected effect on later requests.
    Candidates that are expected to miss the deadline come last.
    """

    name = 'cost'
    uses_cache_events = True

    def __init__(
        self,
        table: EngineTable,
        view: CacheView,
        random: np.random.Generator,
    ) -> None:
        """Create an empty ring; the first decision builds it."""
        super().__init__(table, view, random)
        self._ring = HashRing(())
        self._ring_engines: tuple[EngineKey, ...] = ()
        self._usable_engines: tuple[EngineKey, ...] = ()
        self._usable_set: frozenset[EngineKey] = frozenset()
        self._random_numbers: list[float] = []
        self._outbox = NoticeOutbox(NOTICE_BYTES_PER_SECOND)

    def take_notices(self) -> tuple[PlacementNotice, ...]:
        """Return the notices for peers since the last call, and clear them."""
        return self._outbox.take_notices()

    def apply_peer_notices(
        self,
        notices: tuple[PlacementNotice, ...],
        now: Millis,
    ) -> None:
        """Count the sends of a peer and expect their prompts in the caches."""
        for notice in notices:
            engine = notice.engine
            if notice.incarnation != self._table.incarnation(engine):
                continue
            self._table.record_peer_send(
                engine,
                notice.missing_tokens,
                notice.placed_at,
            )
            self._view.record_computed_tokens(engine, notice.missing_tokens)
            self._view.expect_levels(
                engine,
                notice.incarnation,
                notice.levels,
                notice.placed_at,
            )

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the candidates by cost, those within the deadline first."""
        version = request.prefix.cache_scope.weights_version
        usable = self._table.usable_engines(version, now)
        self._update_engines(usable)
        matches = self._view.matched_tokens(request.prefix)
        engines = self._candidate_engines(request, usable, matches)
        primary = _primary_holder(engines, matches)
        remaining = request.deadline - now
        ranked = sorted(
            (
                self._rank_engine(request, engine, matches, primary, now)
                for engine in engines
            ),
            key=lambda each: (each[1].cost_ms > remaining, each[0]),
        )
        best = tuple(each for _, each in ranked[:MAXIMUM_CANDIDATES])
        if not best:
            return Decision(())
        self._record_choice(request, best[0], now)
        return Decision(best)

    def _record_choice(
        self,
        request: PlacementRequest,
        chosen: Candidate,
        now: Millis,
    ) -> None:
        """Expect the prompt at the engine, and queue a notice for the peers."""
        prefix = request.prefix
        incarnation = self._table.incarnation(chosen.engine)
        missing = max(0, prefix.prompt_tokens - chosen.expected_tokens)
        self._view.record_computed_tokens(chosen.engine, missing)
        self._view.record_placement(chosen.engine, incarnation, prefix, now)
        notice = PlacementNotice(
            engine=chosen.engine,
            incarnation=incarnation,
            levels=notice_levels(prefix),
            missing_tokens=missing,
            placed_at=now,
        )
        self._outbox.offer_notice(
            notice, missing / max(1, prefix.prompt_tokens), now
        )

    def _rank_engine(
        self,
        request: PlacementRequest,
        engine: EngineKey,
        matches: dict[EngineKey, float],
        primary: EngineKey | None,
        now: Millis,
    ) -> tuple[float, Candidate]:
        """Return the cost that candidates are sorted by, and the candidate."""
        expected = int(matches.get(engine, 0))
        queue = self._table.queue_ms(engine, now)
        missing = max(0, request.prefix.prompt_tokens - expected)
        work = self._table.prefill_ms(missing)
        cost = queue + work + 2 * self._table.network_delay_ms(engine)
        candidate = Candidate(engine, cost, expected, queue)
        utilization = min(
            MAXIMUM_UTILIZATION, self._table.utilization(engine, now)
        )
        utilization_cost = (
            HALF_UTILIZATION_COST_MS * utilization / (1 - utilization)
        )
        rank = cost + RECOMPUTE_WEIGHT * work + utilization_cost
        if engine is not primary:
            rank += COPY_WEIGHT * expected / self._table.prefill_rate
        return rank, candidate

    def _candidate_engines(
        self,
        request: PlacementRequest,
        usable: tuple[EngineKey, ...],
        matches: dict[EngineKey, float],
    ) -> list[EngineKey]:
        """Return the engines to consider: ring order, holders, random ones."""
        excluded = request.excluded_engines
        levels = request.prefix.levels
        ring_order = (
            engine
            for engine in self._ring.engines_for(
                levels[0].digest if levels else b''
            )
            if engine in self._usable_set and engine not in excluded
        )
        found = dict.fromkeys(itertools.islice(ring_order, RING_CANDIDATES))
        holders = [
            engine
            for engine in matches
            if engine in self._usable_set and engine not in excluded
        ]
        if len(holders) > HOLDER_CANDIDATES:
            holders.sort(key=matches.__getitem__, reverse=True)
            del holders[HOLDER_CANDIDATES:]
        holders.sort()
        found.update(dict.fromkeys(holders))
        for _ in range(RANDOM_CANDIDATES if found else 0):
            engine = usable[self._random_index(len(usable))]
            if engine not in excluded:
                found[engine] = None
        return list(found)

    def _update_engines(self, usable: tuple[EngineKey, ...]) -> None:
        """Update the ring and the set of usable engines after a change.

        The ring contains all known engines, also those that are not usable.
        When an engine pauses, only the prefixes that it served move.
        """
        if self._table.engines is not self._ring_engines:
            self._ring_engines = self._table.engines
            self._ring = HashRing(self._ring_engines)
        if usable is not self._usable_engines:
            self._usable_engines = usable
            self._usable_set = frozenset(usable)
            for engine in usable:
                report = self._table.last_report(engine)
                capacity = report.total_blocks * TOKENS_PER_BLOCK
                self._view.set_capacity(engine, capacity)

    def _random_index(self, count: int) -> int:
        """Return a random index below ``count``.

        Random numbers are generated in batches, which is faster.
        """
        if not self._random_numbers:
            self._random_numbers = self._random.random(
                _RANDOM_BATCH_SIZE
            ).tolist()
        return int(self._random_numbers.pop() * count)


def _primary_holder(
    engines: list[EngineKey],
    matches: dict[EngineKey, float],
) -> EngineKey | None:
    """Return the first engine that holds a large share of the best match."""
    best = max((matches.get(engine, 0) for engine in engines), default=0)
    for engine in engines:
        if best and matches.get(engine, 0) >= PRIMARY_SHARE * best:
            return engine
    return None
