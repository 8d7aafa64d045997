"""Steps for callers that leave, or read slowly."""

import socket
import time

from behave import given, then, when
from behave.runner import Context

from features.loop import run_blocking, wait_for_call, wait_until
from features.router_fleet import (
    CREDENTIAL,
    chat_body,
)
from features.scripted_server import Exchange, ScriptedServer
from features.steps.dispatch_streams_steps import (
    MEGABYTE,
    QUIET_SECONDS,
    start_scripted,
)
from yuccagauge.clock import Millis


def _open_stream(context: Context, body: bytes) -> socket.socket:
    endpoint = context.router.endpoints[0]
    connection = socket.create_connection((endpoint.host, endpoint.port))
    head = (
        'POST /v1/chat/completions HTTP/1.1\r\nHost: router\r\n'
        f'Authorization: Bearer {CREDENTIAL}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    connection.sendall(head.encode() + body)
    return connection


@when('a caller leaves in the middle of a routed stream')
def when_leaves(context: Context) -> None:
    """Read the first event of a long answer and close."""
    engine = context.engines[0]
    wait_for_call(lambda: engine.set_faults(stall_after_events=1))
    context.router.dispatcher.around.stall_time = Millis(60_000)
    connection = _open_stream(context, chat_body(max_tokens=4000))
    found = b''
    while b'data: ' not in found:
        found += run_blocking(connection.recv, MEGABYTE)
    connection.close()


@then('the engine records the cancel of the routed stream')
def then_cancelled(context: Context) -> None:
    """Wait for the record."""
    wait_until(
        lambda: any(
            each['kind'] in {'cancelled', 'finished'}
            for each in context.engines[0].records
        ),
    )


@then('the router runs no request any more')
def then_idle(context: Context) -> None:
    """Check the number of running calls."""
    wait_until(lambda: context.router.dispatcher.running == 0)


class _Flood:
    """Produces large events as fast as the connection takes them."""

    def __init__(self, exchange: Exchange, size: int) -> None:
        """Begin the stream."""
        self._exchange = exchange
        self._last = size // MEGABYTE
        self._next = 0
        self.sent = 0
        exchange.open_stream('i1', 'w1')
        exchange.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Send one event of a tenth of a megabyte, or the end."""
        if self._next == self._last * 10:
            done = f'id: {self._next}\ndata: [DONE]\n\n'.encode()
            self._exchange.transport.unregisterProducer()
            self._exchange.chunk(done)
            self._exchange.chunk(b'')
            return
        text = f'id: {self._next}\ndata: '.encode()
        event = text + b'x' * (MEGABYTE // 10 - len(text) - 2) + b'\n\n'
        self._next += 1
        self.sent += len(event)
        self._exchange.chunk(event)

    def stopProducing(self) -> None:
        """Stop with the connection."""


@given('a scripted engine that streams {size:d} MB as fast as it can')
def given_flood(context: Context, size: int) -> None:
    """Start one engine."""
    context.floods = []

    def script(exchange: Exchange) -> None:
        context.floods.append(_Flood(exchange, size * MEGABYTE))

    start_scripted(context, ScriptedServer(script))
    context.flood_size = size * MEGABYTE


@when('a caller reads nothing of the routed stream for a while')
def when_slow(context: Context) -> None:
    """Wait until the engine cannot send any more."""
    context.slow = _open_stream(context, chat_body())
    context.add_cleanup(context.slow.close)
    wait_until(lambda: bool(context.floods))
    context.flood_sent = -1
    while context.flood_sent != context.floods[0].sent:
        context.flood_sent = context.floods[0].sent
        run_blocking(time.sleep, QUIET_SECONDS)


@then('less than {size:d} MB have left the scripted engine')
def then_held_back(context: Context, size: int) -> None:
    """Check what router and sockets hold together."""
    assert 0 < context.flood_sent < size * MEGABYTE, context.flood_sent


@then('the caller that reads on gets all of the routed stream')
def then_all(context: Context) -> None:
    """Count the bytes up to the end mark."""
    received = run_blocking(_count_to_end, context.slow)
    assert received > context.flood_size


def _count_to_end(connection: socket.socket) -> int:
    received = 0
    tail = b''
    while b'[DONE]' not in tail:
        data = connection.recv(MEGABYTE)
        assert data, 'the stream ended early'
        received += len(data)
        tail = (tail + data)[-100:]
    return received
