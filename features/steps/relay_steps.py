"""Steps for the relay."""

import time

from behave import given, then, when
from behave.runner import Context

from features.loop import wait_for_call, wait_until
from features.relay_fixture import (
    HOST,
    KEY,
    MODEL_HEADERS,
    Caller,
    RelayFixture,
    raw_request,
    request,
)
from features.relay_servers import BEHAVIOURS, stream_events
from features.scripted_server import Exchange, ScriptedServer
from features.unresponsive_port import UnresponsivePort


def add_server(
    context: Context,
    service: str,
    script: object,
    *,
    refuses_connections: bool = False,
) -> ScriptedServer:
    headers: list[dict[str, str]] = []
    exchanges: list[Exchange] = []

    def record(exchange: Exchange) -> None:
        headers.append(dict(exchange.headers))
        exchanges.append(exchange)
        script(exchange)

    server = ScriptedServer(record)
    server.headers = headers
    server.exchanges = exchanges
    wait_for_call(server.start)
    if refuses_connections:
        wait_for_call(server.close)
    else:
        context.add_cleanup(wait_for_call, server.close)
    name = f'i{len(context.servers)}'
    context.servers.append(server)
    context.fixture.add_server(name, service, server)
    return server


def start_relay(context: Context) -> None:
    context.fixture = RelayFixture()
    context.add_cleanup(context.fixture.close)
    context.servers = []
    context.callers = []


@given('a relay without a configuration')
def relay_without_configuration(context: Context) -> None:
    """Start a relay without configuration and servers."""
    start_relay(context)


def start_relay_with_plain_server(
    context: Context, script: object, *, refuses_connections: bool = False
) -> None:
    """Start a relay with one plain server that follows a script."""
    start_relay(context)
    context.fixture.configure()
    add_server(
        context, 'plain', script, refuses_connections=refuses_connections
    )


@given('a relay with a plain server that {behaviour}')
def relay_with_plain_server(context: Context, behaviour: str) -> None:
    """Start a relay with one plain server."""
    start_relay_with_plain_server(
        context,
        BEHAVIOURS[behaviour],
        refuses_connections=behaviour == 'refuses connections',
    )


@given('a relay with a plain server whose port accepts no connection')
def relay_with_unresponsive_server(context: Context) -> None:
    """Start a relay with a server whose port accepts no connection."""
    start_relay(context)
    context.fixture.configure()
    context.reported_servers = []
    context.fixture.relay_context.on_unresponsive = (
        context.reported_servers.append
    )
    server = UnresponsivePort()
    context.add_cleanup(server.close)
    context.servers.append(server)
    context.fixture.add_server('i0', 'plain', server)


@then('the first server is reported as unresponsive')
def check_reported_unresponsive(context: Context) -> None:
    """Guard against calls that wait for a host without power.

    Such a host leaves connection attempts unanswered. The router has to
    report it, so that calls of other routers do not wait for it either.
    """
    assert context.reported_servers == ['i0']


@given('a second plain server that {behaviour}')
def second_plain(context: Context, behaviour: str) -> None:
    """Add a plain server."""
    add_server(context, 'plain', BEHAVIOURS[behaviour])


def start_relay_with_engine(context: Context, script: object) -> None:
    """Start a relay with one engine that follows a script."""
    start_relay(context)
    context.fixture.configure()
    add_server(context, 'model', script)


def add_engine(context: Context, script: object) -> None:
    """Add an engine that follows a script."""
    add_server(context, 'model', script)


@given('a relay with a model engine that streams {count:d} events')
def relay_with_engine(context: Context, count: int) -> None:
    """Start a relay with one engine."""
    start_relay_with_engine(context, stream_events(count, resets=False))


@given(
    'a relay with a model engine that streams {count:d} events and half of '
    'one, then resets'
)
def relay_with_resetting_engine(context: Context, count: int) -> None:
    """Start a relay with one engine that resets its streams."""
    start_relay_with_engine(context, stream_events(count, resets=True))


