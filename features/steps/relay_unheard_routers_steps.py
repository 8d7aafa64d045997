"""Steps for the retries of routers that do not hear each other."""

from bisect import bisect_left
from collections import Counter

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import CrashFleet, router_host
from features.crash_server import ServerProtocol, SimulatedServer
from yuccagauge.clock import Millis

#: Time before the cut, from there to the first request, and in which requests
#: come, in seconds. Routers count as dead after 6 s.
_WARM_UP_S = 6.0
_UNHEARD_S = 7.0
_CALLS_S = 9.0

#: The users' budget: the share of the requests, what a service may have besides,
#: and the window.
_RATIO = 0.2
_SLACK = 50
_WINDOW = Millis(10_000)


class _ResettingServer(SimulatedServer):
    """A server that resets the connection of each call."""

    def build_protocol(self) -> ServerProtocol:
        """Return the server's side of a new connection."""
        return _ResettingProtocol(self)

    def record_arrival(self, request_id: str) -> None:
        """Note when a request has arrived."""
        self._fleet.arrived.append((self._fleet.clock.now(), request_id))


class _ResettingProtocol(ServerProtocol):
    """A connection that is reset by a call."""

    def run_request(self, headers: dict[str, str], body: bytes) -> None:
        """Reset the connection."""
        self.transport.abortConnection()


class _BudgetFleet(CrashFleet):
    """Routers before servers that reset all calls."""

    server_type = _ResettingServer

    def __init__(self, routers: int, servers: int) -> None:
        """Start the fleet."""
        #: When each request arrived at a server, and its id.
        self.arrived: list[tuple[Millis, str]] = []
        super().__init__(routers, servers)


@given('{routers:d} routers before {servers:d} servers that reset all calls')
def start_fleet(context: Context, routers: int, servers: int) -> None:
    """Let the routers know each other."""
    context.fleet = _BudgetFleet(routers, servers)
    context.fleet.run(_WARM_UP_S)


@given('the routers do not hear each other for {seconds:d} s, {parts}')
def cut_routers(context: Context, seconds: int, parts: str) -> None:
    """Cut the links between routers, or between two halves of them."""
    fleet = context.fleet
    hosts = list(map(router_host, fleet.router_names))
    count = {'in two parts': 2, 'all heard': 1}.get(parts, len(hosts))
    part_of = {host: number % count for number, host in enumerate(hosts)}
    network = fleet.network
    network.is_cut = lambda host, other: (
        host in part_of and other in part_of and part_of[host] != part_of[other]
    )
    network.reactor.callLater(seconds, _heal, fleet)
    fleet.run(_UNHEARD_S)


@when('each of them gets {rate:d} requests a second')
def send_requests(context: Context, rate: int) -> None:
    """Send requests that may be repeated, and note how many came."""
    fleet = context.fleet
    context.requests = []
    for number in range(round(_CALLS_S * rate)):
        for name in fleet.router_names:
            fleet.send(name, f'{name} {number}'.encode(), 'read')
            context.requests.append(fleet.clock.now())
        fleet.run(1 / rate)


@then('no window has more retries than the budget allows')
def check_windows(context: Context) -> None:
    """Count what servers got more than once."""
    seen: Counter[str] = Counter()
    retries: list[Millis] = []
    for at, request_id in context.fleet.arrived:
        seen[request_id] += 1
        if seen[request_id] > 1:
            retries.append(at)
    assert retries
    excess = [_excess(retries, context.requests, end) for end in retries]
    assert max(excess) <= 0, (max(excess), len(retries))


def _excess(
    retries: list[Millis], requests: list[Millis], end: Millis
) -> float:
    """Return how many retries of a window are too many."""
    start = Millis(end - _WINDOW)
    count = bisect_left(retries, end + 1) - bisect_left(retries, start)
    counted = sum(start <= at <= end for at in requests)
    return count - _RATIO * counted - _SLACK


def _heal(fleet: CrashFleet) -> None:
    fleet.network.is_cut = lambda host, other: False
