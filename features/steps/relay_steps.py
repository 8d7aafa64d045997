"""Steps for the relay."""

import time

from behave import given, then, when
from behave.runner import Context

from features.loop import wait_for_call, wait_until
from features.relay_path import (
    HOST,
    KEY,
    MODEL_HEADERS,
    Caller,
    RelayPath,
    request,
)
from features.relay_servers import BEHAVIOURS, stream_events
from features.scripted_server import Exchange, ScriptedServer
from features.silent_port import SilentPort


def _add_server(
    context: Context,
    service: str,
    script: object,
    *,
    is_closed: bool = False,
) -> ScriptedServer:
    seen: list[dict[str, str]] = []
    exchanges: list[Exchange] = []

    def record(exchange: Exchange) -> None:
        seen.append(dict(exchange.headers))
        exchanges.append(exchange)
        script(exchange)

    server = ScriptedServer(record)
    server.seen = seen
    server.exchanges = exchanges
    wait_for_call(server.start)
    if is_closed:
        wait_for_call(server.close)
    else:
        context.add_cleanup(wait_for_call, server.close)
    name = f'i{len(context.servers)}'
    context.servers.append(server)
    context.path.add_server(name, service, server)
    return server


def _start(context: Context) -> None:
    context.path = RelayPath()
    context.add_cleanup(context.path.close)
    context.servers = []
    context.callers = []


@given('a relay without a configuration')
def bare_relay(context: Context) -> None:
    """Start a relay that knows nothing."""
    _start(context)


@given('a relay with a plain server that {behaviour}')
def plain_relay(context: Context, behaviour: str) -> None:
    """Start a relay before one plain server."""
    _start(context)
    context.path.configure()
    _add_server(
        context,
        'plain',
        BEHAVIOURS[behaviour],
        is_closed=behaviour == 'refuses connections',
    )


@given('a relay before a plain server that leaves connections unanswered')
def silent_relay(context: Context) -> None:
    """Start a relay before a port that accepts no connection."""
    _start(context)
    context.path.configure()
    context.silent = []
    context.path.around.on_silent = context.silent.append
    server = SilentPort()
    context.add_cleanup(server.close)
    context.servers.append(server)
    context.path.add_server('i0', 'plain', server)


@then('the first server is known to be silent')
def check_silent(context: Context) -> None:
    """Guard against calls that wait for a host without power."""
    assert context.silent == ['i0']


@given('a second plain server that {behaviour}')
def second_plain(context: Context, behaviour: str) -> None:
    """Add a plain server."""
    _add_server(context, 'plain', BEHAVIOURS[behaviour])


@given('a relay with a model engine that streams {count:d} events')
def model_relay(context: Context, count: int) -> None:
    """Start a relay before one engine."""
    _start(context)
    context.path.configure()
    _add_server(context, 'model', stream_events(count, breaks=False))


@given(
    'a relay with a model engine that streams {count:d} events and half of '
    'one, then resets'
)
def breaking_model(context: Context, count: int) -> None:
    """Start a relay before one engine that breaks its streams."""
    _start(context)
    context.path.configure()
    _add_server(context, 'model', stream_events(count, breaks=True))


@given('a second model engine that streams {count:d} events')
def second_model(context: Context, count: int) -> None:
    """Add an engine."""
    _add_server(context, 'model', stream_events(count, breaks=False))


