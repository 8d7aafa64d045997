"""Steps for statements of servers that are read after their next start."""

from behave import given, then, when
from behave.runner import Context

from features.telling_fleet import TellingFleet

#: Time for which a fleet runs before a disturbance, and after it: a pause of a
#: server that was not reached has ended then, in seconds.
_WARM_UP_S = 4.0
_SETTLING_S = 8.0

_PROMPTS = 20
_PROMPT_PERIOD_S = 0.05


@given('{routers:d} routers that poll one engine for cache events')
def start_fleet(context: Context, routers: int) -> None:
    """Start a fleet and let it run."""
    context.fleet = TellingFleet(routers, 1)
    context.fleet.run(_WARM_UP_S)


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
