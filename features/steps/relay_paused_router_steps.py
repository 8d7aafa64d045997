"""Steps for calls that are under way while their router is paused."""

from collections import Counter

from behave import then, when
from behave.runner import Context

from features.engine_fleet import EngineFleet

#: Time from the first prompt to the pause, in which all of them reach an engine
#: and none is answered, and time for the answers after it, in seconds.
_SENDING_S = 0.1
_ANSWERING_S = 3.0

_CALLER_TIMEOUT_MS = 8000


def _send(context: Context, count: int) -> EngineFleet:
    """Send prompts to one router until an engine has each of them."""
    fleet = context.fleet
    fleet.route = 'resume'
    fleet.caller_timeout = _CALLER_TIMEOUT_MS
    context.sent = len(fleet.prompts)
    names = fleet.router_names
    fleet.router_names = names[:1]
    for _ in range(count):
        fleet.send_prompt('f0', 's0')
    fleet.router_names = names
    fleet.run(_SENDING_S)
    context.request_ids = list(fleet.prompts)[context.sent :]
    return fleet


@when(
    '{count:d} prompts are under way at a router that is paused for '
    '{seconds:g} s'
)
def pause_router(context: Context, count: int, seconds: float) -> None:
    """Let the engines answer while nobody reads."""
    fleet = _send(context, count)
    fleet.freeze_router(fleet.router_names[0], seconds)
    fleet.run(seconds + _ANSWERING_S)


@when(
    '{count:d} prompts are under way at a router that is paused for '
    '{seconds:g} s while an engine loses power'
)
def pause_router_and_end_engine(
    context: Context, count: int, seconds: float
) -> None:
    """End an engine that has some of the prompts, without a reset."""
    fleet = _send(context, count)
    fleet.ends_silently = True
    fleet.freeze_router(fleet.router_names[0], seconds)
    next(engine for engine in fleet.servers if engine.arrivals).end()
    fleet.run(seconds)
    context.thawed_at = fleet.clock.now()
    fleet.run(_ANSWERING_S)


@then('each of them is begun within {seconds:g} s after the pause')
def check_moved(context: Context, seconds: float) -> None:
    """Guard against calls that stay at a server that is gone."""
    fleet = context.fleet
    assert len(fleet.ends) == 1, fleet.ends
    waits = [
        fleet.begun.get(request_id, fleet.clock.now()) - context.thawed_at
        for request_id in context.request_ids
    ]
    assert max(waits) <= seconds * 1000, waits


@then('each of them has reached one engine, and is answered')
def check_single(context: Context) -> None:
    """Guard against second runs of calls whose answers wait to be read."""
    fleet = context.fleet
    arrivals = Counter(request_id for _, request_id in fleet.arrivals)
    found = [arrivals[request_id] for request_id in context.request_ids]
    assert set(found) == {1}, found
    begun = [request_id in fleet.begun for request_id in context.request_ids]
    assert all(begun), begun
