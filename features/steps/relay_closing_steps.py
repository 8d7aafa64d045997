"""Steps for servers that end each connection with an answer."""

from collections import Counter

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


@given('every other connection to a server opens {delay:g} s later')
def delay_connections(context: Context, delay: float) -> None:
    """Let the first of two connections to a server open last."""
    opened: Counter[tuple[str, str]] = Counter()
    hosts = {server.host for server in context.fleet.servers}

    def delay_s(source: str, host: str) -> float:
        opened[source, host] += 1
        is_late = host in hosts and opened[source, host] % 2
        return delay if is_late else 0

    context.fleet.network.connect_delay_s = delay_s


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
    lost = []
    for attempt in fleet.attempts:
        runs = len(fleet.runs.get(attempt.request_id, ()))
        is_answered = attempt.status == _SUCCESS and attempt.is_whole
        if not is_answered or runs != 1:
            lost.append((attempt.request_id, attempt.status, runs))
    assert not lost, (len(lost), lost)
