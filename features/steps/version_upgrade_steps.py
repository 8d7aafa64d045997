"""Steps for engines that restart under their ids with other software."""

from behave import given
from behave.runner import Context

from features.upgrade_fleet import UpgradeFleet

#: Time before the first stream, and from there to the first end of an engine,
#: in seconds.
_WARM_UP_S = 6.0
_FIRST_END_S = 3.0


@given(
    '{routers:d} routers before {engines:d} engines that are listed'
    ' {entry_s:f} s after a start'
)
def start_upgrade_fleet(
    context: Context, routers: int, engines: int, entry_s: float
) -> None:
    """Start a fleet and let it run."""
    context.fleet = UpgradeFleet(routers, engines, entry_s)
    context.fleet.run(_WARM_UP_S)


@given(
    'each engine in turn is down for {down_s:f} s, {gap_s:f} s before the next'
)
def upgrade_engines(context: Context, down_s: float, gap_s: float) -> None:
    """Upgrade one engine after the other, later than the first streams."""
    fleet = context.fleet
    fleet.network.reactor.callLater(_FIRST_END_S, fleet.upgrade, down_s, gap_s)


@given('entries of engines that have ended reach the store late')
def allow_late_entries(context: Context) -> None:
    """Let the store take what an engine wrote before its end."""
    context.fleet.has_late_entries = True
