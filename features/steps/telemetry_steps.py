"""Steps for metrics and log lines."""

import json
import logging
import threading

from absl import logging as absl_logging
from behave import given, then, when
from behave.runner import Context

from yuccagauge.telemetry.errors import LogFieldError, MetricNameError
from yuccagauge.telemetry.journal import StateChangeFormatter, log_state_change
from yuccagauge.telemetry.meter import counter, render_prometheus


class LineCollector(logging.Handler):
    """Keep formatted lines in memory."""

    def __init__(self) -> None:
        """Start without lines."""
        super().__init__(logging.INFO)
        self.setFormatter(StateChangeFormatter())
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one line."""
        self.lines.append(self.format(record))


@given('a telemetry counter "{name}" in "{unit}"')
def given_counter(context: Context, name: str, unit: str) -> None:
    """Make the counter."""
    context.counter = counter(name, 'Calls of the test.', unit)


@when('the telemetry counter adds {amount:d} for customer "{customer}"')
def when_added(context: Context, amount: int, customer: str) -> None:
    """Record with an attribute."""
    context.counter.add(amount, {'customer': customer})


@when('telemetry logs "{event}" with name "{name}" and count {count:d}')
def when_logged(context: Context, event: str, name: str, count: int) -> None:
    """Log one change into a collector."""
    collector = LineCollector()
    logger = absl_logging.get_absl_logger()
    verbosity = absl_logging.get_verbosity()
    absl_logging.set_verbosity(absl_logging.INFO)
    logger.addHandler(collector)
    try:
        log_state_change(event, member=name, count=count)
    finally:
        logger.removeHandler(collector)
        absl_logging.set_verbosity(verbosity)
    context.lines = collector.lines


@then('the telemetry text has "{line}"')
def then_text(context: Context, line: str) -> None:
    """Search the rendered text for a whole line."""
    lines = render_prometheus().decode().splitlines()
    assert line in lines, lines


@then('telemetry started no thread')
def then_no_thread(context: Context) -> None:
    """An exporter thread would break the rule of one thread."""
    names = [thread.name for thread in threading.enumerate()]
    assert not any('otel' in name.lower() for name in names), names


@then('the telemetry metric "{name}" in "{unit}" is refused')
def then_metric_refused(context: Context, name: str, unit: str) -> None:
    """Expect the specific error."""
    try:
        counter(name, 'A wrong metric.', unit)
    except MetricNameError:
        return
    raise AssertionError(f'{name} in {unit} was accepted')


@then(
    'the telemetry line is JSON with event "{event}", name "{name}" '
    'and count {count:d}',
)
def then_line(context: Context, event: str, name: str, count: int) -> None:
    """Parse the only line."""
    assert len(context.lines) == 1, context.lines
    fields = json.loads(context.lines[0])
    assert fields['event'] == event
    assert fields['member'] == name
    assert fields['count'] == count


@then('telemetry refuses to log "{field}" as "{text}"')
def then_field_refused(context: Context, field: str, text: str) -> None:
    """Expect the specific error."""
    try:
        log_state_change('test', **{field: text})
    except LogFieldError:
        return
    raise AssertionError(f'{field} was logged')
