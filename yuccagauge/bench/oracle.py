"""A policy that knows every cache and every queue exactly."""

from typing import TYPE_CHECKING

from yuccagauge.bench.engine import EngineFake, Job
from yuccagauge.clock import Millis
from yuccagauge.placement.base import (
    MAXIMUM_CANDIDATES,
    Candidate,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)
from yuccagauge.prefixes.base import PrefixLevel

if TYPE_CHECKING:
    from yuccagauge.bench.fleet import Fleet

#: Weight of the work that a recomputation takes from later requests.
RECOMPUTE_WEIGHT = 2.0

#: Cost of evicting a token that was used just now, in ms; it fades with
#: the age of the level that would go.
EVICTION_WEIGHT_MS = 0.02

#: Age at which the eviction cost has halved, in ms.
EVICTION_AGE_MS = 5000.0


@placement_policies.register
class OraclePolicy(PlacementPolicy):
    """Computes when each engine would give the first token."""

    name = 'oracle'

    #: Set by the bench.
    _fleet: 'Fleet'
    _data_centre: str

    def attach(self, fleet: 'Fleet', data_centre: str) -> None:
        """Take the engines themselves."""
        self._fleet = fleet
        self._data_centre = data_centre

    def place_request(self, request: PlacementRequest, now: Millis) -> Decision:
        """Return the engines by exact time and the cost to others."""
        ranked = sorted(
            (
                self._estimate(engine, request)
                for engine in self._fleet.all_engines
                if self._is_open(engine, request)
            ),
            key=lambda each: each[0],
        )
        best = tuple(candidate for _, candidate in ranked[:MAXIMUM_CANDIDATES])
        return Decision(best)

    def _is_open(self, engine: EngineFake, request: PlacementRequest) -> bool:
        return (
            engine.is_alive
            and not engine.is_leaving
            and engine.key not in request.excluded_engines
            and self._fleet.reaches(self._data_centre, engine.data_centre)
        )

    def _estimate(
        self,
        engine: EngineFake,
        request: PlacementRequest,
    ) -> tuple[float, Candidate]:
        ahead = _jobs_ahead(engine, request.priority)
        stored: set[bytes] = set()
        if engine.active is not None:
            stored.update(level.digest for level in engine.active.prefix.levels)
        overhead = self._fleet.workload.engines.prefill_overhead_ms
        queue = engine.active_ms
        for job in ahead:
            cached = _match(engine, job.prefix.levels, stored)
            missing = job.prefix.prompt_tokens - cached
            queue += missing / engine.prefill_rate + overhead
            stored.update(level.digest for level in job.prefix.levels)
        queue = max(queue, _slot_wait(engine, len(ahead)))
        cached = _match(engine, request.prefix.levels, stored)
        missing = request.prefix.prompt_tokens - cached
        work = missing / engine.prefill_rate
        distance = self._fleet.distance(self._data_centre, engine.data_centre)
        cost = queue + work + overhead + 2 * distance
        ranking = cost + RECOMPUTE_WEIGHT * work
        ranking += self._eviction(engine, missing)
        return ranking, Candidate(engine.key, cost, cached, queue)

    def _eviction(self, engine: EngineFake, missing: int) -> float:
        """Return what the levels that would be evicted are still worth."""
        evicted = missing - engine.cache.free_tokens
        if evicted <= 0:
            return 0
        age = self._fleet.loop.time - engine.cache.oldest_use
        fade = EVICTION_AGE_MS / (EVICTION_AGE_MS + age)
        return EVICTION_WEIGHT_MS * evicted * fade


def _jobs_ahead(engine: EngineFake, priority: int) -> list[Job]:
    waiting = [*engine.waiting(), *engine.in_transit]
    return [job for job in waiting if job.priority <= priority]


def _match(
    engine: EngineFake,
    levels: tuple[PrefixLevel, ...],
    stored: set[bytes],
) -> int:
    """Return the tokens held when all jobs ahead have had their prefill."""
    held = 0
    for level in levels:
        if level.digest not in engine.cache and level.digest not in stored:
            break
        held = level.tokens
    return held


def _slot_wait(engine: EngineFake, ahead: int) -> float:
    """Return the time until the decode batch has room, in ms."""
    busy = engine.running + ahead + (engine.active is not None)
    over = busy - engine.batch
    if over < 0:
        return 0
    finish_times = engine.finish_times
    last = finish_times[min(over, len(finish_times) - 1)]
    return max(0, last - engine.time)
