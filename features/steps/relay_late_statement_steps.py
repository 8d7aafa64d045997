"""Steps for statements of servers that are read after their next start."""

from behave import given, then, when
from behave.runner import Context

from features.directory_fixtures import backend_server
from features.telling_fleet import ENGINES, TellingFleet
from yuccagauge.clock import Millis
from yuccagauge.selection.statements import ServerStatements

#: Time for which a fleet runs before a disturbance, and after it: a pause of a
#: server that was not reached has ended then, in seconds.
_WARM_UP_S = 4.0
_SETTLING_S = 8.0

#: When a server says that it leaves, and a time before and after it.
_BEFORE = Millis(900)
_LEAVES_AT = Millis(1000)
_AFTER = Millis(5000)

_PROMPTS = 20
_PROMPT_PERIOD_S = 0.05


@given('{routers:d} routers that poll one engine for cache events')
def start_fleet(context: Context, routers: int) -> None:
    """Start a fleet and let it run."""
    context.fleet = TellingFleet(routers, 1)
    context.fleet.run(_WARM_UP_S)


@given(
    '{routers:d} routers that poll one engine whose start is stated in {place}'
)
def start_fleet_of_kind(context: Context, routers: int, place: str) -> None:
    """Start a fleet whose engine states its start in some places."""
    context.fleet = TellingFleet(routers, 1, ENGINES[place])
    context.fleet.run(_WARM_UP_S)


@when(
    'the engine says that it leaves and starts again, while nothing else '
    'happens'
)
def restart_undisturbed(context: Context) -> None:
    """Let the engine start again."""
    context.fleet.restart_engine()
    context.fleet.run(_SETTLING_S)


@when('the engine says for {seconds:g} s that it leaves')
def leave(context: Context, seconds: float) -> None:
    """Let the engine leave and live on."""
    context.fleet.servers[0].leaves = True
    context.fleet.run(seconds)


@when(
    'the engine says that it leaves and starts again, while its link to a '
    'router holds data for {seconds:g} s'
)
def restart_with_late_answer(context: Context, seconds: float) -> None:
    """Deliver the answer of the process that has ended late."""
    fleet = context.fleet
    fleet.restart_engine()
    fleet.hold_link(seconds)
    fleet.run(seconds + _SETTLING_S)


@when(
    'the engine says that it leaves and starts again, while a router is paused '
    'for {seconds:g} s'
)
def restart_with_pause(context: Context, seconds: float) -> None:
    """Let a router read the answer of the process that has ended late."""
    fleet = context.fleet
    fleet.restart_engine()
    fleet.freeze_router(fleet.router_names[0], seconds)
    fleet.run(seconds + _SETTLING_S)


@when('the engine starts again and says that it leaves')
def leave_after_restart(context: Context) -> None:
    """Let the next process leave too."""
    fleet = context.fleet
    fleet.restart_engine()
    fleet.run(_SETTLING_S)
    fleet.servers[0].leaves = True
    fleet.run(1)


def _count_begun(fleet: TellingFleet) -> int:
    first = len(fleet.prompts) + 1
    for _ in range(_PROMPTS):
        fleet.send_prompt('f0')
        fleet.run(_PROMPT_PERIOD_S)
    fleet.run(1)
    return sum(
        f'c{first + number}' in fleet.begun for number in range(_PROMPTS)
    )


@then('all routers send calls to the engine')
def check_used(context: Context) -> None:
    """Guard against a server that is lost to all routers until it restarts."""
    assert len(context.fleet.ends) == 1, context.fleet.ends
    begun = _count_begun(context.fleet)
    assert begun == _PROMPTS, begun


@then('no router sends calls to the engine')
def check_unused(context: Context) -> None:
    """Guard against calls to a server that leaves."""
    begun = _count_begun(context.fleet)
    assert not begun, begun


@given('a server that states no start, and has said that it leaves')
def record_leaving(context: Context) -> None:
    """Record a notice."""
    context.statements = ServerStatements()
    context.statements.record_leaving('s0', 0, _LEAVES_AT)


@when('it says that it is healthy')
def record_health(context: Context) -> None:
    """Record a health check that was sent after the notice."""
    context.statements.record_serving('s0', _AFTER)


@when('it has answered a health check from before that')
def record_old_health(context: Context) -> None:
    """Record a health check that was sent before the notice."""
    context.statements.record_serving('s0', _BEFORE)


@when('a peer tells, undated, that it leaves')
def record_undated(context: Context) -> None:
    """Record the notice of a build that does not state ages."""
    context.statements.record_undated('s0', 0, _AFTER)


@then('it is taken to serve')
def check_serves(context: Context) -> None:
    """Guard against a server that is lost while old builds run."""
    assert not context.statements.is_leaving(backend_server('s0'))


@then('it is taken to leave')
def check_leaves(context: Context) -> None:
    """Guard against calls to a server that leaves."""
    assert context.statements.is_leaving(backend_server('s0'))
