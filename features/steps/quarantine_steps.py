"""Steps for the quarantine."""

import functools
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from features.loop import wait_for_call, wait_until
from features.router_fleet import chat, chat_body
from yuccagauge.clock import ManualClock, Millis
from yuccagauge.directory.readpolicy import EVIDENCE_READ_TIME
from yuccagauge.quarantine import events
from yuccagauge.quarantine.base import (
    QUARANTINE_DURATION,
    CrashSuspicion,
    Quarantine,
    QuarantineStatus,
)
from yuccagauge.relay.reading import LATE_HEARTBEAT_TIME
from yuccagauge.settings.options import Endpoint

_ENGINE = Endpoint('127.0.0.1', 9101)
_POISON = 'poison: which shift crashes you?'
_EXPORT_LIMIT = 100
_ENDED_AT = Millis(5000)


def _confirm_crash(context: Context, quarantine: Quarantine, name: str) -> None:
    context.crashes += 1
    now = context.clock.now()
    incarnation = f'i{context.crashes}'
    quarantine.record_broken_connection(
        name.encode(), _ENGINE, incarnation, now
    )
    # A report measured before the break must not confirm or dismiss the crash.
    quarantine.record_incarnation(_ENGINE, incarnation, now)
    quarantine.record_incarnation(
        _ENGINE, f'after-{incarnation}', Millis(now + 1)
    )


@given('a quarantine in which request "{name}" has {count:d} confirmed crashes')
def record_crashes(context: Context, name: str, count: int) -> None:
    """Create a quarantine with confirmed crashes of one request."""
    context.clock = ManualClock()
    context.crashes = 0
    context.quarantine = Quarantine()
    record_more_crashes(context, name, count)


@given(
    'request "{name}" has {count:d} confirmed crashes in the same quarantine'
)
def record_more_crashes(context: Context, name: str, count: int) -> None:
    """Add confirmed crashes of another request."""
    for _ in range(count):
        _confirm_crash(context, context.quarantine, name)


@given("another router's quarantine that saw the same crashes")
def record_same_crashes(context: Context) -> None:
    """Record the crashes of request a with the same incarnations."""
    count = context.crashes
    context.crashes = 0
    context.other = Quarantine()
    for _ in range(count):
        _confirm_crash(context, context.other, 'a')


@given('a quarantine for at most {maximum:d} requests')
def create_bounded_quarantine(context: Context, maximum: int) -> None:
    """Create an empty quarantine with a small limit."""
    context.clock = ManualClock()
    context.crashes = 0
    context.quarantine = Quarantine(maximum)


@when(
    'a connection of request "{name}" to an engine of incarnation '
    '"{incarnation}" breaks'
)
def break_connection(context: Context, name: str, incarnation: str) -> None:
    """Record a broken connection."""
    now = context.clock.now()
    context.quarantine.record_broken_connection(
        name.encode(), _ENGINE, incarnation, now
    )


@when('the engine reports incarnation "{incarnation}" again')
def report_incarnation(context: Context, incarnation: str) -> None:
    """Report that the engine did not crash."""
    context.clock.advance(Millis(1))
    context.quarantine.record_incarnation(
        _ENGINE, incarnation, context.clock.now()
    )


@when('both quarantines exchange their suspicions twice')
def exchange_suspicions(context: Context) -> None:
    """Merge the suspicions in both directions, twice."""
    now = context.clock.now()
    for _ in range(2):
        suspicions = context.quarantine.recent_suspicions(_EXPORT_LIMIT, now)
        context.other.merge_suspicions(suspicions, now)
        suspicions = context.other.recent_suspicions(_EXPORT_LIMIT, now)
        context.quarantine.merge_suspicions(suspicions, now)


@when('request "{name}" runs on an engine')
def start_request(context: Context, name: str) -> None:
    """Record the start of a run."""
    context.quarantine.record_start(name.encode(), _ENGINE)


@when('request "{name}" completes in the first quarantine')
def complete_request(context: Context, name: str) -> None:
    """Record a complete answer."""
    context.quarantine.record_completion(name.encode())


@when('10 minutes pass in the quarantine')
def advance_clock(context: Context) -> None:
    """Advance the clock."""
    context.clock.advance(QUARANTINE_DURATION)


@when('the connections of {count:d} requests to {engines:d} engines break')
def break_many_requests(context: Context, count: int, engines: int) -> None:
    """Record one broken connection for each request."""
    for number in range(count):
        engine = Endpoint('127.0.0.1', number % engines)
        name = f'r{number}'.encode()
        context.quarantine.record_broken_connection(
            name, engine, 'i1', context.clock.now()
        )


