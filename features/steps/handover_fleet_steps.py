"""Steps for leaders that are partitioned from engines."""

from functools import partial
from itertools import pairwise

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import router_host
from features.order_fleet import OrderFleet
from features.order_servers import OrderServer
from features.partition_fleet import Face
from yuccagauge.rendezvous import rendezvous_rank

#: Time until there is a leader that may give orders, in seconds.
_WARM_UP_S = 9.0

_NEWEST = 2

#: Time after which the first packet of a connection is sent again, and time
#: for which an order has waited as the lead of its router ends, in seconds.
_RESENT_S = 1.0
_WAIT_S = 0.05

#: Time after a partition in which routers notice its end, in seconds.
_HEALING_S = 8.0


def _start(
    context: Context, routers: int, engines: int, calls: int, *, fences: bool
) -> None:
    context.fleet = OrderFleet(routers, 2 * engines, checks_fences=fences)
    context.calls = calls
    context.fleet.run(_WARM_UP_S)
    context.first_leader = context.fleet.leader
    assert context.first_leader


@given(
    '{routers:d} routers that elect a leader, before {engines:d} engines, '
    'with {calls:d} calls a second'
)
def start_fleet(
    context: Context, routers: int, engines: int, calls: int
) -> None:
    """Start a fleet whose engines refuse old fencing tokens."""
    _start(context, routers, engines, calls, fences=True)


@given(
    '{routers:d} routers that elect a leader, before {engines:d} engines that '
    'ignore fences, with {calls:d} calls a second'
)
def start_without_fences(
    context: Context, routers: int, engines: int, calls: int
) -> None:
    """Start a fleet whose routers do not count on fencing tokens."""
    _start(context, routers, engines, calls, fences=False)


def _run(context: Context, seconds: float) -> None:
    """Pass time, with calls at all routers."""
    fleet = context.fleet
    for _ in range(round(seconds * context.calls)):
        fleet.send_first_attempt()
        fleet.run(1 / context.calls)
    if not context.calls:
        fleet.run(seconds)


def _begin(context: Context) -> None:
    context.begun_at = context.fleet.clock.now()


@when(
    '{who} is partitioned from {engines} engines for {seconds:d} s, {face}, '
    'and weights are named {delay:d} s later'
)
def partition_leader(
    context: Context,
    who: str,
    engines: str,
    seconds: int,
    face: str,
    delay: int,
) -> None:
    """Partition the leader, and perhaps those that would be next."""
    fleet = context.fleet
    names = {fleet.leader}
    if who != 'the leader':
        count = int(who.split()[4])
        ranked = rendezvous_rank(fleet.router_names, 'lead')
        names.update([each for each in ranked if each not in names][:count])
    hosts = None
    if engines != 'all':
        hosts = _hosts(fleet.engines[: int(engines)])
    _begin(context)
    fleet.partition(frozenset(names), Face(face), seconds, hosts)
    _run(context, delay)
    fleet.name_weights(_NEWEST)


@when(
    'the leader ends, the {count:d} next in rank are partitioned from all '
    'engines for {seconds:d} s, and weights are named'
)
def end_leader(context: Context, count: int, seconds: int) -> None:
    """Leave the lease to routers that are cut off, and to others."""
    fleet = context.fleet
    leader = fleet.leader
    ranked = rendezvous_rank(fleet.router_names, 'lead')
    names = [each for each in ranked if each != leader][:count]
    _begin(context)
    fleet.kill_router(leader)
    fleet.partition(frozenset(names), Face.SILENT, seconds)
    fleet.name_weights(_NEWEST)


def _hosts(engines: list[OrderServer]) -> frozenset[str]:
    return frozenset(engine.host for engine in engines)


@when(
    '{who} is partitioned from all engines {times:d} times for {length:d} ms, '
    '{apart:d} ms apart, {face}'
)
def partition_again(
    context: Context, who: str, times: int, length: int, apart: int, face: str
) -> None:
    """Partition the same router in series, and let it reach engines again."""
    fleet = context.fleet
    name = fleet.leader
    if who != 'the leader':
        name = next(each for each in fleet.router_names if each != name)
    _begin(context)
    for _ in range(times):
        fleet.partition(frozenset((name,)), Face(face), length / 1000)
        _run(context, apart / 1000)
    _run(context, _HEALING_S)


