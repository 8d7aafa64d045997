"""Steps for answers that end with their connections, of servers that leave."""

from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features.leaving_fleet import LeavingFleet, UnframedServer

_SERVERS = 6

#: Time before the first request, and after the last one, in seconds.
_WARM_UP_S = 6.0
_RUN_OUT_S = 3.0

#: Time from the last request to the leave of a server, and from there to its
#: end amid its answers, in seconds.
_BEGIN_S = 0.06
_END_S = 0.12

_REQUESTS = 24

_SUCCESS = 200


def _end_by(
    action: Callable[[UnframedServer], None], *, leaves: bool
) -> Callable[[UnframedServer], None]:
    """Return what ends a server amid its answers, after it left or not."""

    def act(server: UnframedServer) -> None:
        if leaves:
            server.leave()
        server.later(_END_S, lambda: action(server))

    return act


_ENDINGS: dict[str, Callable[[UnframedServer], None]] = {
    'leaves': UnframedServer.leave,
    'is killed': _end_by(UnframedServer.kill, leaves=False),
    'leaves and is killed': _end_by(UnframedServer.kill, leaves=True),
    'starts anew': _end_by(UnframedServer.restart, leaves=False),
    'leaves and starts anew': _end_by(UnframedServer.restart, leaves=True),
}


@given('{routers:d} routers before servers whose answers have no length')
def start_fleet(context: Context, routers: int) -> None:
    """Start a fleet and let it run."""
    context.fleet = LeavingFleet(routers, _SERVERS)
    context.fleet.run(_WARM_UP_S)


@when('a server {ends} while it answers requests of "{route}"')
def disturb_server(context: Context, ends: str, route: str) -> None:
    """Send requests, and disturb the server with the most of them."""
    fleet = context.fleet
    for _ in range(_REQUESTS):
        fleet.send_first_attempt(route)
    fleet.run(_BEGIN_S)
    server = max(fleet.servers, key=lambda each: len(each.arrivals))
    context.server = server
    context.attempts = [
        attempt
        for attempt in fleet.attempts
        if server.is_running(attempt.request_id)
    ]
    assert context.attempts
    _ENDINGS[ends](server)
    fleet.run(_RUN_OUT_S)


@then('their callers have whole answers of one run')
def check_whole(context: Context) -> None:
    """Guard against whole answers that are taken for broken ones."""
    runs = context.fleet.runs
    for attempt in context.attempts:
        assert attempt.request_id in context.server.answered
        assert attempt.is_whole, (attempt, runs[attempt.request_id])
        assert len(runs[attempt.request_id]) == 1, runs[attempt.request_id]


@then('none of their callers has an answer that looks complete')
def check_broken(context: Context) -> None:
    """Guard against broken answers that look complete."""
    for attempt in context.attempts:
        assert attempt.request_id not in context.server.answered
        is_complete = attempt.answered_at is not None
        assert not (is_complete and attempt.status == _SUCCESS), attempt