def _raw(name: str) -> bytes:
    plain = request('read')
    head, _, _ = plain.partition(b'\r\n\r\n')
    return {
        'length and chunks': head
        + b'\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        'two lengths': head + b'\r\nContent-Length: 6\r\n\r\nhello!',
        'two hosts': head + b'\r\nHost: other.example\r\n\r\nhello',
        'no host': plain.replace(f'Host: {HOST}\r\n'.encode(), b''),
        'space before colon': plain.replace(b'Host:', b'Host :'),
        'absolute target': plain.replace(b' /read', b' http://a/read'),
        'body over the limit': request('read', body=b'x' * 5001),
        'chunks over the limit': plain.replace(
            b'Content-Length: 5', b'Transfer-Encoding: chunked'
        ).replace(b'hello', b'1400\r\n%s\r\n' % (b'x' * 5120)),
        'head over the limit': head + b'\r\nX-Long: ' + b'x' * 5000,
        'half a head': head[:40],
        'unknown route': request('unknown'),
        'no key': request('read', key=''),
        'wrong key': request('read', key='k9'),
        'public route': request('open', key=''),
        'no id': plain.replace(b'X-Yuccagauge-Request-Id', b'X-Other'),
        'two ids': request('read', headers=('X-Yuccagauge-Request-Id: r2',)),
        'request in a body': request('read', body=request('book', 'r2')),
        'forged headers': request(
            'read',
            headers=(
                'X-Yuccagauge-Tenant: ben',
                'X-Yuccagauge-Hold: h',
                'X-Yuccagauge-Kv-Backup: 1.2.3.4:5',
                'Kv-From: 1.2.3.4:5/6',
                'X-Yuccagauge-Pin-Ms: 50',
                'X-Yuccagauge-Cache-Salt: mine',
                'X-Keep: yes',
                'Connection: X-Drop',
                'X-Drop: yes',
            ),
        ),
    }[name]


def _call(context: Context, data: bytes) -> Caller:
    caller = Caller(context.path.address)
    context.add_cleanup(caller.close)
    context.caller = caller
    caller.send(data)
    return caller


@when('a caller sends the request "{name}"')
def send_raw(context: Context, name: str) -> None:
    """Send bytes as they are."""
    _call(context, _raw(name))


@when('a caller calls "{route}"')
def call_route(context: Context, route: str) -> None:
    """Send a proper request."""
    is_model = route in {'talk', 'resume'}
    headers = MODEL_HEADERS if is_model else ()
    method = 'GET' if route == 'read' else 'POST'
    body = b'' if route == 'read' else b'hello'
    _call(
        context,
        request(route, headers=headers, method=method, body=body),
    )


@when('a caller calls "{route}" until the first server was used')
def call_until_used(context: Context, route: str) -> None:
    """Give the first server the least load until it gets a call."""
    first, second = ('i0', 'i1')
    load = context.path.selector.load_of(second)
    load.record_service_time(900)
    load.record_outcome(failed=True, now=context.path.around.clock.now())
    if context.path.selector.view.servers[second].weights:
        # Of two idle engines the one that holds the parts is taken.
        for part in ('aa', 'bb'):
            context.path.selector.cache.add(first, '1/anna', part)
    call_route(context, route)


@then('the caller gets status {status:d}')
def check_status(context: Context, status: int) -> None:
    """Compare the status of the answer."""
    received = context.caller.read_until(b'\r\n\r\n')
    assert received.startswith(b'HTTP/1.1 %d' % status), received


@then('the caller gets status {status:d} and the channel ends')
def check_status_and_end(context: Context, status: int) -> None:
    """Compare the status, and wait for the end of the channel."""
    received = context.caller.read_all()
    assert received.startswith(b'HTTP/1.1 %d' % status), received


@then('the server got {times:d} requests')
def check_times(context: Context, times: int) -> None:
    """Compare the number of requests at the first server."""
    assert len(context.servers[0].seen) == times, context.servers[0].seen


@when('a caller sends {count:d} requests at once')
def send_pipelined(context: Context, count: int) -> None:
    """Send requests without waiting for answers."""
    data = b''.join(request('read', f'r{n}') for n in range(count))
    _call(context, data)


@then('the caller gets {count:d} answers in order')
def check_in_order(context: Context, count: int) -> None:
    """Compare the ids of the answers."""
    last = f'r{count - 1}'.encode()
    received = context.caller.read_until(last)
    places = [received.find(f'Id: r{n}'.encode()) for n in range(count)]
    assert -1 not in places, received
    assert places == sorted(places), received