@given('a second model engine that streams {count:d} events')
def second_engine(context: Context, count: int) -> None:
    """Add an engine."""
    add_engine(context, stream_events(count, resets=False))


def send_request(context: Context, data: bytes) -> Caller:
    caller = Caller(context.fixture.address)
    context.add_cleanup(caller.close)
    context.caller = caller
    caller.send(data)
    return caller


@when('a caller sends the request "{name}"')
def send_raw_request(context: Context, name: str) -> None:
    """Send the raw bytes of a named request."""
    send_request(context, raw_request(name))


@when('a caller calls "{route}"')
def call_route(context: Context, route: str) -> None:
    """Send a valid request for a route."""
    is_model = route in {'talk', 'resume', 'resume_thrice'}
    headers = MODEL_HEADERS if is_model else ()
    method = 'GET' if route == 'read' else 'POST'
    body = b'' if route == 'read' else b'hello'
    send_request(
        context,
        request(route, headers=headers, method=method, body=body),
    )


@when('a caller calls "{route}" and the first server is selected')
def call_first_server(context: Context, route: str) -> None:
    """Make the first server the preferred one, and call the route."""
    first, second = ('i0', 'i1')
    load = context.fixture.selector.load_of(second)
    load.record_service_time(900)
    load.record_outcome(
        failed=True, now=context.fixture.relay_context.clock.now()
    )
    if context.fixture.selector.view.servers[second].weights:
        # Of two idle engines, the one that has cached the parts is selected.
        for part in ('aa', 'bb'):
            context.fixture.selector.cache_map.add(first, '1/anna', part)
    call_route(context, route)


@when('a caller calls "{route}" and the servers are selected in order')
def call_servers_in_order(context: Context, route: str) -> None:
    """Make each server less preferred than those before it, and call."""
    for number in range(len(context.servers)):
        load = context.fixture.selector.load_of(f'i{number}')
        for _ in range(number):
            load.record_outcome(
                failed=True, now=context.fixture.relay_context.clock.now()
            )
    call_route(context, route)


@then('the caller gets status {status:d}')
def check_status(context: Context, status: int) -> None:
    """Compare the status of the answer."""
    received = context.caller.read_until(b'\r\n\r\n')
    assert received.startswith(b'HTTP/1.1 %d' % status), received


@then('the caller gets status {status:d} and the connection is closed')
def check_status_and_end(context: Context, status: int) -> None:
    """Compare the status, and wait until the connection is closed."""
    received = context.caller.read_all()
    assert received.startswith(b'HTTP/1.1 %d' % status), received


@then('the server got {times:d} requests')
def check_request_count(context: Context, times: int) -> None:
    """Compare the number of requests that the first server received."""
    assert len(context.servers[0].headers) == times, context.servers[0].headers


@when('a caller sends {count:d} requests at once')
def send_pipelined(context: Context, count: int) -> None:
    """Send pipelined requests."""
    data = b''.join(request('read', f'r{n}') for n in range(count))
    send_request(context, data)


@then('the caller gets {count:d} answers in order')
def check_in_order(context: Context, count: int) -> None:
    """Compare the order of the request ids in the answers."""
    last = f'r{count - 1}'.encode()
    received = context.caller.read_until(last)
    positions = [received.find(f'Id: r{n}'.encode()) for n in range(count)]
    assert -1 not in positions, received
    assert positions == sorted(positions), received


@then(
    'the server got the customer "{customer}" and neither key nor forged '
    'headers'
)
def check_headers(context: Context, customer: str) -> None:
    """Guard against callers that set headers reserved for the router."""
    headers = context.servers[0].headers[0]
    assert headers['x-yuccagauge-tenant'] == customer
    assert headers['x-keep'] == 'yes'
    assert headers['host'] == HOST
    assert headers['x-yuccagauge-expect-instance'] == 'i0'
    assert int(headers['x-yuccagauge-deadline-ms']) <= 1500
    assert KEY not in ' '.join(headers.values())
    forged = {
        'x-yuccagauge-hold',
        'x-yuccagauge-kv-backup',
        'kv-from',
        'x-yuccagauge-pin-ms',
        'x-yuccagauge-cache-salt',
        'x-drop',
        'authorization',
    }
    assert forged.isdisjoint(headers), headers


