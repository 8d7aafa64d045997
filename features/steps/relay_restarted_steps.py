"""Steps for answers whose end is read after their server has restarted."""

from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features.leaving_fleet import UnframedServer
from features.partition_callers import STREAM_ROUTES

#: Time from the last request to the disturbance: servers are amid their answers.
_BEGIN_S = 0.18

#: Time for all answers to end, in seconds.
_RUN_OUT_S = 6.0

#: Time for the end of a connection to leave its host, in seconds.
_END_S = 0.002

_REQUESTS = 24
_SUCCESS = 200
_WHOLE_BODY = b'ok'


@given('an entry is listed {lag:g} s after the start of its server')
def set_entry_lag(context: Context, lag: float) -> None:
    """Let the entries of servers that start follow later."""
    for server in context.fleet.servers:
        server.entry_lag_s = lag


@when(
    'a server is down for {down:g} s amid its answers to "{route}", and the '
    'routers are paused for {pause:g} s'
)
def restart_while_paused(
    context: Context, down: float, route: str, pause: float
) -> None:
    """Pause the routers as a server ends, so that they read its end late."""

    def disturb(server: UnframedServer) -> None:
        for name in context.fleet.router_names:
            context.fleet.freeze_router(name, pause)
        server.go_down(down)

    _disturb(context, route, disturb)


@when('a server is down for {down:g} s amid its answers to "{route}"')
def restart(context: Context, down: float, route: str) -> None:
    """End a server, which is back before its end can be looked for."""
    _disturb(context, route, lambda server: server.go_down(down))


@when(
    'a server is killed amid its answers to "{route}", and its port stays open'
)
def kill_with_open_port(context: Context, route: str) -> None:
    """End a server whose port accepts connections all the same."""
    _disturb(context, route, UnframedServer.leave_port_open)


@when('the routers are paused for {pause:g} s amid answers to "{route}"')
def pause_routers(context: Context, pause: float, route: str) -> None:
    """Pause the routers while all servers live."""

    def disturb(server: UnframedServer) -> None:
        for name in context.fleet.router_names:
            context.fleet.freeze_router(name, pause)

    _disturb(context, route, disturb)


@when(
    'a server falls silent for {silence:g} s at the end of its answers to '
    '"{route}"'
)
def silence_server(context: Context, silence: float, route: str) -> None:
    """Let a server do nothing once it has ended an answer."""

    def fall_silent(server: UnframedServer) -> None:
        server.later(_END_S, lambda: server.fall_silent(silence))

    def disturb(server: UnframedServer) -> None:
        server.on_answered = fall_silent

    _disturb(context, route, disturb)


@then('none of their callers has a part of an answer that looks complete')
def check_no_part(context: Context) -> None:
    """Guard against broken answers that look complete."""
    for attempt in context.attempts:
        assert attempt.request_id not in context.server.answered
        if attempt.answered_at is None or attempt.status != _SUCCESS:
            continue
        is_whole = attempt.is_whole and (
            attempt.route in STREAM_ROUTES or _WHOLE_BODY in attempt.answer
        )
        assert is_whole, attempt


def _disturb(
    context: Context, route: str, disturb: Callable[[UnframedServer], None]
) -> None:
    """Send requests, and disturb the server that answers the most of them."""
    fleet = context.fleet
    for _ in range(_REQUESTS):
        fleet.send_first_attempt(route)
    fleet.run(_BEGIN_S)

    def running(server: UnframedServer) -> list[object]:
        return [
            attempt
            for attempt in fleet.attempts
            if server.is_running(attempt.request_id)
        ]

    context.server = max(fleet.servers, key=lambda each: len(running(each)))
    context.attempts = running(context.server)
    assert context.attempts
    disturb(context.server)
    fleet.run(_RUN_OUT_S)
