"""Steps for the load of the engines."""

import dataclasses

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st

from yuccagauge.load import EngineKey, EngineReport, EngineTable
from yuccagauge.load.rate import MAXIMUM_FIXED_MS, PrefillSpeed

_ENGINE = EngineKey('127.0.0.1', 9000)


def _report(queued: int, measured_at: int) -> EngineReport:
    return EngineReport(
        engine=_ENGINE,
        incarnation='one',
        weights_version='w1',
        role='serving',
        running=0,
        queued=0,
        queued_tokens=queued,
        used_blocks=0,
        total_blocks=1,
        measured_at=measured_at,
    )


@given(
    'an engine table with a report of {queued:d} queued tokens measured at '
    '{time:d}',
)
def given_table(context: Context, queued: int, time: int) -> None:
    """Create a table with one engine and a rate of 20 tokens/ms."""
    context.engine_table = EngineTable(20)
    context.engine_table.update_report(_report(queued, time), time)


@when(
    'the engine table gets a report of {queued:d} queued tokens measured at '
    '{time:d}',
)
def when_report(context: Context, queued: int, time: int) -> None:
    """Deliver a report 600 ms after its measurement."""
    context.engine_table.update_report(_report(queued, time), time + 600)


@when(
    'the engine table gets a report of another incarnation measured at {time:d}'
)
def when_incarnation(context: Context, time: int) -> None:
    """Deliver the first report after a crash of the engine."""
    report = dataclasses.replace(_report(0, time), incarnation='two')
    context.engine_table.update_report(report, time + 100)


@when('{tokens:d} tokens are sent by the engine table at {time:d}')
def when_sent(context: Context, tokens: int, time: int) -> None:
    """Record a send of this router."""
    context.engine_table.record_send(_ENGINE, 'r1', tokens, time)


@when('the load event "{event}" happens at {time:d}')
def when_event(context: Context, event: str, time: int) -> None:
    """Apply an event that may make the engine unusable or usable again."""
    if event == 'leaving':
        context.engine_table.set_leaving(_ENGINE, True)
    if event == 'role':
        report = dataclasses.replace(_report(0, time), role='leaving')
        context.engine_table.update_report(report, time)
    if event in {'failed', 'recovered'}:
        context.engine_table.suspend_engine(_ENGINE, time)
    if event == 'recovered':
        # A report from before the failure does not end the suspension.
        context.engine_table.update_report(_report(0, time - 1), time + 40)
        assert not context.engine_table.usable_engines('w1', time + 40)
        context.engine_table.update_report(_report(0, time + 1), time + 50)


@then('the engine table estimates a queue of {queue:d} ms at {time:d}')
def then_queue(context: Context, queue: int, time: int) -> None:
    """Check the expected wait of a new request."""
    assert round(context.engine_table.queue_ms(_ENGINE, time)) == queue


@then('at {time:d} the engine table says "{text}" and use is {use}')
def then_use(context: Context, time: int, text: str, use: str) -> None:
    """Check whether the engine is usable, and the explanation."""
    is_used = _ENGINE in context.engine_table.usable_engines('w1', time)
    assert is_used == (use == 'yes')
    assert text in context.engine_table.explain(_ENGINE, time)
    assert not context.engine_table.usable_engines('w2', time)


@then(
    'the prefill speed stays within bounds for all answers with waits at '
    '{rate:d} tokens/ms',
)
def then_speed(context: Context, rate: int) -> None:
    """Check that no sequence of answers leads to an implausible estimate.

    A router that had restarted once arrived at a rate of 385 tokens/ms.
    """

    @settings(derandomize=True, database=None, deadline=None)
    @forall(
        st.lists(
            st.tuples(st.integers(0, 20_000), st.floats(0, 5000)),
            max_size=60,
        ),
    )
    def check(answers):
        speed = PrefillSpeed(20)
        for tokens, wait in answers:
            speed.record_answer(tokens, tokens / rate + 8 + wait)
        assert 0 < speed.tokens_per_ms <= 2 * rate
        assert 0 <= speed.fixed_ms <= MAXIMUM_FIXED_MS

    check()