@when('a caller calls "{route}" and disconnects')
def call_and_disconnect(context: Context, route: str) -> None:
    """Close the connection after the server has received the request."""
    call_route(context, route)
    wait_until(lambda: bool(context.servers[0].exchanges))
    context.caller.close()


@then("the server's connection is closed")
def check_closed(context: Context) -> None:
    """Wait until the connection to the server is closed."""
    wait_until(lambda: context.servers[0].exchanges[0].lost)


def _event_ids(received: bytes) -> list[str]:
    return [
        line.removeprefix(b'id: ').decode()
        for line in received.split(b'\n')
        if line.startswith(b'id: ')
    ]


@then('the caller has the events "{numbers}" and a complete answer')
def check_complete(context: Context, numbers: str) -> None:
    """Compare the events of a chunked answer, and require its last chunk."""
    received = context.caller.read_until(b'\r\n0\r\n\r\n')
    assert received.endswith(b'\r\n0\r\n\r\n'), received
    assert _event_ids(received) == numbers.split(), received


@then('the caller has the events "{numbers}" and an incomplete answer')
def check_incomplete(context: Context, numbers: str) -> None:
    """Compare the events of a chunked answer that lacks its last chunk."""
    received = context.caller.read_all()
    assert not received.endswith(b'\r\n0\r\n\r\n'), received
    assert _event_ids(received) == numbers.split(), received


@then('the second server was asked to resume after "{number}"')
def check_resumed(context: Context, number: str) -> None:
    """Compare the Last-Event-Id that the second server received."""
    assert context.servers[1].headers[0]['last-event-id'] == number


@then(
    'the engine was asked for version "{version}" in the cache scope "{scope}"'
)
def check_scope(context: Context, version: str, scope: str) -> None:
    """Compare the headers for the weights version and the cache salt."""
    context.caller.read_until(b'\r\n\r\n')
    headers = context.servers[0].headers[0]
    assert headers['x-yuccagauge-expect-version'] == version
    assert headers['x-yuccagauge-cache-salt'] == scope


@when(
    'a caller calls "{route}" {times:d} times while the engine restarts '
    'each time'
)
def call_and_restart_engine(context: Context, route: str, times: int) -> None:
    """Report another incarnation of the engine after each broken answer."""
    server = context.servers[0]
    for number in range(times):
        call_route(context, route)
        context.caller.read_all()
        context.fixture.add_server('i0', 'model', server, born=number + 1)
        entry = context.fixture.directory.servers['i0']
        context.fixture.relay_context.quarantine.record_incarnation(
            entry.endpoint,
            entry.incarnation,
            context.fixture.relay_context.clock.now() + 1,
        )
        time.sleep(0)


@then('a fourth call of "{route}" gets status {status:d} and reaches no engine')
def check_quarantined(context: Context, route: str, status: int) -> None:
    """Guard against a request that crashes one engine after the other."""
    count_before = len(context.servers[0].headers)
    call_route(context, route)
    check_status(context, status)
    assert len(context.servers[0].headers) == count_before


@given('an idle connection of a caller that was answered')
def idle_channel(context: Context) -> None:
    """Send a request, read its answer and keep the connection open."""
    call_route(context, 'read')
    context.caller.read_until(b'done')
    context.idle_caller = context.caller


@when('the relay stops and closes idle connections')
def stop_keep_alive(context: Context) -> None:
    """Stop the connections as a router does after SIGTERM."""
    context.fixture.callers.stop_keep_alive()
    context.fixture.callers.close_idle_channels()


@then('the idle connection is closed')
def check_idle_closed(context: Context) -> None:
    """Wait until the idle connection is closed."""
    assert context.idle_caller.read_all().endswith(b'done')


@then('a new call is answered with "{header}"')
def check_closing(context: Context, header: str) -> None:
    """Require a header in the answer to a new call."""
    call_route(context, 'read')
    assert header.encode() in context.caller.read_until(b'done')
