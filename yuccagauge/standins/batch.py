"""Continuous batching: which sequence gets which tokens in a step."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from yuccagauge.clock import Millis

_MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True, kw_only=True)
class Sequence:
    """One request inside the engine; mutable while it runs."""

    request_id: str
    priority: int
    prompt_tokens: int
    answer: tuple[str, ...]
    #: Chained hashes of the full blocks of the prompt.
    chain: tuple[bytes, ...]
    #: Level digests and their tokens.
    levels: tuple[tuple[str, int], ...]
    #: Prompt tokens found in the cache when the sequence started.
    cached_tokens: int = 0
    #: Prompt tokens still to be computed.
    missing_tokens: float = 0
    emitted: int = 0
    #: Parts of tokens that decoding has earned.
    credit: float = 0
    cancelled: bool = False

    @property
    def is_prefilled(self) -> bool:
        """Whether the whole prompt has been computed."""
        return self.missing_tokens <= 0

    @property
    def is_finished(self) -> bool:
        """Whether the whole answer has been emitted."""
        return self.emitted >= len(self.answer)


@dataclass(frozen=True, slots=True, kw_only=True)
class Emission:
    """Tokens that one sequence emitted in a step."""

    sequence: Sequence
    tokens: tuple[str, ...]


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchRates:
    """The speed of an engine."""

    prefill_tokens_per_second: float
    #: For each sequence of the batch.
    decode_tokens_per_second: float
    max_running: int


@dataclass(slots=True)
class Batch:
    """The running sequences and the priority queue before them.

    Parameters
    ----------
    rates
        The speed of the engine.
    started
        Called when a sequence leaves the queue; it sets ``cached_tokens``
        and ``missing_tokens``.
    prefilled
        Called when the prompt of a sequence has been computed.
    """

    rates: BatchRates
    started: Callable[[Sequence], None]
    prefilled: Callable[[Sequence], None]
    _queue: list[tuple[int, int, Sequence]] = field(default_factory=list)
    _running: list[Sequence] = field(default_factory=list)
    _arrivals: int = 0

    @property
    def running(self) -> int:
        """The number of running sequences."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """The number of sequences in the queue."""
        return sum(1 for entry in self._queue if not entry[-1].cancelled)

    @property
    def queued_tokens(self) -> int:
        """Prompt tokens in the queue, and missing ones of the batch."""
        waiting = sum(
            entry[-1].prompt_tokens
            for entry in self._queue
            if not entry[-1].cancelled
        )
        return waiting + int(sum(seq.missing_tokens for seq in self._running))

    @property
    def is_idle(self) -> bool:
        """Whether there is nothing to do."""
        return not self._queue and not self._running

    def submit(self, sequence: Sequence) -> None:
        """Queue a sequence by priority, then by arrival."""
        self._arrivals += 1
        entry = (sequence.priority, self._arrivals, sequence)
        heapq.heappush(self._queue, entry)

    def step(self, elapsed: Millis) -> list[Emission]:
        """Run the batch for a while and return what it emitted."""
        self._running = [seq for seq in self._running if not seq.cancelled]
        self._start_queued()
        seconds = elapsed / _MILLISECONDS_PER_SECOND
        emissions = [
            self._decode(sequence, seconds)
            for sequence in self._running
            if sequence.is_prefilled
        ]
        emissions.extend(self._prefill(seconds))
        self._running = [seq for seq in self._running if not seq.is_finished]
        return [emission for emission in emissions if emission.tokens]

    def _start_queued(self) -> None:
        while self._queue and len(self._running) < self.rates.max_running:
            sequence = heapq.heappop(self._queue)[-1]
            if sequence.cancelled:
                continue
            self.started(sequence)
            self._running.append(sequence)

    def _prefill(self, seconds: float) -> list[Emission]:
        budget = self.rates.prefill_tokens_per_second * seconds
        emissions: list[Emission] = []
        for sequence in self._running:
            if sequence.is_prefilled or budget <= 0:
                continue
            spent = min(budget, sequence.missing_tokens)
            budget -= spent
            sequence.missing_tokens -= spent
            if sequence.is_prefilled:
                self.prefilled(sequence)
                emissions.append(_emit(sequence, 1))
        return emissions

    def _decode(self, sequence: Sequence, seconds: float) -> Emission:
        sequence.credit += self.rates.decode_tokens_per_second * seconds
        count = int(sequence.credit)
        sequence.credit -= count
        return _emit(sequence, count)


def _emit(sequence: Sequence, count: int) -> Emission:
    start = sequence.emitted
    tokens = sequence.answer[start : start + count]
    sequence.emitted += len(tokens)
    return Emission(sequence=sequence, tokens=tokens)
