"""Steps for what becomes of calls that leave engines with old weights."""

from collections import Counter
from collections.abc import Callable
from unittest.mock import patch

from behave import given, then, when
from behave.runner import Context

from features.beginning_fleet import PLAYED, BeginningFleet
from features.crash_fleet import router_host
from features.weights_fleet import WeightsCall
from features.withdrawal_engine import WithdrawalEngine
from yuccagauge.relay.attempt import AttemptTracker
from yuccagauge.relay.context import RelayContext
from yuccagauge.relay.report import CallReporter

_WARM_UP_S = 4.5

#: Time from the naming until a call is sent that its engine never begins, and
#: from then on until another engine is there.
_STUCK_AT_S = 9.8
_OTHER_AFTER_S = 0.3

#: Time from the send to the end of the silent engine's connection: after the
#: head of the other engine, and before its first event.
_END_AFTER_S = 1.2

_HEAD_FIRST_S = 1.5
_SLOWNESS = 15.0

#: Time before the limit at which an answer ends: less than the check takes.
_JUST_BEFORE = 80

#: Time from the naming until engines are slow.
_TROUBLE_AT_S = 9.0

_CALM_RATE = 10
_CUT_OFF = 2


class WithdrawalFleet(BeginningFleet):
    """Engines that differ in how they begin, and in what they notice."""

    server_type = WithdrawalEngine

    def newest_ids(self) -> list[tuple[WeightsCall, str]]:
        """Return each call with the id of its newest attempt."""
        return list(
            {id(call): (call, name) for call, name in self._latest_ids}.values()
        )

    def kill_router_silently(self, name: str) -> None:
        """Take the power from a router; nobody is told."""
        self.kills.setdefault(name, []).append(self.clock.now())
        self._reactors.pop(name).end()
        self.network.end_host(router_host(name), silently=True)


def _slow_down(fleet: WithdrawalFleet, factor: float = 4) -> None:
    for engine in fleet.servers:
        engine.slowness = factor


def _keep_closed(fleet: WithdrawalFleet) -> None:
    _slow_down(fleet)
    for engine in fleet.servers:
        engine.keeps_closed = True


def _take_power(fleet: WithdrawalFleet) -> None:
    _slow_down(fleet)

    def act() -> None:
        for name in fleet.router_names[::2]:
            fleet.kill_router_silently(name)

    fleet.network.reactor.callLater(1.3, act)


def _freeze_carriers(fleet: WithdrawalFleet) -> None:
    cut = {router_host(name) for name in fleet.router_names[:_CUT_OFF]}
    engines = {server.host for server in fleet.servers}

    def is_cut(host: str, other: str) -> bool:
        return (host in cut and other in engines) or (
            other in cut and host in engines
        )

    fleet.network.is_cut = is_cut
    _slow_down(fleet, 8)

    def act() -> None:
        for name in fleet.router_names[_CUT_OFF:]:
            fleet.freeze_router(name, 2.5)

    fleet.network.reactor.callLater(1.3, act)


def _pause(
    at_s: float, seconds: float, step: int, factor: float
) -> Callable[[WithdrawalFleet], None]:
    def start(fleet: WithdrawalFleet) -> None:
        _slow_down(fleet, factor)

        def act() -> None:
            for name in fleet.router_names[::step]:
                fleet.freeze_router(name, seconds)

        fleet.network.reactor.callLater(at_s - _TROUBLE_AT_S, act)

    return start


_TROUBLES: dict[str, Callable[[WithdrawalFleet], None]] = {
    'nothing happens': lambda fleet: None,
    'engines are slow': _slow_down,
    'engines are slow, and keep requests of closed connections': _keep_closed,
    'engines are slow, and half of the routers lose power': _take_power,
    'engines are slow, and the peers that reach them freeze': _freeze_carriers,
    'half of the routers freeze for 1.2 s at 11 s': _pause(11.0, 1.2, 2, 4),
    'all routers pause for 0.3 s at 10.9 s': _pause(10.9, 0.3, 1, 1),
}


