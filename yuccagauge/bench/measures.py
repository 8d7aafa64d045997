"""What a run counts, and the figures that are computed from it."""

from collections import Counter
from dataclasses import dataclass, field

import numpy as np

from yuccagauge.bench.engine import EngineFake, Job
from yuccagauge.bench.trace import TracedRequest
from yuccagauge.bench.workload import FaultSection, Workload

#: Length of the windows in which recovery is looked for, in ms.
RECOVERY_WINDOW_MS = 10_000

#: Distance of two windows, in ms.
RECOVERY_STEP_MS = 500

#: A window has recovered if its p99 is at most this much above the earlier.
RECOVERY_FACTOR = 1.1

_MILLIS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """How one request ended."""

    sent_at: float
    #: Time to the first token; for a request without answer its deadline,
    #: after which an answer is of no use.
    first_token_ms: float
    #: ``answered``, ``refused`` or ``failed``.
    status: str


@dataclass(slots=True)
class Measures:
    """Counts of one run; only requests sent after the warm-up count."""

    workload: Workload
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    prompt_tokens: int = 0
    recomputed_tokens: int = 0
    wasted_tokens: int = 0
    events: Counter[str] = field(default_factory=Counter)

    def prefill(
        self,
        request: TracedRequest,
        job: Job,
        engines: tuple[EngineFake, ...],
    ) -> None:
        """Count the tokens of a prefill that begins."""
        if request.sent_at < self.workload.workload.warmup_ms:
            return
        levels = job.prefix.levels
        held = max(
            (
                engine.cache.match(levels)
                for engine in engines
                if engine.is_alive
            ),
            default=0,
        )
        self.prompt_tokens += job.prefix.prompt_tokens
        self.recomputed_tokens += job.prefix.prompt_tokens - job.cached_tokens
        self.wasted_tokens += max(0, held - job.cached_tokens)

    def answered(self, request: TracedRequest, time: float) -> None:
        """Count the first token of a request at its client."""
        self.outcomes.setdefault(
            request.number,
            Outcome(
                sent_at=request.sent_at,
                first_token_ms=time - request.sent_at,
                status='answered',
            ),
        )

    def unanswered(self, request: TracedRequest, status: str) -> None:
        """Count a request that was refused, or that failed."""
        self.outcomes.setdefault(
            request.number,
            Outcome(
                sent_at=request.sent_at,
                first_token_ms=float(self.workload.workload.deadline_ms),
                status=status,
            ),
        )

    def figures(self) -> dict[str, object]:
        """Return the figures of the run by self-explaining keys."""
        section = self.workload.workload
        measured = self._measured()
        times = np.array([each.first_token_ms for each in measured])
        statuses = Counter(each.status for each in measured)
        late = int((times > section.deadline_ms).sum())
        seconds = section.duration_ms - section.warmup_ms
        seconds /= _MILLIS_PER_SECOND
        return {
            'requests': len(measured),
            'hit_rate_by_tokens': _share(
                self.prompt_tokens - self.recomputed_tokens,
                self.prompt_tokens,
            ),
            'p50_time_to_first_token_ms': _percentile(times, 50),
            'p95_time_to_first_token_ms': _percentile(times, 95),
            'p99_time_to_first_token_ms': _percentile(times, 99),
            'prompt_tokens': self.prompt_tokens,
            'recomputed_tokens': self.recomputed_tokens,
            'wasted_tokens_held_by_a_live_engine': self.wasted_tokens,
            'refused': statuses['refused'],
            'failed': statuses['failed'],
            'late': late,
            'goodput_requests_per_second': round(
                (statuses['answered'] - late) / seconds,
                3,
            ),
            'recovery_ms_by_fault': {
                name: self._recovery(fault)
                for name, fault in self.workload.faults.items()
            },
            'counters': dict(sorted(self.events.items())),
        }

    def _measured(self) -> list[Outcome]:
        warmup = self.workload.workload.warmup_ms
        return [
            outcome
            for _, outcome in sorted(self.outcomes.items())
            if outcome.sent_at >= warmup
        ]

    def _recovery(self, fault: FaultSection) -> int | None:
        """Return the time until p99 is back; ``None`` if it never is.

        The earlier p99 is that of all measured requests before the fault.
        """
        section = self.workload.workload
        earlier = self._window(section.warmup_ms, fault.at_ms)
        bound = _percentile(earlier, 99) * RECOVERY_FACTOR
        ended = fault.at_ms + fault.duration_ms
        last = section.duration_ms - RECOVERY_WINDOW_MS
        for start in range(ended, last + 1, RECOVERY_STEP_MS):
            window = self._window(start, start + RECOVERY_WINDOW_MS)
            if window.size and _percentile(window, 99) <= bound:
                return start - ended
        return None

    def _window(self, start: float, end: float) -> np.ndarray:
        """Return the times of requests sent in a window, shape (n,), ms."""
        return np.array(
            [
                outcome.first_token_ms
                for _, outcome in sorted(self.outcomes.items())
                if start <= outcome.sent_at < end
            ]
        )


def _percentile(times: np.ndarray, rank: int) -> float:
    """Return a percentile of times in ms; zero of no times."""
    return round(float(np.percentile(times, rank)), 2) if times.size else 0


def _share(part: int, whole: int) -> float:
    return round(part / whole, 5) if whole else 0
