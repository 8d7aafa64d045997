"""Steps for crashes that several routers see, or that nothing confirms."""

from behave import given, then, when
from behave.runner import Context

from yuccagauge.clock import ManualClock, Millis
from yuccagauge.quarantine.base import (
    QUARANTINE_DURATION,
    Quarantine,
)
from yuccagauge.quarantine.entry import Evidence
from yuccagauge.settings.options import Endpoint

_ENGINE = Endpoint('127.0.0.1', 9101)
_EXCHANGE_PERIOD = Millis(1000)
_LIMIT = 20


@given('a quarantine without crashes')
def create_quarantine(context: Context) -> None:
    """Create an empty quarantine."""
    context.clock = ManualClock()
    context.quarantine = Quarantine()


@given(
    '{count:d} quarantines that each saw request "{name}" break on an engine '
    'of its own'
)
def create_quarantines(context: Context, count: int, name: str) -> None:
    """Break one connection in each quarantine, without any report after it."""
    context.clock = ManualClock()
    context.quarantines = [Quarantine() for _ in range(count)]
    for number, quarantine in enumerate(context.quarantines):
        engine = Endpoint('127.0.0.1', number)
        quarantine.record_broken_connection(
            name.encode(), engine, 'i1', context.clock.now()
        )


@when('these quarantines exchange their suspicions')
def exchange_all(context: Context) -> None:
    """Merge the suspicions of each into all others."""
    now = context.clock.now()
    sent = [each.recent_suspicions(_LIMIT, now) for each in context.quarantines]
    for quarantine in context.quarantines:
        for suspicions in sent:
            quarantine.merge_suspicions(suspicions, now)


@then(
    'the status of request "{name}" is "{status}" in each of these quarantines'
)
def check_statuses(context: Context, name: str, status: str) -> None:
    """Guard against routers that each end as many engines as one may."""
    now = context.clock.now()
    found = [
        quarantine.status(name.encode(), now).value
        for quarantine in context.quarantines
    ]
    assert set(found) == {status}, found


@when(
    'request "{name}" runs on an engine of incarnation "{incarnation}" and '
    'breaks, {times:d} times one after the other'
)
def break_in_turn(
    context: Context, name: str, incarnation: str, times: int
) -> None:
    """Send each run after the end of the one before it is known."""
    for _ in range(times):
        context.clock.advance(Millis(1000))
        known = context.quarantine.record_start(name.encode(), _ENGINE)
        context.quarantine.record_broken_connection(
            name.encode(),
            _ENGINE,
            incarnation,
            context.clock.now(),
            known=known,
        )
        context.quarantine.record_end(name.encode(), _ENGINE)


@when(
    '{count:d} runs of request "{name}" on an engine of incarnation '
    '"{incarnation}" break at once'
)
def break_at_once(
    context: Context, count: int, name: str, incarnation: str
) -> None:
    """Send all runs before the end of any is known."""
    known = [
        context.quarantine.record_start(name.encode(), _ENGINE)
        for _ in range(count)
    ]
    for crashes in known:
        context.quarantine.record_broken_connection(
            name.encode(),
            _ENGINE,
            incarnation,
            context.clock.now(),
            known=crashes,
        )


@when('a run of request "{name}" breaks while the engine loads weights')
def break_in_load(context: Context, name: str) -> None:
    """Break a connection that the engine may have reset itself."""
    context.quarantine.record_broken_connection(
        name.encode(),
        _ENGINE,
        'i9',
        context.clock.now(),
        evidence=Evidence.WEIGHTS,
    )


@when('the engine has loaded weights {ms:d} ms later')
def report_load(context: Context, ms: int) -> None:
    """Report the load; a restarted engine could have done it after 2 s."""
    context.clock.advance(Millis(ms))
    context.quarantine.record_load(_ENGINE, context.clock.now())


@when(
    'the connections of {count:d} requests to {engines:d} engines break in '
    'the same quarantine'
)
def break_many(context: Context, count: int, engines: int) -> None:
    """Break one connection of each request."""
    for number in range(count):
        context.clock.advance(Millis(1))
        context.quarantine.record_broken_connection(
            f'r{number}'.encode(),
            Endpoint('127.0.0.1', number % engines),
            'i1',
            context.clock.now(),
        )


@then('the {limit:d} suspicions that are sent first have request "{name}"')
def check_sent(context: Context, limit: int, name: str) -> None:
    """Guard against a suspect that is crowded out by harmless requests."""
    sent = context.quarantine.recent_suspicions(limit, context.clock.now())
    assert len(sent) == limit
    assert name.encode() in {each.fingerprint for each in sent}


@when(
    'both exchange their suspicions each second for 10 minutes, {ms:d} ms '
    'late each time'
)
def exchange_late(context: Context, ms: int) -> None:
    """Merge suspicions whose age is less than the time since the crash."""
    end = context.clock.now() + QUARANTINE_DURATION
    pair = (context.quarantine, context.other)
    while context.clock.now() <= end:
        sent = [
            each.recent_suspicions(_LIMIT, context.clock.now()) for each in pair
        ]
        context.clock.advance(Millis(ms))
        for quarantine, suspicions in zip(pair, reversed(sent), strict=True):
            quarantine.merge_suspicions(suspicions, context.clock.now())
        context.clock.advance(Millis(_EXCHANGE_PERIOD - ms))


@then('no suspicion is sent, and the quarantine tracks no request')
def check_expired(context: Context) -> None:
    """Guard against messages for which all expired crashes are looked at."""
    sent = context.quarantine.recent_suspicions(_LIMIT, context.clock.now())
    assert not sent, sent
    assert not len(context.quarantine), len(context.quarantine)
