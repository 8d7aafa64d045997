"""Steps for the orders of the leader, on a virtual clock."""

from itertools import pairwise

from behave import given, then, when
from behave.runner import Context
from twisted.internet.task import Clock as TaskClock

from features.rollout_engines import (
    MODEL,
    SimulatedEngines,
    SimulatedStore,
    TargetDecoder,
    VirtualClock,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.rollout.driver import DRAIN_NOTICE, RolloutDriver
from yuccagauge.rollout.election import RENEWALS_PER_LEASE, LeaderElection
from yuccagauge.rollout.leaderlease import LeaderLease
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.selector import Selector

_LEASE = Millis(3000)


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
    context.directory.apply_records(Topic.SERVERS, records, count, Millis(0))
    config = KeyedRecord(key='config', offset=0, value=b'1')
    context.directory.apply_records(Topic.OPERATIONS, (config,), 1, Millis(0))
    selector.update_fleet_view(
        FleetView(servers=dict(context.directory.servers))
    )
    leader_lease = LeaderLease(
        'router', _LEASE, context.clock.now(), engines_check_fences=True
    )
    context.election = LeaderElection(
        'router',
        context.store,
        leader_lease,
        reactor,
        context.clock,
        lease_duration=_LEASE,
    )
    driver = RolloutDriver(
        leader_lease,
        context.engines,
        context.directory,
        selector,
        reactor,
        context.clock,
        load_share=0.4,
    )

    def loaded(name: str, model: str, version: int) -> None:
        selector.load_of(name).reported_weights[model] = version

    context.announced = []

    def announce(names: tuple[str, ...], duration: Millis) -> None:
        context.announced.append((context.clock.now(), names, duration))

    driver.on_engines_paused = announce
    driver.on_weights_loaded = loaded
    context.election.on_leadership_change = driver.set_leading
    driver.start()
    context.election.start()
    context.add_cleanup(context.election.close)
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
            key=f'v/{MODEL}',
            offset=version,
            value=b'%d' % version,
        )
        context.directory.apply_records(
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


@then('no announcement repeats the one before it within {ms:d} ms')
def check_announcements(context: Context, ms: int) -> None:
    """Guard against messages to a whole fleet that say nothing new."""
    drains = [
        (at, names)
        for at, names, duration in context.announced
        if duration == DRAIN_NOTICE
    ]
    assert drains
    for before, after in pairwise(drains):
        is_news = before[1] != after[1]
        assert is_news or after[0] - before[0] >= ms, (before, after)


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
    context.election.close()


@then('the lead is free at once')
def check_free(context: Context) -> None:
    """Compare the last record."""
    assert context.store.holders[-1] == ''
