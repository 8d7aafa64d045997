"""Steps for routers that are partitioned from all servers."""

from collections import Counter
from collections.abc import Callable
from statistics import median

from absl import logging
from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import router_host
from features.partition_callers import ONCE_ROUTES, PROMISES, FirstAttempt
from features.partition_fleet import Face, PartitionFleet, Role
from features.partition_servers import Run
from features.relay_fixture import configuration
from yuccagauge.clock import Millis

_SERVERS = 8

#: Time before the first attempt, in seconds.
_WARM_UP_S = 6.0

#: Time after the last attempt until all callers have left, in seconds.
_RUN_OUT_S = 6.0

#: Times after the first attempt, and lengths of partitions, in seconds.
_BEGIN_S = 2.0
_LENGTH_S = 12.0
_DISTURBANCE_S = 4.0
_ROUTER_DOWN_S = 1.0
_SERIES_S = 18.0

#: The users' bounds: the share of what other routers serve, and the number and
#: the share of all first attempts that may fail at partitioned routers.
_SERVED_SHARE = 2 / 3
_ALLOWED_FAILURES = 10
_ALLOWED_SHARE = 1 / 50

#: First attempts without which a scenario shows nothing.
_COUNTED_FROM = 50

#: Virtual time passes in steps of 10 ms, and a refusal takes several hops.
_STEP_SLACK = Millis(50)

_ALL_OF_ONE = 'all of one data centre'


def _choose(fleet: PartitionFleet, choice: str) -> frozenset[str]:
    """Return some routers that no partition has yet."""
    taken = {name for each in fleet.partitions for name in each.names}
    free = [name for name in fleet.router_names if name not in taken]
    if choice == _ALL_OF_ONE:
        return frozenset(
            each for each in free if fleet.data_centre(each) == 'b'
        )
    return frozenset(fleet.random.sample(free, int(choice)))


def _kill_routers(fleet: PartitionFleet, choice: str, face: Face) -> None:
    """Kill a partitioned router and another one, one after the other."""
    cut = fleet.partitions[0].names
    names = (
        fleet.random.choice(
            [name for name in fleet.router_names if name not in cut]
        ),
        fleet.random.choice(sorted(cut)),
    )
    reactor = fleet.network.reactor
    for number, name in enumerate(names):
        delay_s = number * _ROUTER_DOWN_S
        reactor.callLater(delay_s, fleet.kill_router, name)
        reactor.callLater(delay_s + _ROUTER_DOWN_S, fleet.start_router, name)


def _configure(fleet: PartitionFleet, choice: str, face: Face) -> None:
    """Write another version of the configuration."""
    document = configuration()
    document['version'] += 1
    document['routes'][0]['timeoutMs'] -= 100
    fleet.store.append_configuration(document)


def _partition_others(fleet: PartitionFleet, choice: str, face: Face) -> None:
    """Partition one more router, in the next face."""
    faces = list(Face)
    next_face = faces[(faces.index(face) + 1) % len(faces)]
    fleet.partition(_choose(fleet, '1'), next_face, _LENGTH_S)


_DISTURBANCES: dict[str, Callable[[PartitionFleet, str, Face], None]] = {
    'nothing': lambda fleet, choice, face: None,
    'kills of routers': _kill_routers,
    'a new configuration': _configure,
    'a second partition': _partition_others,
}


@given('{routers:d} routers before servers of two services')
def start_fleet(context: Context, routers: int) -> None:
    """Start a fleet and let it run."""
    context.fleet = PartitionFleet(routers, _SERVERS)
    context.fleet.run(_WARM_UP_S)


@given('{choice} of them are partitioned from all servers, {face}')
def partition_routers(context: Context, choice: str, face: str) -> None:
    """Schedule a partition."""
    fleet = context.fleet
    context.choice, context.face = choice, Face(face)
    fleet.network.reactor.callLater(
        _BEGIN_S,
        lambda: fleet.partition(
            _choose(fleet, choice), context.face, _LENGTH_S
        ),
    )


@given('the requests of a route are {likeness}')
def choose_bodies(context: Context, likeness: str) -> None:
    """Let callers send the same body again and again, or not."""
    context.fleet.sends_alike = likeness == 'alike'


@given('meanwhile there is {disturbance}')
def disturb(context: Context, disturbance: str) -> None:
    """Schedule a disturbance beside the partition."""
    context.fleet.network.reactor.callLater(
        _BEGIN_S + _DISTURBANCE_S,
        _DISTURBANCES[disturbance],
        context.fleet,
        context.choice,
        context.face,
    )


@given('{choice} more are partitioned after that, {face}')
def partition_again(context: Context, choice: str, face: str) -> None:
    """Schedule a partition that begins after the first one has ended."""
    fleet = context.fleet
    fleet.network.reactor.callLater(
        _SERIES_S,
        lambda: fleet.partition(_choose(fleet, choice), Face(face), _LENGTH_S),
    )


