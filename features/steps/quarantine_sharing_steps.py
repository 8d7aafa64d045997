"""Steps for crashes that several routers see, or that nothing confirms."""

from behave import given, then, when
from behave.runner import Context

from yuccagauge.clock import ManualClock
from yuccagauge.quarantine.base import (
    Quarantine,
)
from yuccagauge.settings.options import Endpoint

_LIMIT = 20


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
