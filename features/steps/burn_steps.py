"""Steps for objectives, burn rates and their report."""

import contextlib
import io
import json
import random
from collections import Counter
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from rich.console import Console
from twisted.internet import reactor

from features.loop import wait_for_call, wait_until
from features.membership_node import MembershipNode
from yuccagauge.burn.base import (
    Indicator,
    RequestSample,
    Series,
    judge,
)
from yuccagauge.burn.codec import (
    BurnFormatError,
    decode_buckets,
    encode_buckets,
)
from yuccagauge.burn.page import print_report, render_page
from yuccagauge.burn.report import build_report, burn_document
from yuccagauge.burn.state import MAXIMUM_SERIES, BurnState
from yuccagauge.burn.store import BurnExchange, BurnStore
from yuccagauge.burn.windows import BurnView
from yuccagauge.clock import ManualClock, Millis
from yuccagauge.settings.document import ObjectiveSection

_PROPERTY = settings(derandomize=True, database=None, deadline=None)
_MINUTE = 60_000
_NOW = Millis(1_796_000_000_000)
_TARGET = 0.99
_OBJECTIVE = ObjectiveSection()
_INDICATORS = {
    'availability': Indicator.AVAILABILITY,
    'first token': Indicator.FIRST_TOKEN,
    'between': Indicator.BETWEEN_TOKENS,
    'waste': Indicator.WASTE,
}


def _series(customer: str = 'namport') -> Series:
    return Series(
        service='matcher-llm',
        objective='dawn',
        customer=customer,
        priority=1,
    )


_ADDITIONS = st.lists(
    st.tuples(st.sampled_from('ab'), st.integers(0, 120), st.booleans()),
    max_size=30,
)


def _add(state: BurnState, customer: str, minute: int, is_bad: bool) -> None:
    counts = (1, 0, int(is_bad), 0, 0)
    wall = Millis(_NOW + minute * _MINUTE)
    state.add(_series(customer), counts, wall)


@then('any burn states merge to one state in any order')
def then_merge(context: Context) -> None:
    """Pushes may be lost, repeated and reordered."""

    @_PROPERTY
    @for_any(_ADDITIONS, st.randoms(use_true_random=False))
    def check(additions: list[Any], source: random.Random) -> None:
        state = BurnState()
        pushes: list[bytes] = []
        for addition in additions:
            _add(state, *addition)
            pushes.append(encode_buckets(state.buckets()))
        source.shuffle(pushes)
        copy = BurnState()
        for packed in (*pushes, *pushes):
            copy.merge(decode_buckets(packed))
        assert dict(copy.buckets()) == dict(state.buckets())

    check()


@then('any burn totals equal a plain count within the window')
def then_totals(context: Context) -> None:
    """An hour is counted in minutes, with the running one at the end."""

    @_PROPERTY
    @for_any(_ADDITIONS)
    def check(additions: list[Any]) -> None:
        # Rings forget what is old, so that time must not run back.
        additions.sort(key=lambda addition: addition[1])
        state = BurnState()
        expected: Counter[str] = Counter()
        for customer, minute, is_bad in additions:
            _add(state, customer, minute, is_bad)
            expected[customer] += int(60 < minute <= 120)
        wall = Millis(_NOW + 120 * _MINUTE)
        for customer in 'ab':
            window = Millis(60 * _MINUTE)
            total = state.total(_series(customer), window, wall)
            assert total[0] == expected[customer]

    check()


@then(
    'a burn sample {answered} with {first} ms, {between} ms and {waste:d} of '
    '100 tokens misses {misses}',
)
def then_judged(
    context: Context,
    answered: str,
    first: str,
    between: str,
    waste: int,
    misses: str,
) -> None:
    """Exactly the bound is still met."""
    sample = RequestSample(
        service='matcher-llm',
        customer='namport',
        priority=1,
        is_answered=answered == 'answered',
        time_to_first_token=None if first == 'none' else float(first),
        time_between_tokens=None if between == 'none' else float(between),
        prompt_tokens=100,
        wasted_tokens=waste,
    )
    counts = judge(sample, _OBJECTIVE)
    found = {name for name, place in _INDICATORS.items() if counts[place]}
    wanted = set() if misses == 'nothing' else set(misses.split(', '))
    assert found == wanted, counts


@given(
    'burn counts at target 0.99 where {bad:g} % miss for the last '
    '{minutes:d} minutes',
)
def given_counts(context: Context, bad: float, minutes: int) -> None:
    """Three days of traffic, 1,000 requests in each bucket of a minute."""
    context.state = BurnState()
    context.wall = _NOW
    for minute in range(4320, -1, -1):
        misses = round(bad * 10) if minute < minutes else 0
        wall = Millis(_NOW - minute * _MINUTE)
        context.state.add(_series(), (1000, 0, misses, 0, 0), wall)


@when('{minutes:d} minutes of good burn counts follow')
def when_good(context: Context, minutes: int) -> None:
    """The cause of the misses has ended."""
    for _ in range(minutes):
        context.wall = Millis(context.wall + _MINUTE)
        context.state.add(_series(), (1000, 0, 0, 0, 0), context.wall)


@then('the burn alerts are "{names}"')
def then_alerts(context: Context, names: str) -> None:
    """Compare the rules that are raised."""
    raised = BurnView([context.state]).alerts(
        [_series()],
        Indicator.FIRST_TOKEN,
        _TARGET,
        context.wall,
    )
    assert [rule.name for rule in raised] == list(
        filter(None, names.split(', '))
    )


@then('the burn alerts are ""')
def then_no_alerts(context: Context) -> None:
    """None is raised."""
    then_alerts(context, '')


