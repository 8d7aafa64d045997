"""Steps for the exchange between routers."""

import itertools
import json
from collections import Counter
from dataclasses import dataclass, replace
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from klein import Klein
from twisted.internet import reactor
from twisted.web.server import Site

from features.loop import wait_for_call, wait_until
from yuccagauge.adoption.fold import Snapshot
from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.claims.client import ForwardError
from yuccagauge.clock import Millis, SystemClock
from yuccagauge.load.base import EngineReport
from yuccagauge.peering.demand import DemandExchange
from yuccagauge.peering.engines import own_share
from yuccagauge.peering.hooks import PeeringHooks
from yuccagauge.peering.load import LoadExchange
from yuccagauge.peering.notices import HeardSuspicion
from yuccagauge.peering.polling import EventBudget, parse_events
from yuccagauge.peering.readings import pack_readings, unpack_readings
from yuccagauge.peering.service import Peering
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.process import build_router_settings

_ENGINE = Endpoint('10.0.0.1', 9101)
_SERVER = Endpoint('10.0.0.2', 9102)
_FINGERPRINT = b'0123456789abcdef'
# As long as quarantine makes them: an address and 32 digits. Names that
# were cut off once counted one crash twice.
_CRASH = f'10.100.200.100:9101/{"1" * 32}'
_CLEARED_CRASH = f'10.100.200.100:9101/{"1" * 31}2'
_SERVICE = 'matcher-llm'
_LOAD = {
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


def _report(engine: Endpoint = _ENGINE, **changes: Any) -> EngineReport:
    fields = {**_LOAD, **changes}
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
        exchange.set_engines([_ENGINE])
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
    assert report.engine == _ENGINE
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
    page = parse_events(_ENGINE, json.dumps(body).encode(), after)
    assert page.has_gap is (gap == 'yes')
    assert page.last == end - 1
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


class _Store:
    """A document store without a log."""

    services = (_SERVICE,)

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None

    @property
    def versions(self) -> dict[str, int]:
        """The version in force."""
        return {_SERVICE: self.snapshot.version} if self.snapshot else {}

    def is_behind(self, service: str, version: int) -> bool:
        """Compare with what is held."""
        return version > self.versions.get(service, -1)

    def serve(self, service: str) -> Snapshot | None:
        """Return what is held."""
        return self.snapshot

    def offer(self, service: str, snapshot: Snapshot) -> bool:
        """Take a higher version."""
        if not self.is_behind(service, snapshot.version):
            return False
        self.snapshot = snapshot
        return True

    def publish(self, version: int) -> None:
        """Put a version in force."""
        sections = {'service': {'name': _SERVICE}}
        self.snapshot = Snapshot(
            version=version,
            as_of=version + 1,
            sections=sections,
        )


@dataclass
class _Suspicions:
    """A table of suspicions that only collects."""

    own: tuple[HeardSuspicion, ...] = ()
    heard: tuple[Any, ...] = ()

    def export(self, limit: int, now: Millis) -> tuple[HeardSuspicion, ...]:
        """Return the own ones."""
        return tuple(itertools.islice(self.own, limit))

    def merge(self, suspicions: tuple[Any, ...], now: Millis) -> None:
        """Collect a peer's."""
        self.heard += suspicions


class _Router:
    """A peering object whose hooks collect what arrives."""

    def __init__(self, name: str, seeds: str, engine: Endpoint) -> None:
        self.store = _Store()
        self.suspicions = _Suspicions()
        self.reports: list[EngineReport] = []
        self.leaving: list[frozenset[Endpoint]] = []
        self.preloaded: tuple[HotPrefix, ...] = ()
        self.demand: dict[str, float] = {}
        self.engine = engine
        router = {'name': name, 'region': 'khomas', 'data_centre': 'khomas-a'}
        router |= {'services': _SERVICE}
        addresses = ('listen', 'peer_listen', 'admin_listen')
        router |= dict.fromkeys(addresses, '127.0.0.1:0')
        raw = {
            'router': router,
            'platform': {'log': '127.0.0.1:1', 'vm_list': '127.0.0.1:1'},
            'peers': {'probe_period_ms': '200', 'seeds': seeds},
        }
        self.peering = Peering(
            build_router_settings(raw, 'test'),
            reactor,
            SystemClock(),
        )
        self.peering.start(self._hooks(name))
        self.peering.configure()

    def _hooks(self, name: str) -> PeeringHooks:
        hot = HotPrefix(
            digest=b'\x01' * 16,
            tokens=900,
            engine=_ENGINE,
            incarnation='i1',
            rate=2.5,
        )
        return PeeringHooks(
            store=self.store,
            quarantine=self.suspicions,
            answer_claim=lambda payload: bytes(reversed(payload)),
            engines=lambda: {self.engine: 'khomas-a'},
            customers=lambda: ('namport',),
            report=self.reports.append,
            event=lambda event: None,
            gap=lambda engine: None,
            hot=lambda limit: (hot,) if name == 'first' else (),
            preload=self._preload,
            demand=lambda: {'namport': 3.5},
            set_peers=self._set_peers,
            leaving=self.leaving.append,
        )

    def _preload(self, prefixes: tuple[HotPrefix, ...]) -> None:
        self.preloaded = prefixes

    def _set_peers(self, live: int, demand: Any) -> None:
        self.demand = dict(demand)


def _answer_load(request: Any) -> bytes:
    measured = SystemClock().wall()
    return json.dumps({**_LOAD, 'measured_ms': measured}).encode()


@given(
    '2 peering routers, the first one with a document at version {version:d}',
)
def given_routers(context: Context, version: int) -> None:
    """Start an engine's load interface and both routers."""
    app = Klein()
    app.route('/load')(_answer_load)
    port = reactor.listenTCP(0, Site(app.resource()), interface='127.0.0.1')
    engine = Endpoint('127.0.0.1', port.getHost().port)
    context.engine = engine
    context.first = _Router('first', '', engine)
    seed = str(context.first.peering.server.endpoint)
    context.first.store.publish(version)
    context.second = _Router('second', seed, engine)
    context.add_cleanup(wait_for_call, port.stopListening)
    for router in (context.first, context.second):
        context.add_cleanup(wait_for_call, router.peering.close)


@then('the second peering router gets the document at version {version:d}')
def then_document(context: Context, version: int) -> None:
    """Version and offset arrive together."""
    store = context.second.store
    wait_until(lambda: store.versions.get(_SERVICE) == version)
    assert store.snapshot.as_of == version + 1
    assert store.snapshot.sections == {'service': {'name': _SERVICE}}


@when('the first peering router publishes the document at version {version:d}')
def when_published(context: Context, version: int) -> None:
    """A newer version comes into force at one router."""
    context.first.store.publish(version)


@then('both peering routers get the load of the one engine')
def then_load(context: Context) -> None:
    """One of them polls it, the other one hears of it."""
    routers = (context.first, context.second)
    wait_until(lambda: all(router.reports for router in routers))
    polled = [each.peering._engines.polled for each in routers]
    assert sorted(map(len, polled)) == [0, 1], polled
    for router in routers:
        report = router.reports[-1]
        assert (report.engine, report.running) == (context.engine, 3)


@then('both peering routers know a demand of {rate:d} requests/s')
def then_known_demand(context: Context, rate: int) -> None:
    """Share at once instead of after the period."""
    routers = (context.first, context.second)

    def has_arrived() -> bool:
        for each in routers:
            each.peering._share_demand()
        return all(router.demand == {'namport': rate} for router in routers)

    wait_until(has_arrived)


@then("the second peering router is warmed with the first's hot prefixes")
def then_warm(context: Context) -> None:
    """A restarted router starts with what its neighbours know."""
    wait_until(lambda: bool(context.second.preloaded))
    hot = context.second.preloaded[0]
    assert (hot.tokens, hot.rate, hot.engine) == (900, 2.5, _ENGINE)


@when('the first peering router finds a server leaving')
def when_leaving(context: Context) -> None:
    """A refusal or a load report said so."""
    context.first.peering.notify_leaving(_SERVER)


@then('the second peering router takes the server as leaving')
def then_leaving(context: Context) -> None:
    """Wait for the notice."""
    wait_until(lambda: context.second.leaving == [frozenset((_SERVER,))])


@when('a request crashes an engine at the first peering router')
def when_crashed(context: Context) -> None:
    """Give the first router a suspicion."""
    context.first.suspicions.own = (
        HeardSuspicion(
            fingerprint=_FINGERPRINT,
            crashes=frozenset((_CRASH, _CLEARED_CRASH)),
            cleared=frozenset((_CLEARED_CRASH,)),
            age=Millis(1000),
        ),
    )


@then('the second peering router suspects the request')
def then_suspects(context: Context) -> None:
    """Each crash arrives with what became of it."""
    table = context.second.suspicions
    wait_until(lambda: len(table.heard) >= 2)
    crashes = {tuple(found.crashes): found.cleared for found in table.heard}
    assert crashes == {
        (_CRASH,): frozenset(),
        (_CLEARED_CRASH,): frozenset((_CLEARED_CRASH,)),
    }
    assert all(found.fingerprint == _FINGERPRINT for found in table.heard)
    assert all(1000 <= found.age < 30_000 for found in table.heard)


@then('a claim forwarded to the first peering router is answered')
def then_forwarded(context: Context) -> None:
    """The payload is passed on as it is."""
    forwarder = context.second.peering.forwarder
    assert forwarder.routers == ('first',)
    timeout = Millis(5000)
    answer = wait_for_call(forwarder.forward, 'first', b'abc', timeout)
    assert answer == b'cba'


@then('a claim forwarded to an unknown peering router fails')
def then_not_forwarded(context: Context) -> None:
    """The error is the one that the claims expect."""
    forwarder = context.second.peering.forwarder
    try:
        wait_for_call(forwarder.forward, 'third', b'abc', Millis(5000))
    except ForwardError:
        return
    raise AssertionError('the claim was answered')
