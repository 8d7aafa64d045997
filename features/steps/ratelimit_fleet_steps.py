"""Steps that count what a server with a rate limit gets from all routers."""

import itertools

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import CrashFleet, router_host
from features.crash_server import SimulatedServer
from yuccagauge.clock import Millis
from yuccagauge.registry import Registry


class RouterDisturbance:
    """Disturbs the routers of a fleet, beginning after its warm-up."""

    name: str
    aliases: tuple[str, ...] = ()

    def disturb(self, fleet: CrashFleet) -> None:
        """Change the fleet now, or schedule the changes."""


disturbances: Registry[type[RouterDisturbance]] = Registry('disturbance')

#: Make the calls differ, so that none is taken for a repetition.
_call_numbers = itertools.count()

#: Time for which a fleet runs before its server names a limit, in seconds.
_WARM_UP_S = 4.0

#: Time between the first limit and the disturbance, in seconds.
_UNDISTURBED_S = 4.0

#: The users' rule: from this time after a server first named its limit, no
#: window may have more requests than a multiple of the limit and some more.
_GRACE = Millis(3000)
_WINDOW = Millis(4000)
_ALLOWED_FACTOR = 1.5
_ALLOWED_CALLS = 5

#: Time after the first limit from which requests count.
_TOLD = Millis(500)


@disturbances.register
class DisturbNothing(RouterDisturbance):
    """A fleet without a disturbance."""

    name = 'nothing'


@disturbances.register
class CutAll(RouterDisturbance):
    """Routers that reach servers and store, but no other router."""

    name = 'routers that cannot reach each other'

    def disturb(self, fleet: CrashFleet) -> None:
        """Cut all links between routers."""
        hosts = set(map(router_host, fleet.router_names))
        fleet.network.is_cut = lambda host, other: {host, other} <= hosts


@disturbances.register
class CutInTwo(RouterDisturbance):
    """Routers that reach each other only within two parts."""

    name = 'routers in two parts'

    def disturb(self, fleet: CrashFleet) -> None:
        """Cut the links between the parts."""
        hosts = set(map(router_host, fleet.router_names))
        part = set(map(router_host, fleet.router_names[::2]))
        fleet.network.is_cut = lambda host, other: (
            {host, other} <= hosts and (host in part) != (other in part)
        )


@disturbances.register
class HoldMessagesBack(RouterDisturbance):
    """Links between routers that deliver once in a while."""

    name = 'links that hold messages back for 600 ms'

    def disturb(self, fleet: CrashFleet) -> None:
        """Let messages pass in 100 ms of each 700."""
        hosts = set(map(router_host, fleet.router_names))
        fleet.network.is_cut = lambda host, other: (
            {host, other} <= hosts and fleet.clock.now() % 700 > 100
        )


@disturbances.register
class TakeStoreDown(RouterDisturbance):
    """A store that neither takes nor gives entries."""

    name = 'a store that is down for 10 s'

    def disturb(self, fleet: CrashFleet) -> None:
        """Begin the outage, and schedule its end."""
        fleet.store.is_down = True
        fleet.network.reactor.callLater(
            10, setattr, fleet.store, 'is_down', False
        )


@disturbances.register
class RestartInTurn(RouterDisturbance):
    """Routers that are killed in turn, each for 1 s."""

    name = 'restarts in turn'

    def disturb(self, fleet: CrashFleet) -> None:
        """Kill one router each 2 s."""
        for number, name in enumerate(fleet.router_names):
            reactor = fleet.network.reactor
            reactor.callLater(2 * number, fleet.kill_router, name)
            reactor.callLater(2 * number + 1, fleet.start_router, name)


@disturbances.register
class RestartAll(RouterDisturbance):
    """Routers that lose all that they know at once."""

    name = 'a restart of all routers'

    def disturb(self, fleet: CrashFleet) -> None:
        """Kill all routers, and start them after 1 s."""
        for name in fleet.router_names:
            fleet.kill_router(name)
            fleet.network.reactor.callLater(1, fleet.start_router, name)


@disturbances.register
class RestartIntoCut(RouterDisturbance):
    """Routers that lose all that they know and then reach no other one."""

    name = 'a restart of all routers into a cut'

    def disturb(self, fleet: CrashFleet) -> None:
        """Restart all routers, and cut all links between them."""
        RestartAll().disturb(fleet)
        CutAll().disturb(fleet)


@disturbances.register
class FreezeInTurn(RouterDisturbance):
    """Routers of which one after the other does nothing for 3 s."""

    name = 'a router that freezes for 3 s'

    def disturb(self, fleet: CrashFleet) -> None:
        """Freeze the routers in turn."""
        for number, name in enumerate(fleet.router_names):
            fleet.network.reactor.callLater(
                3 * number, fleet.freeze_router, name, 3
            )


