"""Steps for the exchange between routers."""

import json
from collections import Counter
from dataclasses import replace
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st

from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineReport
from yuccagauge.peering.demand import DemandExchange
from yuccagauge.peering.engines import own_share
from yuccagauge.peering.load import LoadExchange
from yuccagauge.peering.polling import EventBudget, parse_events
from yuccagauge.peering.readings import pack_readings, unpack_readings
from yuccagauge.settings.options import Endpoint

ENGINE = Endpoint('10.0.0.1', 9101)
LOAD = {
    'incarnation': 'i1',
    'weights_version': 'w7',
    'role': 'serve',
    'running': 3,
    'queued': 1,
    'queued_tokens': 1000,
    'used_blocks': 50,
    'total_blocks': 100,
    'measured_ms': 0,
}


def _report(engine: Endpoint = ENGINE, **changes: Any) -> EngineReport:
    fields = {**LOAD, **changes}
    fields.pop('measured_ms')
    return EngineReport(engine=engine, measured_at=Millis(0), **fields)


@then('any peering readings are within their error after a round trip')
def then_readings(context: Context) -> None:
    """The errors are those that the module states."""

    @settings(derandomize=True, database=None, deadline=None)
    @for_any(
        st.integers(0, 255),
        st.integers(0, 30_000),
        st.integers(0, 40_000_000),
        st.integers(0, 25_000),
    )
    def check(running: int, queued: int, tokens: int, used: int) -> None:
        report = _report(
            running=running,
            queued=queued,
            queued_tokens=tokens,
            used_blocks=used,
            total_blocks=25_000,
        )
        reading = unpack_readings(pack_readings([report]))[0]
        assert reading.running == running
        assert abs(reading.queued_tokens - tokens) <= 0.036 * (tokens + 1) + 1
        assert queued / 2 - 1 <= reading.queued <= 2 * queued + 1
        assert abs(reading.used_share - used / 25_000) <= 1 / 15

    check()


@given('two peering load exchanges that know the same engine')
def given_exchanges(context: Context) -> None:
    """One polls the engine, the other one listens."""
    context.near, context.far = LoadExchange(), LoadExchange()
    for exchange in (context.near, context.far):
        exchange.set_engines([ENGINE])
    context.near.take_own(_report())


@when('the peering share arrives without its identity')
def when_share_without_identity(context: Context) -> None:
    """The datagram with the identity was lost."""
    share = replace(context.near.share(Millis(0))[0], identities=())
    context.reports = context.far.receive(share, Millis(0))


@when('the peering share arrives with its identity')
def when_share_with_identity(context: Context) -> None:
    """The identity is repeated."""
    share = context.near.share(Millis(0))[0]
    context.reports = context.far.receive(share, Millis(0))


@when('the engine restarts and only the peering reading arrives')
def when_engine_restarted(context: Context) -> None:
    """The load of a new incarnation must not be given to the old one."""
    context.near.take_own(_report(incarnation='i2'))
    when_share_without_identity(context)


@then('the peering reading is left out')
def then_left_out(context: Context) -> None:
    """Nothing is handed on, and it is counted."""
    assert not context.reports
    assert context.far.left_out


@then('the peering reading gives the report of the engine')
def then_report(context: Context) -> None:
    """Compare what names the engine and its state."""
    report = context.reports[0]
    assert report.engine == ENGINE
    assert (report.incarnation, report.weights_version) == ('i1', 'w7')
    assert (report.running, report.used_blocks) == (3, 53)


def _divide(engines: list[Endpoint], names: list[str]) -> dict[Endpoint, str]:
    owners: dict[Endpoint, str] = {}
    for name in names:
        for engine in own_share(engines, name, names):
            assert engine not in owners, 'an engine has two owners'
            owners[engine] = name
    return owners