@then('{count:d} burn customers take {series:d} series, and no request is lost')
def then_bounded(context: Context, count: int, series: int) -> None:
    """Memory is bounded, and the sum stays right."""
    state = BurnState()
    for index in range(count):
        state.add(_series(f'customer-{index}'), (1, 0, 0, 0, 0), _NOW)
    assert len(state) <= MAXIMUM_SERIES + 1
    window = Millis(_MINUTE)
    total = sum(state.total(one, window, _NOW)[0] for one in state.series)
    assert total == count


@then('the burn decoder refuses damaged bytes cleanly')
def then_damaged(context: Context) -> None:
    """Bytes come from another router and may be anything."""
    state = BurnState()
    _add(state, 'a', 0, is_bad=True)
    sound = encode_buckets(state.buckets())

    @_PROPERTY
    @for_any(st.binary(max_size=50), st.integers(0, len(sound) - 1))
    def check(noise: bytes, place: int) -> None:
        for packed in (noise, sound[:place], sound[:place] + noise):
            with contextlib.suppress(BurnFormatError):
                decode_buckets(packed)

    check()


class _BurnRouter:
    """A store with its exchange on a membership."""

    def __init__(self, name: str, seeds: str) -> None:
        self.node = MembershipNode(name, seeds)
        self.store = BurnStore(name, ManualClock(_NOW))
        self.store.configure('matcher-llm', {'dawn': _OBJECTIVE})
        self.exchange = BurnExchange(
            self.store,
            self.node.service,
            self.node.client,
            self.node.server,
            reactor,
        )

    def count(self, requests: int) -> None:
        """Count good requests."""
        for _ in range(requests):
            self.store.record(_sample())

    def counted(self, origin: str) -> int:
        """Return the requests of one origin that are known here."""
        state = self.store.states.get(origin)
        if state is None:
            return 0
        return state.total(_series(), Millis(_MINUTE), _NOW)[0]


def _sample(first_token: float = 100) -> RequestSample:
    return RequestSample(
        service='matcher-llm',
        customer='namport',
        priority=1,
        is_answered=True,
        time_to_first_token=first_token,
    )


@given('3 burn routers of which the first has counted {count:d} requests')
def given_routers(context: Context, count: int) -> None:
    """Start them on one membership."""
    seed = _BurnRouter('seed', '')
    address = str(seed.node.server.endpoint)
    first = _BurnRouter('first', address)
    context.others = [seed, _BurnRouter('third', address)]
    context.first = first
    for router in (first, *context.others):
        context.add_cleanup(wait_for_call, router.node.close)
    wait_until(lambda: len(first.node.service.live()) == 3)
    first.count(count)


def _push_until(router: _BurnRouter, others: list[Any], count: int) -> None:
    router.exchange.push()
    wait_until(lambda: router.exchange.is_restored)
    router.exchange.push()
    wait_until(
        lambda: all(other.counted('first') == count for other in others),
    )


@when('the first burn router has pushed its counts')
def when_pushed(context: Context) -> None:
    """The first push looks for earlier counts, the second one sends."""
    _push_until(context.first, context.others, 10)


@when(
    'the first burn router is replaced by a process that counts '
    '{count:d} requests',
)
def when_replaced(context: Context, count: int) -> None:
    """Kill the old process without a last push."""
    wait_for_call(context.first.node.close)
    address = str(context.others[0].node.server.endpoint)
    context.first = _BurnRouter('first', address)
    node = context.first.node
    context.add_cleanup(wait_for_call, node.close)
    wait_until(lambda: len(node.service.live()) == 3)
    context.first.count(count)


@then('the new burn process has counted {count:d} requests')
def then_restored(context: Context, count: int) -> None:
    """Counts of both processes are added, once."""
    context.first.exchange.push()
    wait_until(lambda: context.first.exchange.is_restored)
    assert context.first.counted('first') == count


@then('a push of the new burn process gives every holder {count:d} requests')
def then_held(context: Context, count: int) -> None:
    """The copies follow the new process."""
    _push_until(context.first, context.others, count)


@given(
    '2 burn admin interfaces that share the counts of {count:d} requests, '
    '{late:d} of them late',
)
def given_admin(context: Context, count: int, late: int) -> None:
    """The second router holds a copy of the first one's counts."""
    stores = [BurnStore(name, ManualClock(_NOW)) for name in ('a', 'b')]
    for number in range(count):
        stores[0].configure('matcher-llm', {'dawn': _OBJECTIVE})
        stores[0].record(_sample(900 if number < late else 100))
    stores[1].hold('a', encode_buckets(stores[0].own.buckets()))
    context.documents = [
        json.loads(json.dumps(burn_document(store, _NOW))) for store in stores
    ]


@when('the burn report is written from both')
def when_reported(context: Context) -> None:
    """Render the page and the terminal view."""
    report = build_report(context.documents)
    context.report = report
    context.page = render_page(report)
    buffer = io.StringIO()
    print_report(report, Console(file=buffer, width=200))
    context.terminal = buffer.getvalue()


@then(
    'the burn page has {count:d} requests and a spent budget, with one picture',
)
def then_page(context: Context, count: int) -> None:
    """40 % misses of 1 % allowed leave 1 - 40 of the budget."""
    lines = {line.indicator: line for line in context.report.summary}
    line = lines[Indicator.FIRST_TOKEN]
    assert line.requests == count
    assert round(line.budget_left) == -39
    assert context.page.count('data:image/png;base64,') == 1
    assert '-3900.0 %' in context.page
    assert 'customer namport' in context.page


@then('the burn terminal view has {count:d} requests')
def then_terminal(context: Context, count: int) -> None:
    """The same figures, in a table."""
    rows = [
        row for row in context.terminal.splitlines() if 'first token' in row
    ]
    assert len(rows) == 1, context.terminal
    assert f' {count} ' in rows[0], rows[0]
