"""Steps for answers to the resumption of a stream."""

from behave import given, then, when
from behave.runner import Context

from features.recorded_log import record_decisions
from features.relay_fixture import MODEL_HEADERS, request
from features.relay_servers import (
    FAILED_CONTINUATIONS,
    event,
    restart_events,
    send_events,
    stream_events,
)
from features.steps.relay_steps import (
    add_engine,
    send_request,
    start_relay_with_engine,
)
from yuccagauge.relay import report

_EVENTS = 4


def record_log(context: Context) -> None:
    """Record the log lines of calls."""
    context.log_lines = record_decisions(context, report)


@given('the log of the calls is read')
def read_log(context: Context) -> None:
    """Record the log lines of the calls that follow."""
    record_log(context)


@then(
    'the log has a call that ended by {framing} with {events:d} events and '
    '{rest:d} bytes of rest'
)
def check_logged_end(
    context: Context, framing: str, events: int, rest: int
) -> None:
    """Guard against ends of answers that the log cannot tell apart."""
    name, fields = context.log_lines[-1]
    assert name == 'call_ended', context.log_lines
    found = (fields['framing'], fields['events'], fields['rest_bytes'])
    assert found == (framing, events, rest), fields


@given('a second model engine that answers a resumption with {answer}')
def engine_without_continuation(context: Context, answer: str) -> None:
    """Add an engine that does not continue the stream."""
    record_log(context)
    add_engine(context, FAILED_CONTINUATIONS[answer])


@given('a relay with a model engine that answers each resumption with {answer}')
def relay_without_continuation(context: Context, answer: str) -> None:
    """Start a relay with one engine that continues no stream."""
    start_relay_with_engine(context, FAILED_CONTINUATIONS[answer])


@when('a caller resumes "{route}" after the event "{number}"')
def resume_stream(context: Context, route: str, number: str) -> None:
    """Send a request for the rest of a stream."""
    headers = (*MODEL_HEADERS, f'Last-Event-Id: {number}')
    send_request(context, request(route, headers=headers))


@given('a second model engine that starts again at event {first:d}')
def engine_that_restarts(context: Context, first: int) -> None:
    """Add an engine that does not start at the event it is asked for."""
    add_engine(context, restart_events(first, _EVENTS))


def _numbers(text: str) -> list[int]:
    return [int(number) for number in text.split()]


@given(
    'a relay with a model engine that streams the events "{numbers}" at once'
)
def relay_with_numbers(context: Context, numbers: str) -> None:
    """Start a relay with an engine that sends its events in one piece."""
    events = map(event, _numbers(numbers))
    start_relay_with_engine(context, send_events(b''.join(events)))


@given(
    'a relay with a model engine that streams the events "{numbers}" and resets'
)
def relay_with_numbers_and_reset(context: Context, numbers: str) -> None:
    """Start a relay with an engine that breaks its stream off."""
    events = map(event, _numbers(numbers))
    start_relay_with_engine(context, send_events(b''.join(events), resets=True))


@given(
    'a relay with a model engine that streams {count:d} events without ids and '
    'resets'
)
def relay_without_ids(context: Context, count: int) -> None:
    """Start a relay with an engine whose events have no ids."""
    events = b'data: x\n\n' * count
    start_relay_with_engine(context, send_events(events, resets=True))


@given('a second model engine that streams the events "{numbers}"')
def second_engine_with_numbers(context: Context, numbers: str) -> None:
    """Add an engine that streams certain events."""
    add_engine(context, send_events(b''.join(map(event, _numbers(numbers)))))


@then('the second server got no request')
def check_no_request(context: Context) -> None:
    """Guard against a stream that starts again behind its first events."""
    received = context.caller.read_all()
    assert received.count(b'data: x') == 2, received
    assert not context.servers[1].headers, received


@given('a third model engine that streams {count:d} events')
def third_engine(context: Context, count: int) -> None:
    """Add an engine that continues the stream."""
    add_engine(context, stream_events(count, resets=False))


@then(
    'the caller has the events "{numbers}" and nothing else, and an '
    'incomplete answer'
)
def check_nothing_else(context: Context, numbers: str) -> None:
    """Guard against a foreign body between events, and a false end."""
    received = context.caller.read_all()
    assert not received.endswith(b'\r\n0\r\n\r\n'), received
    texts = [
        line
        for line in received.partition(b'\r\n\r\n')[2].split(b'\n')
        if line.startswith((b'id:', b'data:', b'{'))
    ]
    expected = [
        line
        for number in numbers.split()
        for line in (b'id: %s' % number.encode(), b'data: t' + number.encode())
    ]
    assert texts == expected, received


@then('the log has an attempt of the second server that failed')
def check_failed_attempt(context: Context) -> None:
    """Guard against a log that calls a failed continuation an answer."""
    failed = [
        fields['server']
        for name, fields in context.log_lines
        if name == 'attempt_failed'
    ]
    assert failed == ['i0', 'i1'], context.log_lines
    name, fields = context.log_lines[-1]
    assert (name, fields['outcome']) == ('call_ended', 'server_broke'), fields


@then(
    'the request is suspected of one crash, and the second server of a failure'
)
def check_suspicion(context: Context) -> None:
    """Guard against a failure that counts as the completion of the request."""
    relay_context = context.fixture.relay_context
    now = relay_context.clock.now()
    suspicions = relay_context.quarantine.recent_suspicions(9, now)
    assert [len(found.crashes) for found in suspicions] == [1], suspicions
    assert not suspicions[0].cleared, suspicions
    assert context.fixture.selector.load_of('i1').failure_rate(now) > 0
