"""Steps that send a request which ends servers to routers in disturbances."""

import itertools
import random
from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import CrashFleet, router_host
from features.crash_server import POISON, UNANSWERED
from yuccagauge.clock import Millis
from yuccagauge.registry import Registry


class Disturbance:
    """Holds back one thing by which a router learns of a server's end."""

    name: str
    aliases: tuple[str, ...] = ()

    def disturb(self, fleet: CrashFleet) -> None:
        """Change the fleet now, or schedule the changes."""


disturbances: Registry[type[Disturbance]] = Registry('disturbance')

#: Time for which a fleet runs before the request comes, in seconds.
_WARM_UP_S = 4.0

#: Time between two arrivals of the request, in seconds.
_REPEAT_S = 0.7

#: Time after the third end within which sends do not count, and the number of
#: sends that are allowed later; both are the users'.
_MARGIN = Millis(3000)
_ALLOWED_SENDS = 3

#: Routes of a request that may run once, and of one that may be retried.
_ROUTES = ('book', 'read')


def _repeat(
    fleet: CrashFleet, period_s: float, action: Callable[[], None]
) -> None:
    reactor = fleet.network.reactor

    def act() -> None:
        action()
        reactor.callLater(period_s, act)

    reactor.callLater(_WARM_UP_S + period_s, act)


@disturbances.register
class DisturbNothing(Disturbance):
    """A fleet without a disturbance."""

    name = 'nothing'

    def disturb(self, fleet: CrashFleet) -> None:
        """Leave the fleet alone."""


@disturbances.register
class ReturnWithNewId(Disturbance):
    """Servers that get a new id at each start."""

    name = 'servers that return with a new id'

    def disturb(self, fleet: CrashFleet) -> None:
        """Change the id at each start."""
        fleet.return_kind = 'with a new id'


@disturbances.register
class ReturnElsewhere(Disturbance):
    """Servers that return at another address."""

    name = 'servers that return at another address'

    def disturb(self, fleet: CrashFleet) -> None:
        """Change id and address at each start."""
        fleet.return_kind = 'at another address'


@disturbances.register
class ReplaceServers(Disturbance):
    """Servers that end for good, and new ones in their place."""

    name = 'servers that never return'

    def disturb(self, fleet: CrashFleet) -> None:
        """Start a new server for each that ends."""
        fleet.return_kind = 'never'


@disturbances.register
class TakeStoreDown(Disturbance):
    """A store that neither takes nor gives entries for 15 s."""

    name = 'a store that is down'

    def disturb(self, fleet: CrashFleet) -> None:
        """Schedule the outage."""
        reactor = fleet.network.reactor
        reactor.callLater(_WARM_UP_S, setattr, fleet.store, 'is_down', True)
        reactor.callLater(
            _WARM_UP_S + 15, setattr, fleet.store, 'is_down', False
        )


@disturbances.register
class RefuseRouters(Disturbance):
    """A store that takes entries of servers and refuses routers."""

    name = 'a store that refuses all routers'

    def disturb(self, fleet: CrashFleet) -> None:
        """Schedule the refusals."""
        refused = fleet.store.refused
        reactor = fleet.network.reactor
        reactor.callLater(_WARM_UP_S, refused.update, fleet.router_names)
        reactor.callLater(_WARM_UP_S + 15, refused.clear)


@disturbances.register
class DropHistory(Disturbance):
    """A store in which a reader falls behind again and again."""

    name = 'a store that drops its history'

    def disturb(self, fleet: CrashFleet) -> None:
        """Drop the history every 500 ms."""
        _repeat(fleet, 0.5, fleet.store.drop_history)


@disturbances.register
class RestoreCopy(Disturbance):
    """A store that forgets the last 5 s and gives offsets again."""

    name = 'a store that returns to a copy of the past'

    def disturb(self, fleet: CrashFleet) -> None:
        """Restore a copy every 6 s."""
        _repeat(fleet, 6, lambda: fleet.store.restore_copy(5))


@disturbances.register
class DelayHeartbeats(Disturbance):
    """A heartbeat that arrives after its server has ended."""

    name = 'heartbeats that arrive late'

    def disturb(self, fleet: CrashFleet) -> None:
        """Write an entry 2 s after each end."""
        fleet.late_heartbeat_s = 2


@disturbances.register
class EndSilently(Disturbance):
    """Servers that lose power, and callers that leave soon."""

    name = 'servers that end silently before impatient callers'

    def disturb(self, fleet: CrashFleet) -> None:
        """Send no resets, and let callers wait for 200 ms."""
        fleet.ends_silently = True
        fleet.caller_timeout = Millis(200)


@disturbances.register
class CutRouters(Disturbance):
    """Routers that reach servers and store, but no other router."""

    name = 'routers that cannot reach each other'

    def disturb(self, fleet: CrashFleet) -> None:
        """Cut the links between routers."""
        hosts = {router_host(name) for name in fleet.router_names}
        reactor = fleet.network.reactor
        reactor.callLater(
            _WARM_UP_S,
            setattr,
            fleet.network,
            'is_cut',
            lambda host, other: {host, other} <= hosts,
        )


