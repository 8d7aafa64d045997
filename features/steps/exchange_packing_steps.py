"""Steps for parts that no message can hold, and for duties that fail."""

from itertools import repeat
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from twisted.internet.task import Clock as TaskClock

from yuccagauge.clock import Millis, SystemClock
from yuccagauge.settings.options import Endpoint
from yuccagauge.tasks import PeriodicTask, run_each
from yuccagauge.telemetry import recurring
from yuccagauge.telemetry.meter import render_prometheus
from yuccagauge.wire import codec
from yuccagauge.wire.fleetmessages import (
    FleetExchange,
    FleetLoad,
    FleetVersion,
)

_SURROGATE = 'v1-\udce9'
_PEER = Endpoint('127.0.0.1', 7000)


@given('a message to a peer with parts that cannot be packed')
def unpackable_message(context: Context) -> None:
    """Build a message with sound parts and others."""
    context.message = FleetExchange(
        name='near',
        endpoint=_PEER,
        data_centre='a',
        versions=(
            FleetVersion(service='s', software_version='v1', age_ms=1),
            FleetVersion(service='s', software_version=_SURROGATE, age_ms=1),
            FleetVersion(service='s', software_version='v3', age_ms=2**80),
        ),
        loads=(
            FleetLoad(server='i-1', active=1, waiting_tokens=0, fixed=0),
            FleetLoad(server='i-2', active=-1, waiting_tokens=0, fixed=0),
        ),
    )


@when('the message is packed {count:d} times')
def pack(context: Context, count: int) -> None:
    """Pack it, and record the log lines."""
    context.log_lines = []
    patch = mock.patch.object(
        recurring,
        'log_state_change',
        lambda event, **fields: context.log_lines.append((event, fields)),
    )
    fresh = recurring.RecurringLog(SystemClock(), Millis(10_000))
    before = _counted('yuccagauge_wire_left_out_parts_total')
    with patch, mock.patch.object(codec, 'log_limiter', fresh):
        context.received = [
            codec.decode(codec.encode(context.message, 'near'), _PEER).message
            for _ in range(count)
        ]
    after = _counted('yuccagauge_wire_left_out_parts_total')
    context.left_out = after - before


def _counted(name: str, label: str = '') -> float:
    """Return the sum of a counter over its series with a label."""
    lines = render_prometheus().decode().splitlines()
    return sum(
        float(line.rpartition(' ')[2])
        for line in lines
        if line.startswith(name) and label in line
    )


@then('each time the other parts arrive')
def check_parts(context: Context) -> None:
    """Guard against one part that silences all others."""
    for message in context.received:
        versions = [part.software_version for part in message.versions]
        assert versions == ['v1'], versions
        assert [part.server for part in message.loads] == ['i-1'], message


@then('the log names each field once, and a metric counts the parts')
def check_left_out(context: Context) -> None:
    """Guard against parts that are left out unnoticed, and against floods."""
    subjects = [
        (event, fields['subject']) for event, fields in context.log_lines
    ]
    assert sorted(subjects) == [
        ('part_left_out', 'loads'),
        ('part_left_out', 'versions'),
    ], subjects
    assert context.left_out == 3 * len(context.received), context.left_out


@given('a duty that fails')
def failing_duty(context: Context) -> None:
    """Start a periodic task whose function raises."""
    context.reactor = TaskClock()

    def fail() -> None:
        raise ValueError('always')

    context.duty = PeriodicTask('failing_duty', fail, context.reactor)
    context.counted = _counted('yuccagauge_duties_failed_total', 'failing_duty')


@given('a duty of three steps of which the second fails')
def failing_step(context: Context) -> None:
    """Start a periodic task whose second step raises."""
    failing_duty(context)
    context.calls = []

    def fail() -> None:
        raise ValueError('always')

    steps = (lambda: None, fail, lambda: context.calls.append(1))
    context.duty = PeriodicTask(
        'failing_duty',
        lambda: run_each('failing_duty', steps),
        context.reactor,
    )


@then('the third step was called {count:d} times')
def check_third_step(context: Context, count: int) -> None:
    """Guard against steps that never run as one before them fails."""
    assert len(context.calls) == count, context.calls


@when('the duty was called {count:d} times')
def call_duty(context: Context, count: int) -> None:
    """Let it run."""
    context.duty.start(1.0)
    context.reactor.pump(repeat(1.0, count - 1))
    context.duty.close()


@then('the metrics count {count:d} failures of the duty')
def check_duty(context: Context, count: int) -> None:
    """Guard against duties that fail for ever while nobody notices."""
    found = _counted('yuccagauge_duties_failed_total', 'failing_duty')
    assert found - context.counted == count, found
