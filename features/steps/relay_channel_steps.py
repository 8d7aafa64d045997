"""Steps for channels of callers that are idle, paused or about to close."""

import time

from behave import given, then, when
from behave.runner import Context

from features.loop import run_blocking, wait_until
from features.relay_fixture import configuration, request
from features.relay_servers import BEHAVIOURS
from features.steps.relay_accepted_steps import (
    run_reactor,
    send_and_read,
    wait_until_no_call_is_left,
)
from features.steps.relay_steps import (
    send_request,
    start_relay_with_plain_server,
)

_HEAD_END = b'\r\n\r\n'
_MEGABYTE = 1_000_000


@given('an idle timeout of {ms:d} ms')
def relay_with_idle_timeout(context: Context, ms: int) -> None:
    """Start a relay whose channels close soon."""
    context.go_on = None
    start_relay_with_plain_server(context, BEHAVIOURS['answers'])
    document = configuration()
    document['version'] += 1
    document['limits']['idleTimeoutMs'] = ms
    context.fixture.configure(document)


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
        send_and_read(context)
    run_reactor(20)
    context.rest = data[sent:]


@when('the relay is paused for {ms:d} ms, and {some_bytes} arrives meanwhile')
def pause_relay(context: Context, ms: int, some_bytes: str) -> None:
    """Do not run the event loop while bytes arrive and timers fall due."""
    context.caller.send(context.rest)
    time.sleep(ms / 1000)


@when('{ms:d} ms pass')
def pass_time(context: Context, ms: int) -> None:
    """Run the relay for a time."""
    run_reactor(ms)


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
    wait_until_no_call_is_left(context)
    context.caller.send(request('book', 'r2'))
    run_reactor(50)


@then('the caller gets all {size:d} MB of the answer')
def check_large_answer(context: Context, size: int) -> None:
    """Guard against resets that overtake an answer."""
    received = context.caller.read_all().partition(_HEAD_END)[2]
    assert len(received) == size * _MEGABYTE, len(received)
