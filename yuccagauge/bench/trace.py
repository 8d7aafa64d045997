"""The requests of a workload, equal for all policies."""

import bisect
import functools
import hashlib
import itertools
from collections.abc import Iterator
from dataclasses import dataclass

import numpy as np

from yuccagauge.bench.workload import FaultSection, Workload
from yuccagauge.prefixes.base import (
    BYTES_PER_TOKEN,
    CacheScope,
    Message,
    RequestPrefix,
    prefix_schemes,
)

#: Priority of urgent sessions, and of the others.
URGENT_PRIORITY = 1
NORMAL_PRIORITY = 5

#: The weights version of all engines in the bench.
WEIGHTS_VERSION = 'w1'

_MILLIS_PER_SECOND = 1000
_HEX_DIGITS_PER_BYTE = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class TracedRequest:
    """One request of the workload."""

    number: int
    #: When the client sends it, in ms.
    sent_at: float
    customer: str
    prefix: RequestPrefix
    answer_tokens: int
    priority: int
    #: A number that the load balancer uses to choose a router.
    balance: int


@dataclass(frozen=True, slots=True)
class _Session:
    start: float
    customer: int
    first: int
    second: int
    priority: int
    requests: int


def make_trace(workload: Workload, seed: int) -> tuple[TracedRequest, ...]:
    """Return the requests in order of time."""
    return _TraceMaker(workload, seed).make()


def parse_range(words: tuple[str, ...]) -> tuple[int, int]:
    """Return the two bounds of a size; one word gives a fixed size."""
    return int(words[0]), int(words[-1])


class _TraceMaker:
    def __init__(self, workload: Workload, seed: int) -> None:
        self._workload = workload
        self._random = np.random.default_rng((seed, 1))
        self._scheme = prefix_schemes.get('messages')()
        arrivals = workload.arrivals
        self._customers = _shares(arrivals.customers, arrivals.customer_skew)
        levels = workload.levels
        self._firsts = _shares(levels.first_per_customer, arrivals.first_skew)
        self._seconds = _shares(levels.second_per_first, arrivals.second_skew)

    def make(self) -> tuple[TracedRequest, ...]:
        """Draw sessions, then the requests of each."""
        drawn = [
            (sent_at, session)
            for session in self._sessions()
            for sent_at in self._times(session)
        ]
        drawn.sort(key=lambda each: each[0])
        return tuple(
            self._request(number, sent_at, session)
            for number, (sent_at, session) in enumerate(drawn)
        )

    def _sessions(self) -> Iterator[_Session]:
        """Draw session starts by thinning a process at the highest rate."""
        arrivals = self._workload.arrivals
        fewest, most = parse_range(arrivals.session_requests)
        mean = (fewest + most) / 2
        points = [
            tuple(map(float, point.split(':'))) for point in arrivals.curve
        ]
        times = [point[0] for point in points]
        factors = [point[1] for point in points]
        highest = arrivals.requests_per_second * max(factors) / mean
        now = float(0)
        while True:
            now += self._random.exponential(_MILLIS_PER_SECOND / highest)
            if now >= self._workload.workload.duration_ms:
                return
            factor = float(np.interp(now, times, factors))
            if self._random.random() < factor / max(factors):
                yield self._session(now, fewest, most)

    def _session(self, now: float, fewest: int, most: int) -> _Session:
        urgent = self._random.random() < self._workload.arrivals.urgent_share
        customer = self._draw(self._customers)
        first = self._draw(self._firsts)
        second = self._draw(self._seconds)
        hot = self._hot_shift(now)
        if hot is not None and self._random.random() < hot.share:
            # A prefix that nobody asked for before the shift.
            customer = 0
            first = len(self._firsts) + hot.at_ms
        return _Session(
            now,
            customer,
            first,
            second,
            URGENT_PRIORITY if urgent else NORMAL_PRIORITY,
            int(self._random.integers(fewest, most + 1)),
        )

    def _hot_shift(self, now: float) -> FaultSection | None:
        for fault in self._workload.faults.values():
            ends = fault.at_ms + fault.duration_ms
            if fault.kind == 'hot-shift' and fault.at_ms <= now < ends:
                return fault
        return None

    def _times(self, session: _Session) -> Iterator[float]:
        now = session.start
        gap = self._workload.arrivals.session_gap_ms
        for _ in range(session.requests):
            if now < self._workload.workload.duration_ms:
                yield now
            now += self._random.exponential(gap)

    def _request(
        self,
        number: int,
        sent_at: float,
        session: _Session,
    ) -> TracedRequest:
        levels = self._workload.levels
        answer = parse_range(levels.answer_tokens)
        return TracedRequest(
            number=number,
            sent_at=sent_at,
            customer=f'customer-{session.customer}',
            prefix=self._prefix(number, session),
            answer_tokens=int(self._random.integers(answer[0], answer[1] + 1)),
            priority=session.priority,
            balance=int(self._random.integers(1 << 30)),
        )

    def _prefix(self, number: int, session: _Session) -> RequestPrefix:
        levels = self._workload.levels
        first = f'{session.customer}/{session.first}'
        second = f'{first}/{session.second}'
        shared = (
            _text(f'first {first}', parse_range(levels.first_tokens)),
            _text(f'second {second}', parse_range(levels.second_tokens)),
        )
        question = _text(
            f'question {number}',
            parse_range(levels.question_tokens),
        )
        if levels.one_message:
            shared = (''.join(shared),)
        messages = [
            Message(role, content)
            for role, content in zip(
                ('system', *itertools.repeat('user', len(shared))),
                (*shared, question),
                strict=True,
            )
        ]
        cache_scope = CacheScope(
            customer=f'customer-{session.customer}',
            model='model',
            adapter='',
            weights_version=WEIGHTS_VERSION,
        )
        return self._scheme.derive_levels(cache_scope, messages)

    def _draw(self, shares: list[float]) -> int:
        return bisect.bisect_right(shares, self._random.random())


def _shares(count: int, exponent: float) -> list[float]:
    """Return cumulative shares by rank; the last is 1."""
    weights = np.arange(1, count + 1, dtype=float) ** -exponent
    cumulated = np.cumsum(weights / weights.sum())
    cumulated[-1] = 1
    return cumulated.tolist()


@functools.lru_cache(maxsize=4096)
def _text(name: str, tokens: tuple[int, int]) -> str:
    """Return a text that depends on the name alone, of a size within bounds."""
    name_bytes = name.encode()
    drawn = hashlib.blake2b(name_bytes, digest_size=8).digest()
    span = tokens[1] - tokens[0] + 1
    size = tokens[0] + int.from_bytes(drawn, 'big') % span
    length = size * BYTES_PER_TOKEN
    stream = hashlib.shake_128(name_bytes)
    return stream.hexdigest(-(-length // _HEX_DIGITS_PER_BYTE))[:length]
