"""Steps for whole answers whose servers answer health checks late or seldom."""

from behave import given, when
from behave.runner import Context

#: Time from the first requests to those that are judged, in seconds: longer
#: than a router keeps idle connections.
_PAUSE_S = 12.0

_RUN_OUT_S = 3.0

#: Time between the end of a server and its next start, in seconds.
_DOWN_S = 0.05
_REQUESTS = 24

#: Rounds of requests after which each router has called each server.
_ROUNDS = 8
_ROUND_S = 1.0

#: Time between the halves of a plain answer, so that the proof has 0.3 s until
#: the deadline of its caller, in seconds.
_HALF_INTERVAL_S = 0.12


@given('a health check waits {wait:g} s for a slot')
def delay_checks(context: Context, wait: float) -> None:
    """Let health checks wait as requests do."""
    for server in context.fleet.servers:
        server.check_delay_s = wait


@given('the connection of a health check ends with its answer')
def close_after_checks(context: Context) -> None:
    """Let servers close connections after health checks."""
    for server in context.fleet.servers:
        server.closes_after_check = True


@given('idle connections are closed after {limit:g} s')
def close_idle(context: Context, limit: float) -> None:
    """Let servers close connections without a request."""
    for server in context.fleet.servers:
        server.idle_limit_s = limit


@given('the routers have connections for checks')
def warm_up(context: Context) -> None:
    """Send requests, so that each router has called each server."""
    _call_all(context)


@given('an earlier answer of each server had a length')
def answer_with_length(context: Context) -> None:
    """Send requests that are answered with a length."""
    for server in context.fleet.servers:
        server.states_length = True
    _call_all(context)
    context.fleet.run(_PAUSE_S)
    for server in context.fleet.servers:
        server.states_length = False


@given('each server has started again {ago:g} s ago')
def restart_all(context: Context, ago: float) -> None:
    """Start the servers anew while none has a request."""
    for server in context.fleet.servers:
        server.go_down(_DOWN_S)
    context.fleet.run(_DOWN_S + ago)


@when('the servers answer requests of "{route}"')
def answer(context: Context, route: str) -> None:
    """Send requests; the plain server with most of them is judged."""
    fleet = context.fleet
    for server in fleet.servers:
        server.half_interval_s = _HALF_INTERVAL_S
    first = len(fleet.attempts)
    for _ in range(_REQUESTS):
        fleet.send_first_attempt(route)
        fleet.run(0.005)
    fleet.run(_RUN_OUT_S)
    attempts = fleet.attempts[first:]

    def answered(server: object) -> list[object]:
        return [
            attempt
            for attempt in attempts
            if attempt.request_id in server.answered
        ]

    context.server = max(fleet.servers, key=lambda each: len(answered(each)))
    context.attempts = answered(context.server)
    assert context.attempts


def _call_all(context: Context) -> None:
    """Have each router call each server, one after the other."""
    for _ in range(_ROUNDS):
        for _ in range(_REQUESTS):
            context.fleet.send_first_attempt('read')
        context.fleet.run(_ROUND_S)
