"""Steps for the ages of weights after restarts of all routers."""

from functools import partial

from behave import given, then, when
from behave.runner import Context

from features.evidence_fleet import EvidenceFleet
from features.weights_fleet import VERSION_TIME
from yuccagauge.clock import Millis
from yuccagauge.directory.targetarchive import AGE_MARGIN
from yuccagauge.registry import Registry

_WARM_UP_S = 4.5

#: Time from the steps of clocks to the naming, and from there to the loss of
#: power.
_STEPPED_BEFORE_S = 0.2
_NAMED_BEFORE_S = 0.3

#: Time from the loss of power to the start, and between two losses.
_DOWN_S = 8.0
_SECOND_LOSS_S = 9.5
_SECOND_DOWN_S = 1.5

#: Time before the start at which servers write heartbeats again, and after it
#: in the case that they do so later.
_BACK_BEFORE_S = 1.2
_BACK_AFTER_S = 1.0

#: By how much a clock steps.
_STEP = Millis(2400)

#: Time from the naming until which the fleet is played: no call can be sent to
#: the first weights any more if a router counts 5 s too little.
_PLAYED_S = 18.0

#: For how long the store is silent.
_SILENCE_S = 2.0

#: Share of the servers that freeze or are cut off where a case names none.
_DARK_SHARE = 2 / 3

#: The users' ``heartbeatMs``.
_HEARTBEAT = Millis(1200)

_JOINING = 8

#: For how long routers are down that restart again and again.
_SERIES_DOWN_S = 1.5

#: By how much an age may be too high: a read that waits at the store precedes
#: the naming by a second, and a restart adds a heartbeat and the margin.
_LARGEST_EXCESS = Millis(1000 + _HEARTBEAT + AGE_MARGIN)


class Trouble:
    """What happens between the naming and the start."""

    name: str
    aliases: tuple[str, ...] = ()
    #: Whether clocks are ahead at the naming and behind at the start.
    steps_clocks = True
    restarts_twice = False

    def after_naming(self, fleet: EvidenceFleet) -> None:
        """Act when the routers lose power."""

    def before_start(self, fleet: EvidenceFleet) -> None:
        """Act shortly before the routers start."""


troubles: Registry[type[Trouble]] = Registry('trouble')


def _freeze(servers: list, *, is_frozen: bool) -> None:
    for server in servers:
        server.set_frozen(is_frozen=is_frozen)


@troubles.register
class NoTrouble(Trouble):
    """Nothing but the restart."""

    name = 'nothing happens'
    steps_clocks = False


@troubles.register
class ClockSteps(Trouble):
    """Clocks that are wrong while all servers live."""

    name = 'clocks step'


@troubles.register
class ClockStepsInSeries(Trouble):
    """Clocks that are wrong while routers restart a second time."""

    name = 'clocks step, and routers restart twice'
    restarts_twice = True


@troubles.register
class DarkServers(Trouble):
    """Servers that freeze, and live again before the start."""

    name = 'servers freeze'
    steps_clocks = False
    share = _DARK_SHARE
    back_s = -_BACK_BEFORE_S

    def after_naming(self, fleet: EvidenceFleet) -> None:
        """Freeze servers, and let them go on."""
        dark = self.chosen(fleet)
        _freeze(dark, is_frozen=True)
        fleet.later(
            _DOWN_S + self.back_s, partial(_freeze, dark, is_frozen=False)
        )

    def chosen(self, fleet: EvidenceFleet) -> list:
        """Return the servers."""
        return fleet.servers[: round(len(fleet.servers) * self.share)]


@troubles.register
class DarkAndSteps(DarkServers):
    """Both at once."""

    name = 'clocks step and servers freeze'
    steps_clocks = True


@troubles.register
class DarkAndStepsInSeries(DarkAndSteps):
    """Both at once, before a second restart."""

    name = 'clocks step, servers freeze, and routers restart twice'
    restarts_twice = True


@troubles.register
class MostDark(DarkAndSteps):
    """Both at once, and only two of ten servers live on."""

    name = 'clocks step and four fifths of the servers freeze'
    share = 0.8


