"""Steps for brittle servers."""

from behave import given, then, when
from behave.runner import Context

from features.brittle_fleet import SLOTS, BrittleFleet
from features.directory_fixtures import service_spec
from features.steps.ratelimit_fleet_steps import (
    DisturbNothing,
    RouterDisturbance,
    disturbances,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ServerState
from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.platform.requests import PlatformBackendProtocol
from yuccagauge.ratelimit.slotledger import LEARNING_TIME, SlotLedger
from yuccagauge.selection.base import FleetView, SelectionRequest
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint

_WARM_UP_S = 6.0
_RUN_OUT_S = 4.5

#: Time from the first statement to the burst or the disturbance, in seconds.
_BEFORE_S = 7.0
_BURST_S = 3.0

#: Objective of the routes, in ms.
_OBJECTIVE_MS = 400

#: The users' bound on ends, for three servers.
_ALLOWED_ENDS = 2

#: Share of the calls of sound servers that brittle ones have to serve.
_SERVED_SHARE = 0.9


@disturbances.register
class EndServer(RouterDisturbance):
    """A server that ends by itself, so that its calls go to the others."""

    name = 'a server that ends'

    def disturb(self, fleet: BrittleFleet) -> None:
        """End one server; that is not its own fall."""
        fleet.servers[0].fall()
        fleet.servers[0].falls -= 1


def _run_calls(
    fleet: BrittleFleet, route: str, rate: float, duration_s: float
) -> None:
    due_s = fleet.random.expovariate(rate)
    while due_s < duration_s:
        name = fleet.random.choice(fleet.router_names)
        fleet.network.reactor.callLater(due_s, fleet.call, name, route)
        due_s += fleet.random.expovariate(rate)
    fleet.run(duration_s)


def _play(
    context: Context,
    fleet: BrittleFleet,
    route: str,
    rate: float,
    burst: float,
    seconds: int,
    *,
    is_brittle: bool,
) -> None:
    fleet.run(_WARM_UP_S)
    _run_calls(fleet, route, rate, 1)
    if is_brittle:
        fleet.brittle_since = fleet.clock.now()
    _run_calls(fleet, route, rate, _BEFORE_S)
    context.disturbance.disturb(fleet)
    _run_calls(fleet, route, rate * burst, _BURST_S)
    _run_calls(fleet, route, rate, max(0, seconds - _BEFORE_S - _BURST_S))
    fleet.run(_RUN_OUT_S)


@given(
    '{routers:d} routers before 3 brittle servers that bear {allowed:d} '
    'rejections a second'
)
def start_fleet(context: Context, routers: int, allowed: int) -> None:
    """Start a fleet, and another one whose servers stay sound."""
    context.fleet = BrittleFleet(routers, 3)
    context.fleet.allowed = allowed
    context.routers = routers
    context.ends_with_connection = False
    context.disturbance = DisturbNothing()


@given('their answers have no length, so that routers check on servers')
def answer_without_length(context: Context) -> None:
    """Let each answer cost a health check, which takes a slot too."""
    context.ends_with_connection = True
    context.fleet.ends_with_connection = True


@given('the routers of the brittle servers are disturbed by {disturbance}')
def set_disturbance(context: Context, disturbance: str) -> None:
    """Choose the disturbance."""
    context.disturbance = disturbances.get(disturbance)()


@when(
    '{rate:d} calls of "{route}" a second come for {seconds:d} s, {burst:g} '
    'times as many for 3 s of them'
)
def send_calls(
    context: Context, rate: int, route: str, seconds: int, burst: float
) -> None:
    """Send the same calls to brittle and to sound servers."""
    context.played = (route, rate, burst, seconds)
    _play(context, context.fleet, *context.played, is_brittle=True)


@when('the servers are sound again')
def end_brittleness(context: Context) -> None:
    """Let the servers say nothing any more."""
    fleet = context.fleet
    fleet.brittle_since = None
    _run_calls(fleet, 'book', 100, 2)
    fleet.answers.clear()


@when(
    '{rate:d} calls of "{route}" a second come to sound servers for '
    '{seconds:d} s'
)
def send_sound_calls(
    context: Context, rate: int, route: str, seconds: int
) -> None:
    """Send more calls than brittle servers would get."""
    _run_calls(context.fleet, route, rate, seconds)
    context.fleet.run(_RUN_OUT_S)


@when('a router of the brittle servers restarts')
def restart_router(context: Context) -> None:
    """Start a router that has had no answer yet."""
    fleet = context.fleet
    name = fleet.router_names[0]
    fleet.kill_router(name)
    fleet.start_router(name)
    context.router = fleet.router(name)


@then('it knows that they are brittle once it is ready')
def check_restarted(context: Context) -> None:
    """Guard against a router that learns of it by the end of a server."""
    fleet = context.fleet
    while not context.router.is_ready:
        fleet.run(0.01)
    for server in fleet.servers:
        assert context.router.brittle.limit_of(server.server_id) is not None


@then('at most {count:d} servers ended')
def check_falls(context: Context, count: int) -> None:
    """Guard against servers that end with all that they run."""
    falls = [server.falls for server in context.fleet.servers]
    rejections = [server.rejections for server in context.fleet.servers]
    assert sum(falls) <= _ALLOWED_ENDS, (falls, rejections)


@then('at least nine in ten of the calls are served that sound servers serve')
def check_served(context: Context) -> None:
    """Guard against calls that are given up though they could be served.

    The same disturbance comes to the fleet with sound servers.
    """
    calm = BrittleFleet(context.routers, 3)
    calm.ends_with_connection = context.ends_with_connection
    _play(context, calm, *context.played, is_brittle=False)
    served = context.fleet.served
    assert served >= _SERVED_SHARE * calm.served, (
        served,
        calm.served,
        len(context.fleet.answers),
    )


@then('no router counts a server as brittle')
def check_sound(context: Context) -> None:
    """Guard against limits that outlast their need."""
    fleet = context.fleet
    for name in fleet.router_names:
        assert not fleet.router(name).brittle.has_limits, name


@then(
    'nearly all calls are served, half of them within the objective of 400 ms'
)
def check_quick(context: Context) -> None:
    """Guard against waits for slots that nobody limits."""
    answers = context.fleet.answers
    assert context.fleet.served >= 0.98 * len(answers), len(answers)
    times = sorted(took for _, took in answers)
    assert times[len(times) // 2] <= _OBJECTIVE_MS, times[len(times) // 2]


@then('no call is refused later than after half of its time')
def check_refusals(context: Context) -> None:
    """Guard against callers that wait for nothing."""
    fleet = context.fleet
    late = [
        took
        for status, took in fleet.answers
        if status != 200 and took > fleet.caller_timeout / 2 + 100
    ]
    refused = [took for status, took in fleet.answers if status != 200]
    assert refused
    assert not late, (len(late), len(refused), max(late))


_VALUES = {
    'many digits': ('9' * 400,),
    'two values': ('5', '5'),
    'empty': ('',),
}


@then('a statement "{value}" is read as {meaning}')
def check_statement(context: Context, value: str, meaning: str) -> None:
    """Guard against statements that end the reading of an answer."""
    values = _VALUES.get(value, (value,))
    headers = tuple(
        (b'Server-Brittle', text.encode('latin-1')) for text in values
    )
    stamp = (b'X-Yuccagauge-Server-Stamp', b's')
    head = ResponseHead(status=200, headers=(stamp, *headers))
    info = PlatformBackendProtocol().parse_head(head)
    assert info.shows_if_brittle is (meaning == 'brittle'), info
    assert (info.allowed_rejections is not None) is (meaning == 'brittle')
    assert bool(info.malformed_rejections) is (meaning == 'malformed'), info


@given('a ledger of {slots:d} slots that is {age:d} ms old')
def open_ledger(context: Context, slots: int, age: int) -> None:
    """Open a ledger some time ago."""
    context.slots = slots
    context.now = Millis(10_000)
    context.ledger = SlotLedger(Millis(context.now - age + LEARNING_TIME))


@when('routers "{asks}" ask in this order')
def ask_ledger(context: Context, asks: str) -> None:
    """Ask with the slots that each occupies, and those that it wants."""
    context.grants = []
    for ask in asks.split():
        router, occupied, wanted = ask.split(':')
        count = context.ledger.lend(
            router, int(occupied), int(wanted), context.slots, context.now
        )
        context.grants.append(str(count))


@then('they get "{grants}"')
def check_grants(context: Context, grants: str) -> None:
    """Guard against more calls at a time than a server has slots."""
    assert context.grants == grants.split(), context.grants


def _choose(context: Context, service: str) -> object:
    now = context.now
    request = SelectionRequest(
        call_id='c',
        service=service_spec(service),
        received_at=now,
        objective_at=Millis(now + 400),
        deadline=Millis(now + 4000),
        first_output_deadline=Millis(now + 4000),
    )
    return context.selector.choose(request, (), now).placement


@given('two servers of a service, of which one has stated that it is brittle')
def brittle_sibling(context: Context) -> None:
    """List servers, and record the answer of one."""
    context.now = Millis(10_000)
    context.selector = Selector('a', Millis(12_000))
    servers = {
        server_id: BackendServer(
            server_id=server_id,
            service=service,
            endpoint=Endpoint('10.1.1.1', 8080 + number),
            data_centre='a',
            slots=SLOTS,
            state=ServerState.READY,
        )
        for number, (server_id, service) in enumerate(
            (('i-1', 'plain'), ('i-2', 'plain'), ('i-3', 'other'))
        )
    }
    context.selector.update_fleet_view(FleetView(servers=servers))
    context.selector.brittle.stated.record_answer(
        'i-1', 5, Millis(9_900), context.now
    )


@then('no call is sent to either without a slot')
def check_no_call(context: Context) -> None:
    """Guard against a burst to a server that has stated nothing yet."""
    assert _choose(context, 'plain') is None


@then('a call is sent to a server of another service')
def check_other_service(context: Context) -> None:
    """Guard against limits of servers that are not brittle."""
    assert _choose(context, 'other') is not None
