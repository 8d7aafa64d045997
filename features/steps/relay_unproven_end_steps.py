"""Steps for answers that end with their connection."""

import os
import signal
import subprocess
import sys
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.loop import wait_until
from features.relay_fixture import MODEL_HEADERS, Caller, request
from features.relay_servers import BEHAVIOURS, event, open_event_stream
from features.scripted_server import Exchange, ScriptedServer
from features.steps.relay_steps import (
    call_route,
    start_relay_with_engine,
    start_relay_with_plain_server,
)
from features.unresponsive_port import UnresponsivePort
from yuccagauge.dispatch.endpoints import tcp_endpoint
from yuccagauge.settings.options import Endpoint

#: Time between the last event and the end of the connection.
_PAUSE_S = 0.05

#: Time between the ends of the connections and of the port.
_PORT_DELAY_S = 0.002

_LAST_CHUNK = b'\r\n0\r\n\r\n'


def _send_two_events(exchange: Exchange) -> None:
    open_event_stream(exchange)
    exchange.transport.write(event(0) + event(1))


def _kill(server: ScriptedServer) -> None:
    """Close the port and all connections, as the end of a process does."""
    closed = server.close()
    closed.addCallback(lambda _: server.kill())


@given('a relay with an engine that ends between two events as it is killed')
def relay_with_killed_engine(context: Context) -> None:
    """Start a relay with an engine that is killed between two events."""

    def stream(exchange: Exchange) -> None:
        _send_two_events(exchange)
        reactor.callLater(_PAUSE_S, _kill, context.servers[0])

    start_relay_with_engine(context, stream)


@given(
    'a relay with an engine that ends between two events as it is killed, its '
    'port last'
)
def relay_with_engine_killed_slowly(context: Context) -> None:
    """Start a relay with an engine whose port outlives its connections."""

    def kill(exchange: Exchange) -> None:
        context.servers[0].kill()
        reactor.callLater(_PORT_DELAY_S, context.servers[0].close)

    def stream(exchange: Exchange) -> None:
        _send_two_events(exchange)
        reactor.callLater(_PAUSE_S, kill, exchange)

    start_relay_with_engine(context, stream)


@given('a relay whose plain server is killed in an answer without a length')
def relay_with_killed_plain_server(context: Context) -> None:
    """Start a relay with a server that is killed in its answer."""

    def answer(exchange: Exchange) -> None:
        exchange.write_head(200)
        exchange.transport.write(b'half')
        reactor.callLater(_PAUSE_S, _kill, context.servers[0])

    start_relay_with_plain_server(context, answer)


@given('a relay with an engine that ends between two events as it restarts')
def relay_with_restarted_engine(context: Context) -> None:
    """Start a relay with an engine whose next incarnation is listed."""

    def restart(exchange: Exchange) -> None:
        context.fixture.add_server('i0', 'model', context.servers[0], born=9)
        context.servers[0].end_connections()

    def stream(exchange: Exchange) -> None:
        _send_two_events(exchange)
        reactor.callLater(_PAUSE_S, restart, exchange)

    start_relay_with_engine(context, stream)


@given('a relay with an engine that ends between two events as its host fails')
def relay_with_failed_host(context: Context) -> None:
    """Start a relay with an engine whose port no longer accepts."""

    def fail(exchange: Exchange) -> None:
        port = UnresponsivePort()
        context.add_cleanup(port.close)
        patch = mock.patch.object(
            context.fixture.pool,
            '_endpoint',
            lambda loop, _: tcp_endpoint(loop, port.endpoint),
        )
        patch.start()
        context.add_cleanup(patch.stop)
        context.servers[0].stop_answering()
        exchange.transport.loseConnection()

    def stream(exchange: Exchange) -> None:
        _send_two_events(exchange)
        reactor.callLater(_PAUSE_S, fail, exchange)

    start_relay_with_engine(context, stream)


@then('the caller gets the body "{body}" of the second server')
def check_body(context: Context, body: str) -> None:
    """Guard against a body that was cut."""
    received = context.caller.read_until(body.encode())
    assert received.startswith(b'HTTP/1.1 200'), received
    assert len(context.servers[1].headers) == 1, received


