"""Steps for the rollout of weights."""

from collections import Counter
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import strategies as st
from twisted.internet.defer import fail, succeed
from twisted.internet.task import Clock as TaskClock

from features.properties import REPEATABLE
from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    CallerLimits,
    Configuration,
    ServerState,
    ServiceSpec,
    WeightsTarget,
)
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.rollout.base import (
    EngineReport,
    LeadView,
    OrderAnswer,
    WeightsOrder,
)
from yuccagauge.rollout.driver import RolloutDriver
from yuccagauge.rollout.keeper import RENEWALS_PER_LEASE, LeadKeeper
from yuccagauge.rollout.lead import Lead
from yuccagauge.rollout.plan import EngineWeights, due_order, next_drains
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

_LEASE = Millis(3000)
_MODEL = 'm'
_NOW = Millis(10_000)


class VirtualClock:
    """Reads the time of a virtual reactor."""

    def __init__(self, reactor: TaskClock) -> None:
        """Keep the reactor."""
        self._reactor = reactor

    def now(self) -> Millis:
        """Return the reactor's time, in ms."""
        return Millis(round(self._reactor.seconds() * 1000))

    def wall(self) -> Millis:
        """Return the same."""
        return self.now()


def _server(number: int) -> BackendServer:
    return BackendServer(
        server_id=f'e{number}',
        service='s',
        endpoint=Endpoint('127.0.0.1', number + 1),
        data_centre='a',
        slots=8,
        state=ServerState.READY,
        weights={_MODEL: 1},
    )


@then(
    'in any history of renewals, two routers that {how} are never allowed to '
    'order within {gap:d} ms'
)
def check_leads(context: Context, how: str, gap: int) -> None:
    """Guard against two leaders at once, over lost and late answers."""
    trusts = how != 'do not trust fences'
    hears = how == 'hear each other'
    answers = st.lists(
        st.tuples(
            st.integers(100, 2500),
            st.integers(0, 1),
            st.booleans(),
            st.integers(0, 900),
        ),
        max_size=30,
    )

    @REPEATABLE
    @forall(answers)
    def play(steps: list[tuple[int, int, bool, int]]) -> None:
        start = Millis(-100_000)
        leads = tuple(
            Lead(f'r{number}', _LEASE, start, trusts_fences=trusts)
            for number in range(2)
        )
        holders: list[str] = []
        now = 0
        last_order = [-100_000, -100_000]
        for pause, asker, is_answered, late in steps:
            now += pause
            _keep_lead(leads[asker], asker, holders, now, is_answered, late)
            for moment in range(now, now + late + 1, 100):
                _order_where_allowed(leads, last_order, moment, gap, hears)

    play()


def _keep_lead(
    lead: Lead,
    asker: int,
    holders: list[str],
    now: int,
    is_answered: bool,
    late: int,
) -> None:
    """Renew or take the lead as the driver does, over a store in memory."""
    after = Millis(now + late)
    if not lead.is_leader:
        if not is_answered:
            return
        holder = holders[-1] if holders else ''
        lead.seen(LeadView(end=len(holders), holder=holder), after)
        if not lead.may_take(Millis(now)):
            return
    if lead.end != len(holders):
        lead.lost()
        return
    holders.append(f'r{asker}')
    if is_answered:
        lead.wrote(len(holders) - 1, Millis(now), after)


def _order_where_allowed(
    leads: tuple[Lead, ...],
    last_order: list[int],
    moment: int,
    gap: int,
    hears: bool,
) -> None:
    """Order by each router that may, and check the time between two."""
    for index, lead in enumerate(leads):
        if lead.fence(Millis(moment)) is None:
            continue
        other = 1 - index
        assert moment - last_order[other] >= gap, (moment, last_order)
        last_order[index] = moment
        if hears:
            leads[other].heard_order(Millis(moment))


@given('engines with weights "{weights}" and the newest version {newest:d}')
def engines_with_weights(context: Context, weights: str, newest: int) -> None:
    """Keep the versions by number of the engine."""
    context.versions = [int(word) for word in weights.split()]
    context.targets = {_MODEL: newest}


@given('of these "{loading}" load since {ms:d} ms and "{draining}" drain')
@given('of these "{loading}" load since {ms:d} ms and "" drain')
@given('of these "" load since {ms:d} ms and "{draining}" drain')
@given('of these "" load since {ms:d} ms and "" drain')
def engines_in_work(
    context: Context,
    ms: int,
    loading: str = '',
    draining: str = '',
) -> None:
    """Build the engines."""
    context.engines = [
        EngineWeights(
            server=_server(number),
            model=_MODEL,
            version=version,
            active=number % 2,
            is_loading=str(number) in loading.split(),
            ordered_at=(
                Millis(_NOW - ms) if str(number) in loading.split() else None
            ),
            draining_since=(
                Millis(_NOW - ms) if str(number) in draining.split() else None
            ),
        )
        for number, version in enumerate(context.versions)
    ]


