"""Steps for engines that state their start in some places or in none."""

from unittest import mock

from behave import given, then
from behave.runner import Context

from features.statement_fleet import StatementFleet
from yuccagauge.relay import faults, incarnations

#: Time before the first stream, in seconds.
_WARM_UP_S = 6.0


@given(
    '{routers:d} routers before {engines:d} engines that state their start in'
    ' "{places}", and cache events with an epoch {epochs}'
)
def start_statement_fleet(
    context: Context, routers: int, engines: int, places: str, epochs: str
) -> None:
    """Start a fleet whose entries come some time after a start."""
    patcher = mock.patch.object(incarnations, 'log_state_change')
    context.log = patcher.start()
    context.add_cleanup(patcher.stop)
    fault_patcher = mock.patch.object(faults, 'record_call_fault')
    context.faults = fault_patcher.start()
    context.add_cleanup(fault_patcher.stop)
    context.fleet = StatementFleet(
        routers,
        engines,
        places=places,
        has_cache_events=epochs == 'yes',
    )
    context.fleet.run(_WARM_UP_S)


@given('the engines are listed {entry_s:f} s after a start')
def set_listing(context: Context, entry_s: float) -> None:
    """Let the entries of engines that restart come late."""
    context.fleet.entry_s = entry_s


@then('no call has failed unexpectedly')
def check_no_fault(context: Context) -> None:
    """Guard against calls that an error in a router ends."""
    assert any(each.is_resumption for each in context.fleet.attempts)
    assert not context.faults.called, context.faults.call_args_list