@when('a caller calls "{route}" {times:d} times, one after the other')
def call_repeatedly(context: Context, route: str, times: int) -> None:
    """Wait for each answer before the next call."""
    context.received = []
    for _ in range(times):
        call_route(context, route)
        context.received.append(context.caller.read_until(b'done'))


@then('all get the body "{body}", and the server had {count:d} connections')
def check_connections(context: Context, body: str, count: int) -> None:
    """Guard against a connection for each check that carries no call."""
    assert all(body.encode() in found for found in context.received)
    assert context.servers[0].connections == count


@given(
    'a relay with {engines:d} engine processes that stream {count:d} events '
    'without framing'
)
def relay_with_engine_processes(
    context: Context, engines: int, count: int
) -> None:
    """Start engines as processes of their own."""
    start_relay_with_engine(context, BEHAVIOURS['never answers'])
    context.fixture.remove_server('i0')
    context.engines = {}
    context.event_count = count
    for number in range(engines):
        process = subprocess.Popen(
            [sys.executable, '-m', 'features.unframed_engine', str(count)],
            stdout=subprocess.PIPE,
        )
        context.add_cleanup(process.wait)
        context.add_cleanup(process.kill)
        context.add_cleanup(process.stdout.close)
        port = int(process.stdout.readline())
        server = ScriptedServer(BEHAVIOURS['never answers'])
        server.endpoint = Endpoint('127.0.0.1', port)
        name = f'p{number}'
        context.engines[name] = process
        context.fixture.add_server(name, 'model', server, slots=64)


@when(
    '{count:d} callers call "{route}" and the engine of the first one is killed'
)
def call_and_kill(context: Context, count: int, route: str) -> None:
    """Kill an engine once all callers have events."""
    context.callers = []
    for number in range(count):
        caller = Caller(context.fixture.address)
        context.add_cleanup(caller.close)
        caller.send(request(route, f'r{number}', headers=MODEL_HEADERS))
        context.callers.append(caller)
    for caller in context.callers:
        caller.read_until(b'id: %d\n' % (context.event_count // 2))
    loads = {
        name: context.fixture.selector.load_of(name).own_calls
        for name in context.engines
    }
    context.killed = next(name for name in loads if 'r0' in loads[name])
    context.victims = frozenset(loads[context.killed])
    for name, engine in context.engines.items():
        is_killed = name == context.killed
        os.kill(engine.pid, signal.SIGKILL if is_killed else signal.SIGUSR1)


@then('no caller of the killed engine has a complete answer')
def check_no_false_end(context: Context) -> None:
    """Guard against the end of a process that is taken for that of an answer."""
    assert context.victims
    for number, caller in enumerate(context.callers):
        if f'r{number}' in context.victims:
            received = caller.read_all()
            assert not received.endswith(_LAST_CHUNK), received


@then(
    'all callers of the other engine have {count:d} events and a complete '
    'answer'
)
def check_others(context: Context, count: int) -> None:
    """Guard against sound streams that are broken off beside the others."""
    others = [
        caller
        for number, caller in enumerate(context.callers)
        if f'r{number}' not in context.victims
    ]
    assert others
    for caller in others:
        received = caller.read_until(_LAST_CHUNK)
        assert received.endswith(_LAST_CHUNK), received
        assert received.count(b'id: ') == count, received
    wait_until(lambda: not context.fixture.relay_context.running_calls)


@given(
    'a relay whose plain server is killed in an answer, and another process '
    'answers {status:d} at its port'
)
def relay_with_successor(context: Context, status: int) -> None:
    """Start a relay with a server whose port another process takes."""

    def answer(exchange: Exchange) -> None:
        context.servers[0].successor_status = status
        exchange.write_head(200)
        exchange.transport.write(b'half')
        reactor.callLater(_PAUSE_S, context.servers[0].kill)

    start_relay_with_plain_server(context, answer)


@given(
    'a relay whose engine is killed in an answer, and another process answers '
    '{status:d} at its port'
)
def relay_with_engine_successor(context: Context, status: int) -> None:
    """Start a relay with an engine whose port another process takes."""

    def stream(exchange: Exchange) -> None:
        context.servers[0].successor_status = status
        _send_two_events(exchange)
        reactor.callLater(_PAUSE_S, context.servers[0].kill)

    start_relay_with_engine(context, stream)