@then('the status of request "{name}" is "{status}" in the quarantine')
def check_status(context: Context, name: str, status: str) -> None:
    """Check the status of one request."""
    now = context.clock.now()
    found = context.quarantine.status(name.encode(), now)
    assert found is QuarantineStatus(status), found


@then('the status of request "{name}" is "{status}" in both quarantines')
def check_both_statuses(context: Context, name: str, status: str) -> None:
    """Check the status of one request at both routers."""
    check_status(context, name, status)
    now = context.clock.now()
    assert context.other.status(name.encode(), now) is QuarantineStatus(status)


@then(
    'the quarantine keeps request "{name}" from that engine and not request '
    '"{other}"'
)
def check_separation(context: Context, name: str, other: str) -> None:
    """Check the engines that each request must not use."""
    now = context.clock.now()
    occupied = context.quarantine.engines_with_other_suspects(
        name.encode(), now
    )
    assert occupied == {_ENGINE}
    assert not context.quarantine.engines_with_other_suspects(
        other.encode(), now
    )


@then('the quarantine tracks at most {maximum:d} requests')
def check_size(context: Context, maximum: int) -> None:
    """Check the number of tracked requests."""
    assert 0 < len(context.quarantine) <= maximum


@given('the engines crash on the poison prompt and restart at once')
def set_poison_fault(context: Context) -> None:
    """Configure the faults of the engine stand-ins."""
    for engine in context.engines:
        change = functools.partial(
            engine.set_faults,
            crash_on='poison:',
            restart_ms=50,
        )
        wait_for_call(change)


@when('a caller repeats the poison prompt between other prompts')
def send_poison_prompt(context: Context) -> None:
    """Send both kinds in turn until the poison prompt is refused."""
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
def check_refusal(context: Context, code: str) -> None:
    """Check the refusal, and that of the next attempt."""
    assert context.answer.error['code'] == code, context.answer
    again = chat(context.router, chat_body(_POISON))
    assert again.error['code'] == code, again
    assert again.verdict == 'not-run', again


@then('at most {count:d} crashes are recorded by the engines')
def check_crash_count(context: Context, count: int) -> None:
    """Check the number of recorded crashes."""
    crashes = [
        each
        for engine in context.engines
        for each in engine.records
        if each['kind'] == 'crashed'
    ]
    assert 0 < len(crashes) <= count, crashes


@then('each other prompt was answered')
def check_other_answers(context: Context) -> None:
    """Check that the other answers are complete."""
    for answered in context.others:
        assert answered.body.endswith(b'data: [DONE]\n\n'), answered


@given('the log of the quarantine is read')
def record_log(context: Context) -> None:
    """Record the lines instead of writing them."""
    context.log_lines = []

    def record(event: str, **fields: object) -> None:
        context.log_lines.append((event, fields))

    patch = mock.patch.object(events, 'log_state_change', record)
    patch.start()
    context.add_cleanup(patch.stop)


@when('request "a" gets a crash that is {change}')
def change_crashes(context: Context, change: str) -> None:
    """Make one change of the crashes of a request."""
    now = context.clock.now()
    if change == 'merged':
        suspicion = CrashSuspicion(
            fingerprint=b'a',
            crashes=frozenset(('of-a-peer',)),
            cleared=frozenset(),
            age=Millis(0),
        )
        context.quarantine.merge_suspicions((suspicion,), now)
        return
    break_connection(context, 'a', 'i9')
    if change == 'cleared':
        context.quarantine.record_completion(b'a')
    elif change in {'confirmed', 'dismissed'}:
        incarnation = 'i9' if change == 'dismissed' else 'i10'
        report_incarnation(context, incarnation)


@then('the last line of the quarantine is "{event}" with {count:d} crashes')
def check_log_line(context: Context, event: str, count: int) -> None:
    """Guard against an incident whose cause no line can tell."""
    found, fields = context.log_lines[-1]
    assert found == event, context.log_lines
    assert fields['crashes'] == count, fields
    assert fields['fingerprint'] == b'a'.hex(), fields


@given('a quarantine with a run that ended without an answer')
def record_end_of_run(context: Context) -> None:
    """Record a run whose engine may live on."""
    context.quarantine = Quarantine()
    context.quarantine.record_broken_connection(
        b'fingerprint', _ENGINE, 'incarnation', _ENDED_AT
    )


@then('its router {looks} for evidence {ms:d} ms later')
def check_evidence_time(context: Context, looks: str, ms: int) -> None:
    """Guard against hundreds of routers that read the store for 10 s."""
    found = context.quarantine.awaits_evidence(
        LATE_HEARTBEAT_TIME, Millis(_ENDED_AT + ms), EVIDENCE_READ_TIME
    )
    assert found is (looks == 'looks'), found