@disturbances.register
class FailHalf(Disturbance):
    """Servers that fail half of the requests before they run them."""

    name = 'servers that fail half of the requests'

    def disturb(self, fleet: CrashFleet) -> None:
        """Set the share."""
        fleet.failure_share = 0.5


@disturbances.register
class BreakOthers(Disturbance):
    """Calls of other requests whose connections are reset."""

    name = 'many other broken connections'

    def disturb(self, fleet: CrashFleet) -> None:
        """Reset 40 connections every 500 ms."""
        numbers = itertools.count()

        def break_connections() -> None:
            for _ in range(40):
                name = fleet.random.choice(fleet.router_names)
                fleet.send(name, UNANSWERED + b'%d' % next(numbers))
            for server in fleet.servers:
                fleet.network.reactor.callLater(0.1, server.reset_connections)

        _repeat(fleet, 0.5, break_connections)


@disturbances.register
class RestartInTurn(Disturbance):
    """Routers of which one restarts every 3 s."""

    name = 'routers that restart in turn'

    def disturb(self, fleet: CrashFleet) -> None:
        """Schedule the restarts."""
        names = itertools.cycle(fleet.router_names)

        def restart() -> None:
            name = next(names)
            fleet.kill_router(name)
            fleet.network.reactor.callLater(1, fleet.start_router, name)

        _repeat(fleet, 3, restart)


@disturbances.register
class RestartAll(Disturbance):
    """Routers that all lose what they know every 12 s."""

    name = 'routers that restart all at once'

    def disturb(self, fleet: CrashFleet) -> None:
        """Schedule the restarts."""

        def restart() -> None:
            for name in fleet.router_names:
                fleet.kill_router(name)
                fleet.network.reactor.callLater(1, fleet.start_router, name)

        _repeat(fleet, 12, restart)


@given(
    '{routers:d} routers before {servers:d} servers, disturbed by {disturbance}'
)
def start_fleet(
    context: Context, routers: int, servers: int, disturbance: str
) -> None:
    """Start a fleet and let it run."""
    context.fleet = CrashFleet(routers, servers)
    context.route = 'read'
    disturbances.get(disturbance)().disturb(context.fleet)
    context.fleet.run(_WARM_UP_S)


@given(
    '{routers:d} routers before {servers:d} servers that soon return with a '
    'new id and state no start time'
)
def start_fleet_without_start_times(
    context: Context, routers: int, servers: int
) -> None:
    """Start a fleet in which the entry of an ended server appears to live."""
    context.fleet = CrashFleet(routers, servers)
    context.fleet.return_kind = 'with a new id'
    context.fleet.down_s = 1.5
    context.fleet.states_start_time = False
    context.fleet.late_heartbeat_s = 1
    context.route = 'read'
    context.fleet.run(_WARM_UP_S)


@given('a fleet that is disturbed by the choices of seed {seed:d}')
def start_random_fleet(context: Context, seed: int) -> None:
    """Start a fleet with two or three disturbances at once."""
    choices = random.Random(seed)
    context.fleet = CrashFleet(choices.randint(3, 7), 5, seed)
    context.route = choices.choice(_ROUTES)
    names = sorted(disturbances.names)
    context.disturbances = choices.sample(names, choices.randint(2, 3))
    for name in context.disturbances:
        disturbances.get(name)().disturb(context.fleet)
    context.fleet.run(_WARM_UP_S)


@when(
    'a request that ends servers comes again and again at any router for '
    '{seconds:d} s'
)
def repeat_request(context: Context, seconds: int) -> None:
    """Send the request between others."""
    fleet = context.fleet
    for number in range(int(seconds / _REPEAT_S)):
        for body in (POISON, b'other %d' % number):
            name = fleet.random.choice(fleet.router_names)
            fleet.send(name, body, context.route)
        fleet.run(_REPEAT_S)


@then('it reaches servers at most 3 times later than 3 s after the third end')
def check_sends(context: Context) -> None:
    """Guard against a request that ends one server after the other."""
    fleet = context.fleet
    late = fleet.sends_after_third_end(_MARGIN)
    assert late <= _ALLOWED_SENDS, (
        f'{late} sends later than {_MARGIN} ms after the third end, '
        f'{fleet.sends_after_third_end(Millis(0))} after it, '
        f'{len(fleet.ends)} ends in all'
    )


@then(
    'it reaches servers at most 3 times later than 3 s after the store refused '
    'a router'
)
def check_sends_in_touch(context: Context) -> None:
    """Guard against routers that do not catch up after a double cut.

    Without peers and store, each router can only count for itself.
    """
    fleet = context.fleet
    in_touch_at = fleet.store.refused_at + _MARGIN
    late = [send.at for send in fleet.sends if send.at > in_touch_at]
    assert 0 < fleet.store.refused_at < fleet.clock.now() - 2 * _MARGIN
    assert len(late) <= _ALLOWED_SENDS, late
