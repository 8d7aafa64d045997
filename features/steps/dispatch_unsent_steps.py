"""Steps for bookings that wait before they are sent."""

from behave import given, then, when
from behave.runner import Context

from features.plain_service import PlainService
from yuccagauge.clock import Millis
from yuccagauge.quarantine.base import QuarantineStatus

#: Time after which nothing is under way any more, in seconds.
_RUN_OUT_S = 3.0

#: Time after a booking at which others have crashed servers, in seconds.
_CRASHES_S = 0.1

_MAXIMUM_CRASHES = 10


@given('a plain service to whose server a connection opens after {ms:d} ms')
def start_slow_connections(context: Context, ms: int) -> None:
    """Lose the first packet of each connection."""
    context.service = PlainService()
    context.service.network.connect_delay_s = lambda source, host: ms / 1000


@given('a plain service whose claims are granted after {ms:d} ms')
def start_slow_claims(context: Context, ms: int) -> None:
    """Let the log be slow."""
    context.service = PlainService()
    context.service.claims.delay_s = ms / 1000


@when('a booking that may take {timeout:d} ms is made, and its caller {what}')
def book(context: Context, timeout: int, what: str) -> None:
    """Make the booking, and end the wait for it."""
    service = context.service
    service.book(Millis(timeout))
    if what.startswith('leaves after'):
        service.run(int(what.split()[2]) / 1000)
        service.sink.watcher.left()
    service.run(_RUN_OUT_S)


@when('a booking waits for its claim while such bookings crash servers')
def crash(context: Context) -> None:
    """Crash servers until the content of the booking is quarantined."""
    service = context.service
    call = service.book(Millis(2000))
    service.run(_CRASHES_S)
    quarantine = service.state.quarantine
    now = service.clock.now()
    for number in range(_MAXIMUM_CRASHES):
        if quarantine.status(call.fingerprint, now) is QuarantineStatus.REFUSED:
            break
        quarantine.record_crash(call.fingerprint, f'crash{number}', now)
    service.run(_RUN_OUT_S)


@then('the booking ends as not run, and the server never gets it')
def check_unsent(context: Context) -> None:
    """Guard against a promise that nothing ran, and a run after it."""
    service = context.service
    verdicts = [verdict.value for verdict in service.verdicts]
    figures = (verdicts, service.sink.refusal, service.received)
    assert verdicts == ['not-run'], figures
    assert not service.received, figures


@then('its key may be used again')
def check_released(context: Context) -> None:
    """Guard against a key that stays in use by a booking that never ran."""
    assert len(context.service.claims.released) == 1


@then('the booking is answered')
def check_answered(context: Context) -> None:
    """Guard against bookings that are given up too early."""
    verdicts = [verdict.value for verdict in context.service.verdicts]
    assert verdicts == ['answered'], verdicts
    assert len(context.service.received) == 1
