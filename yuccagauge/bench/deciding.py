"""Time of one decision and bytes of state, against their sizes."""

import functools
import hashlib
import statistics
import time
import tracemalloc
from collections.abc import Callable

import numpy as np

from yuccagauge.admission import AdmissionRequest, DeadlinePolicy
from yuccagauge.cacheview import CacheView
from yuccagauge.clock import Millis
from yuccagauge.load import EngineKey, EngineReport, EngineTable
from yuccagauge.placement import CostPolicy, PlacementRequest
from yuccagauge.prefixes import CacheScope, PrefixLevel, RequestPrefix
from yuccagauge.prefixes.base import DIGEST_BYTES
from yuccagauge.settings.document import ServiceDocument, parse_document

#: Stated bound on one decision with the largest data centre, in us.
DECISION_BOUND_US = 200.0

#: Engines of the largest data centre expected in two years.
LARGEST_DATA_CENTRE = 733

#: Sizes at which decisions and the engine table are measured.
ENGINE_COUNTS = (92, 183, 366, LARGEST_DATA_CENTRE, 1466)

#: Levels that the cache view holds when it is measured.
LEVEL_COUNTS = (5000, 10_000, 20_000)

#: Customers that admission knows when it is measured.
CUSTOMER_COUNTS = (770, 2567, 7700)

LEVELS_PER_PROMPT = 8

_IDENTITY = CacheScope(
    customer='customer',
    model='model',
    adapter='',
    weights_version='w1',
)
_WARMUP_DECISIONS = 1500
_DECISIONS = 2000
_TOKENS_PER_LEVEL = 700
_FIRSTS = 200
_SECONDS = 40
_MICROSECONDS_PER_SECOND = 1_000_000
_DEADLINE = Millis(10_000_000)


def measure_decisions() -> dict[str, object]:
    """Return times and sizes by self-explaining keys."""
    times = {count: _decision_us(count) for count in ENGINE_COUNTS}
    growth = times[ENGINE_COUNTS[-1]] / times[ENGINE_COUNTS[0]]
    return {
        'levels_per_prompt': LEVELS_PER_PROMPT,
        'decision_us_by_engines': times,
        'decision_bound_us': DECISION_BOUND_US,
        'decision_bound_met': times[LARGEST_DATA_CENTRE] <= DECISION_BOUND_US,
        'engines_growth': ENGINE_COUNTS[-1] / ENGINE_COUNTS[0],
        'decision_growth': round(growth, 2),
        'state_bytes_by_engines': {
            count: _bytes_of(functools.partial(_policy, count))
            for count in ENGINE_COUNTS
        },
        'state_bytes_by_levels': {
            count: _bytes_of(functools.partial(_view, count))
            for count in LEVEL_COUNTS
        },
        'state_bytes_by_customers': {
            count: _bytes_of(functools.partial(_admission, _document(count)))
            for count in CUSTOMER_COUNTS
        },
    }


def _decision_us(engines: int) -> float:
    """Return the median time of a decision in a warm router, in us."""
    policy, table = _policy(engines)
    random = np.random.default_rng(1)
    requests = [
        _request(random, number)
        for number in range(_WARMUP_DECISIONS + _DECISIONS)
    ]
    taken: list[float] = []
    for number, request in enumerate(requests):
        now = Millis(number * 12)
        start = time.perf_counter()
        decision = policy.place_request(request, now)
        taken.append(time.perf_counter() - start)
        best = decision.candidates[0]
        table.record_send(best.engine, str(number), 100, now)
        policy.take_notices()
    median = statistics.median(taken[_WARMUP_DECISIONS:])
    return round(median * _MICROSECONDS_PER_SECOND, 1)


def _policy(engines: int) -> tuple[CostPolicy, EngineTable]:
    table = EngineTable()
    for number in range(engines):
        table.update_report(_report(number), Millis(0))
    policy = CostPolicy(table, CacheView(), np.random.default_rng(2))
    policy.place_request(_request(np.random.default_rng(3), -1), Millis(0))
    return policy, table


def _report(number: int) -> EngineReport:
    return EngineReport(
        engine=EngineKey(f'10.0.{number // 250}.{number % 250}', 9000),
        incarnation=f'incarnation-{number}',
        weights_version='w1',
        role='serving',
        running=4,
        queued=1,
        queued_tokens=800,
        used_blocks=3000,
        total_blocks=4000,
        measured_at=_DEADLINE,
    )


def _request(random: np.random.Generator, number: int) -> PlacementRequest:
    """Return a request with nested levels, of which the last is its own."""
    first = int(random.integers(_FIRSTS))
    second = int(random.integers(_SECONDS))
    names = [f'{first}', f'{first}/{second}', f'{number}']
    levels = tuple(
        PrefixLevel(
            _digest(
                f'{names[depth * len(names) // LEVELS_PER_PROMPT]}:{depth}'
            ),
            (depth + 1) * _TOKENS_PER_LEVEL,
        )
        for depth in range(LEVELS_PER_PROMPT)
    )
    prefix = RequestPrefix(
        cache_scope=_IDENTITY,
        levels=levels,
        prompt_tokens=LEVELS_PER_PROMPT * _TOKENS_PER_LEVEL,
        stable_levels=LEVELS_PER_PROMPT - 2,
    )
    return PlacementRequest(prefix=prefix, priority=5, deadline=_DEADLINE)


def _view(levels: int) -> CacheView:
    view = CacheView(levels)
    for number in range(levels):
        digest = _digest(str(number))
        key = EngineKey('10.0.0.1', number % LARGEST_DATA_CENTRE)
        view.apply_stored_event(key, 'incarnation', digest, 1000, Millis(1))
    return view


def _digest(name: str) -> bytes:
    """Return a digest that differs from others in its first bytes."""
    return hashlib.blake2b(name.encode(), digest_size=DIGEST_BYTES).digest()


def _document(customers: int) -> ServiceDocument:
    sections = (
        f'[customer c{number}]\ncredential_sha256 = {number:064x}\n'
        for number in range(customers)
    )
    return parse_document(
        '[service]\nname = s\nkind = model\nowner = o\n'
        '[model m]\nweights_version = w1\n' + ''.join(sections),
        'measurement',
    )


def _admission(document: ServiceDocument) -> DeadlinePolicy:
    """Return admission that has seen every customer of the document."""
    policy = DeadlinePolicy()
    policy.configure(document, Millis(0))
    for name in document.customers:
        policy.admit_request(
            AdmissionRequest(
                customer=name,
                priority=5,
                prompt_tokens=100,
                deadline=_DEADLINE,
                best_cost_ms=1,
            ),
            Millis(1),
        )
    return policy


def _bytes_of(build: Callable[[], object]) -> int:
    """Return the bytes that the built objects keep allocated."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    kept = build()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept  # noqa: WPS420 the objects have to live until here
    return after - before
