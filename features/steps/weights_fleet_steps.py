"""Steps for routers that restart while engines get new weights."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial

from behave import given, then, when
from behave.runner import Context

from features.weights_fleet import WeightsFleet
from yuccagauge.clock import Millis
from yuccagauge.registry import Registry

#: Time before the first call, and from there to the first naming.
_WARM_UP_S = 4.5
_BEFORE_S = 1.0

#: Size of a fleet whose seconds take long to play, and its time before the
#: first call.
_LARGE = 50
_LARGE_WARM_UP_S = 2.0

#: Time from the naming to the loss of power, and for which it lasts: as a rule,
#: and if that alone is nearly the users' ``versionMs``.
_NAMED_BEFORE_S = 0.3
_DOWN_S = 1.5
_LONG_DOWN_S = 11.0

#: Time from the first of several restarts to the last one at most.
_SERIES_S = 20.0

#: Time for which the store is silent, and by how much a clock steps, in ms.
_SILENCE_S = 3.0
_STEP = 2000

#: Time between two looks at whether engines have loaded.
_CHECK_S = 0.5

#: Time from a start until calls are no longer compared.
_COMPARED = Millis(10_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class _Plan:
    """What happens to a fleet, beside its calls."""

    restarted: str
    #: For how long the power is off, in seconds.
    down_s: float
    #: Times from the naming to each restart, in seconds.
    restarts: tuple[float, ...]
    trouble: type['Trouble']
    names_weights: bool = True


class Trouble:
    """What happens beside the restarts."""

    name: str
    aliases: tuple[str, ...] = ()

    def before(self, fleet: WeightsFleet, number: int) -> None:
        """Act shortly before a restart, the first of which has number 0."""

    def at_start(self, fleet: WeightsFleet, *, is_last: bool) -> None:
        """Act shortly before routers start again."""


troubles: Registry[type[Trouble]] = Registry('trouble')


@troubles.register
class NoTrouble(Trouble):
    """Nothing but restarts."""

    name = 'nothing happens'


@troubles.register
class SilentStore(Trouble):
    """A store that answers nobody at each start."""

    name = 'the store is silent at each start'

    def at_start(self, fleet: WeightsFleet, *, is_last: bool) -> None:
        """Silence the store."""
        fleet.silence_store(_SILENCE_S)


@troubles.register
class StoreSilentAtLast(Trouble):
    """A store that answers nobody at the last start."""

    name = 'the store is silent at the last start'

    def at_start(self, fleet: WeightsFleet, *, is_last: bool) -> None:
        """Silence the store."""
        if is_last:
            fleet.silence_store(_SILENCE_S)


@troubles.register
class FurtherWeights(Trouble):
    """Other weights before the second restart."""

    name = 'further weights are named'

    def before(self, fleet: WeightsFleet, number: int) -> None:
        """Name the third version."""
        if number == 1:
            fleet.name_weights(3)


class _ClockSteps(Trouble):
    """Wall clocks that step at each start."""

    def step(self, number: int) -> int:
        """Return by how much the clock of a router steps in all, in ms."""

    def at_start(self, fleet: WeightsFleet, *, is_last: bool) -> None:
        """Let the clocks step once, and stay there."""
        for number, name in enumerate(fleet.router_names):
            fleet.steps[name] = self.step(number)


@troubles.register
class StepsBack(_ClockSteps):
    """Wall clocks that show less after a restart."""

    name = 'clocks step back'

    def step(self, number: int) -> int:
        """Return the same for all routers."""
        return -_STEP


@troubles.register
class StepsForward(_ClockSteps):
    """Wall clocks that show more after a restart."""

    name = 'clocks step forward'

    def step(self, number: int) -> int:
        """Return the same for all routers."""
        return _STEP


@troubles.register
class StepsApart(_ClockSteps):
    """Wall clocks of which every other one is ahead, and the others behind."""

    name = 'clocks step apart'

    def step(self, number: int) -> int:
        """Return a step by the router's number."""
        return -_STEP if number % 2 else _STEP


#: Return the routers that restart.
_RESTARTED: dict[str, Callable[[WeightsFleet], list[str]]] = {
    'all routers': lambda fleet: list(fleet.router_names),
    'half of the routers': lambda fleet: fleet.random.sample(
        fleet.router_names, len(fleet.router_names) // 2
    ),
    'the leader': lambda fleet: [fleet.leader()],
}


def _restart_times(again: str) -> tuple[float, ...]:
    """Return the times of the restarts from the naming on, in seconds."""
    if again.startswith('once'):
        return (_NAMED_BEFORE_S,)
    period_s = float(again.removeprefix('every ').removesuffix(' s'))
    count = int(_SERIES_S / period_s) + 1
    return tuple(_NAMED_BEFORE_S + period_s * number for number in range(count))


def _disturb(fleet: WeightsFleet, plan: _Plan) -> None:
    """Schedule all but the calls."""
    reactor = fleet.network.reactor
    trouble = plan.trouble()

    def restart() -> None:
        fleet.restart(_RESTARTED[plan.restarted](fleet), plan.down_s)

    if plan.names_weights:
        reactor.callLater(_BEFORE_S, fleet.name_weights, 2)
    for number, at_s in enumerate(plan.restarts):
        off_s = _BEFORE_S + at_s
        is_last = number == len(plan.restarts) - 1
        reactor.callLater(
            off_s - _NAMED_BEFORE_S, trouble.before, fleet, number
        )
        reactor.callLater(
            off_s + plan.down_s / 2,
            partial(trouble.at_start, fleet, is_last=is_last),
        )
        reactor.callLater(off_s, restart)