@then('the engines "{expected}" drain next with a share of {share:g}')
@then('the engines "" drain next with a share of {share:g}')
def check_drains(context: Context, share: float, expected: str = '') -> None:
    """Compare the engines in their order."""
    found = next_drains(context.engines, context.targets, share, 1500, _NOW)
    names = [engine.server.server_id for engine in found]
    assert names == [f'e{word}' for word in expected.split()], names


@then(
    'an engine with {active:d} calls, {fixed:d} of them fixed, drained for '
    '{ms:d} ms swaps by "{mode}"'
)
def check_mode(
    context: Context,
    active: int,
    fixed: int,
    ms: int,
    mode: str,
) -> None:
    """Compare the way of the swap."""
    engine = EngineWeights(
        server=_server(0),
        model=_MODEL,
        version=1,
        active=active,
        fixed=fixed,
        draining_since=Millis(_NOW - ms),
    )
    found = due_order(engine, _NOW)
    assert (found.value if found else 'wait') == mode


class SimulatedEngines:
    """Engines that take orders as the platform's engines do."""

    def __init__(self, count: int, load_s: float, reactor: TaskClock) -> None:
        """Start with version 1 everywhere."""
        self.versions = {f'e{number}': 1 for number in range(count)}
        self.numbers: Counter[str] = Counter()
        self.busy: dict[str, bool] = {}
        self.history: dict[str, list[int]] = {
            name: [1] for name in self.versions
        }
        self.most_loading = 0
        self.ordered_at: list[float] = []
        self.unanswered: set[str] = set()
        self.late_s = float(0)
        self._load_s = load_s
        self._reactor = reactor

    def report(self, server: BackendServer) -> Any:
        """Return a report without lag."""
        name = server.server_id
        return succeed(
            EngineReport(
                is_busy=self.busy.get(name, False),
                order_number=self.numbers[name],
                weights={_MODEL: self.versions[name]},
            ),
        )

    def order(self, order: WeightsOrder) -> Any:
        """Take an order, or lose it on the way."""
        name = order.server.server_id
        self.ordered_at.append(self._reactor.seconds())
        if name in self.unanswered:
            self.unanswered.discard(name)
            self._reactor.callLater(self.late_s, self._take, order)
            return fail(FetchError('lost', Verdict.MAY_HAVE_RUN))
        return succeed(self._take(order))

    def _take(self, order: WeightsOrder) -> OrderAnswer:
        name = order.server.server_id
        if self.busy.get(name) or order.expected_number != self.numbers[name]:
            return OrderAnswer.CONFLICT
        if self.versions[name] == order.version:
            return OrderAnswer.HOLDS
        self.numbers[name] += 1
        self.busy[name] = True
        self.most_loading = max(self.most_loading, sum(self.busy.values()))
        self._reactor.callLater(
            self._load_s,
            self._loaded,
            name,
            order.version,
        )
        return OrderAnswer.ACCEPTED

    def _loaded(self, name: str, version: int) -> None:
        self.busy[name] = False
        self.versions[name] = version
        self.history[name].append(version)


class SimulatedStore:
    """Records of the lead, of which other routers write none."""

    def __init__(self) -> None:
        """Start with the store up and without records."""
        self.is_out = False
        self.loses_answers = False
        self.holders: list[str] = []

    def read_lead(self) -> Any:
        """Return the state of the lead."""
        if self.is_out:
            return fail(StoreUnavailableError('out'))
        holder = self.holders[-1] if self.holders else ''
        return succeed(LeadView(end=len(self.holders), holder=holder))

    def write_lead(self, holder: str, end: int) -> Any:
        """Write a record under its condition."""
        if self.is_out:
            return fail(StoreUnavailableError('out'))
        if end != len(self.holders):
            return succeed(False)
        self.holders.append(holder)
        if self.loses_answers:
            return fail(StoreUnavailableError('lost'))
        return succeed(True)


class TargetDecoder:
    """Reads ``NUMBER`` as a weights target."""

    def decode_operation(self, key: str, value: bytes) -> Any:
        """Return a target, or the configuration with one service."""
        if key != 'config':
            return WeightsTarget(model=_MODEL, version=int(value))
        service = ServiceSpec(
            name='s',
            health_path='',
            connection_limit=1,
            is_model=True,
        )
        return Configuration(
            version=1,
            routes=(),
            services={'s': service},
            customers=(),
            limits=CallerLimits(),
        )

    def decode_server(self, key: str, value: bytes) -> BackendServer:
        """Return an engine with version 1."""
        return _server(int(key.removeprefix('e')))


