"""Steps for servers that send a foreign page in place of some answers."""

from behave import given, then
from behave.runner import Context

from features.spoiling_fleet import FOREIGN_BODY, SpoilingFleet

_SERVERS = 8
_WARM_UP_S = 6.0
_BAD_GATEWAY = 502

#: Spoiled answers without which a scenario shows nothing.
_COUNTED_FROM = 20


@given('{routers:d} routers before servers that spoil some answers')
def start_spoiling_fleet(context: Context, routers: int) -> None:
    """Start a fleet and let it run."""
    context.fleet = SpoilingFleet(routers, _SERVERS)
    context.fleet.run(_WARM_UP_S)


@then('no caller has a foreign page')
def check_no_page(context: Context) -> None:
    """Guard against answers of nobody that a peer has carried."""
    fleet = context.fleet
    assert len(fleet.spoiled) >= _COUNTED_FROM, len(fleet.spoiled)
    foreign = [
        attempt.request_id
        for attempt in fleet.attempts
        if FOREIGN_BODY in attempt.answer and attempt.status == 200
    ]
    assert not foreign, (len(foreign), len(fleet.spoiled))


@then('a request that may run once is answered 502 if its answer was spoiled')
def check_spoiled_bookings(context: Context) -> None:
    """Guard against refusals that deny a run."""
    statuses = {
        attempt.status
        for attempt in context.fleet.attempts
        if attempt.route == 'book'
        and attempt.request_id in context.fleet.spoiled
        and not attempt.is_lost
    }
    assert statuses <= {_BAD_GATEWAY}, statuses
    assert statuses