@disturbances.register
class LowerLimit(RouterDisturbance):
    """A server that needs more relief than before."""

    name = 'a limit that falls to a quarter'

    def disturb(self, fleet: CrashFleet) -> None:
        """Name a lower limit."""
        for server in fleet.servers:
            limit = float(server.extra_headers.partition(':')[2] or 0)
            if limit:
                _name_limit(server, limit / 4)


def _name_limit(server: SimulatedServer, limit: float) -> None:
    server.extra_headers = f'Server-Limit: {limit:g}\r\n'


def _name_limits(context: Context) -> None:
    context.named_at = context.fleet.clock.now()
    for server in context.limited_servers:
        _name_limit(server, context.limit)


def _run_calls(fleet: CrashFleet, rate: int, duration_s: float) -> None:
    for _ in range(int(duration_s * rate)):
        name = fleet.random.choice(fleet.router_names)
        fleet.send(name, b'%d' % next(_call_numbers), 'read')
        fleet.run(1 / rate)


@given(
    '{routers:d} routers before {servers:d} servers, {limited} of them with a '
    'limit of {limit:g} a second'
)
def start_fleet(
    context: Context, routers: int, servers: int, limited: str, limit: float
) -> None:
    """Start a fleet."""
    context.fleet = CrashFleet(routers, servers)
    count = {'one': 1, 'all': servers}[limited]
    context.limited_servers = context.fleet.servers[:count]
    context.limit = limit
    context.disturbance = DisturbNothing()


@given('the routers are disturbed by {disturbance}')
def set_disturbance(context: Context, disturbance: str) -> None:
    """Choose the disturbance."""
    context.disturbance = disturbances.get(disturbance)()


@when('{rate:d} calls a second come for {seconds:d} s')
def send_calls(context: Context, rate: int, seconds: int) -> None:
    """Send calls before the limit, and with it before and in a disturbance."""
    fleet = context.fleet
    fleet.run(_WARM_UP_S / 2)
    _run_calls(fleet, rate, _WARM_UP_S / 2)
    _name_limits(context)
    _run_calls(fleet, rate, _UNDISTURBED_S)
    context.disturbance.disturb(fleet)
    _run_calls(fleet, rate, seconds)


@when(
    'the limits fall to {limit:g} a second, while {rate:d} calls a second come '
    'for {seconds:d} s'
)
def lower_limits(
    context: Context, limit: float, rate: int, seconds: int
) -> None:
    """Name lower limits, which count from now on."""
    context.limit = limit
    _name_limits(context)
    _run_calls(context.fleet, rate, seconds)


@when('a router restarts and reaches no other one for {duration:d} ms')
def restart_router(context: Context, duration: int) -> None:
    """Restart one router behind a cut from the others."""
    fleet = context.fleet
    network = fleet.network
    name = fleet.router_names[0]
    hosts = set(map(router_host, fleet.router_names))
    network.is_cut = lambda host, other: (
        {host, other} <= hosts and router_host(name) in {host, other}
    )
    fleet.kill_router(name)
    fleet.start_router(name)
    network.reactor.callLater(
        duration / 1000, setattr, network, 'is_cut', lambda *_: False
    )
    context.router = fleet.router(name)


@then('it knows the limits of all servers once it is ready')
def check_restarted_router(context: Context) -> None:
    """Guard against a burst of calls from a router that knows no limits."""
    fleet = context.fleet
    while not context.router.is_ready:
        fleet.run(0.01)
    limits = context.router.limits
    unknown = [
        server.server_id
        for server in fleet.servers
        if limits.limit_of(server.server_id) is None
    ]
    assert not unknown, unknown


def _arrivals(context: Context, server: SimulatedServer) -> list[Millis]:
    """Return the arrivals since all routers had to know the limit."""
    told_at = context.named_at + _TOLD
    return [at for at in server.arrivals if at >= told_at]


@then('each of them gets at most 1.5 times its limit and 5 requests in any 4 s')
def check_arrivals(context: Context) -> None:
    """Guard against routers that together exceed the limit of a server."""
    allowed = int(
        _ALLOWED_FACTOR * context.limit * _WINDOW / 1000 + _ALLOWED_CALLS
    )
    for server in context.limited_servers:
        arrivals = _arrivals(context, server)
        worst = max(
            (
                sum(end - _WINDOW < at <= end for at in arrivals)
                for end in arrivals
                if end >= context.named_at + _GRACE
            ),
            default=0,
        )
        assert worst <= allowed, (
            f'{worst} requests in {_WINDOW} ms, allowed {allowed}, '
            f'{len(arrivals)} in all'
        )


@then('each of them gets at least {share:g} times its limit')
def check_use(context: Context, share: float) -> None:
    """Guard against a limit that is kept by sending hardly any calls."""
    begins_at = context.named_at + _GRACE
    duration_s = (context.fleet.clock.now() - begins_at) / 1000
    for server in context.limited_servers:
        count = sum(at >= begins_at for at in server.arrivals)
        assert count >= share * context.limit * duration_s, count
