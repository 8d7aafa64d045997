"""Steps for requests that were read whole."""

import time
from collections.abc import Callable
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.config_changes import changed_configuration
from features.loop import wait_until
from features.relay_fixture import MODEL_HEADERS, request
from features.relay_servers import (
    BEHAVIOURS,
    CHUNKED,
    event,
    open_event_stream,
)
from features.scripted_server import Exchange
from features.steps.relay_steps import (
    add_engine,
    send_request,
    start_relay_with_engine,
    start_relay_with_plain_server,
)
from yuccagauge.clock import Millis
from yuccagauge.dispatch import connection
from yuccagauge.selection.base import SelectionDecision
from yuccagauge.telemetry import journal

_HEAD_END = b'\r\n\r\n'
_LAST_CHUNK = b'\r\n0\r\n\r\n'
_SELECTION_INTERVAL = Millis(20)


def run_reactor(ms: int) -> None:
    """Run the event loop for a time."""
    end = reactor.seconds() + ms / 1000
    wait_until(lambda: reactor.seconds() >= end)


def _hold_answer(context: Context) -> Callable[[Exchange], None]:
    def script(exchange: Exchange) -> None:
        context.go_on = lambda: exchange.answer(200, b'done')

    return script


def _hold_body(context: Context) -> Callable[[Exchange], None]:
    def script(exchange: Exchange) -> None:
        exchange.write_head(200, 'Content-Length: 4')
        context.go_on = lambda: exchange.transport.write(b'done')

    return script


def _hold_stream(context: Context) -> Callable[[Exchange], None]:
    def script(exchange: Exchange) -> None:
        open_event_stream(exchange, CHUNKED)
        for number in range(2):
            exchange.chunk(event(number))

        def go_on() -> None:
            exchange.chunk(event(2))
            exchange.chunk(b'')

        context.go_on = go_on

    return script


def _hold_selection(context: Context) -> None:
    """Let the selector decide that calls wait."""
    selector = context.fixture.selector
    choose = selector.choose

    def wait(*arguments: Any) -> SelectionDecision:
        context.has_waited = True
        now = context.fixture.relay_context.clock.now()
        return SelectionDecision(wait_until=now + _SELECTION_INTERVAL)

    def go_on() -> None:
        selector.choose = choose

    selector.choose = wait
    context.go_on = go_on


@given('a relay with a call that {state}')
def relay_with_call(context: Context, state: str) -> None:
    """Start a call that does not end before its server goes on."""
    context.go_on = None
    context.has_waited = False
    context.is_stream = state == 'has two events'
    if context.is_stream:
        start_relay_with_engine(context, _hold_stream(context))
        send_request(context, request('talk', headers=MODEL_HEADERS))
        context.caller.read_until(event(1))
        return
    scripts = {
        'waits for a server': BEHAVIOURS['answers'],
        'was sent': _hold_answer(context),
        'has its head': _hold_body(context),
    }
    start_relay_with_plain_server(context, scripts[state])
    if state == 'waits for a server':
        _hold_selection(context)
    send_request(context, request('book'))
    wait_until(lambda: context.has_waited or bool(context.servers[0].exchanges))
    # The relay reads what the server sent, and some time is used.
    run_reactor(20)


@when('the configuration changes: {change}')
def change_configuration(context: Context, change: str) -> None:
    """Apply a changed configuration, as a record of the store."""
    known = context.fixture.directory.configuration
    document = changed_configuration(change, known.version + 1)
    context.fixture.configure(document)
    run_reactor(20)


@when('the server goes on')
def let_server_go_on(context: Context) -> None:
    """Let the server answer, or the selector select one."""
    context.go_on()


def wait_until_no_call_is_left(context: Context) -> None:
    """Run the event loop until the relay has no call."""
    relay_context = context.fixture.relay_context
    wait_until(lambda: not relay_context.running_calls)
    for load in context.fixture.selector.loads.values():
        assert not load.own_calls, load.own_calls


@then('the caller gets the whole answer, and no call is left')
def check_whole_answer(context: Context) -> None:
    """Guard against calls that a change of the configuration ends."""
    end = _LAST_CHUNK if context.is_stream else b'done'
    received = context.caller.read_until(end)
    assert received.startswith(b'HTTP/1.1 200'), received
    assert received.endswith(end), received
    if context.is_stream:
        assert received.count(b'data: ') == 3, received
    wait_until_no_call_is_left(context)


def send_and_read(context: Context) -> None:
    """Send a request, and read its answer."""
    send_request(context, request('book'))
    context.caller.read_until(b'done')
    context.caller.received = b''


@given('a channel of a caller with an answer')
def channel_with_answer(context: Context) -> None:
    """Leave an idle channel to a relay whose server answers."""
    context.go_on = None
    start_relay_with_plain_server(context, BEHAVIOURS['answers'])
    send_and_read(context)


