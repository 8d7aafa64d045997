"""Steps for servers that send nothing for some time."""

import time

from behave import given, then, when
from behave.runner import Context

from features.loop import run_blocking, wait_until
from features.relay_fixture import MODEL_HEADERS, request
from features.relay_servers import event
from features.silent_servers import (
    EVENTS,
    LARGE_EVENTS_PER_MB,
    large_stream,
    other_script,
    pausing_script,
)
from features.steps.relay_steps import add_server, send_request, start_relay
from features.unresponsive_port import UnresponsivePort
from yuccagauge.clock import Millis
from yuccagauge.relay.context import RetryBudgetSettings
from yuccagauge.selection.budget import MINIMUM_RETRIES_PER_WINDOW

_STREAM_END = b'\r\n0\r\n\r\n'
_DEADLINE = b'Deadline-Ms: 2000'
_LONG_DEADLINE = b'Deadline-Ms: 14000'

#: Service time of the server that is selected last.
_LONG_SERVICE_MS = 950

_ROUTES = {'plain': 'read', 'model': 'stream'}


@given('a relay with a server that is silent for {silence:f} s {place}')
def relay_with_silent_server(
    context: Context, silence: float, place: str
) -> None:
    """Start a relay with one server that pauses."""
    start_relay(context)
    context.fixture.configure()
    context.silence_s = silence
    context.service, script = pausing_script(place, silence)
    add_server(context, context.service, script)


@given('a relay with a server that streams {megabytes:d} MB at once')
def relay_with_large_stream(context: Context, megabytes: int) -> None:
    """Start a relay with one server whose answer fills all buffers."""
    start_relay(context)
    context.fixture.configure()
    context.silence_s = 0
    context.service = 'model'
    add_server(context, context.service, large_stream(megabytes))


@given('a second server of it that {behaviour}')
def second_server(context: Context, behaviour: str) -> None:
    """Add a server of the same service."""
    if behaviour == 'is missing':
        return
    if behaviour == 'accepts nothing':
        server = UnresponsivePort()
        context.add_cleanup(server.close)
        context.servers.append(server)
        context.fixture.add_server('i1', context.service, server)
        return
    add_server(
        context,
        context.service,
        other_script(context.service, behaviour, context.silence_s),
        refuses_connections=behaviour == 'refuses connections',
    )


@given('a third server of it that {behaviour}')
def third_server(context: Context, behaviour: str) -> None:
    """Add a server of the same service that is less preferred."""
    second_server(context, behaviour)
    now = context.fixture.relay_context.clock.now()
    load = context.fixture.selector.load_of('i2')
    load.record_service_time(_LONG_SERVICE_MS)
    for _ in range(3):
        load.record_outcome(failed=True, now=now)


@given('a retry budget that is {state}')
def retry_budget(context: Context, state: str) -> None:
    """Spend all retries that the router may make, or none."""
    if state == 'free':
        return
    relay_context = context.fixture.relay_context
    relay_context.retry_settings = RetryBudgetSettings(
        ratio=0, slack=0, window=Millis(10_000)
    )
    for _ in range(MINIMUM_RETRIES_PER_WINDOW):
        assert relay_context.try_spend_retry(context.service)
    assert not relay_context.try_spend_retry(context.service)


def _prefer_first_server(context: Context) -> None:
    if len(context.servers) == 1:
        return
    selector = context.fixture.selector
    now = context.fixture.relay_context.clock.now()
    selector.load_of('i1').record_service_time(900)
    selector.load_of('i1').record_outcome(failed=True, now=now)
    for part in ('aa', 'bb'):
        selector.cache_map.add('i0', '1/anna', part)


@when('a caller calls the silent server by "{route}"')
def call_silent_server_by(context: Context, route: str) -> None:
    """Call a route, and have the first server selected."""
    _prefer_first_server(context)
    headers = MODEL_HEADERS if context.service == 'model' else ()
    send_request(context, request(route, headers=headers))


@when('a caller calls the silent server')
def call_silent_server(context: Context) -> None:
    """Call a route that may be repeated."""
    call_silent_server_by(context, _ROUTES[context.service])


@when('a caller calls the silent server and reads nothing for {seconds:f} s')
def call_and_read_late(context: Context, seconds: float) -> None:
    """Call a route whose answer the caller reads late."""
    _prefer_first_server(context)
    sent = request('stream', headers=MODEL_HEADERS)
    assert _DEADLINE in sent, sent
    send_request(context, sent.replace(_DEADLINE, _LONG_DEADLINE))
    run_blocking(time.sleep, seconds)


@then('the caller gets all {megabytes:d} MB')
def check_large_answer(context: Context, megabytes: int) -> None:
    """Guard against servers that count as silent for their caller's sake."""
    received = context.caller.read_until_end(_STREAM_END)
    assert received.endswith(_STREAM_END), len(received)
    events = received.count(b'data: x')
    assert events == megabytes * LARGE_EVENTS_PER_MB, events


@then('the caller gets the whole answer once')
def check_whole_answer(context: Context) -> None:
    """Guard against calls that end although their server goes on."""
    caller = context.caller
    if context.service == 'plain':
        received = caller.read_until(b'\r\n\r\ndone')
        assert received.startswith(b'HTTP/1.1 200'), received
        return
    received = caller.read_until(_STREAM_END)
    assert received.startswith(b'HTTP/1.1 200'), received
    assert received.endswith(_STREAM_END), received
    for number in range(EVENTS):
        assert received.count(event(number)) == 1, received


@then("the silent server's connection is closed")
def check_silent_connection(context: Context) -> None:
    """Guard against two servers that both go on with a call."""
    wait_until(lambda: context.servers[0].exchanges[0].lost)


@then('the second server gets 1 request')
def check_one_request(context: Context) -> None:
    """Guard against retries that are spent on the same full server."""
    assert len(context.servers[1].headers) == 1, context.servers[1].headers


@then('the second server gets no request')
def check_second_server(context: Context) -> None:
    """Guard against a second run of a call that may run once."""
    assert not context.servers[1].headers, context.servers[1].headers
