"""Steps for servers that end each connection with an answer."""

from behave import given, then, when
from behave.runner import Context

from features.closing_fleet import ClosingFleet

_SERVERS = 6

#: Time before the first request, in seconds.
_WARM_UP_S = 6.0

#: Time for all answers to end, in seconds.
_RUN_OUT_S = 6.0

_SUCCESS = 200


@given(
    '{routers:d} routers before servers that end each connection with an answer'
)
def start_fleet(context: Context, routers: int) -> None:
    """Start a fleet and let it run."""
    context.fleet = ClosingFleet(routers, _SERVERS)
    context.fleet.run(_WARM_UP_S)


@when('{count:d} requests to "{route}" are sent, {interval:g} s apart')
def send_requests(
    context: Context, count: int, route: str, interval: float
) -> None:
    """Let one answer end while others are under way."""
    fleet = context.fleet
    for _ in range(count):
        fleet.send_first_attempt(route)
        fleet.run(interval)
    fleet.run(_RUN_OUT_S)


@then('all their callers have whole answers of one run')
def check_whole(context: Context) -> None:
    """Guard against whole answers that are lost or asked for again."""
    fleet = context.fleet
    lost = [
        (
            attempt.request_id,
            attempt.status,
            len(fleet.runs[attempt.request_id]),
        )
        for attempt in fleet.attempts
        if attempt.status != _SUCCESS
        or not attempt.is_whole
        or len(fleet.runs[attempt.request_id]) != 1
    ]
    assert not lost, (len(lost), lost)
