"""Steps for the placement policies."""

import numpy as np
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st

from yuccagauge.cacheview import CacheView
from yuccagauge.load import EngineKey, EngineReport, EngineTable
from yuccagauge.placement import PlacementRequest, placement_policies
from yuccagauge.placement.notices import NoticeOutbox, PlacementNotice
from yuccagauge.placement.ring import HashRing
from yuccagauge.prefixes import CacheScope, Message, prefix_schemes

_CACHE_SCOPE = CacheScope(
    customer='c',
    model='m',
    adapter='',
    weights_version='w1',
)


def _engine(number: int) -> EngineKey:
    return EngineKey('127.0.0.1', 9000 + number)


def _report(
    number: int, queued: int, measured_at: int, **options
) -> EngineReport:
    return EngineReport(
        engine=_engine(number),
        incarnation='i',
        weights_version=options.get('version', 'w1'),
        role=options.get('role', 'serving'),
        running=0,
        queued=0,
        queued_tokens=queued,
        used_blocks=0,
        total_blocks=1,
        measured_at=measured_at,
    )


class _Router:
    """A placement policy with a table and a cache view of its own."""

    def __init__(self, policy: str, engines: int, seed: int = 0) -> None:
        self.table = EngineTable(20)
        for number in range(engines):
            self.table.update_report(_report(number, 0, 0), 0)
        self.policy = placement_policies.get(policy)(
            self.table,
            CacheView(),
            np.random.default_rng(seed),
        )

    def place(self, text: str, now: int = 10, **options) -> list[EngineKey]:
        messages = [Message('system', text * 3000), Message('user', 'q')]
        request = PlacementRequest(
            prefix=prefix_schemes.get('messages')().derive_levels(
                _CACHE_SCOPE,
                messages,
            ),
            priority=5,
            deadline=options.get('deadline', now + 60_000),
            excluded_engines=options.get('excluded_engines', frozenset()),
        )
        decision = self.policy.place_request(request, now)
        return [candidate.engine for candidate in decision.candidates]


@given('two routers that place on {engines:d} engines')
def given_routers(context: Context, engines: int) -> None:
    """Start two routers with separate state."""
    context.routers = [_Router('cost', engines, seed) for seed in (1, 2)]
    context.placed_at = 0


@when('the first router places a prompt away from its first engine on the ring')
def when_placed_off_ring(context: Context) -> None:
    """Give the first engine in the ring order a long queue."""
    first, second = context.routers
    preferred = _Router('cost', 6).place('p')[0]
    first.table.update_report(_report(preferred.port - 9000, 90_000, 5), 5)
    context.placed = first.place('p')[0]
    assert context.placed != preferred


@when('the second router receives the placement notices')
def when_receives_notices(context: Context) -> None:
    """Pass the notices of the first router to the second."""
    first, second = context.routers
    second.policy.apply_peer_notices(first.policy.take_notices(), 20)


@then('the second router places the prompt on the same engine')
def then_same_engine(context: Context) -> None:
    """Check that the expected cache outweighs the ring order."""
    assert context.routers[1].place('p', 30)[0] == context.placed


@then(
    'the placement policy "{policy}" chooses only usable engines, for any '
    'table',
)
def then_only_usable(context: Context, policy: str) -> None:
    """Check decisions for engines in all states, and for empty tables.

    A policy must not choose an engine that is leaving, has failed, has an
    outdated report or runs other weights, and must not fail without engines.
    """
    engine_state = st.sampled_from(
        ['ok', 'leaving', 'failed', 'old', 'version']
    )

    @settings(derandomize=True, database=None, deadline=None, max_examples=40)
    @forall(st.lists(engine_state, max_size=8), st.sets(st.integers(0, 7)))
    def check(states, numbers):
        router = _Router(policy, 0)
        for number, state in enumerate(states):
            version = 'w2' if state == 'version' else 'w1'
            measured_at = 0 if state == 'old' else 50_000
            report = _report(number, 0, measured_at, version=version)
            router.table.update_report(report, 50_000)
            if state == 'leaving':
                router.table.set_leaving(_engine(number), True)
            if state == 'failed':
                router.table.suspend_engine(_engine(number), 50_000)
        excluded = frozenset(map(_engine, numbers))
        healthy = [
            _engine(index) for index, one in enumerate(states) if one == 'ok'
        ]
        allowed = set(healthy) - excluded
        for text in 'pq':
            found = router.place(text, 50_001, excluded_engines=excluded)
            assert set(found) <= allowed
            assert bool(found) == bool(allowed)

    check()


