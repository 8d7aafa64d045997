"""Steps for stores that come back from a copy of the past."""

from itertools import pairwise

from behave import given, then, when
from behave.runner import Context

from features.restored_fleet import RestoredFleet
from yuccagauge.clock import Millis

#: Time until there is a leader that may give orders, and for which it orders.
_WARM_UP_S = 9.0
_ORDERING_S = 8.0

#: For how long a process is down.
_DOWN_S = 1.5

#: How long a leader is cut off from the store.
_CUT_S = 8.0

#: Time in which a fleet without further disturbance keeps its leader, and the
#: time between two looks at whether one may order, with some more for rounding.
_SETTLED_S = 8.0
_LONGEST_GAP = Millis(100)


def _name_next(fleet: RestoredFleet) -> None:
    fleet.name_weights(max(fleet.named) + 1)


@given('{routers:d} routers that lead {engines:d} engines which {how} fences')
def start_fleet(context: Context, routers: int, engines: int, how: str) -> None:
    """Start a fleet that has given orders lately."""
    context.fleet = RestoredFleet(
        routers, engines, checks_fences=how == 'check'
    )
    context.fleet.run(_WARM_UP_S)
    _name_next(context.fleet)
    context.fleet.run(_ORDERING_S)
    assert context.fleet.orders


@when(
    'the store goes away for {away:g} s and loses {age:g} s, '
    'and nothing else happens'
)
def restore(context: Context, away: float, age: float) -> None:
    """Let the store come back from a copy."""
    context.fleet.restore_store(age, away)
    context.fleet.run(away + 0.01)
    context.since = context.fleet.returned_at[-1]


@when(
    'the store goes away for {away:g} s and loses {age:g} s, '
    'and again {pause:g} s later'
)
def restore_twice(
    context: Context, away: float, age: float, pause: float
) -> None:
    """Let it come back again before routers have settled."""
    restore(context, away, age)
    context.fleet.run(pause)
    first = context.since
    restore(context, away, pause / 2)
    context.since = max(first, context.since)


@when(
    'the store goes away for {away:g} s and loses {age:g} s, '
    'while the leader is cut off from it'
)
def restore_without_leader(context: Context, away: float, age: float) -> None:
    """Keep the leader from the store since before it goes away."""
    fleet = context.fleet
    fleet.cut_from_store(fleet.leader(), _CUT_S)
    fleet.run(1)
    restore(context, away, age)


@when(
    'the store goes away for {away:g} s and loses {age:g} s, '
    'and {who} killed then'
)
def restore_and_kill(
    context: Context, away: float, age: float, who: str
) -> None:
    """End processes at the moment when the store comes back."""
    fleet = context.fleet
    leader = fleet.leader()
    restore(context, away, age)
    is_leader = who.startswith('the leader')
    fleet.restart([leader] if is_leader else list(fleet.router_names), _DOWN_S)


@when('9 s later all routers restart one after the other, the leader last')
def restart_in_turn(context: Context) -> None:
    """Restart each router when the one before is in touch."""
    fleet = context.fleet
    fleet.run(9)
    leader = fleet.store.lease_writes[-1].holder
    others = [name for name in fleet.router_names if name != leader]
    for name in (*others, leader):
        fleet.restart([name], _DOWN_S)
        _name_next(fleet)
        fleet.run(2 * _DOWN_S + 1)


@then("a router leads within {seconds:g} s of the store's return, and goes on")
def check_leads(context: Context, seconds: float) -> None:
    """Guard against a fleet that nobody leads after a drill."""
    fleet = context.fleet
    fleet.run(seconds)
    returned_s = context.since / 1000
    written = [
        write.at - returned_s
        for write in fleet.store.lease_writes
        if write.at >= returned_s
    ]
    assert written, 'no record of the lease since the return'
    until = fleet.clock.now()
    fleet.run(_SETTLED_S)
    led = [until, *(at for at in fleet.led_at if at >= until)]
    gaps = [later - earlier for earlier, later in pairwise(led)]
    assert max(gaps, default=_SETTLED_S * 1000) <= _LONGEST_GAP, (gaps, written)


@then('weights that are named then reach all engines within {seconds:d} s')
def check_loaded(context: Context, seconds: int) -> None:
    """Guard against engines that get no orders."""
    fleet = context.fleet
    _name_next(fleet)
    fleet.run(seconds)
    assert fleet.all_loaded_at() is not None, (
        max(fleet.named),
        {engine.server_id: engine.weights for engine in fleet.servers},
    )


@then('no fencing token came twice or fell, and no two routers took turns')
def check_tokens(context: Context) -> None:
    """Guard against orders of two leaders."""
    found = context.fleet.misordered()
    assert not found, (len(found), found[:3])
