"""Steps for routers that hear nothing of other software versions."""

from collections import Counter

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import router_host
from features.upgrade_fleet import UpgradeFleet

#: Time for which the engines are down, for which streams begin, and after which
#: callers come back, in seconds. All is done before new engines are listed.
_DOWN_S = 0.2
_BEGIN_S = 0.2
_COME_BACK_S = 0.1

#: Time from the last request until its first event was read, and those who keep
#: the origin have it, in seconds.
_KEPT_S = 0.15

#: Time from the begin of a fault until routers have noticed it, and for which
#: streams go on at the end, in seconds.
_NOTICE_S = 4.0
_RUN_OUT_S = 8.0

_STREAMS = 24
_STEP_S = 0.001

#: The version of the engines that have restarted.
_NEWER = 'v2'


@given('{routers} router does not reach {cut}')
def cut_routers_off(context: Context, routers: str, cut: str) -> None:
    """Take links from routers that callers and engines reach."""
    fleet = context.fleet
    names = fleet.router_names
    cut_off = names[:1] if routers == 'one' else names
    context.cut_off = cut_off[0]
    if 'store' in cut:
        fleet.store.refused.update(cut_off)
    if 'peers' in cut:
        own = router_host(cut_off[0])
        peers = set(map(router_host, names[1:]))
        fleet.network.is_cut = lambda host, other: (
            own in {host, other} and bool({host, other} & peers)
        )
    fleet.run(_NOTICE_S)


@given(
    'half of the engines have restarted with other software {seconds:f} s before'
)
def restart_engines(context: Context, seconds: float) -> None:
    """Let some engines have another version, listed or not."""
    fleet = context.fleet
    fleet.down_s = _DOWN_S
    for engine in fleet.servers[: len(fleet.servers) // 2]:
        engine.end()
    fleet.run(_DOWN_S + seconds)


@when('streams begin at the other routers, one of which is killed then')
def begin_and_kill(context: Context) -> None:
    """Let callers come back to the router that is cut off."""
    fleet = _prepare_callers(context)
    for _ in range(_STREAMS):
        fleet.begin_stream()
        fleet.run(_BEGIN_S / _STREAMS)
    fleet.run(_KEPT_S)
    _kill_busiest_router(context)


@when(
    'streams begin at the other routers, one of which is killed with their '
    'first events'
)
def begin_and_kill_early(context: Context) -> None:
    """Kill a router that has just passed on an event of the newer version."""
    fleet = _prepare_callers(context)
    for _ in range(_STREAMS):
        fleet.begin_stream()
    while not any(_NEWER in stream.versions for stream in fleet.streams):
        fleet.run(_STEP_S)
    _kill_busiest_router(context)


def _prepare_callers(context: Context) -> UpgradeFleet:
    """Let callers begin streams at the routers that are not cut off."""
    fleet = context.fleet
    fleet.has_own_bodies = True
    fleet.pause_s = _COME_BACK_S
    fleet.unreachable = {context.cut_off}
    return fleet


def _kill_busiest_router(context: Context) -> None:
    """Let callers come back to the router that is cut off."""
    fleet = context.fleet
    fleet.unreachable = set(fleet.router_names) - {context.cut_off}
    fleet.kill_router(_busiest_router(fleet))
    fleet.run(_RUN_OUT_S)


def _busiest_router(fleet: UpgradeFleet) -> str:
    """Return the router with the most streams of the newest version."""
    newest = max(''.join(stream.versions[:1]) for stream in fleet.streams)
    hosts = Counter(
        attempt.transport.other.host
        for attempt, stream in zip(fleet.attempts, fleet.streams, strict=True)
        if newest in stream.versions
    )
    return max(fleet.router_names, key=lambda name: hosts[router_host(name)])


@then('streams of the other version were taken up, and none is joined')
def check_none_joined(context: Context) -> None:
    """Guard against streams that go on at the version that is known."""
    taken_up = {
        attempt.begun_by
        for attempt in context.fleet.attempts
        if attempt.is_resumption
    }
    assert 'v2' in taken_up, taken_up
    assert not context.fleet.mixed(), len(context.fleet.mixed())


@then('no stream that was taken up was refused')
def check_no_refusal(context: Context) -> None:
    """Guard against routers that take all silence for other versions."""
    attempts = [each for each in context.fleet.attempts if each.is_resumption]
    refused = [each.status for each in attempts if each.status not in {0, 200}]
    assert attempts
    assert not refused, (refused, len(attempts))