@then(
    '{routers:d} routers without state place each of {count:d} prefixes on '
    'one engine',
)
def then_same_choice(context: Context, routers: int, count: int) -> None:
    """Check that routers without state choose the same engine for a prefix.

    Otherwise each router makes a copy of its own after a restart, and the
    caches start cold.
    """
    for number in range(count):
        chosen = {
            _Router('cost', 6, seed).place(f'p{number}')[0]
            for seed in range(routers)
        }
        assert len(chosen) == 1, chosen


@then(
    'by the placement ring at most {bound:d} of {count:d} prefixes move when '
    'engine 20 joins 19',
)
def then_few_move(context: Context, bound: int, count: int) -> None:
    """Check that prefixes only move to the engine that joins.

    Otherwise the prefixes of all engines move, and no cache has a match.
    """
    engines = tuple(map(_engine, range(20)))
    digests = [bytes([number]) * 16 for number in range(count)]
    before, after = (
        [next(ring.engines_for(digest)) for digest in digests]
        for ring in (HashRing(engines[:19]), HashRing(engines))
    )
    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert 0 < len(moved) <= bound
    assert set(moved) == {engines[19]}


def _engines_used(context: Context, rate: int) -> int:
    """Return how many engines serve a prefix at a request rate.

    The requests last 10 s; only the engines of the last 5 s count.
    """
    router = context.routers[0]
    used: set[EngineKey] = set()
    start = context.placed_at
    for step in range(rate * 10):
        now = start + step * 1000 // rate
        for number in range(6):
            router.table.update_report(_report(number, 0, start), start)
        engine = router.place('hot', now)[0]
        # Each request computes 400 tokens of its own, which takes 20 ms.
        router.table.record_send(engine, str(step), 400, now)
        router.table.record_first_token(engine, str(step), now)
        router.table.record_end(engine, str(step), now)
        if step >= rate * 5:
            used.add(engine)
    context.placed_at = start + 12_000
    return len(used)


@then('at {rate:d} requests/s the placement of one prefix uses 1 engine')
def then_one_engine(context: Context, rate: int) -> None:
    """Check that a prefix with little load is not copied."""
    assert _engines_used(context, rate) == 1


@then(
    'at {rate:d} requests/s the placement of one prefix uses at least '
    '{bound:d} engines',
)
def then_spread(context: Context, rate: int, bound: int) -> None:
    """Check that a hot prefix does not overload a single engine."""
    used = _engines_used(context, rate)
    assert used >= bound, used


@then(
    'placement notices of {count:d} placements in a second stay within '
    '{bound:d} bytes and include each large recomputation',
)
def then_within_budget(context: Context, count: int, bound: int) -> None:
    """Check that the bytes of notices do not grow with the traffic."""
    outbox = NoticeOutbox(bound / 5)
    sent = []
    for number in range(count):
        notice = PlacementNotice(
            engine=_engine(0),
            incarnation='i',
            levels=(),
            missing_tokens=1000 if number % 10 == 0 else 10,
            placed_at=number * 5,
        )
        importance = notice.missing_tokens / 1000
        outbox.offer_notice(notice, importance, number * 5)
        sent.extend(outbox.take_notices())
    assert sum(notice.wire_bytes for notice in sent) <= bound
    large = [notice for notice in sent if notice.missing_tokens == 1000]
    assert len(large) == count // 10


@then(
    'a placement with a deadline of {deadline:d} ms avoids the holder with a '
    'queue of {queue:d} ms',
)
def then_avoids_holder(context: Context, deadline: int, queue: int) -> None:
    """Check that a cached prefix does not make a request miss its deadline.

    With a distant deadline the request waits for the engine with the cache.
    """
    router = context.routers[0]
    holder = router.place('p', 10)[0]
    number = holder.port - 9000
    router.table.update_report(_report(number, queue * 20, 20), 20)
    assert router.place('p', 20, deadline=60_000)[0] == holder
    chosen = router.place('p', 20, deadline=20 + deadline)[0]
    assert chosen != holder
