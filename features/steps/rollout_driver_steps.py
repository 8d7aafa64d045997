"""Steps for the orders that a leader gives, on a virtual clock."""

from collections.abc import Callable
from itertools import pairwise

from behave import given, then, when
from behave.runner import Context
from twisted.internet.task import Clock as TaskClock

from features.rollout_engines import (
    MODEL,
    ProcessReactor,
    SimulatedEngines,
    SimulatedStore,
    TargetDecoder,
    VirtualClock,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.rollout.driver import DRAIN_PAUSE, RolloutDriver
from yuccagauge.rollout.election import RENEWALS_PER_LEASE, LeaderElection
from yuccagauge.rollout.leaderlease import LeaderLease
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.load import ActiveCall
from yuccagauge.selection.selector import Selector

_LEASE = Millis(3000)

#: Time before the end of a pause at which another call fails, in ms.
_OVERLAP = 60


@given(
    '{count:d} engines that load weights in {ms:d} ms and a router that leads'
)
def start_driver(context: Context, count: int, ms: int) -> None:
    """Start a driver and advance past the first lease duration."""
    reactor = TaskClock()
    context.reactor = reactor
    context.engines = SimulatedEngines(count, ms / 1000, reactor)
    context.store = SimulatedStore()
    context.directory = Directory(TargetDecoder())
    context.clock = VirtualClock(reactor)
    selector = Selector('a', Millis(12_000))
    context.selector = selector
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
    _start_process(context)
    context.add_cleanup(_close_process, context)
    _advance(context, 4)


def _start_process(
    context: Context, is_candidate: Callable[[], bool] = lambda: True
) -> None:
    """Start the process of the router, again after it was killed."""
    selector = context.selector
    process = ProcessReactor(context.reactor)
    context.process = process
    context.leader_lease = LeaderLease(
        'router', _LEASE, context.clock.now(), engines_check_fences=True
    )
    context.election = LeaderElection(
        'router',
        context.store,
        context.leader_lease,
        process,
        context.clock,
        lease_duration=_LEASE,
        is_candidate=is_candidate,
    )
    driver = RolloutDriver(
        context.leader_lease,
        context.engines,
        context.directory,
        selector,
        process,
        context.clock,
        load_share=0.4,
    )

    def record_loaded(name: str, model: str, version: int) -> None:
        selector.load_of(name).reported_weights[model] = version

    context.announced = []

    def announce(server_ids: tuple[str, ...], duration: Millis) -> None:
        context.announced.append((context.clock.now(), server_ids, duration))

    driver.on_engines_paused = announce
    driver.on_weights_loaded = record_loaded
    context.election.on_leadership_change = driver.set_leading
    driver.start()
    context.election.start()
    context.driver = driver


def _close_process(context: Context) -> None:
    context.election.close()
    context.driver.close()


def _advance(context: Context, seconds: float) -> None:
    for _ in range(round(seconds / 0.05)):
        context.reactor.advance(0.05)


@given('engine {name} takes {limit:d} requests a second')
def limit_engine(context: Context, name: str, limit: int) -> None:
    """Name a rate limit."""
    now = context.clock.now()
    context.selector.limits.record_answer(name, limit, now, now)


@given('each engine starts again {ms:d} ms after its first order, unstated')
def restart_engines(context: Context, ms: int) -> None:
    """Let engines lose their orders; their entries stay as they are."""
    context.engines.restart_s = ms / 1000


@then('engine {name} is asked for its status at most {count:d} times in any s')
def check_status_requests(context: Context, name: str, count: int) -> None:
    """Guard against status requests that exceed the limit of an engine."""
    asked_at = context.engines.asked_at[name]
    worst = max(sum(end - 1 < at <= end for at in asked_at) for end in asked_at)
    assert worst <= count, worst


@given(
    'the first order to each engine gets no answer and arrives '
    '{seconds:d} s later'
)
def lose_orders(context: Context, seconds: int) -> None:
    """Delay one order to each engine and lose its answer."""
    context.engines.delayed = set(context.engines.versions)
    context.engines.order_delay_s = float(seconds)


@when('the versions 2, 3 and 4 become the target {seconds:d} s apart')
def set_target_versions(context: Context, seconds: int) -> None:
    """Set three target versions, one after the other."""
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


@given('the first order to each engine is answered 200 by somebody else')
def misanswer_orders(context: Context) -> None:
    """Let an order reach no engine, though it is answered."""
    context.engines.misanswered = set(context.engines.versions)


@then('within {seconds:d} s all engines have version {version:d}')
def check_versions(context: Context, seconds: int, version: int) -> None:
    """Compare the versions after the time."""
    _advance(context, seconds)
    assert set(context.engines.versions.values()) == {version}


@then('at most {count:d} engines loaded at the same time')
def check_loading(context: Context, count: int) -> None:
    """Compare the largest number of loads at once."""
    assert context.engines.maximum_loading <= count, (
        context.engines.maximum_loading
    )


@then('no announcement repeats the one before it within {ms:d} ms')
def check_announcements(context: Context, ms: int) -> None:
    """Guard against messages to the whole fleet that repeat the last one."""
    drains = [
        (at, server_ids)
        for at, server_ids, duration in context.announced
        if duration == DRAIN_PAUSE
    ]
    assert drains
    for before, after in pairwise(drains):
        is_change = before[1] != after[1]
        assert is_change or after[0] - before[0] >= ms, (before, after)


@then('no engine returned to an older version')
def check_history(context: Context) -> None:
    """Check that no engine's version decreases."""
    for history in context.engines.history.values():
        assert history == sorted(history), history


@when('the store is unavailable for {seconds:d} s')
def stop_store(context: Context, seconds: int) -> None:
    """Let the lease expire because it is not renewed."""
    context.store.is_unavailable = True
    _advance(context, seconds)


@then('no order is given during the outage')
def check_no_order(context: Context) -> None:
    """Guard against orders by a router whose lease may have a new holder."""
    _advance(context, 2)
    assert not context.engines.ordered_at


@given('the connection for each order opens after {ms:d} ms')
def open_late(context: Context, ms: int) -> None:
    """Lose the first packet of each connection."""
    context.engines.connect_s = ms / 1000


@when(
    'the store is unavailable from a renewal on, and version {version:d} '
    'becomes the target {seconds:d} s later'
)
def end_renewals(context: Context, version: int, seconds: int) -> None:
    """Let an order become due shortly before the end of the lease."""
    renewals = len(context.store.holders)
    while len(context.store.holders) == renewals:
        _advance(context, 0.05)
    context.renewed_at = context.reactor.seconds()
    context.store.is_unavailable = True
    _advance(context, seconds)
    record = KeyedRecord(key=f'v/{MODEL}', offset=2, value=b'%d' % version)
    context.directory.apply_records(
        Topic.OPERATIONS, (record,), 3, context.clock.now()
    )
    _advance(context, seconds)


@then(
    'an order waits for its connection, but none is sent later than {ms:d} ms '
    'after the renewal'
)
def check_late_orders(context: Context, ms: int) -> None:
    """Guard against orders beside those of the next holder of the lease."""
    sent = [
        1000 * (at - context.renewed_at) for at in context.engines.ordered_at
    ]
    assert context.engines.openings
    assert all(at <= ms for at in sent), sent


@when('the answers to {count:d} renewals are lost')
def lose_answers(context: Context, count: int) -> None:
    """Append records to the store but lose the answers."""
    context.store.loses_answers = True
    _advance(context, count * _LEASE / 1000 / RENEWALS_PER_LEASE)
    context.store.loses_answers = False


@then('the router gives an order within {seconds:g} s')
def check_gives_order(context: Context, seconds: float) -> None:
    """Set target versions and wait for an order."""
    before = len(context.engines.ordered_at)
    set_target_versions(context, 0)
    _advance(context, seconds)
    assert len(context.engines.ordered_at) > before


@when('the router stops')
def stop_router(context: Context) -> None:
    """Close the election as after SIGTERM."""
    context.election.close()


@then('the lease is free at once')
def check_lease_free(context: Context) -> None:
    """Compare the holder in the last record."""
    assert context.store.holders[-1] == ''


@when(
    'the router is killed, starts again and the directory is ready after '
    '{seconds:d} s'
)
def restart_router(context: Context, seconds: int) -> None:
    """Start a process that takes no part before the directory is ready."""
    context.process.kill()
    ready: list[bool] = []
    _start_process(context, lambda: bool(ready))
    _advance(context, seconds)
    ready.append(True)
    context.election.check_now()


@when(
    'the router reads {seconds:g} s after a renewal is due that another router '
    'holds the lease'
)
def read_other_record(context: Context, seconds: float) -> None:
    """Read the record at another time than that of a renewal."""
    context.store.holders.append('other')
    while context.leader_lease.is_leader:
        _advance(context, 0.05)
    _advance(context, seconds)
    context.store.holders.append('other')
    context.election.check_now()
    context.read_at = context.clock.now()


@then(
    'the router holds the lease {first:g} to {last:g} s after it first read '
    'that record'
)
def check_acquired(context: Context, first: float, last: float) -> None:
    """Guard against an expiry that is rounded up to the next renewal."""
    while not context.leader_lease.is_leader:
        _advance(context, 0.05)
    waited = (context.clock.now() - context.read_at) / 1000
    assert first <= waited <= last, waited


@when(
    'the router is killed, starts again and its first read is answered '
    '{seconds:d} s later'
)
def restart_with_slow_read(context: Context, seconds: int) -> None:
    """Let the store read the records now and answer later."""
    context.process.kill()
    context.store.holds_answers = True
    _start_process(context)
    context.answer_after_s = seconds


@when('the store writes a record of the former process during that read')
def write_late_record(context: Context) -> None:
    """Write the record of an append that the former process sent."""
    context.store.holders.append('router')
    context.written_at = context.clock.now()
    _advance(context, context.answer_after_s)
    context.store.answer_held()
    context.store.is_unavailable = True


@then("the router's lease ends within {seconds:d} s of the late record")
def check_lease_end(context: Context, seconds: int) -> None:
    """Guard against a lease that others count from an earlier time."""
    end = Millis(context.written_at + 1000 * seconds)
    assert context.leader_lease.fencing_token(end) is None


@given(
    '{count:d} calls that no other engine may continue run on each engine that '
    'is not loading'
)
def run_calls(context: Context, count: int) -> None:
    """Put calls in flight that do not end by themselves."""
    for name in context.engines.versions:
        load = context.selector.load_of(name)
        for number in range(count):
            call = ActiveCall(sent_at=context.clock.now())
            load.own_calls[f'{name}-{number}'] = call


@when('version 2 became the target {ms:d} ms ago')
def set_old_target(context: Context, ms: int) -> None:
    """Name a version at an earlier time, which this process knows."""
    now = context.clock.now()
    record = KeyedRecord(key=f'v/{MODEL}', offset=2, value=b'2')
    context.directory.apply_records(
        Topic.OPERATIONS,
        (record,),
        3,
        now,
        unchanged_until=Millis(now - ms),
    )
    context.selector.update_fleet_view(
        FleetView(
            servers=dict(context.directory.servers),
            named_weights=context.directory.named_weights,
        )
    )
    context.named_at = context.reactor.seconds()


@then('the first orders are given within {seconds:g} s, {count:d} of them')
def check_first_orders(context: Context, seconds: float, count: int) -> None:
    """Guard against slots that stay empty while no engine may serve."""
    _advance(context, seconds)
    ordered_at = context.engines.ordered_at
    assert len(ordered_at) == count, (context.named_at, ordered_at)


@given('engine {name} answers no status for {seconds:d} s')
def silence_engine(context: Context, name: str, seconds: int) -> None:
    """Lose the answers of one engine to status requests."""
    now = context.reactor.seconds()
    context.engines.unread_until[name] = now + seconds


@given(
    'engine {name} carries out an order of a former leader and answers no '
    'status for {seconds:d} s after that'
)
def start_foreign_load(context: Context, name: str, seconds: int) -> None:
    """Let the leader see a load and then nothing of its end."""
    _make_busy(context, name, seconds)
    context.engines.order_numbers[name] += 1


@given(
    'engine {name} is reborn with its old weights in a load and answers no '
    'status for {seconds:d} s after that'
)
def restart_engine(context: Context, name: str, seconds: int) -> None:
    """Let a restart during a load clear the order number."""
    _make_busy(context, name, seconds)
    context.reactor.callLater(1, context.engines.order_numbers.clear)


def _make_busy(context: Context, name: str, seconds: int) -> None:
    engines = context.engines
    engines.busy[name] = True
    context.reactor.callLater(0.9, silence_engine, context, name, seconds)
    context.reactor.callLater(1, engines.busy.pop, name)


@given('engine {name} cannot be reached by calls of this router that overlap')
def refuse_overlapping_calls(context: Context, name: str) -> None:
    """Let the last of several calls fail just before the pause ends."""
    refuse_calls(context, name, _OVERLAP)


@given('engine {name} cannot be reached by calls of this router')
def refuse_calls(context: Context, name: str, overlap: int = 0) -> None:
    """Pause the engine again whenever a call tries it."""
    load = context.selector.load_of(name)

    def try_call() -> None:
        if context.clock.now() >= load.paused_until - overlap:
            load.record_unreachable(context.clock.now())
        context.reactor.callLater(0.01, try_call)

    try_call()


@then('no announcement drains engine {name}')
def check_not_drained(context: Context, name: str) -> None:
    """Guard against drains of an engine that only other routers reach."""
    drained = [at for at, names, _ in context.announced if name in names]
    assert not drained, drained
