"""Steps for the quarantine."""

import functools

from behave import given, then, when
from behave.runner import Context

from features.loop import wait_for_call, wait_until
from features.router_fleet import chat, chat_body
from yuccagauge.clock import ManualClock, Millis
from yuccagauge.quarantine.base import (
    QUARANTINE_TIME,
    Quarantine,
    QuarantineStatus,
)
from yuccagauge.settings.options import Endpoint

_ENGINE = Endpoint('127.0.0.1', 9101)
_POISON = 'poison: which shift crashes you?'
_EXPORT_LIMIT = 100


def _crash(context: Context, quarantine: Quarantine, name: str) -> None:
    context.crashes += 1
    now = context.clock.now()
    incarnation = f'i{context.crashes}'
    quarantine.record_broken_connection(
        name.encode(), _ENGINE, incarnation, now
    )
    # A report from before the break must not settle the case.
    quarantine.record_incarnation(_ENGINE, incarnation, now)
    quarantine.record_incarnation(
        _ENGINE, f'after-{incarnation}', Millis(now + 1)
    )


@given('a quarantine in which request "{name}" saw {count:d} confirmed crashes')
def given_crashes(context: Context, name: str, count: int) -> None:
    """Break and confirm each."""
    context.clock = ManualClock()
    context.crashes = 0
    context.quarantine = Quarantine()
    given_more(context, name, count)


@given(
    'request "{name}" saw {count:d} confirmed crashes in the same quarantine'
)
def given_more(context: Context, name: str, count: int) -> None:
    """Break and confirm each."""
    for _ in range(count):
        _crash(context, context.quarantine, name)


@given("another router's quarantine that saw the same crashes")
def given_other(context: Context) -> None:
    """Repeat the crashes of request a under the same incarnations."""
    count = context.crashes
    context.crashes = 0
    context.other = Quarantine()
    for _ in range(count):
        _crash(context, context.other, 'a')


@given('a quarantine for at most {maximum:d} requests')
def given_small(context: Context, maximum: int) -> None:
    """Start empty."""
    context.clock = ManualClock()
    context.quarantine = Quarantine(maximum)


@when(
    'a connection of request "{name}" to an engine of incarnation "{shown}" breaks'
)
def when_breaks(context: Context, name: str, shown: str) -> None:
    """Break one connection."""
    now = context.clock.now()
    context.quarantine.record_broken_connection(
        name.encode(), _ENGINE, shown, now
    )


@when('the engine shows incarnation "{shown}" again')
def when_shown(context: Context, shown: str) -> None:
    """Show that it did not crash."""
    context.clock.advance(Millis(1))
    context.quarantine.record_incarnation(_ENGINE, shown, context.clock.now())


@when('both quarantines tell each other twice')
def when_gossip(context: Context) -> None:
    """Merge both ways, twice."""
    now = context.clock.now()
    for _ in range(2):
        told = context.quarantine.recent_suspicions(_EXPORT_LIMIT, now)
        context.other.merge_suspicions(told, now)
        told = context.other.recent_suspicions(_EXPORT_LIMIT, now)
        context.quarantine.merge_suspicions(told, now)


@when('request "{name}" runs on an engine')
def when_runs(context: Context, name: str) -> None:
    """Note the start."""
    context.quarantine.record_start(name.encode(), _ENGINE)


@when('request "{name}" completes in the first quarantine')
def when_completes(context: Context, name: str) -> None:
    """Clear it."""
    context.quarantine.record_completion(name.encode())


@when('10 minutes pass in the quarantine')
def when_pass(context: Context) -> None:
    """Move the clock."""
    context.clock.advance(QUARANTINE_TIME)


@when('{count:d} requests break on {engines:d} engines')
def when_many(context: Context, count: int, engines: int) -> None:
    """Break each once."""
    for number in range(count):
        engine = Endpoint('127.0.0.1', number % engines)
        name = f'r{number}'.encode()
        context.quarantine.record_broken_connection(
            name, engine, 'i1', context.clock.now()
        )


@then('the standing of request "{name}" is "{standing}" in the quarantine')
def then_standing(context: Context, name: str, standing: str) -> None:
    """Check it."""
    now = context.clock.now()
    found = context.quarantine.status(name.encode(), now)
    assert found is QuarantineStatus(standing), found


@then('the standing of request "{name}" is "{standing}" in both quarantines')
def then_both(context: Context, name: str, standing: str) -> None:
    """Check both."""
    then_standing(context, name, standing)
    now = context.clock.now()
    assert context.other.status(name.encode(), now) is QuarantineStatus(
        standing
    )


@then(
    'the quarantine keeps request "{name}" from that engine and not request "{other}"'
)
def then_apart(context: Context, name: str, other: str) -> None:
    """Check the engines that are occupied for each."""
    now = context.clock.now()
    occupied = context.quarantine.engines_with_other_suspects(
        name.encode(), now
    )
    assert occupied == {_ENGINE}
    assert not context.quarantine.engines_with_other_suspects(
        other.encode(), now
    )


@then('the quarantine remembers at most {maximum:d} requests')
def then_bounded(context: Context, maximum: int) -> None:
    """Check what is kept."""
    assert 0 < len(context.quarantine) <= maximum


@given('the engines crash on the poison prompt and come back at once')
def given_poison(context: Context) -> None:
    """Set the knobs."""
    for engine in context.engines:
        change = functools.partial(
            engine.set_faults,
            crash_on='poison:',
            restart_ms=50,
        )
        wait_for_call(change)


@when('a caller sends the poison prompt again and again beside others')
def when_poison(context: Context) -> None:
    """Send both kinds in turn until the poison is refused."""
    context.others = []

    def refused() -> bool:
        context.fleet.wait_for_engines(len(context.engines))
        context.answer = chat(context.router, chat_body(_POISON))
        context.fleet.wait_for_engines(len(context.engines))
        prompt = f'innocent {len(context.others)}'
        context.others.append(chat(context.router, chat_body(prompt)))
        return context.answer.status == 422

    wait_until(refused)


@then('the poison prompt is refused with code "{code}"')
def then_refused(context: Context, code: str) -> None:
    """Check the refusal, also of the next try."""
    assert context.answer.error['code'] == code, context.answer
    again = chat(context.router, chat_body(_POISON))
    assert again.error['code'] == code, again
    assert again.verdict == 'not-run', again


@then('at most {count:d} crashes are recorded by the engines')
def then_crashes(context: Context, count: int) -> None:
    """Count the records."""
    crashes = [
        each
        for engine in context.engines
        for each in engine.records
        if each['kind'] == 'crashed'
    ]
    assert 0 < len(crashes) <= count, crashes


@then('each other prompt was answered')
def then_others(context: Context) -> None:
    """Check the answers."""
    for answered in context.others:
        assert answered.body.endswith(b'data: [DONE]\n\n'), answered
