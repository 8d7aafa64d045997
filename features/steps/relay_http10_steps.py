"""Steps for callers of a relay that speak HTTP/1.0."""

import json
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features.relay_fixture import MODEL_HEADERS, request
from features.relay_servers import BEHAVIOURS, CHUNKED, event
from features.scripted_server import Exchange
from features.steps.relay_steps import (
    send_request,
    start_relay_with_plain_server,
)

_HEAD_END = b'\r\n\r\n'
_PART_BYTES = 50_000


def _send_chunks(
    body: bytes, content_type: str, *, resets: bool = False
) -> Callable[[Exchange], None]:
    def script(exchange: Exchange) -> None:
        exchange.write_head(200, CHUNKED, f'Content-Type: {content_type}')
        for start in range(0, len(body), _PART_BYTES):
            exchange.chunk(body[start : start + _PART_BYTES])
        if resets:
            exchange.transport.loseConnection()
        else:
            exchange.chunk(b'')

    return script


@given('a relay before a server whose answer has a length')
def relay_with_length(context: Context) -> None:
    """Start a relay whose server states a length."""
    start_relay_with_plain_server(context, BEHAVIOURS['answers'])


@given('a relay before a server whose answer has {size:d} bytes in chunks')
def relay_with_chunks(context: Context, size: int) -> None:
    """Start a relay whose server states no length."""
    start_relay_with_plain_server(
        context, _send_chunks(b'x' * size, 'text/plain')
    )


@given('a relay before a server whose answer has {count:d} events in chunks')
def relay_with_event_chunks(context: Context, count: int) -> None:
    """Start a relay whose plain server answers with a stream."""
    start_relay_with_plain_server(
        context,
        _send_chunks(b''.join(map(event, range(count))), 'text/event-stream'),
    )


@given(
    'a relay before a server whose answer breaks off after {size:d} bytes in '
    'chunks'
)
def relay_with_broken_chunks(context: Context, size: int) -> None:
    """Start a relay whose server breaks its answers off."""
    start_relay_with_plain_server(
        context, _send_chunks(b'x' * size, 'text/plain', resets=True)
    )


@when('a caller that speaks HTTP/1.0 calls "{route}"')
def call_with_old_version(context: Context, route: str) -> None:
    """Send one request and read until the connection ends."""
    data = request(route, headers=MODEL_HEADERS)
    send_request(context, data.replace(b'HTTP/1.1', b'HTTP/1.0'))
    received = context.caller.read_all()
    assert not received.endswith(b'RESET'), received[-100:]
    head, _, context.body = received.partition(_HEAD_END)
    status, *lines = head.decode('ascii').split('\r\n')
    context.status = int(status.split(' ')[1])
    pairs = (line.partition(': ') for line in lines)
    context.headers = {pair[0].lower(): pair[2] for pair in pairs}


@then(
    'the caller has a refusal with status {status:d}, code "{code}" and '
    'verdict "{verdict}"'
)
def check_refusal(
    context: Context, status: int, code: str, verdict: str
) -> None:
    """Guard against a refusal that does not tell what happened."""
    assert context.status == status, (context.status, context.headers)
    assert json.loads(context.body) == {'error': code}, context.body
    assert context.headers['yuccagauge-verdict'] == verdict, context.headers


@then('the caller has a whole answer of {size:d} bytes with a length')
def check_length(context: Context, size: int) -> None:
    """Guard against answers that end with their connection."""
    assert context.status == 200, (context.status, context.body)
    assert len(context.body) == size, len(context.body)
    assert context.headers['content-length'] == str(size), context.headers


@then('no server got a request')
def check_no_request(context: Context) -> None:
    """Guard against runs whose answers are rejected."""
    assert not any(server.exchanges for server in context.servers)
