"""Steps for servers that want no call from a VM for some time."""

from collections import defaultdict

from behave import given, then
from behave.runner import Context

from features.crash_fleet import router_host
from features.refusing_servers import Arrival, RefusingFleet
from yuccagauge.clock import Millis

_SERVERS = 8

#: Time before the first attempt, in seconds.
_WARM_UP_S = 6.0

#: The users' rule: from this time after a server has told a VM for how long it
#: wants no request, until the end of that time, two may come from there.
_GRACE = Millis(500)
_ALLOWED = 2

#: Refusals without which a scenario shows nothing.
_COUNTED_FROM = 20


@given(
    '{routers:d} routers before servers that in turn want no call for '
    '{seconds:d} s'
)
def start_refusing_fleet(context: Context, routers: int, seconds: int) -> None:
    """Start a fleet and let it run."""
    fleet = RefusingFleet(routers, _SERVERS, Millis(1000 * seconds))
    context.fleet = fleet
    fleet.run(_WARM_UP_S)
    fleet.refusing_from = fleet.clock.now()


@then('no server gets more than two calls from a VM that it told to wait')
def check_waits(context: Context) -> None:
    """Guard against calls that a router carries though it was told to wait."""
    fleet = context.fleet
    cut = {
        router_host(name) for each in fleet.partitions for name in each.names
    }
    by_way: dict[tuple[str, str], list[Arrival]] = defaultdict(list)
    for arrival in fleet.arrivals:
        # The rule excuses VMs that are cut off from servers.
        if arrival.source not in cut:
            by_way[arrival.server, arrival.source].append(arrival)
    refusals = 0
    broken = []
    for way, arrivals in by_way.items():
        for refused in arrivals:
            if not refused.is_refused:
                continue
            refusals += 1
            end = refused.at + fleet.retry_after
            late = [
                each
                for each in arrivals
                if refused.at + _GRACE < each.at <= end
            ]
            if len(late) > _ALLOWED:
                broken.append((len(late), way, refused.at))
    figures = (
        f'after {len(broken)} of {refusals} refusals more than {_ALLOWED} '
        f'calls came, up to {max(broken, default=None)}'
    )
    assert refusals >= _COUNTED_FROM, figures
    assert not broken, figures