@given('all servers end {manner}')
def end_servers(context: Context, manner: str) -> None:
    """Schedule the end of all servers."""
    fleet = context.fleet
    fleet.ends_silently = manner == 'silently'
    fleet.down_s = _LENGTH_S

    def end() -> None:
        context.down_since = fleet.clock.now()
        for server in fleet.servers:
            server.end()

    fleet.network.reactor.callLater(_BEGIN_S, end)


@when('{rate:d} first attempts a second come for {seconds:d} s')
def send_attempts(context: Context, rate: int, seconds: int) -> None:
    """Send requests to all routers alike, and wait for the last answers."""
    fleet = context.fleet
    for _ in range(rate * seconds):
        fleet.send_first_attempt()
        fleet.run(1 / rate)
    fleet.run(_RUN_OUT_S)


def _of_role(fleet: PartitionFleet, role: Role) -> list[FirstAttempt]:
    return [each for each in fleet.attempts if fleet.role(each) is role]


def _check_alike(some: list[FirstAttempt], others: list[FirstAttempt]) -> None:
    """Check the users' bound for the first attempts at some routers."""
    served = sum(each.is_served for each in some)
    others_served = sum(each.is_served for each in others)
    figures = (
        f'{served} of {len(some)} first attempts served, at other routers '
        f'{others_served} of {len(others)}; '
        f'{Counter((each.route, each.status) for each in some)}'
    )
    assert min(len(some), len(others)) >= _COUNTED_FROM, figures
    # Otherwise there is nothing that the partitioned ones could have served.
    assert others_served >= _SERVED_SHARE * len(others), figures
    is_often_enough = served * len(
        others
    ) >= _SERVED_SHARE * others_served * len(some)
    allowed = _ALLOWED_FAILURES + _ALLOWED_SHARE * (len(some) + len(others))
    assert is_often_enough or len(some) - served <= allowed, figures


@then('partitioned routers serve two thirds of what the others serve')
def check_partitioned(context: Context) -> None:
    """Guard against routers that refuse what others could serve."""
    fleet = context.fleet
    _check_alike(_of_role(fleet, Role.PARTITIONED), _of_role(fleet, Role.OTHER))


@then('afterwards they serve as the others do, and reach servers directly')
def check_healed(context: Context) -> None:
    """Guard against a detour that outlasts its reason."""
    fleet = context.fleet
    healed, calm = _of_role(fleet, Role.HEALED), _of_role(fleet, Role.CALM)
    _check_alike(healed, calm)
    detours = _detours(fleet)
    assert not detours, (len(detours), detours[:5])


@then('all requests reach servers directly')
def check_direct(context: Context) -> None:
    """Guard against a detour that nothing asks for."""
    fleet = context.fleet
    detours = _detours(fleet)
    assert len(fleet.runs) >= _COUNTED_FROM
    assert not detours, (len(detours), detours[:5])


def _detours(
    fleet: PartitionFleet,
) -> list[tuple[str, Run]]:
    """Return runs that came through a peer though there was a direct path."""
    return [
        (attempt.router, run)
        for attempt in fleet.attempts
        for run in fleet.runs.get(attempt.request_id, ())
        if run.source != router_host(attempt.router)
        and fleet.has_path(attempt.router, run.at)
    ]


@then('no request runs twice that may run once, or though it was refused')
def check_runs(context: Context) -> None:
    """Guard against a detour that repeats what may have run."""
    fleet = context.fleet
    once = [each for each in fleet.attempts if each.route in ONCE_ROUTES]
    runs = {each: len(fleet.runs.get(each.request_id, ())) for each in once}
    twice = [each for each, count in runs.items() if count > 1]
    refused = [each for each in once if each.status in PROMISES and runs[each]]
    assert sum(runs.values()) >= _COUNTED_FROM, sum(runs.values())
    assert not twice, (len(twice), twice[:3])
    assert not refused, (len(refused), refused[:3])


@then('each request that was read whole is answered or refused')
def check_answers(context: Context) -> None:
    """Guard against calls that get lost on a detour."""
    fleet = context.fleet
    read = [
        each
        for each in fleet.attempts
        if each.is_connected and fleet.is_in_touch(each)
    ]
    lost = [each for each in read if not each.status]
    assert len(read) >= _COUNTED_FROM
    assert not lost, (len(lost), len(read), lost[:3])


@then('each first attempt is refused before its deadline')
def check_refused(context: Context) -> None:
    """Guard against calls that go round in circles before nothing."""
    until = context.down_since + _LENGTH_S * 1000
    down = [
        each
        for each in context.fleet.attempts
        if context.down_since + 3000 <= each.sent_at < until - 5000
    ]
    late = [
        each
        for each in down
        if each.status not in PROMISES
        or each.answered_at > each.deadline_at + _STEP_SLACK
    ]
    times = sorted(
        each.answered_at - each.sent_at for each in down if each.answered_at
    )
    logging.info(
        'refused after ms: median %s, longest %s of %s',
        median(times),
        times[-1],
        len(times),
    )
    assert len(down) >= _COUNTED_FROM
    assert not late, (len(late), len(down), late[:3])
