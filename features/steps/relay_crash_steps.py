"""Steps for calls that may crash the servers that run them."""

from behave import given, then, when
from behave.runner import Context

from features.loop import wait_for_call, wait_until
from features.steps.relay_steps import call_route
from yuccagauge.clock import Millis
from yuccagauge.directory.base import CustomerSpec
from yuccagauge.quarantine.base import CrashSuspicion
from yuccagauge.relay.base import IncomingRequest
from yuccagauge.relay.relay import fingerprint_of

_CUSTOMER = CustomerSpec(name='anna', api_keys=())


def _fingerprint(route: str) -> bytes:
    request = IncomingRequest(
        method='POST',
        target=f'/{route}/x',
        headers=(),
        body=b'' if route == 'read' else b'hello',
        received_at=Millis(0),
    )
    return fingerprint_of(request, _CUSTOMER)


def _crash_count(context: Context) -> int:
    relay_context = context.fixture.relay_context
    now = relay_context.clock.now()
    return sum(
        len(suspicion.crashes - suspicion.cleared)
        for suspicion in relay_context.quarantine.recent_suspicions(9, now)
    )


@given('{count:d} crashes of the call "{route}"')
@when('peers report {count:d} crashes of the call "{route}"')
def merge_crashes(context: Context, count: int, route: str) -> None:
    """Merge crashes that other routers have seen."""
    relay_context = context.fixture.relay_context
    suspicion = CrashSuspicion(
        fingerprint=_fingerprint(route),
        crashes=frozenset(f'crash{number}' for number in range(count)),
        cleared=frozenset(),
        age=Millis(0),
    )
    wait_for_call(
        relay_context.quarantine.merge_suspicions,
        (suspicion,),
        relay_context.clock.now(),
    )


@when('a caller calls "{route}" while the server is paused for {ms:d} ms')
def call_paused_server(context: Context, route: str, ms: int) -> None:
    """Make the call wait for its only server."""
    relay_context = context.fixture.relay_context
    load = context.fixture.selector.load_of('i0')
    load.paused_until = Millis(relay_context.clock.now() + ms)
    call_route(context, route)
    wait_until(lambda: bool(relay_context.running_calls))


@when('a caller calls "{route}" and the server is paused to load weights')
def call_loading_server(context: Context, route: str) -> None:
    """Announce the pause while the request is under way."""
    script = context.servers[0].script

    def pause_first(exchange: object) -> None:
        load = context.fixture.selector.load_of('i0')
        now = context.fixture.relay_context.clock.now()
        load.loading_until = Millis(now + 60_000)
        script(exchange)

    context.servers[0].script = pause_first
    call_route(context, route)


@when(
    'a caller calls "{route}", the server answers another call, and the '
    'caller disconnects'
)
@when(
    'a caller calls "{route}", the server {end}, answers another call, and '
    'the caller disconnects'
)
def disconnect_from_answering_server(
    context: Context, route: str, end: str = ''
) -> None:
    """Let the server send something after it got the call."""
    call_route(context, route)
    wait_until(lambda: bool(context.servers[0].exchanges))
    fixture = context.fixture
    if end == 'restarts under its id':
        fixture.add_server('i0', 'plain', context.servers[0], born=1)
    elif end:
        fixture.remove_server('i0')
        fixture.add_server('i9', 'plain', context.servers[0])
    now = fixture.relay_context.clock.now()
    fixture.selector.load_of('i0').last_activity_at = Millis(now + 1)
    context.caller.close()


@then('the call has {count:d} crash')
@then('the call has {count:d} crashes')
def check_crashes(context: Context, count: int) -> None:
    """Guard against the end of a server that no router counts."""
    running = context.fixture.relay_context.running_calls
    wait_until(lambda: not running)
    assert _crash_count(context) == count, _crash_count(context)