@then(
    'peering divides {engines:d} engines over {routers:d} routers, '
    'each to one of them',
)
def then_divided(context: Context, engines: int, routers: int) -> None:
    """An engine without a poller would have no load reports."""
    context.engines = [
        Endpoint(f'10.1.{index // 250}.{index % 250}', 9101)
        for index in range(engines)
    ]
    context.names = [f'entry-{index}' for index in range(routers)]
    context.owners = _divide(context.engines, context.names)
    assert len(context.owners) == engines
    shares = Counter(context.owners.values())
    assert max(shares.values()) < 3 * engines / routers, shares


@then('without one peering router only its engines move')
def then_few_move(context: Context) -> None:
    """A restart must not hand all engines to new pollers."""
    gone = context.names[7]
    rest = [name for name in context.names if name != gone]
    after = _divide(context.engines, rest)
    assert len(after) == len(context.engines)
    for engine, name in context.owners.items():
        assert name in {gone, after[engine]}


@given(
    'peering demand in {centres:d} data centres of {routers:d} routers, '
    'each with {rate:d} requests/s',
)
def given_demand(
    context: Context,
    centres: int,
    routers: int,
    rate: int,
) -> None:
    """Each router has the same demand of one customer."""
    context.exchanges = {
        (centre, index): DemandExchange(f'dc-{centre}')
        for centre in range(centres)
        for index in range(routers)
    }
    for exchange in context.exchanges.values():
        exchange.set_customers(['namport'])
        exchange.set_own({'namport': rate})
    context.now = Millis(0)


@when('the peering demand was exchanged for {rounds:d} rounds')
def when_demand_exchanged(context: Context, rounds: int) -> None:
    """Router 0 of each data centre is the summariser."""
    for _ in range(rounds):
        for (centre, index), exchange in context.exchanges.items():
            _send(context, exchange.own_share(), centre, index, near=True)
            if index == 0:
                others = exchange.others_share(context.now)
                _send(context, others, centre, index, near=True)
                total = exchange.centre_share(context.now)
                _send(context, total, centre, index, near=False)


def _send(
    context: Context,
    message: Any,
    centre: int,
    index: int,
    *,
    near: bool,
) -> None:
    for (other, number), exchange in context.exchanges.items():
        is_near = other == centre and number != index
        is_summariser = other != centre and number == 0
        if is_near if near else is_summariser:
            exchange.receive(message, f'{centre}-{index}', context.now)


@when('{duration:d} ms pass without peering demand')
def when_demand_silent(context: Context, duration: int) -> None:
    """Let everything that was heard expire."""
    context.now = Millis(context.now + duration)


@then('every router hears a peering demand of {rate:d} requests/s')
def then_demand(context: Context, rate: int) -> None:
    """A demand that is counted twice would halve the limits."""
    for place, exchange in context.exchanges.items():
        total = exchange.total(context.now)
        assert total == {'namport': rate}, (place, total)


@then(
    'peering events {numbers} of a page up to {end:d} after {after:d} '
    'have a gap: {gap}',
)
def then_gap(
    context: Context,
    numbers: str,
    end: int,
    after: int,
    gap: str,
) -> None:
    """A gap that is not seen leaves wrong expectations for long."""
    found = [] if numbers == 'none' else numbers.split(',')
    line = {'kind': 'stored', 'digest': 'ab', 'tokens': 5}
    body = {
        'incarnation': 'i1',
        'first': 0,
        'next': end,
        'events': [{**line, 'seq': int(number)} for number in found],
    }
    page = parse_events(ENGINE, json.dumps(body).encode(), after)
    assert page.has_gap is (gap == 'yes')
    assert page.last == (int(found[-1]) if found else after)
    assert [event.digest for event in page.events] == [b'\xab' for _ in found]


@then(
    'a peering budget of {rate:d} bytes/s lets {seconds:d} s pass between '
    'answers of {size:d} bytes',
)
def then_budget(context: Context, rate: int, seconds: int, size: int) -> None:
    """Count the answers that are read in 100 periods."""
    budget = EventBudget(rate)
    read = 0
    for second in range(100 * seconds):
        if budget.may_spend(Millis(second * 1000)):
            budget.spend(size)
            read += 1
    assert abs(read - 100) <= 1, read