@given(
    '{count:d} engines that load weights in {ms:d} ms and a router that leads'
)
def start_driver(context: Context, count: int, ms: int) -> None:
    """Start a driver on a virtual clock, past its first lease."""
    reactor = TaskClock()
    context.reactor = reactor
    context.engines = SimulatedEngines(count, ms / 1000, reactor)
    context.store = SimulatedStore()
    context.directory = Directory(TargetDecoder())
    context.clock = VirtualClock(reactor)
    selector = Selector('a', Millis(12_000))
    records = tuple(
        KeyedRecord(key=name, offset=offset, value=b'{}')
        for offset, name in enumerate(context.engines.versions)
    )
    context.directory.apply(Topic.SERVERS, records, count, Millis(0))
    config = KeyedRecord(key='config', offset=0, value=b'1')
    context.directory.apply(Topic.OPERATIONS, (config,), 1, Millis(0))
    selector.adopt(FleetView(servers=dict(context.directory.servers)))
    lead = Lead('router', _LEASE, context.clock.now(), trusts_fences=True)
    context.keeper = LeadKeeper(
        'router',
        context.store,
        lead,
        reactor,
        context.clock,
        lease=_LEASE,
    )
    driver = RolloutDriver(
        lead,
        context.engines,
        context.directory,
        selector,
        reactor,
        context.clock,
        share=0.4,
    )

    def loaded(name: str, model: str, version: int) -> None:
        selector.load(name).shown_weights[model] = version

    driver.on_loaded = loaded
    context.keeper.start()
    driver.start()
    context.add_cleanup(context.keeper.close)
    context.add_cleanup(driver.close)
    _advance(context, 4)


def _advance(context: Context, seconds: float) -> None:
    for _ in range(round(seconds / 0.05)):
        context.reactor.advance(0.05)


@given(
    'the first order to each engine gets no answer and is carried out '
    '{seconds:d} s later'
)
def lose_orders(context: Context, seconds: int) -> None:
    """Lose one order to each engine on the way."""
    context.engines.unanswered = set(context.engines.versions)
    context.engines.late_s = float(seconds)


@when('the versions 2, 3 and 4 are named {seconds:d} s apart')
def name_versions(context: Context, seconds: int) -> None:
    """Name three versions."""
    for version in (2, 3, 4):
        record = KeyedRecord(
            key=f'v/{_MODEL}',
            offset=version,
            value=b'%d' % version,
        )
        context.directory.apply(
            Topic.OPERATIONS,
            (record,),
            version + 1,
            context.clock.now(),
        )
        _advance(context, seconds)


@then('within {seconds:d} s all engines have version {version:d}')
def check_versions(context: Context, seconds: int, version: int) -> None:
    """Compare the versions after a time."""
    _advance(context, seconds)
    assert set(context.engines.versions.values()) == {version}


@then('at most {count:d} engines loaded at any time')
def check_loading(context: Context, count: int) -> None:
    """Compare the largest number of loads at once."""
    assert context.engines.most_loading <= count, context.engines.most_loading


@then('no engine went back to an older version')
def check_history(context: Context) -> None:
    """Check that each history only grows."""
    for history in context.engines.history.values():
        assert history == sorted(history), history


@when('the store is out for {seconds:d} s')
def store_out(context: Context, seconds: int) -> None:
    """Let the membership run out."""
    context.store.is_out = True
    _advance(context, seconds)


@then("no order was given in the outage's last second")
def check_no_order(context: Context) -> None:
    """Guard against orders of a router whose lead may have passed on."""
    _advance(context, 2)
    assert not context.engines.ordered_at


@when('the answers to {count:d} renewals are lost')
def lose_answers(context: Context, count: int) -> None:
    """Let records be written without an answer."""
    context.store.loses_answers = True
    _advance(context, count * _LEASE / 1000 / RENEWALS_PER_LEASE)
    context.store.loses_answers = False


@then('the router leads again within {seconds:g} s')
def check_leads_again(context: Context, seconds: float) -> None:
    """Name weights and wait for an order."""
    before = len(context.engines.ordered_at)
    name_versions(context, 0)
    _advance(context, seconds)
    assert len(context.engines.ordered_at) > before


@when('the router stops')
def stop_router(context: Context) -> None:
    """Close the driver as after SIGTERM."""
    context.keeper.close()


@then('the lead is free at once')
def check_free(context: Context) -> None:
    """Compare the last record."""
    assert context.store.holders[-1] == ''


@given('a router that heard an order of the leader {ms:d} ms ago')
def heard_leader(context: Context, ms: int) -> None:
    """Start a follower that knows of a leader."""
    context.lead = Lead('r1', _LEASE, Millis(0), trusts_fences=True)
    context.lead.heard_order(Millis(_NOW - ms))


@when('it takes the lead after the leader {end}')
def take_lead(context: Context, end: str) -> None:
    """Write the record that follows the one of the leader."""
    holder = '' if end == 'gave it up' else 'r0'
    seen_at = _NOW if not holder else Millis(_NOW - _LEASE)
    context.lead.seen(LeadView(end=7, holder=holder), seen_at)
    assert context.lead.may_take(_NOW)
    context.lead.wrote(7, _NOW, _NOW)


@then('it may order at once')
def check_at_once(context: Context) -> None:
    """Guard against a lease without orders after each planned stop."""
    assert context.lead.fence(_NOW) == 8


@then('it may order only after {ms:d} ms')
def check_order_later(context: Context, ms: int) -> None:
    """Guard against two leaders that take turns."""
    for passed in range(0, ms, 100):
        now = Millis(_NOW + passed)
        context.lead.wrote(context.lead.end, now, now)
        assert context.lead.fence(now) is None, passed
    now = Millis(_NOW + ms)
    context.lead.wrote(context.lead.end, now, now)
    assert context.lead.fence(now) is not None
