"""Steps for engines that restart under their ids with other software."""

from unittest import mock

from behave import given, then, when
from behave.runner import Context

from features.upgrade_fleet import UpgradeFleet
from yuccagauge.relay import incarnations

#: Time before the first stream, and from there to the first end of an engine,
#: in seconds.
_WARM_UP_S = 6.0
_FIRST_END_S = 3.0

#: Time from the first stream to the first pause of a router, in seconds.
_FIRST_PAUSE_S = 2.9

#: Time between two entries that contradict each other, in seconds.
_ALTERNATION_S = 0.2


@given(
    '{routers:d} routers before {engines:d} engines that are listed'
    ' {entry_s:f} s after a start'
)
@given(
    '{routers:d} routers before {engines:d} engines that are listed'
    ' {entry_s:f} s after a start, seed {seed:d}'
)
def start_upgrade_fleet(
    context: Context, routers: int, engines: int, entry_s: float, seed: int = 1
) -> None:
    """Start a fleet whose log lines are counted, and let it run."""
    patcher = mock.patch.object(incarnations, 'log_state_change')
    context.log = patcher.start()
    context.add_cleanup(patcher.stop)
    context.fleet = UpgradeFleet(routers, engines, entry_s, seed)
    context.fleet.run(_WARM_UP_S)


@given(
    'each engine in turn is down for {down_s:f} s, {gap_s:f} s before the next'
)
def upgrade_engines(context: Context, down_s: float, gap_s: float) -> None:
    """Upgrade one engine after the other, later than the first streams."""
    fleet = context.fleet
    fleet.network.reactor.callLater(_FIRST_END_S, fleet.upgrade, down_s, gap_s)


@given(
    'half of the engines are down for {down_s:f} s as all callers have left,'
    ' and reset connections later'
)
def upgrade_unnoticed(context: Context, down_s: float) -> None:
    """Upgrade engines to which no router has a connection."""
    fleet = context.fleet
    fleet.network.reactor.callLater(
        _FIRST_END_S, fleet.upgrade_unnoticed, down_s
    )


@given('routers pause again and again, later than the first streams')
def pause_routers(context: Context) -> None:
    """Pause routers while engines restart."""
    fleet = context.fleet
    fleet.network.reactor.callLater(_FIRST_PAUSE_S, fleet.pause_routers)


@given('entries of engines that have ended reach the store late')
def allow_late_entries(context: Context) -> None:
    """Let the store take what an engine wrote before its end."""
    context.fleet.has_late_entries = True


@given('the clocks of engines that restart are off by {step_s:d} s')
def set_clocks(context: Context, step_s: int) -> None:
    """Set the clocks of engines ahead or back at their restarts."""
    context.fleet.clock_step_ms = step_s * 1000


@when('the entry of an engine alternates between two starts for {seconds:d} s')
def alternate_entries(context: Context, seconds: int) -> None:
    """Write entries of two starts in turn."""
    fleet = context.fleet
    for _ in range(round(seconds / _ALTERNATION_S)):
        fleet.alternate_start(fleet.servers[0])
        fleet.run(_ALTERNATION_S)


@then('the routers log "{event}" {least:d} to {most:d} times')
def check_lines(context: Context, event: str, least: int, most: int) -> None:
    """Guard against start times that nobody notices, or that flood the log."""
    events = [call.args[0] for call in context.log.call_args_list]
    assert least <= events.count(event) <= most, events.count(event)


@then('no stream has events of two versions')
def check_none_mixed(context: Context) -> None:
    """Guard against streams that go on by an earlier report of a server."""
    fleet = context.fleet
    assert fleet.continuations, 'no stream was to go on'
    assert not fleet.mixed(), (len(fleet.mixed()), fleet.continuations)


@then('all streams whose callers stayed are complete')
def check_stayed(context: Context) -> None:
    """Guard against streams that are lost as their server restarts."""
    broken = [each for each in context.fleet.stayed() if not each.is_complete]
    assert not broken, (len(broken), len(context.fleet.streams))


@then('all streams are complete')
def check_complete(context: Context) -> None:
    """Guard against streams that are lost by entries alone."""
    streams = context.fleet.streams
    broken = [each for each in streams if not each.is_complete]
    assert streams
    assert not broken, (len(broken), len(streams))
