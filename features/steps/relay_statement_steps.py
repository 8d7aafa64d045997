"""Steps for what servers state about themselves."""

import re

from behave import given, then, when
from behave.runner import Context

from features.scripted_server import Exchange
from features.steps.relay_steps import (
    call_route,
    start_relay_with_plain_server,
)
from yuccagauge.relay.base import ResponseInfo

_NOT_EXECUTED = 'X-Yuccagauge-Not-Executed: 1'

#: Difference between the time that a server states and the one that is left.
_TOLERANCE_MS = 500


@given('a relay before a server that rejects calls with Retry-After "{value}"')
def relay_with_rejecting_server(context: Context, value: str) -> None:
    """Start a relay with a server that names a time."""

    def reject(exchange: Exchange) -> None:
        exchange.answer(503, b'', _NOT_EXECUTED, f'Retry-After: {value}')

    start_relay_with_plain_server(context, reject)


def _call(context: Context, route: str) -> bytes:
    call_route(context, route)
    return context.caller.read_until(b'\r\n\r\n')


@when('{count:d} further callers call "{route}"')
def call_again(context: Context, count: int, route: str) -> None:
    """Call the route several times, one after the other."""
    context.caller.read_until(b'\r\n\r\n')
    for _ in range(count):
        _call(context, route)


@when('the entry of the first server is written again')
def rewrite_entry(context: Context) -> None:
    """Write a heartbeat of a ready server."""
    context.caller.read_until(b'\r\n\r\n')
    context.fixture.add_server('i0', 'plain', context.servers[0], seq=2)


@when('the entry of the first server lapses and returns')
def lapse_entry(context: Context) -> None:
    """Remove the entry, and write it again."""
    context.fixture.remove_server('i0')
    context.fixture.add_server('i0', 'plain', context.servers[0], seq=3)


@when('the first server starts again under its id')
def restart_server(context: Context) -> None:
    """Write the entry of a new start, which no longer leaves."""
    context.caller.read_until(b'\r\n\r\n')
    context.servers[0].script = lambda exchange: exchange.answer(
        200, b'done', 'X-Yuccagauge-Server-Stamp: s'
    )
    context.fixture.add_server('i0', 'plain', context.servers[0], born=9)


@when('the first server tells the router that it leaves')
def tell_router(context: Context) -> None:
    """Answer a call of the router itself."""
    selector = context.fixture.selector
    selector.statements.record_answer(
        selector.view.servers.values(),
        context.servers[0].endpoint,
        ResponseInfo(is_leaving=True),
        context.fixture.relay_context.clock.now(),
    )


@then('another caller of "{route}" gets status {status:d}')
def check_next_status(context: Context, route: str, status: int) -> None:
    """Guard against calls to a server that leaves, and a server lost."""
    received = _call(context, route)
    assert received.startswith(b'HTTP/1.1 %d' % status), received


@then('the first server gets no call for {ms:d} ms')
def check_pause(context: Context, ms: int) -> None:
    """Guard against a time that is cut, extended or invented."""
    fixture = context.fixture
    context.caller.read_until(b'\r\n\r\n')
    server = fixture.selector.view.servers['i0']
    now = fixture.relay_context.clock.now()
    left = max(0, fixture.selector.statements.refused_until(server) - now)
    assert max(0, ms - _TOLERANCE_MS) <= left <= ms, left


@when('another caller of "{route}" is refused')
def call_refused(context: Context, route: str) -> None:
    """Call a route whose only server takes no calls."""
    context.caller.read_until(b'\r\n\r\n')
    assert _call(context, route).startswith(b'HTTP/1.1 503')


@then('it is told to retry after {least:g} to {most:g} s')
def check_retry_after(context: Context, least: float, most: float) -> None:
    """Guard against callers that come back too early."""
    found = re.search(rb'Retry-After: ([0-9.]+)', context.caller.received)
    assert found, context.caller.received
    assert least <= float(found.group(1)) <= most, found.group(1)
