"""Steps for servers that send bytes without end."""

import tracemalloc

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.directory_fixtures import backend_server
from features.endless_servers import EndlessServer
from features.loop import wait_for, wait_for_call, wait_until
from features.relay_fixture import MODEL_HEADERS, Caller, request
from features.scripted_server import ScriptedServer
from features.steps.relay_steps import (
    start_relay_with_engine,
    start_relay_with_plain_server,
)
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.platform.engines import PlatformEngineClient

_MEBIBYTE = 1024 * 1024


@given('a relay with a model engine that sends {name} without end')
def relay_with_endless_engine(context: Context, name: str) -> None:
    """Start a relay with one endless engine."""
    context.endless = EndlessServer(name)
    start_relay_with_engine(context, context.endless)


@given('a relay before a plain server that sends {name} without end')
def relay_with_endless_server(context: Context, name: str) -> None:
    """Start a relay with one endless plain server."""
    context.endless = EndlessServer(name)
    start_relay_with_plain_server(context, context.endless)


@given('an engine that sends {name} without end')
def start_endless_engine(context: Context, name: str) -> None:
    """Start an engine without a relay."""
    context.endless = EndlessServer(name)
    context.server = ScriptedServer(context.endless)
    wait_for_call(context.server.start)
    context.add_cleanup(wait_for_call, context.server.close)


@when('a router reads its status')
def read_status(context: Context) -> None:
    """Call the engine as the rollout does."""
    pool = ConnectionPool(reactor)
    context.add_cleanup(pool.close)
    engines = PlatformEngineClient(reactor, pool, 'r')
    server = backend_server('i0', endpoint=context.server.endpoint)
    try:
        wait_for(engines.read_status(server))
    except FetchError as error:
        context.error = error


@then('the status call fails, and the engine could send at most {size:d} MiB')
def check_status_call(context: Context, size: int) -> None:
    """Guard against calls of the router itself that fill its memory."""
    assert 'too long' in str(context.error), context.error
    _check_sent(context, size)


@then(
    'the engine could send at most {size:d} MiB, and its connection is closed'
)
def check_sent(context: Context, size: int) -> None:
    """Guard against a connection that is read until the deadline."""
    _check_sent(context, size)


def _check_sent(context: Context, size: int) -> None:
    wait_until(lambda: not context.endless.open_connections)
    assert context.endless.sent <= size * _MEBIBYTE, context.endless.sent


@then('the caller has an incomplete answer')
def check_incomplete(context: Context) -> None:
    """Guard against a body that looks complete."""
    received = context.caller.read_all()
    assert received.endswith(b'RESET'), received[-40:]


@when('{count:d} callers call "{route}" at once')
def call_at_once(context: Context, count: int, route: str) -> None:
    """Send requests on connections of their own."""
    tracemalloc.start()
    context.callers = []
    for number in range(count):
        caller = Caller(context.fixture.address)
        context.add_cleanup(caller.close)
        caller.send(
            request(route, request_id=f'r{number}', headers=MODEL_HEADERS)
        )
        context.callers.append(caller)


@then('all get status {status:d}, and the peak of memory is below {size:d} MiB')
def check_memory(context: Context, status: int, size: int) -> None:
    """Guard against buffers that together exceed the memory of a router."""
    answers = [
        caller.read_until(b'\r\n\r\n')[:12] for caller in context.callers
    ]
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert set(answers) <= {b'HTTP/1.1 %d' % status, b'HTTP/1.1 503'}, answers
    assert peak < size * _MEBIBYTE, peak