@troubles.register
class DarkUntilLater(DarkAndSteps):
    """Servers whose entries lapse, and return only after the start."""

    name = 'clocks step and servers freeze until after the start'
    back_s = _BACK_AFTER_S


@troubles.register
class DarkOthers(DarkAndSteps):
    """Servers of another service that freeze."""

    name = 'clocks step and servers of another service freeze'

    def chosen(self, fleet: EvidenceFleet) -> list:
        """Return the servers of the other service."""
        return list(fleet.others)


@troubles.register
class CutOffServers(Trouble):
    """Servers whose heartbeats do not reach the store."""

    name = 'clocks step and servers are cut off from the store'

    def after_naming(self, fleet: EvidenceFleet) -> None:
        """Cut servers off, and connect them again."""
        dark = fleet.servers[: round(len(fleet.servers) * _DARK_SHARE)]
        self._cut_off(dark, is_cut_off=True)
        fleet.later(
            _DOWN_S - _BACK_BEFORE_S,
            partial(self._cut_off, dark, is_cut_off=False),
        )

    def _cut_off(self, servers: list, *, is_cut_off: bool) -> None:
        for server in servers:
            server.is_cut_off = is_cut_off


@troubles.register
class JoiningServers(DarkAndSteps):
    """Servers that freeze while others join."""

    name = 'clocks step, servers freeze, and others join'

    def before_start(self, fleet: EvidenceFleet) -> None:
        """Start servers of another service."""
        fleet.add_others(_JOINING)


@troubles.register
class LeavingServers(DarkAndSteps):
    """Servers that freeze while others leave for good."""

    name = 'clocks step, servers freeze, and others leave'

    def before_start(self, fleet: EvidenceFleet) -> None:
        """End the servers of the other service."""
        for server in fleet.others:
            fleet.remove_server(server)


@troubles.register
class DroppedHistory(DarkAndSteps):
    """A store that keeps only the newest entry of each server."""

    name = 'clocks step, servers freeze, and the store drops its history'

    def before_start(self, fleet: EvidenceFleet) -> None:
        """Drop the history."""
        fleet.store.drop_history()


@troubles.register
class SilentStore(DarkAndSteps):
    """A store that answers nobody at the start."""

    name = 'clocks step, servers freeze, and the store is silent at the start'

    def before_start(self, fleet: EvidenceFleet) -> None:
        """Silence the store."""
        fleet.silence_store(_SILENCE_S)


@troubles.register
class RestartedServers(Trouble):
    """Servers that start again under their ids while clocks are wrong."""

    name = 'clocks step and servers start again after 1 s'
    down_s = 1.0

    def after_naming(self, fleet: EvidenceFleet) -> None:
        """End all servers, which return by themselves."""
        fleet.down_s = self.down_s
        for server in fleet.all_servers:
            server.end()


@troubles.register
class SlowlyRestartedServers(RestartedServers):
    """Servers that write no heartbeat for longer."""

    name = 'clocks step and servers start again after 3 s'
    down_s = 3.0


@given(
    '{routers:d} routers before {engines:d} engines and {others:d} servers of '
    'another service, which nobody orders to load'
)
def start_fleet(
    context: Context, routers: int, engines: int, others: int
) -> None:
    """Start a fleet, and let it run."""
    context.fleet = EvidenceFleet(routers, engines, others)
    context.fleet.run(_WARM_UP_S)


@given('servers that {state} when they started')
def choose_statement(context: Context, state: str) -> None:
    """Let entries state the start or not, and let routers read them."""
    context.fleet.states_start_time = state == 'state'
    context.fleet.run(_WARM_UP_S)