def _play(
    fleet: WeightsFleet,
    plan: _Plan,
    rate: int,
    seconds: float,
    *,
    stops_once_loaded: bool = False,
) -> None:
    """Let calls come until some time after the last start.

    Once all engines have loaded, none can begin a call on other weights.
    """
    _disturb(fleet, plan)
    reactor = fleet.network.reactor
    length_s = _BEFORE_S + plan.restarts[-1] + plan.down_s + seconds
    for number in range(round(rate * length_s)):
        reactor.callLater(number / rate, fleet.begin_call)
    end = reactor.seconds() + length_s
    fleet.run(length_s - seconds)
    while reactor.seconds() < end and not (
        stops_once_loaded and fleet.all_loaded_at() is not None
    ):
        fleet.run(_CHECK_S)


@given('{routers:d} routers before {engines:d} engines with the first weights')
def start_fleet(context: Context, routers: int, engines: int) -> None:
    """Start a fleet, and let it run."""
    context.sizes = (routers, engines)
    context.trouble = NoTrouble
    context.fleet = WeightsFleet(routers, engines)
    is_large = routers >= _LARGE
    context.fleet.run(_LARGE_WARM_UP_S if is_large else _WARM_UP_S)


@given('beside restarts {trouble}')
def choose_trouble(context: Context, trouble: str) -> None:
    """Note what happens beside the restarts."""
    context.trouble = troubles.get(trouble)


@given('weights are named 0.3 s before a restart of {restarted}, {again}')
def plan_restarts(context: Context, restarted: str, again: str) -> None:
    """Plan the restarts."""
    context.plan = _Plan(
        restarted=restarted,
        restarts=_restart_times(again),
        down_s=_LONG_DOWN_S if again == 'once for 11 s' else _DOWN_S,
        trouble=context.trouble,
    )


@when(
    '{rate:d} calls a second come until all engines have loaded, or {seconds:d} '
    's after the last start'
)
def play_until_loaded(context: Context, rate: int, seconds: int) -> None:
    """Let calls come while any may begin on superseded weights."""
    _play(context.fleet, context.plan, rate, seconds, stops_once_loaded=True)


@when('{rate:d} calls a second come until {seconds:d} s after the last start')
def play(context: Context, rate: int, seconds: int) -> None:
    """Let calls come."""
    context.traffic = (rate, seconds)
    _play(context.fleet, context.plan, rate, seconds)


@then('no call has begun on weights that were replaced more than 12 s before')
def check_runs(context: Context) -> None:
    """Guard against an age of weights that begins anew."""
    fleet = context.fleet
    late = fleet.late_runs(in_touch=True)
    everywhere = fleet.late_runs(in_touch=False)
    oldest = max((age for age, _ in everywhere), default=0)
    loaded_at = fleet.all_loaded_at()
    assert not late, (
        f'{len(late)} calls, the first {late[0]}; {len(everywhere)} also '
        f'counting routers that had just started, at most {oldest} ms after; '
        f'all loaded {_after_start(fleet, loaded_at)} ms after the last start'
    )


@then(
    'all engines have the newest weights within {seconds:d} s of the last start'
)
def check_loaded(context: Context, seconds: int) -> None:
    """Guard against engines that nobody orders to load."""
    fleet = context.fleet
    loaded_at = fleet.all_loaded_at()
    weights = [engine.weights for engine in fleet.servers]
    assert loaded_at is not None, weights
    after = _after_start(fleet, loaded_at)
    assert after <= seconds * 1000, f'{after} ms'


@then('no two routers have ordered with one fence, or in turns')
def check_orders(context: Context) -> None:
    """Guard against a former leader and a new one that act at once."""
    conflicts = context.fleet.conflicting_orders()
    assert not conflicts, (len(conflicts), conflicts[0])


@then('an engine has taken an order within {seconds:d} s of the last start')
def check_first_order(context: Context, seconds: int) -> None:
    """Guard against waits before the first order after a restart."""
    fleet = context.fleet
    taken = [
        order.at - fleet.last_start()
        for order in fleet.orders
        if order.at >= fleet.last_start() and order.status == 202
    ]
    loaded_at = fleet.all_loaded_at()
    assert taken and taken[0] <= seconds * 1000, (
        f'first order after {taken[:1]} ms, all loaded after '
        f'{_after_start(fleet, loaded_at)} ms'
    )


@then(
    'callers get at least {share:f} of the answers in 10 s that they get '
    'without new weights'
)
def check_served(context: Context, share: float) -> None:
    """Guard against calls that are refused for lack of the newest weights."""
    other = WeightsFleet(*context.sizes)
    other.run(_WARM_UP_S)
    plan = replace(context.plan, names_weights=False)
    _play(other, plan, *context.traffic)
    with_weights, without = map(_share_served, (context.fleet, other))
    assert without > 0
    assert with_weights >= share * without, (with_weights, without)


def _share_served(fleet: WeightsFleet) -> float:
    start = fleet.last_start()
    return fleet.share_served(start, Millis(start + _COMPARED))


def _after_start(fleet: WeightsFleet, at: Millis | None) -> Millis | None:
    return None if at is None else Millis(at - fleet.last_start())