@then(
    'the server got the customer "{customer}" and neither key nor forged '
    'headers'
)
def check_headers(context: Context, customer: str) -> None:
    """Guard against headers that only the router may set."""
    seen = context.servers[0].seen[0]
    assert seen['x-yuccagauge-tenant'] == customer
    assert seen['x-keep'] == 'yes'
    assert seen['host'] == HOST
    assert seen['x-yuccagauge-expect-instance'] == 'i0'
    assert int(seen['x-yuccagauge-deadline-ms']) <= 1500
    assert KEY not in ' '.join(seen.values())
    forged = {
        'x-yuccagauge-hold',
        'x-yuccagauge-kv-backup',
        'kv-from',
        'x-yuccagauge-pin-ms',
        'x-yuccagauge-cache-salt',
        'x-drop',
        'authorization',
    }
    assert forged.isdisjoint(seen), seen


@when('a caller calls "{route}" and leaves')
def call_and_leave(context: Context, route: str) -> None:
    """Close the channel once the server has the request."""
    call_route(context, route)
    wait_until(lambda: bool(context.servers[0].exchanges))
    context.caller.close()


@then("the server's connection is closed")
def check_closed(context: Context) -> None:
    """Wait for the end of the server's connection."""
    wait_until(lambda: context.servers[0].exchanges[0].lost)


def _events(received: bytes) -> list[str]:
    return [
        line.removeprefix(b'id: ').decode()
        for line in received.split(b'\n')
        if line.startswith(b'id: ')
    ]


@then('the caller has the events "{numbers}" and a complete answer')
def check_complete(context: Context, numbers: str) -> None:
    """Compare the events of a chunked answer with its end."""
    received = context.caller.read_until(b'\r\n0\r\n\r\n')
    assert received.endswith(b'\r\n0\r\n\r\n'), received
    assert _events(received) == numbers.split(), received


@then('the caller has the events "{numbers}" and an answer that is cut')
def check_cut(context: Context, numbers: str) -> None:
    """Compare the events of an answer without its end."""
    received = context.caller.read_all()
    assert not received.endswith(b'\r\n0\r\n\r\n'), received
    assert _events(received) == numbers.split(), received


@then('the second server was asked to resume after "{number}"')
def check_resumed(context: Context, number: str) -> None:
    """Compare the last event that the second server was told."""
    assert context.servers[1].seen[0]['last-event-id'] == number


@then('the engine was asked for version "{version}" in the scope "{scope}"')
def check_scope(context: Context, version: str, scope: str) -> None:
    """Compare the headers of weights and cache."""
    context.caller.read_until(b'\r\n\r\n')
    seen = context.servers[0].seen[0]
    assert seen['x-yuccagauge-expect-version'] == version
    assert seen['x-yuccagauge-cache-salt'] == scope


@when(
    'a caller calls "{route}" {times:d} times while the engine starts anew '
    'each time'
)
def crash_engines(context: Context, route: str, times: int) -> None:
    """Let the engine show another start after each broken answer."""
    server = context.servers[0]
    for number in range(times):
        call_route(context, route)
        context.caller.read_all()
        context.path.add_server('i0', 'model', server, born=number + 1)
        entry = context.path.directory.servers['i0']
        context.path.around.quarantine.record_incarnation(
            entry.endpoint,
            entry.incarnation,
            context.path.around.clock.now() + 1,
        )
        time.sleep(0)


@then('a fourth call of "{route}" gets status {status:d} and reaches no engine')
def check_quarantined(context: Context, route: str, status: int) -> None:
    """Guard against a request that takes down one engine after the other."""
    before = len(context.servers[0].seen)
    call_route(context, route)
    check_status(context, status)
    assert len(context.servers[0].seen) == before


@given('a channel that has had its answer')
def idle_channel(context: Context) -> None:
    """Send a request and read its answer."""
    call_route(context, 'read')
    context.caller.read_until(b'done')
    context.idle = context.caller


@when('the relay leaves and closes idle channels')
def leave(context: Context) -> None:
    """Stop as after SIGTERM."""
    context.path.callers.leave()
    context.path.callers.close_idle()


@then('the idle channel ends')
def check_idle_ended(context: Context) -> None:
    """Wait for the end of the idle channel."""
    assert context.idle.read_all().endswith(b'done')


@then('a new call is answered with "{header}"')
def check_closing(context: Context, header: str) -> None:
    """Compare the head of a new answer."""
    call_route(context, 'read')
    assert header.encode() in context.caller.read_until(b'done')
