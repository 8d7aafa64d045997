"""Steps for calls that wait at engines while their weights grow too old."""

from collections.abc import Callable

from behave import given, then, when
from behave.runner import Context

from features.beginning_fleet import PLAYED, BeginningFleet
from features.crash_fleet import router_host
from features.weights_fleet import VERSION_TIME
from yuccagauge.clock import Millis

_WARM_UP_S = 4.5

#: Time from the naming until engines change their speed, and the calls come in
#: larger numbers: just before routers stop sending calls to the old weights.
_TROUBLE_AT_S = 9.0

#: For how long an engine is silent, and time between two silences.
_SILENCE = Millis(1500)
_SILENCE_PERIOD_S = 2.0
_SILENCES = 3

#: Routers that are cut off from all engines.
_CUT_OFF = 2

#: Calls a second before the trouble.
_CALM_RATE = 10

#: Time for which the process of a router does nothing.
_FREEZE_S = 1.8


def _slow_down(factor: float) -> Callable[[BeginningFleet], None]:
    def act(fleet: BeginningFleet) -> None:
        for engine in fleet.servers:
            engine.slowness = factor

    return act


def _slow_down_half(fleet: BeginningFleet) -> None:
    for engine in fleet.servers[::2]:
        engine.slowness = 8


def _fall_silent(fleet: BeginningFleet) -> None:
    for engine in fleet.servers:
        engine.slowness = 4
        engine.silent_until = Millis(fleet.clock.now() + _SILENCE)


def _fall_silent_repeatedly(fleet: BeginningFleet) -> None:
    for number in range(_SILENCES):
        fleet.network.reactor.callLater(
            number * _SILENCE_PERIOD_S, _fall_silent, fleet
        )


def _cut_off_routers(fleet: BeginningFleet) -> None:
    cut = {router_host(name) for name in fleet.router_names[:_CUT_OFF]}
    engines = {server.host for server in fleet.servers}

    def is_cut(host: str, other: str) -> bool:
        return (host in cut and other in engines) or (
            other in cut and host in engines
        )

    fleet.network.is_cut = is_cut
    _slow_down(8)(fleet)


def _freeze_routers(fleet: BeginningFleet) -> None:
    for name in fleet.router_names[::2]:
        fleet.freeze_router(name, _FREEZE_S)
    _slow_down(4)(fleet)


_TROUBLES: dict[str, Callable[[BeginningFleet], None]] = {
    'nothing happens': lambda fleet: None,
    'engines are 4 times slower': _slow_down(4),
    'engines are 8 times slower': _slow_down(8),
    'half of the engines are 8 times slower': _slow_down_half,
    'engines fall silent again and again': _fall_silent_repeatedly,
    'two routers reach slow engines through peers only': _cut_off_routers,
    'half of the routers freeze for 1.8 s': _freeze_routers,
}


@given(
    '{routers:d} routers before {engines:d} engines with queues, which nobody '
    'orders to load'
)
def start_fleet(context: Context, routers: int, engines: int) -> None:
    """Start a fleet, and let it run."""
    context.fleet = BeginningFleet(routers, engines)
    context.fleet.run(_WARM_UP_S)


@given('calls that may run {times}')
def choose_route(context: Context, times: str) -> None:
    """Note whether engines may go on with the calls of others."""
    context.fleet.route = {'again': 'stream', 'only once': 'once'}[times]


@when(
    'new weights are named, and 9 s later {trouble}, while {rate:d} calls a '
    'second come'
)
def play(context: Context, trouble: str, rate: int) -> None:
    """Let calls come until none can begin any more."""
    fleet = context.fleet
    reactor = fleet.network.reactor
    fleet.name_weights(2)
    reactor.callLater(_TROUBLE_AT_S, _TROUBLES[trouble], fleet)
    for number in range(round(_TROUBLE_AT_S * _CALM_RATE)):
        reactor.callLater(number / _CALM_RATE, fleet.begin_call)
    rest_s = PLAYED / 1000 - _TROUBLE_AT_S
    for number in range(round(rest_s * rate)):
        reactor.callLater(_TROUBLE_AT_S + number / rate, fleet.begin_call)
    fleet.run(PLAYED / 1000)


@then('no call has begun later than 12 s after the naming')
def check_beginnings(context: Context) -> None:
    """Guard against calls that were sent in time and begin too late."""
    fleet = context.fleet
    late = fleet.late_runs(in_touch=True)
    oldest = fleet.oldest_beginning()
    assert not late, f'{len(late)} of {len(fleet.runs)}, up to {oldest} ms'
    assert oldest > VERSION_TIME / 2, f'no call after {oldest} ms'


@then('no call that has run was refused as not run')
def check_refusals(context: Context) -> None:
    """Guard against calls that are withdrawn and refused as not run."""
    false_refusals = context.fleet.false_refusals()
    assert not false_refusals, false_refusals
