"""Steps for answers that end with their connections, of servers that leave."""

from collections.abc import Callable
from functools import partial
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import router_host
from features.leaving_fleet import LeavingFleet, UnframedServer
from features.partition_fleet import Face

_SERVERS = 6

#: Time before the first request, and after the last one, in seconds.
_WARM_UP_S = 6.0
_RUN_OUT_S = 3.0

#: Time from the last request to the leave of a server, and from there to its
#: end amid its answers, in seconds.
_BEGIN_S = 0.06
_CARRIED_BEGIN_S = 0.1
_END_S = 0.12

_REQUESTS = 24

#: For how long a router is partitioned, and the time after which its calls go
#: through its peers, in seconds.
_PARTITION_S = 60.0
_PATH_CHANGE_S = 4.0

#: Time between the halves of a plain answer, so that it ends before its caller's
#: deadline though its way is longer, in seconds.
_CARRIED_HALF_INTERVAL_S = 0.12

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
    'leaves and starts anew unlisted': _end_by(
        partial(UnframedServer.restart, is_listed=False), leaves=True
    ),
}


@given('{routers:d} routers before servers whose answers have no length')
def start_fleet(context: Context, routers: int) -> None:
    """Start a fleet and let it run."""
    context.fleet = LeavingFleet(routers, _SERVERS)
    context.fleet.run(_WARM_UP_S)


@given('one of the routers reaches the servers through its peers alone')
def partition_router(context: Context) -> None:
    """Cut a router off from the servers until the end."""
    fleet = context.fleet
    context.carried_router = fleet.router_names[0]
    for server in fleet.servers:
        server.half_interval_s = _CARRIED_HALF_INTERVAL_S
    fleet.partition(
        frozenset((context.carried_router,)), Face.SILENT, _PARTITION_S
    )
    for _ in range(_REQUESTS):
        fleet.send_first_attempt()
        fleet.run(_PATH_CHANGE_S / _REQUESTS)


@when('a server {ends} while it answers requests of "{route}" that peers carry')
def disturb_carried(context: Context, ends: str, route: str) -> None:
    """Send requests, and disturb the server with the most that are carried."""
    fleet = context.fleet
    for _ in range(_REQUESTS):
        fleet.send_first_attempt(route)
    fleet.run(_CARRIED_BEGIN_S)

    def carried_at(server: UnframedServer) -> list[Any]:
        return [
            attempt
            for attempt in fleet.attempts
            if attempt.router == context.carried_router
            and server.is_running(attempt.request_id)
        ]

    server = max(fleet.servers, key=lambda each: len(carried_at(each)))
    context.server = server
    context.attempts = carried_at(server)
    assert context.attempts
    own_host = router_host(context.carried_router)
    for attempt in context.attempts:
        assert fleet.runs[attempt.request_id][0].source != own_host
    _ENDINGS[ends](server)
    fleet.run(_RUN_OUT_S)


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
