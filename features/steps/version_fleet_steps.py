"""Steps for streams before engines of several software versions."""

import math
from collections.abc import Callable
from itertools import repeat

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import router_host
from features.steps.crash_fleet_steps import Disturbance, disturbances
from features.version_fleet import VersionFleet

#: Time before the first stream, and after the last one, in seconds.
_WARM_UP_S = 6.0
_RUN_OUT_S = 8.0

#: Time between two replacements of an engine, and from the start of the new one
#: to the leave of the old one, in seconds.
_REPLACE_S = 4.0
_OVERLAP_S = 1.0

#: Time between two faults, and for which a router is down, in seconds.
_FAULT_S = 3.0
_ROUTER_DOWN_S = 1.0

_LATE_CALLER_S = 60.0
#: Links hold messages back for the first part of each period, in seconds.
_LATE_MESSAGE_S = 0.6
_LATE_PERIOD_S = 1.0

_FORWARD = ('v1', 'v2')
_BACK = ('v2', 'v1')

#: The replacements of each kind of roll-out: the old version, and the new one.
_ROLLOUTS = {
    'forward': tuple(repeat(_FORWARD, 6)),
    'forward and back': (*repeat(_FORWARD, 3), *repeat(_BACK, 3)),
}

#: The users' bounds.
_ALLOWED_MIXED = 2
_SHARE = 0.5
_COUNTED_FROM = 12


def _repeat(
    fleet: VersionFleet, period_s: float, action: Callable[[], None]
) -> None:
    """Call an action again and again, from the first stream on."""
    reactor = fleet.network.reactor

    def act() -> None:
        action()
        reactor.callLater(period_s, act)

    reactor.callLater(period_s, act)


def _kill_router(fleet: VersionFleet) -> None:
    name = fleet.random.choice(fleet.router_names)
    fleet.kill_router(name)
    fleet.network.reactor.callLater(_ROUTER_DOWN_S, fleet.start_router, name)


def _crash_engine(fleet: VersionFleet) -> None:
    serving = [each for each in fleet.servers if each.is_up and not each.leaves]
    fleet.random.choice(serving).end()


@disturbances.register
class CrashVersionedEngines(Disturbance):
    """One engine after the other crashes and restarts with its version."""

    name = 'engines that crash'

    def disturb(self, fleet: VersionFleet) -> None:
        """Schedule the crashes."""
        _repeat(fleet, _FAULT_S, lambda: _crash_engine(fleet))


@disturbances.register
class KillRouters(Disturbance):
    """One router after the other is killed and restarts."""

    name = 'routers that are killed'

    def disturb(self, fleet: VersionFleet) -> None:
        """Schedule the kills."""
        _repeat(fleet, _FAULT_S, lambda: _kill_router(fleet))


class _AllOfIt(Disturbance):
    """Engines that crash, and routers that are killed."""

    def disturb(self, fleet: VersionFleet) -> None:
        """Schedule both."""
        CrashVersionedEngines().disturb(fleet)
        KillRouters().disturb(fleet)


@disturbances.register
class CutVersionedRouters(_AllOfIt):
    """Routers of which one half does not reach the other for 8 s."""

    name = 'all of it, and routers in two parts'

    def disturb(self, fleet: VersionFleet) -> None:
        """Cut them, later than the first streams."""
        super().disturb(fleet)
        half = len(fleet.router_names) // 2
        near = {router_host(name) for name in fleet.router_names[:half]}
        far = {router_host(name) for name in fleet.router_names[half:]}

        def is_cut(host: str, other: str) -> bool:
            return {host, other} & near != set() and {
                host,
                other,
            } & far != set()

        def cut() -> None:
            fleet.network.is_cut = is_cut
            fleet.network.reactor.callLater(8, heal)

        def heal() -> None:
            fleet.network.is_cut = lambda host, other: False

        fleet.network.reactor.callLater(10, cut)


@disturbances.register
class DelayMessages(_AllOfIt):
    """Links between routers that hold data back again and again."""

    name = 'all of it, and late messages'

    def disturb(self, fleet: VersionFleet) -> None:
        """Hold messages back for most of each second."""
        super().disturb(fleet)
        hosts = {router_host(name) for name in fleet.router_names}
        reactor = fleet.network.reactor

        def is_cut(host: str, other: str) -> bool:
            is_between = {host, other} <= hosts
            phase_s = math.fmod(reactor.seconds(), _LATE_PERIOD_S)
            return is_between and phase_s < _LATE_MESSAGE_S

        fleet.network.is_cut = is_cut


@disturbances.register
class StopStore(_AllOfIt):
    """A store that is down for 8 s."""

    name = 'all of it, and a store that is down'

    def disturb(self, fleet: VersionFleet) -> None:
        """Schedule the outage."""
        super().disturb(fleet)

        def set_down(*, is_down: bool) -> None:
            fleet.store.is_down = is_down

        reactor = fleet.network.reactor
        reactor.callLater(10, lambda: set_down(is_down=True))
        reactor.callLater(18, lambda: set_down(is_down=False))