@given('a channel of a caller with an answer that has begun')
def channel_with_begun_answer(context: Context) -> None:
    """Leave a channel whose answer does not end before its server goes on."""
    start_relay_with_plain_server(context, BEHAVIOURS['answers'])
    add_engine(context, _hold_stream(context))
    send_request(context, request('talk', headers=MODEL_HEADERS))
    context.caller.read_until(event(1))


@when('its next request is sent')
def send_next_request(context: Context) -> None:
    """Send a request behind an answer, which then ends."""
    context.caller.send(request('book', 'r2'))
    if context.go_on is None:
        return
    run_reactor(20)
    context.go_on()
    received = context.caller.read_until(_LAST_CHUNK)
    assert _LAST_CHUNK in received, received
    context.caller.received = received.partition(_LAST_CHUNK)[2]


@then('the next request gets status {status:d}, and no call is left')
def check_next_status(context: Context, status: int) -> None:
    """Guard against channels that end without an answer to a request."""
    received = context.caller.read_until(_HEAD_END)
    assert received.startswith(b'HTTP/1.1 %d' % status), received
    wait_until_no_call_is_left(context)


@then('a new caller gets status {status:d}')
def check_new_caller(context: Context, status: int) -> None:
    """Guard against limits that no new channel can use."""
    caller = send_request(context, request('book', 'r3'))
    received = caller.read_until(_HEAD_END)
    assert received.startswith(b'HTTP/1.1 %d' % status), received


def _raise() -> None:
    raise RuntimeError('unexpected')


@given('an unexpected error in {place}')
def break_place(context: Context, place: str) -> None:
    """Make one part of the handling of a request raise an error."""
    fixture = context.fixture
    shared = fixture.relay_context
    owner, name = {
        'decoding': (shared.call_decoder, 'decode_request'),
        'admission': (fixture.relay, 'draw_service'),
        'selection': (fixture.selector, 'choose'),
        'a later selection': (fixture.selector, 'choose'),
        'encoding': (shared.backend_protocol, 'encode_attempt'),
        'the send': (connection, '_encode'),
    }[place]
    decisions: list[Any] = []
    if place == 'a later selection':
        wait_until_ms = Millis(shared.clock.now() + _SELECTION_INTERVAL)
        decisions.append(SelectionDecision(wait_until=wait_until_ms))

    def fail(*arguments: Any) -> Any:
        return decisions.pop() if decisions else _raise()

    context.log_lines = []
    write = journal.log_state_change

    def record(event_name: str, **fields: Any) -> None:
        context.log_lines.append((event_name, fields))
        write(event_name, **fields)

    for patch in (
        mock.patch.object(owner, name, fail),
        mock.patch.object(journal, 'log_state_change', record),
    ):
        patch.start()
        context.add_cleanup(patch.stop)
    context.broken_at = time.monotonic()


@then(
    'the caller gets status {status:d} and the verdict "{verdict}" within '
    '{ms:d} ms'
)
def check_refusal(context: Context, status: int, verdict: str, ms: int) -> None:
    """Guard against channels that just end, and against late refusals."""
    received = context.caller.read_until(_HEAD_END)
    elapsed = time.monotonic() - context.broken_at
    assert received.startswith(b'HTTP/1.1 %d' % status), received
    assert f'Yuccagauge-Verdict: {verdict}'.encode() in received, received
    assert elapsed < ms / 1000, elapsed


@then('no call is left, and the log names the error')
def check_logged_error(context: Context) -> None:
    """Guard against errors that leave no line and calls that stay."""
    wait_until_no_call_is_left(context)
    errors = [fields.get('error') for _, fields in context.log_lines]
    assert 'RuntimeError' in errors, context.log_lines


@when('a caller calls with "{header}" in place of its usual value')
def call_with_header(context: Context, header: str) -> None:
    """Send a request with an unusual header."""
    name, _, text = header.partition(': ')
    if name == 'X-Yuccagauge-Request-Id':
        send_request(context, request('book', text))
    else:
        send_request(context, request('book', headers=(header,)))


@given('a relay whose plain server sends chunks and a wrong length')
def relay_with_two_framings(context: Context) -> None:
    """Start a relay with a server that states two lengths of its body."""

    def answer(exchange: Exchange) -> None:
        exchange.write_head(
            200, 'Content-Length: 9', 'Transfer-Encoding: chunked'
        )
        exchange.transport.write(b'4\r\ndone\r\n0\r\n\r\n')

    start_relay_with_plain_server(context, answer)


@then('the caller gets the chunks, or an incomplete answer')
def check_chunks(context: Context) -> None:
    """Guard against a channel that stays open without the rest of an answer."""
    received = context.caller.read_until(b'done')
    assert received.startswith(b'HTTP/1.1 200'), received
    if b'Content-Length: 9' in received:
        assert context.caller.read_all().endswith(b'RESET')
    wait_until_no_call_is_left(context)