@when(
    'weights are named, and the leader {ending} while an order waits for its '
    'connection'
)
def end_lead(context: Context, ending: str) -> None:
    """Lose the first packet of the connection for the first order."""
    fleet = context.fleet
    router = fleet.router(fleet.leader)
    host = router_host(fleet.leader)
    waiting: list[str] = []

    def delay_order(source: str, engine: OrderServer) -> None:
        if source == host and not waiting:
            waiting.append(engine.host)

    for engine in fleet.engines:
        engine.closes_after_status = True
        engine.on_status_read = partial(delay_order, engine=engine)
    fleet.network.connect_delay_s = lambda source, target: (
        _RESENT_S if source == host and target in waiting else 0
    )
    _begin(context)
    fleet.name_weights(_NEWEST)
    while not waiting:
        fleet.run(0.01)
    fleet.run(_WAIT_S)
    if ending == 'hands over':
        router._election.hand_over()
    else:
        router.stop_gracefully()


@then('all routers may lead again')
def check_fit(context: Context) -> None:
    """Guard against routers that do not stand after a partition."""
    for name in context.fleet.router_names:
        assert context.fleet.router(name).can_lead, name


@then('1 version that is named then reaches all engines within {seconds:d} s')
def check_named_later(context: Context, seconds: int) -> None:
    """Guard against a fleet without a leader that gives orders."""
    context.fleet.name_weights(_NEWEST)
    check_loaded(context, seconds)


@when('one engine ends {manner} for {seconds:d} s, and weights are named')
def end_engine(context: Context, manner: str, seconds: int) -> None:
    """End an engine that no router reaches then."""
    fleet = context.fleet
    fleet.ends_silently = manner == 'silently'
    fleet.down_s = seconds
    _begin(context)
    fleet.engines[0].end()
    fleet.name_weights(_NEWEST)
    _run(context, seconds)


@when(
    'all routers are partitioned from all engines, {face} for {seconds:d} s, '
    'and weights are named'
)
def partition_all(context: Context, face: str, seconds: int) -> None:
    """Leave no router that reaches an engine."""
    fleet = context.fleet
    _begin(context)
    fleet.partition(frozenset(fleet.router_names), Face(face), seconds)
    fleet.name_weights(_NEWEST)
    _run(context, seconds)


@when(
    'each router is partitioned from {count:d} other engines for {seconds:d} '
    's, {face}, and weights are named'
)
def partition_each(
    context: Context, count: int, seconds: int, face: str
) -> None:
    """Leave no router that reaches all engines."""
    fleet = context.fleet
    _begin(context)
    for number, name in enumerate(fleet.router_names):
        engines = fleet.engines[number * count : (number + 1) * count]
        hosts = _hosts(engines)
        fleet.partition(frozenset((name,)), Face(face), seconds, hosts)
    fleet.name_weights(_NEWEST)


@then('all engines have the newest weights within {seconds:d} s of the naming')
def check_loaded(context: Context, seconds: int) -> None:
    """Guard against engines that keep old weights while a leader is cut off."""
    fleet = context.fleet
    _run(context, seconds)
    versions = {each.server_id: each.weights_version for each in fleet.engines}
    figures = (
        versions,
        [each.loaded_at - fleet.named_at[_NEWEST] for each in fleet.engines],
        [(at, name) for at, name in fleet.holders if at > context.begun_at],
    )
    assert set(versions.values()) == {_NEWEST}, figures


@then(
    'orders come from the holders of the lease, and the fence never goes back'
)
def check_orders(context: Context) -> None:
    """Guard against two leaders, and against an order that a peer carries."""
    orders = context.fleet.orders
    assert orders
    for order in orders:
        assert order.source == router_host(order.holder), order
        assert context.fleet.holders[order.fence - 1][1] == order.holder, order
    for engine in context.fleet.engines:
        own = [each for each in orders if each.engine == engine.server_id]
        fences = [each.fence for each in own]
        assert fences == sorted(fences), own


@then('two holders never order the same engine within {gap:d} ms')
def check_gap(context: Context, gap: int) -> None:
    """Guard against holders that take turns where engines check no fences."""
    for engine in context.fleet.engines:
        own = [
            each
            for each in context.fleet.orders
            if each.engine == engine.server_id
        ]
        for before, after in pairwise(own):
            is_same = before.holder == after.holder
            assert is_same or after.at - before.at >= gap, (before, after)


@then('the lease gets at most {count:d} new holders')
def check_changes(context: Context, count: int) -> None:
    """Guard against a lease that goes round in circles."""
    found = context.fleet.changes_of_holder(context.begun_at)
    assert found <= count, context.fleet.holders[-40:]