@disturbances.register
class RestartAllVersionRouters(Disturbance):
    """All routers are killed at once, amid the roll-out."""

    name = 'a restart of all routers'

    def disturb(self, fleet: VersionFleet) -> None:
        """Schedule the kill."""
        reactor = fleet.network.reactor

        def kill() -> None:
            for name in fleet.router_names:
                fleet.kill_router(name)
                reactor.callLater(_ROUTER_DOWN_S, fleet.start_router, name)

        reactor.callLater(14, kill)


@disturbances.register
class LateCallers(_AllOfIt):
    """Callers that take a stream up a minute after it broke off."""

    name = 'all of it, and callers that come back after a minute'

    def disturb(self, fleet: VersionFleet) -> None:
        """Delay the callers."""
        super().disturb(fleet)
        fleet.pause_s = _LATE_CALLER_S


@given('{routers:d} routers before {engines:d} engines of one software version')
def start_fleet(context: Context, routers: int, engines: int) -> None:
    """Start a fleet and let it run."""
    context.fleet = VersionFleet(routers, engines)
    context.fleet.run(_WARM_UP_S)


@given(
    'half of the streams go to another service with the versions "{versions}"'
)
def split_route(context: Context, versions: str) -> None:
    """Split the route, and let the fleet run."""
    context.fleet.split_route('other', versions.split())
    context.fleet.run(_WARM_UP_S)


@given('the software is rolled out {direction}, disturbed by {disturbance}')
def roll_out(context: Context, direction: str, disturbance: str) -> None:
    """Replace one engine after the other, and back if so named."""
    fleet = context.fleet
    steps = list(_ROLLOUTS[direction])

    def replace() -> None:
        if steps:
            old, new = steps.pop(0)
            fleet.add_engine(new)
            fleet.network.reactor.callLater(_OVERLAP_S, leave, old)

    def leave(version: str) -> None:
        serving = fleet.engines_of(version)
        if serving:
            serving[0].leave()

    _repeat(fleet, _REPLACE_S, replace)
    disturbances.get(disturbance)().disturb(fleet)


@given('the fleet is disturbed by {disturbance}')
def disturb_fleet(context: Context, disturbance: str) -> None:
    """Disturb a fleet whose software stays as it is."""
    disturbances.get(disturbance)().disturb(context.fleet)


@when('{rate:d} streams a second begin for {seconds:d} s')
def begin_streams(context: Context, rate: int, seconds: int) -> None:
    """Begin streams, and wait until all have ended or were taken up."""
    fleet = context.fleet
    for _ in range(rate * seconds):
        fleet.begin_stream()
        fleet.run(1 / rate)
    fleet.run(_RUN_OUT_S + fleet.pause_s)


@then('at most {count:d} streams have events of two versions')
def check_mixed(context: Context, count: int) -> None:
    """Guard against streams whose events do not fit together."""
    fleet = context.fleet
    assert fleet.continuations >= _COUNTED_FROM, fleet.continuations
    assert len(fleet.mixed()) <= count, (
        len(fleet.mixed()),
        fleet.continuations,
    )


@then('at least half as many streams that are taken up go on as new ones begin')
def check_taken_up(context: Context) -> None:
    """Guard against routers that refuse what they could serve."""
    _, begun = context.fleet.share_with_events(resumed=False)
    attempts, taken_up = context.fleet.share_with_events(resumed=True)
    if not attempts:
        # The routers have gone on with all streams that broke off.
        _check_complete(context)
        return
    assert taken_up >= _SHARE * begun, (taken_up, begun, attempts)


def _check_complete(context: Context) -> None:
    fleet = context.fleet
    assert fleet.continuations >= _COUNTED_FROM, fleet.continuations
    broken = [each for each in fleet.streams if not each.is_complete]
    assert not broken, (len(broken), len(fleet.streams))


@then('no stream that is taken up is refused')
def check_no_refusal(context: Context) -> None:
    """Guard against refusals where no other version can have begun a stream."""
    attempts = [each for each in context.fleet.attempts if each.is_resumption]
    refused = [each.status for each in attempts if each.status not in {0, 200}]
    assert context.fleet.continuations >= _COUNTED_FROM
    assert attempts
    assert not refused, (refused, len(attempts))


@then('no stream of "{version}" that is taken up is refused')
def check_no_refusal_of(context: Context, version: str) -> None:
    """Guard against refusals for the versions of another service."""
    attempts = [
        each
        for each in context.fleet.attempts
        if each.is_resumption and each.begun_by == version
    ]
    refused = [each.status for each in attempts if each.status not in {0, 200}]
    assert attempts
    assert not refused, (refused, len(attempts))


@then('no router has told another one of a stream')
def check_nothing_written(context: Context) -> None:
    """Guard against messages that nobody needs."""
    fleet = context.fleet
    routers = map(fleet.router, fleet.router_names)
    reported = [router.reported_streams for router in routers]
    assert not any(reported), reported
    assert not fleet.store.version_writes
