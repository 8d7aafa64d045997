"""Steps for answers that end while nothing is heard of older connections."""

from collections.abc import Callable

from behave import given, when
from behave.runner import Context

from features.leaving_fleet import UnframedServer
from features.partition_callers import FirstAttempt
from features.partition_fleet import Face

#: Time from the last request until servers are amid their answers, and for all
#: of them to end, in seconds.
_BEGIN_S = 0.18
_RUN_OUT_S = 6.0

#: For how long a router reaches no server itself, after which time it knows of
#: peers that do, and until it does again, in seconds.
_PARTITION_S = 3.0
_LEARNING_S = 2.0
_HEAL_S = 4.0

#: Time between the halves of a plain answer, so that it ends before its caller's
#: deadline though its way is longer, in seconds.
_CARRIED_HALF_INTERVAL_S = 0.12

_PLAIN_ROUTES = ('book', 'read')

_REQUESTS = 24


@given(
    'one of the routers has reached the servers through its peers for a while'
)
def partition_for_a_while(context: Context) -> None:
    """Let a router keep connections that peers carry."""
    fleet = context.fleet
    for server in fleet.servers:
        server.half_interval_s = _CARRIED_HALF_INTERVAL_S
    fleet.partition(
        frozenset(fleet.router_names[:1]), Face.REFUSED, _PARTITION_S
    )
    for _ in range(_REQUESTS):
        fleet.send_first_attempt()
        fleet.run(_LEARNING_S / _REQUESTS)
    for route in _PLAIN_ROUTES * _REQUESTS:
        fleet.send_first_attempt(route)
    fleet.run(_HEAL_S)


@when(
    'a server ends amid its answers to "{route}", and its peers are paused for '
    '{pause:g} s'
)
def end_while_peers_are_paused(
    context: Context, route: str, pause: float
) -> None:
    """Pause the routers that carry older connections of the first one."""
    fleet = context.fleet
    _send(context, route)
    own, *peers = fleet.router_names
    _choose_server(context, lambda attempt: attempt.router == own)
    for peer in peers:
        fleet.freeze_router(peer, pause)
    context.server.kill()
    fleet.run(_RUN_OUT_S)


@when(
    'a server ends amid its answers to "{route}", and its idle connections are '
    'lost'
)
def end_with_lost_connections(context: Context, route: str) -> None:
    """Let nothing be heard of connections without an answer."""
    fleet = context.fleet
    _send(context, route)
    _choose_server(context)
    context.server.lose_idle_connections()
    context.server.kill()
    fleet.run(_RUN_OUT_S)


def _send(context: Context, route: str) -> None:
    for _ in range(_REQUESTS):
        context.fleet.send_first_attempt(route)
    context.fleet.run(_BEGIN_S)


def _choose_server(
    context: Context,
    counts: Callable[[FirstAttempt], bool] = lambda attempt: True,
) -> None:
    """Choose the server that answers the most of the attempts that count."""

    def running(server: UnframedServer) -> list[FirstAttempt]:
        return [
            attempt
            for attempt in context.fleet.attempts
            if server.is_running(attempt.request_id) and counts(attempt)
        ]

    context.server = max(
        context.fleet.servers, key=lambda server: len(running(server))
    )
    context.attempts = running(context.server)
    assert context.attempts