@given('1 router before 2 engines, and a call that its engine never begins')
def start_stuck_call(context: Context) -> None:
    """Name weights, and send a call to an engine on the old ones."""
    _start_stuck(context, names_weights=True)


@given(
    '1 router before 2 engines, and a call that may run once and that its '
    'engine never begins'
)
def start_stuck_call_once(context: Context) -> None:
    """Name weights, and send a call that no other engine may repeat."""
    _start_stuck(context, names_weights=True, route='once')


@given(
    '1 router before 2 engines with the newest weights, and a call that its '
    'engine never begins'
)
def start_stuck_call_on_newest(context: Context) -> None:
    """Send a call without a bound on its beginning."""
    _start_stuck(context, names_weights=False)


def _start_stuck(
    context: Context, *, names_weights: bool, route: str = 'stream'
) -> None:
    fleet = WithdrawalFleet(1, 2)
    fleet.route = route
    context.fleet = fleet
    context.counts = _count(context)
    fleet.run(_WARM_UP_S)
    for engine in fleet.servers:
        engine.is_stuck = True
    if names_weights:
        fleet.name_weights(2)
    fleet.run(_STUCK_AT_S)
    fleet.begin_call()
    fleet.run(_OTHER_AFTER_S)
    context.stuck = next(each for each in fleet.servers if each.stuck)
    context.other = next(each for each in fleet.servers if not each.stuck)
    context.other.is_stuck = False
    if names_weights:
        context.other.use_weights(2)


@when('the other engine sends its head before, and its first event after {end}')
def send_head_first(context: Context, end: str) -> None:
    """Let the attempt of the silent engine end between the two."""
    fleet = context.fleet
    context.other.head_first_s = _HEAD_FIRST_S
    connection = context.stuck.stuck[0]
    ends: dict[str, Callable[[], None]] = {
        'the limit of the silent one': lambda: None,
        'the silent one resets': connection.reset,
        'the silent one rejects the call': connection.reject_late,
    }
    fleet.network.reactor.callLater(_END_AFTER_S, ends[end])
    fleet.run(5)


@when(
    'the silent engine is to begin after {begin_s:f} s, and the other after '
    '12.2 s'
)
def begin_late(context: Context, begin_s: float) -> None:
    """Let the silent engine begin before the other one."""
    context.other.slowness = _SLOWNESS
    delay_s = begin_s - _STUCK_AT_S - _OTHER_AFTER_S
    connection = context.stuck.stuck[0]
    context.fleet.network.reactor.callLater(delay_s, connection.begin_late)
    context.fleet.run(5)


@when('the silent engine ends its answer without events just before the limit')
def end_before_limit(context: Context) -> None:
    """Let the limit pass while the router checks if the engine lives."""
    fleet = context.fleet
    running = fleet.router('router0')._context.running_calls  # noqa: SLF001
    call = next(iter(running.values()))
    while call._attempt.time_to_begin > _JUST_BEFORE:  # noqa: SLF001
        fleet.run(0.01)
    context.stuck.stuck[0].end_without_events()
    fleet.run(0.01)
    fleet.network.silent_hosts.add(context.stuck.host)
    fleet.run(3)


@then('the call is neither refused as not run nor sent to the other engine')
def check_refusal(context: Context) -> None:
    """Guard against second runs of calls whose answer has ended."""
    fleet = context.fleet
    assert not fleet.false_refusals(), fleet.calls
    assert context.counts['sent'] == 1, context.counts


@then('the call has its whole answer')
def check_answer(context: Context) -> None:
    """Guard against answers that lose what was withheld."""
    call = context.fleet.calls[0]
    assert call.is_served, call


