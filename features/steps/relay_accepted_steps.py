"""Steps for requests that were read whole."""

import time
from collections.abc import Callable
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.config_changes import changed_configuration
from features.loop import run_blocking, wait_until
from features.relay_fixture import MODEL_HEADERS, configuration, request
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
_MEGABYTE = 1_000_000


def _run_reactor(ms: int) -> None:
    end = reactor.seconds() + ms / 1000
    wait_until(lambda: reactor.seconds() >= end)


def _hold_answer(context: Context) -> Callable[[Exchange], None]:
    def script(exchange: Exchange) -> None:
        context.go_on = lambda: exchange.answer(200, b'done')

    return script


def _hold_body(context: Context) -> Callable[[Exchange], None]:
    def script(exchange: Exchange) -> None:
        exchange.transport.write(b'HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\n')
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
    _run_reactor(20)


@when('the configuration changes: {change}')
def change_configuration(context: Context, change: str) -> None:
    """Apply a changed configuration, as a record of the store."""
    known = context.fixture.directory.configuration
    document = changed_configuration(change, known.version + 1)
    context.fixture.configure(document)
    _run_reactor(20)


@when('the server goes on')
def let_server_go_on(context: Context) -> None:
    """Let the server answer, or the selector select one."""
    context.go_on()


def _wait_until_no_call_is_left(context: Context) -> None:
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
    _wait_until_no_call_is_left(context)


@given('a channel of a caller with an answer')
def channel_with_answer(context: Context) -> None:
    """Leave an idle channel to a relay whose server answers."""
    context.go_on = None
    start_relay_with_plain_server(context, BEHAVIOURS['answers'])
    _send_and_read(context)


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
    _run_reactor(20)
    context.go_on()
    received = context.caller.read_until(_LAST_CHUNK)
    assert _LAST_CHUNK in received, received
    context.caller.received = received.partition(_LAST_CHUNK)[2]


@then('the next request gets status {status:d}, and no call is left')
def check_next_status(context: Context, status: int) -> None:
    """Guard against channels that end without an answer to a request."""
    received = context.caller.read_until(_HEAD_END)
    assert received.startswith(b'HTTP/1.1 %d' % status), received
    _wait_until_no_call_is_left(context)


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
    _wait_until_no_call_is_left(context)
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
        exchange.transport.write(
            b'HTTP/1.1 200 X\r\nContent-Length: 9\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n'
        )

    start_relay_with_plain_server(context, answer)


@then('the caller gets the chunks, or an incomplete answer')
def check_chunks(context: Context) -> None:
    """Guard against a channel that stays open without the rest of an answer."""
    received = context.caller.read_until(b'done')
    assert received.startswith(b'HTTP/1.1 200'), received
    if b'Content-Length: 9' in received:
        assert context.caller.read_all().endswith(b'RESET')
    _wait_until_no_call_is_left(context)


@given('an idle timeout of {ms:d} ms')
def relay_with_idle_timeout(context: Context, ms: int) -> None:
    """Start a relay whose channels close soon."""
    context.go_on = None
    start_relay_with_plain_server(context, BEHAVIOURS['answers'])
    document = configuration()
    document['version'] += 1
    document['limits']['idleTimeoutMs'] = ms
    context.fixture.configure(document)


def _send_and_read(context: Context) -> None:
    send_request(context, request('book'))
    context.caller.read_until(b'done')
    context.caller.received = b''


@given('a caller that {before}')
def caller_before_pause(context: Context, before: str) -> None:
    """Bring a channel into a state."""
    data = request('book', 'r2')
    sent = {
        'was answered': 0,
        'has sent half a head': 40,
        'has sent half a body': len(data) - 2,
    }[before]
    if sent:
        send_request(context, data[:sent])
    else:
        _send_and_read(context)
    _run_reactor(20)
    context.rest = data[sent:]


@when('the relay is paused for {ms:d} ms, and {some_bytes} arrives meanwhile')
def pause_relay(context: Context, ms: int, some_bytes: str) -> None:
    """Do not run the event loop while bytes arrive and timers fall due."""
    context.caller.send(context.rest)
    time.sleep(ms / 1000)


@when('{ms:d} ms pass')
def pass_time(context: Context, ms: int) -> None:
    """Run the relay for a time."""
    _run_reactor(ms)


@then('the channel is closed')
def check_closed(context: Context) -> None:
    """Guard against channels that stay open for good."""
    wait_until(lambda: not context.fixture.callers.channels)
    assert not context.caller.read_all()


@when('its next request is sent and idle channels are closed before it is read')
def close_before_read(context: Context) -> None:
    """Close idle channels while a request waits to be read."""
    context.caller.send(request('book', 'r2'))
    time.sleep(0.02)
    context.fixture.callers.stop_keep_alive()
    context.fixture.callers.close_idle_channels()


@when('the relay stops to keep channels alive')
def stop_keep_alive(context: Context) -> None:
    """Begin a stop while an answer is under way."""
    context.fixture.callers.stop_keep_alive()


@when('a caller sends {some_bytes} and then reads')
def send_refused_bytes(context: Context, some_bytes: str) -> None:
    """Send bytes that the relay refuses before it has read them all."""
    data = request('book', body=b'x' * 1_000_000)
    if 'malformed' in some_bytes:
        data = request('book').replace(b'Host:', b'Host :')
        data += request('book', 'r2', body=b'x' * 1_000_000)
    caller = send_request(context, data[:100])
    run_blocking(caller.send, data[100:])


@then('the caller has a whole refusal with status {status:d} and no reset')
def check_whole_refusal(context: Context, status: int) -> None:
    """Guard against resets that overtake a refusal."""
    received = context.caller.read_all()
    assert received.startswith(b'HTTP/1.1 %d' % status), received
    assert received.endswith(b'}'), received


@given('a relay whose plain server answers with {size:d} MB')
def relay_with_large_answer(context: Context, size: int) -> None:
    """Start a relay whose answers do not fit into the buffers of a socket."""
    body = b'x' * (size * _MEGABYTE)
    start_relay_with_plain_server(
        context, lambda exchange: exchange.answer(200, body)
    )


@when(
    'a caller asks to close its channel after the answer, and sends more bytes'
)
def send_behind_last_request(context: Context) -> None:
    """Send bytes that the relay may ignore, before the answer is read."""
    data = request('book', headers=('Connection: close',))
    send_request(context, data)
    _wait_until_no_call_is_left(context)
    context.caller.send(request('book', 'r2'))
    _run_reactor(50)


@then('the caller gets all {size:d} MB of the answer')
def check_large_answer(context: Context, size: int) -> None:
    """Guard against resets that overtake an answer."""
    received = context.caller.read_all().partition(_HEAD_END)[2]
    assert len(received) == size * _MEGABYTE, len(received)
