"""An engine fake: one prefill at a time, a decode batch, a prefix cache."""

import heapq
import itertools
from dataclasses import dataclass, field
from typing import Protocol

from yuccagauge.bench.cache import CacheListener, PrefixCache
from yuccagauge.bench.loop import EventLoop
from yuccagauge.bench.workload import EnginesSection
from yuccagauge.load.base import LEAVING_ROLE, EngineKey, EngineReport
from yuccagauge.prefixes.base import RequestPrefix

_TOKENS_PER_BLOCK = 16


class JobOwner(Protocol):
    """Told about the progress of a job, at the engine and at once."""

    def prefill_began(self, job: 'Job') -> None:
        """Take the tokens that were found in the cache."""

    def first_token(self, job: 'Job') -> None:
        """Take the end of the prefill."""

    def finished(self, job: 'Job') -> None:
        """Take the last token."""

    def broken(self, job: 'Job') -> None:
        """Take the loss of the engine."""


@dataclass(slots=True, kw_only=True)
class Job:
    """One attempt of a request on an engine."""

    prefix: RequestPrefix
    priority: int
    answer_tokens: int
    owner: 'JobOwner'
    #: Tokens found in the cache when the prefill began.
    cached_tokens: int = 0
    #: The incarnation that ran it.
    incarnation: str = ''


@dataclass(slots=True)
class _Waiting:
    heap: list[tuple[int, int, Job]] = field(default_factory=list)
    order: itertools.count = field(default_factory=itertools.count)


class EngineFake:
    """Serves jobs by priority, then in order of arrival.

    Parameters
    ----------
    key
        Its address.
    data_centre
        Where it stands.
    section
        Its rates and sizes.
    loop
        The virtual clock.
    listener
        Told about each change of its cache.
    """

    def __init__(
        self,
        key: EngineKey,
        data_centre: str,
        section: EnginesSection,
        loop: EventLoop,
        listener: CacheListener,
    ) -> None:
        """Start idle and empty."""
        self.key = key
        self.data_centre = data_centre
        self.is_alive = True
        self.is_leaving = False
        #: Jobs on their way, which only the oracle sees.
        self.in_transit: list[Job] = []
        self._section = section
        self._loop = loop
        self._listener = listener
        self._generation = 0
        self._reset()

    @property
    def time(self) -> float:
        """The time on the virtual clock, in ms."""
        return self._loop.time

    @property
    def incarnation(self) -> str:
        """Changes with each start."""
        return f'{self.key}#{self._generation}'

    @property
    def prefill_rate(self) -> float:
        """The prefill rate beside the running batch, in tokens/ms."""
        load = self._section.decode_share * len(self._running)
        return self._section.prefill_tokens_per_ms * max(0.1, 1 - load)

    @property
    def running(self) -> int:
        """Requests in the decode batch."""
        return len(self._running)

    @property
    def batch(self) -> int:
        """Requests that fit into the decode batch."""
        return self._section.batch

    @property
    def finish_times(self) -> list[float]:
        """When the running requests end, earliest first."""
        return sorted(self._running.values())

    @property
    def active(self) -> Job | None:
        """The job that is in its prefill."""
        return self._active

    @property
    def active_ms(self) -> float:
        """Time until the active prefill ends."""
        return max(0, self._active_until - self._loop.time)

    def waiting(self) -> list[Job]:
        """Return the jobs that wait, next first."""
        return [entry[-1] for entry in sorted(self._waiting.heap)]

    def submit(self, job: Job) -> bool:
        """Queue a job; return whether the engine took it."""
        if not self.is_alive:
            return False
        job.incarnation = self.incarnation
        entry = (job.priority, next(self._waiting.order), job)
        heapq.heappush(self._waiting.heap, entry)
        self._advance()
        return True

    def crash(self) -> None:
        """Break all jobs and lose the cache."""
        broken = [*self.waiting(), *self._running_jobs.values()]
        if self._active is not None:
            broken.append(self._active)
        self.is_alive = False
        self._generation += 1
        self._reset()
        for job in broken:
            job.owner.broken(job)

    def restart(self) -> None:
        """Come back with an empty cache."""
        self.is_alive = True
        self.is_leaving = False

    def report(self) -> EngineReport:
        """Measure the load."""
        waiting = self.waiting()
        queued = sum(
            job.prefix.prompt_tokens - self.cache.match(job.prefix.levels)
            for job in waiting
        )
        return EngineReport(
            engine=self.key,
            incarnation=self.incarnation,
            weights_version='w1',
            role=LEAVING_ROLE if self.is_leaving else 'serving',
            running=len(self._running) + (self._active is not None),
            queued=len(waiting),
            queued_tokens=int(queued + self.active_ms * self.prefill_rate),
            used_blocks=self.cache.used_tokens // _TOKENS_PER_BLOCK,
            total_blocks=self._section.cache_tokens // _TOKENS_PER_BLOCK,
            measured_at=self._loop.now,
        )

    def _reset(self) -> None:
        self.cache = PrefixCache(
            self._section.cache_tokens,
            is_lru=self._section.eviction == 'lru',
            listener=self._listener,
        )
        self._waiting = _Waiting()
        #: Running jobs, by identity, with the time of their end.
        self._running: dict[int, float] = {}
        self._running_jobs: dict[int, Job] = {}
        self._active: Job | None = None
        self._active_until: float = 0

    def _advance(self) -> None:
        if self._active is not None or not self._waiting.heap:
            return
        if len(self._running) >= self._section.batch:
            return
        job = heapq.heappop(self._waiting.heap)[-1]
        job.cached_tokens = self.cache.match(job.prefix.levels)
        missing = job.prefix.prompt_tokens - job.cached_tokens
        duration = missing / self.prefill_rate
        duration += self._section.prefill_overhead_ms
        self._active = job
        self._active_until = self._loop.time + duration
        job.owner.prefill_began(job)
        generation = self._generation
        self._loop.after(duration, lambda: self._prefilled(job, generation))

    def _prefilled(self, job: Job, generation: int) -> None:
        if generation != self._generation:
            return
        self._active = None
        self.cache.insert(job.prefix.levels, self._loop.time)
        decode = job.answer_tokens * self._section.decode_ms_per_token
        self._running[id(job)] = self._loop.time + decode
        self._running_jobs[id(job)] = job
        job.owner.first_token(job)
        self._loop.after(decode, lambda: self._finish(job, generation))
        self._advance()

    def _finish(self, job: Job, generation: int) -> None:
        if generation != self._generation:
            return
        del self._running[id(job)]
        del self._running_jobs[id(job)]
        self.cache.unpin(job.prefix.levels)
        job.owner.finished(job)
        self._advance()
