"""Steps for placement."""

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
from yuccagauge.placement.ring import Ring
from yuccagauge.prefixes import CacheScope, Message, prefix_schemes

_IDENTITY = CacheScope(
    customer='c',
    model='m',
    adapter='',
    weights_version='w1',
)


def _engine(number: int) -> EngineKey:
    return EngineKey('127.0.0.1', 9000 + number)


def _report(number: int, queued: int, at: int, **kept) -> EngineReport:
    return EngineReport(
        engine=_engine(number),
        incarnation='i',
        weights_version=kept.get('version', 'w1'),
        role=kept.get('role', 'serving'),
        running=0,
        queued=0,
        queued_tokens=queued,
        used_blocks=0,
        total_blocks=1,
        measured_at=at,
    )


class _Router:
    """A policy with its own state."""

    def __init__(self, policy: str, engines: int, seed: int = 0) -> None:
        self.table = EngineTable(20)
        for number in range(engines):
            self.table.update_report(_report(number, 0, 0), 0)
        self.policy = placement_policies.get(policy)(
            self.table,
            CacheView(),
            np.random.default_rng(seed),
        )

    def place(self, name: str, now: int = 10, **kept) -> list[EngineKey]:
        messages = [Message('system', name * 3000), Message('user', 'q')]
        request = PlacementRequest(
            prefix=prefix_schemes.get('messages')().derive_levels(
                _IDENTITY,
                messages,
            ),
            priority=5,
            deadline=kept.get('deadline', now + 60_000),
            excluded_engines=kept.get('exclude', frozenset()),
        )
        decision = self.policy.place_request(request, now)
        return [candidate.engine for candidate in decision.candidates]


@given('two routers that place on {engines:d} engines')
def given_routers(context: Context, engines: int) -> None:
    """Start two routers with separate state."""
    context.placers = [_Router('cost', engines, seed) for seed in (1, 2)]
    context.placed_at = 0


@when('the first router places a prompt where the ring would not')
def when_off_ring(context: Context) -> None:
    """Let the first choice of the ring have a queue."""
    first, second = context.placers
    at_home = _Router('cost', 6).place('p')[0]
    first.table.update_report(_report(at_home.port - 9000, 90_000, 5), 5)
    context.placed = first.place('p')[0]
    assert context.placed != at_home


@when('the second router hears the placement notices')
def when_hears(context: Context) -> None:
    """Carry the notices."""
    first, second = context.placers
    second.policy.apply_peer_notices(first.policy.take_notices(), 20)


@then('the second router places the prompt on the same engine')
def then_same(context: Context) -> None:
    """Check that knowledge beats the ring."""
    assert context.placers[1].place('p', 30)[0] == context.placed


@then(
    'the placement policy "{policy}" names only usable engines, for any table',
)
def then_usable(context: Context, policy: str) -> None:
    """Guard against work for an engine that is out, and against a crash."""
    state = st.sampled_from(['ok', 'leaving', 'failed', 'old', 'version'])

    @settings(derandomize=True, database=None, deadline=None, max_examples=40)
    @forall(st.lists(state, max_size=8), st.sets(st.integers(0, 7)))
    def check(states, excluded):
        router = _Router(policy, 0)
        for number, word in enumerate(states):
            version = 'w2' if word == 'version' else 'w1'
            measured_at = 0 if word == 'old' else 50_000
            report = _report(number, 0, measured_at, version=version)
            router.table.update_report(report, 50_000)
            if word == 'leaving':
                router.table.set_leaving(_engine(number), True)
            if word == 'failed':
                router.table.suspend_engine(_engine(number), 50_000)
        exclude = frozenset(map(_engine, excluded))
        healthy = [
            _engine(index) for index, one in enumerate(states) if one == 'ok'
        ]
        allowed = set(healthy) - exclude
        for name in 'pq':
            found = router.place(name, 50_001, exclude=exclude)
            assert set(found) <= allowed
            assert bool(found) == bool(allowed)

    check()


@then(
    '{routers:d} routers without state place each of {count:d} prefixes on '
    'one engine',
)
def then_alike(context: Context, routers: int, count: int) -> None:
    """Guard against a cold start and a herd of copies after a restart."""
    for name in range(count):
        chosen = {
            _Router('cost', 6, seed).place(f'p{name}')[0]
            for seed in range(routers)
        }
        assert len(chosen) == 1, chosen


@then(
    'by the placement ring at most {bound:d} of {count:d} prefixes move when '
    'engine 20 joins 19',
)
def then_few_move(context: Context, bound: int, count: int) -> None:
    """Guard against a change of members that empties every cache."""
    engines = tuple(map(_engine, range(20)))
    digests = [bytes([number]) * 16 for number in range(count)]
    before, after = (
        [next(ring.order(digest)) for digest in digests]
        for ring in (Ring(engines[:19]), Ring(engines))
    )
    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert 0 < len(moved) <= bound
    assert set(moved) == {engines[19]}


def _engines_used(context: Context, rate: int) -> int:
    """Return the engines that a prefix uses in its second 5 s at a rate."""
    router = context.placers[0]
    used: set[EngineKey] = set()
    start = context.placed_at
    for step in range(rate * 10):
        now = start + step * 1000 // rate
        for number in range(6):
            router.table.update_report(_report(number, 0, start), start)
        engine = router.place('hot', now)[0]
        # Each request computes 400 tokens of its own, 20 ms of an engine.
        router.table.record_send(engine, str(step), 400, now)
        router.table.record_first_token(engine, str(step), now)
        router.table.record_end(engine, str(step), now)
        if step >= rate * 5:
            used.add(engine)
    context.placed_at = start + 12_000
    return len(used)


@then('at {rate:d} requests/s the placement of one prefix uses 1 engine')
def then_one_engine(context: Context, rate: int) -> None:
    """Guard against copies that nobody needs."""
    assert _engines_used(context, rate) == 1


@then(
    'at {rate:d} requests/s the placement of one prefix uses at least '
    '{bound:d} engines',
)
def then_spread(context: Context, rate: int, bound: int) -> None:
    """Guard against one engine that drowns in a hot prefix."""
    used = _engines_used(context, rate)
    assert used >= bound, used


@then(
    'placement notices of {count:d} placements in a second stay within '
    '{bound:d} bytes and keep the recomputed ones',
)
def then_budget(context: Context, count: int, bound: int) -> None:
    """Guard against notices that grow with the traffic."""
    outbox = NoticeOutbox(bound / 5)
    kept = []
    for number in range(count):
        notice = PlacementNotice(
            engine=_engine(0),
            incarnation='i',
            levels=(),
            missing_tokens=1000 if number % 10 == 0 else 10,
            placed_at=number * 5,
        )
        importance = notice.missing_tokens / 1000
        outbox.offer(notice, importance, number * 5)
        kept.extend(outbox.take())
    assert sum(notice.size for notice in kept) <= bound
    large = [notice for notice in kept if notice.missing_tokens == 1000]
    assert len(large) == count // 10


@then(
    'a placement with a deadline of {deadline:d} ms leaves the holder with a '
    'queue of {queue:d} ms',
)
def then_deadline(context: Context, deadline: int, queue: int) -> None:
    """Guard against keeping the cache and missing the deadline."""
    router = context.placers[0]
    holder = router.place('p', 10)[0]
    number = holder.port - 9000
    router.table.update_report(_report(number, queue * 20, 20), 20)
    assert router.place('p', 20, deadline=60_000)[0] == holder
    chosen = router.place('p', 20, deadline=20 + deadline)[0]
    assert chosen != holder