@then('the silent engine is blamed for nothing')
def check_blame(context: Context) -> None:
    """Guard against engines that pay for a call that left them in time."""
    router = context.fleet.router('router0')
    load = router._selector.load_of(context.stuck.server_id)  # noqa: SLF001
    counts = context.counts
    assert not counts[f'crash at {context.stuck.server_id}'], counts
    assert not load.failure_rate(router._clock.now()), load  # noqa: SLF001


@given('5 routers before 6 engines of which none loads')
def start_fleet(context: Context) -> None:
    """Start a fleet, and let it run."""
    context.fleet = WithdrawalFleet(5, 6)
    context.counts = _count(context)
    context.fleet.run(_WARM_UP_S)


@when(
    'weights are named, and 9 s later {trouble}, while {rate:d} calls a second '
    'come by "{route}"'
)
def play(context: Context, trouble: str, rate: int, route: str) -> None:
    """Let calls come until none can begin any more."""
    fleet = context.fleet
    fleet.route = route
    reactor = fleet.network.reactor
    fleet.name_weights(2)
    reactor.callLater(_TROUBLE_AT_S, _TROUBLES[trouble], fleet)
    for number in range(round(_TROUBLE_AT_S * _CALM_RATE)):
        reactor.callLater(number / _CALM_RATE, fleet.begin_call)
    for number in range(round((PLAYED / 1000 - _TROUBLE_AT_S) * rate)):
        reactor.callLater(_TROUBLE_AT_S + number / rate, fleet.begin_call)
    fleet.run(PLAYED / 1000)


@then('no engine has begun a call later than 12 s after the naming')
def check_beginnings(context: Context) -> None:
    """Guard against calls that begin though their router gave them up."""
    fleet = context.fleet
    late = fleet.late_runs(in_touch=False)
    oldest = fleet.oldest_beginning()
    assert not late, f'{len(late)} of {len(fleet.runs)}, up to {oldest} ms'


@then('at most {most:d} calls that an engine has begun in time were broken off')
def check_broken_off(context: Context, most: int) -> None:
    """Guard against answers that wait in the router's own socket."""
    fleet = context.fleet
    broken = [
        name
        for call, name in fleet.newest_ids()
        if not call.is_served and name in fleet.begun
    ]
    assert len(broken) <= most, f'{len(broken)} of {len(fleet.runs)}'


@then('no retry was spent on a call that was not sent again')
def check_retries(context: Context) -> None:
    """Guard against a budget that is gone when engines have new weights."""
    counts = context.counts
    sent_again = counts['sent'] - counts['calls']
    assert counts['spent'] <= sent_again, (sent_again, counts)


def _count(context: Context) -> Counter[str]:
    """Count sends, calls that were sent, retries and possible crashes."""
    counts: Counter[str] = Counter()
    sent: set[int] = set()
    spend = RelayContext.try_spend_retry
    return_spent = RelayContext.return_retry
    send = CallReporter.record_send

    def try_spend_retry(self: RelayContext, service: str) -> bool:
        is_spent = spend(self, service)
        counts['spent'] += is_spent
        return is_spent

    def return_retry(self: RelayContext, service: str) -> None:
        counts['spent'] -= 1
        return_spent(self, service)

    def record_send(self: CallReporter, decision: object) -> None:
        counts['sent'] += 1
        counts['calls'] += id(self) not in sent
        sent.add(id(self))
        context.reporters.append(self)
        send(self, decision)

    def record_crash(self: AttemptTracker) -> None:
        counts[f'crash at {self.placement.server.server_id}'] += 1

    context.reporters = []
    for target, name, replacement in (
        (RelayContext, 'try_spend_retry', try_spend_retry),
        (RelayContext, 'return_retry', return_retry),
        (CallReporter, 'record_send', record_send),
        (AttemptTracker, '_record_possible_crash', record_crash),
    ):
        patcher = patch.object(target, name, replacement)
        patcher.start()
        context.add_cleanup(patcher.stop)
    return counts