@when(
    'weights are named 0.3 s before a restart of all routers, and until the '
    'start {trouble}, while {rate:d} calls a second come'
)
def play(context: Context, trouble: str, rate: int) -> None:
    """Let calls come until none can begin any more."""
    fleet = context.fleet
    case = troubles.get(trouble)()
    if case.steps_clocks:
        fleet.step_clocks(_STEP)
    fleet.run(_STEPPED_BEFORE_S)
    fleet.name_weights(2)
    for number in range(round(_PLAYED_S * rate)):
        fleet.later(number / rate, fleet.begin_call)
    fleet.run(_NAMED_BEFORE_S)
    fleet.restart(list(fleet.router_names), _DOWN_S)
    case.after_naming(fleet)
    if case.steps_clocks:
        fleet.later(_DOWN_S / 2, partial(fleet.step_clocks, -_STEP))
    fleet.later(_DOWN_S - 0.1, partial(case.before_start, fleet))
    if case.restarts_twice:
        fleet.later(
            _SECOND_LOSS_S,
            partial(fleet.restart, list(fleet.router_names), _SECOND_DOWN_S),
        )
    fleet.run(_PLAYED_S - _NAMED_BEFORE_S)


@when(
    '{count:d} versions are named {period:d} s apart, and {restarted} restart '
    'every {pause:d} s'
)
def name_series(
    context: Context, count: int, period: int, restarted: str, pause: int
) -> None:
    """Name versions, and let routers learn several of them at once."""
    fleet = context.fleet
    names = list(fleet.router_names)
    last = {'all routers': names, 'half of the routers': names[::2]}[restarted]
    for number in range(count):
        fleet.later(number * period, partial(fleet.name_weights, number + 2))
    for at_s in range(pause, count * period, pause):
        fleet.later(at_s, partial(fleet.restart, last, _SERIES_DOWN_S))
    fleet.run(count * period + _SERIES_DOWN_S)


@then(
    'from {seconds:d} s after its start on a router knows the ages of all '
    'weights that may be used'
)
def check_known(context: Context, seconds: int) -> None:
    """Guard against ages that get lost among those of other versions."""
    fleet = context.fleet
    # Nobody knows more of a naming that no router has seen than that the
    # weights themselves were named before it.
    allowed = {
        version: _LARGEST_EXCESS
        + (0 if fleet.is_seen(version + 1) else at - fleet.named[version])
        for version, at in zip(
            fleet.named, tuple(fleet.named.values())[1:], strict=False
        )
    }
    counted = [
        each
        for each in fleet.ages
        if each.uptime >= seconds * 1000
        and each.true <= VERSION_TIME - allowed[each.version]
    ]
    worst = max(counted, key=lambda each: each.excess - allowed[each.version])
    assert worst.excess <= allowed[worst.version], (
        f'{worst} is the worst of {len(counted)}, of '
        f'{len({each.version for each in counted})} versions'
    )


@then('no router has counted less than the time since the naming')
def check_ages(context: Context) -> None:
    """Guard against weights that count as newer than they are."""
    fleet = context.fleet
    last_start = fleet.last_start() - fleet.named[2]
    after = [each for each in fleet.ages if each.true > last_start]
    assert after
    worst = min(fleet.ages, key=lambda each: each.excess)
    shown = f'version {worst.version} at {worst.router}'
    late = fleet.late_runs(in_touch=False)
    assert worst.excess >= 0, (
        f'{-worst.excess} ms too little for {shown} {worst.true} ms '
        f'after the naming; {len(late)} calls began too late, up to '
        f'{max((age for age, _ in late), default=0)} ms after it'
    )


@then('no call has begun later than 12 s after the naming at any router')
def check_runs(context: Context) -> None:
    """Guard against calls on weights that were replaced long before."""
    late = context.fleet.late_runs(in_touch=False)
    assert not late, f'{len(late)}, up to {max(age for age, _ in late)} ms'


@then(
    'from {seconds:d} s after the start on no router counts more than a '
    'heartbeat and the margin more than before'
)
def check_excess(context: Context, seconds: int) -> None:
    """Guard against weights that are not used although they may be."""
    fleet = context.fleet
    last_start = fleet.last_start() - fleet.named[2]
    before = max(each.excess for each in fleet.ages if each.true < last_start)
    worst = max(
        (
            each
            for each in fleet.ages
            if last_start + seconds * 1000 <= each.true <= VERSION_TIME
        ),
        key=lambda each: each.excess,
    )
    assert worst.excess - before <= _HEARTBEAT + AGE_MARGIN, (
        f'{worst.excess} ms too much at {worst.router} {worst.true} ms after '
        f'the naming, {before} ms before the restart'
    )
