"""Steps that send prompts with a part that crashes engines to routers."""

import random

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import router_host
from features.engine_fleet import DEADLY_PART, EngineFleet, SimulatedEngine
from features.steps.crash_fleet_steps import Disturbance, disturbances
from yuccagauge.clock import Millis

#: Time for which prompts come before the guilty part does, in seconds.
_WARM_UP_S = 6.0

#: Time between two prompts, in seconds.
_PROMPT_PERIOD_S = 0.05

#: Time after the fifth crash within which requests do not count, and the number
#: that is allowed later; both are the users'.
_MARGIN = Millis(3000)
_ALLOWED_SENDS = 3

#: Share of the usual rate at which sound prompts are begun, by the users.
_SOUND_SHARE = 0.5

#: Prompts from which on a share is judged, by the users.
_MINIMUM_PROMPTS = 20

#: Time from the first output of an engine to the pause of its reader, and the
#: time for which it reads nothing, in seconds.
_READ_S = 0.003
_PAUSE_S = 0.7

_GUILTY_PART = 'bad'
_FIRST_PARTS = 4
_SECOND_PARTS = 60


@disturbances.register
class EndEnginesSilently(Disturbance):
    """Engines that lose power, so that no connection is reset."""

    name = 'engines that end silently'

    def disturb(self, fleet: EngineFleet) -> None:
        """Send no resets."""
        fleet.ends_silently = True


@disturbances.register
class ResetEnginesInTurn(Disturbance):
    """Engines that live on, of which one resets its connections each second."""

    name = 'engines that reset all connections in turn'

    def disturb(self, fleet: EngineFleet) -> None:
        """Schedule the resets."""
        reactor = fleet.network.reactor

        def reset(number: int) -> None:
            fleet.servers[number % len(fleet.servers)].reset_connections()
            reactor.callLater(1, reset, number + 1)

        reactor.callLater(_WARM_UP_S, reset, 0)


@disturbances.register
class ResetAllEngines(Disturbance):
    """Engines that live on and all reset their connections at once."""

    name = 'engines that reset all connections at once'

    def disturb(self, fleet: EngineFleet) -> None:
        """Schedule a reset every 5 s."""
        reactor = fleet.network.reactor

        def reset() -> None:
            for engine in fleet.servers:
                engine.reset_connections()
            reactor.callLater(5, reset)

        reactor.callLater(_WARM_UP_S, reset)


@disturbances.register
class CrashEngines(Disturbance):
    """Engines of which one crashes every two seconds, whatever it runs."""

    name = 'engines that crash by themselves'

    def disturb(self, fleet: EngineFleet) -> None:
        """Schedule the crashes."""
        reactor = fleet.network.reactor

        def crash() -> None:
            fleet.random.choice(fleet.servers).end()
            reactor.callLater(2, crash)

        reactor.callLater(_WARM_UP_S, crash)


@disturbances.register
class PauseReaders(Disturbance):
    """Routers that are paused while an engine crashes under their call."""

    name = 'routers that pause as engines crash'

    def disturb(self, fleet: EngineFleet) -> None:
        """Pause the reader of the answer between its first and last bytes."""
        names = {router_host(name): name for name in fleet.router_names}

        def pause(engine: SimulatedEngine, reader: str) -> None:
            engine.later(
                _READ_S, lambda: fleet.freeze_router(names[reader], _PAUSE_S)
            )

        fleet.on_crash = pause


@disturbances.register
class DelayLastBytes(Disturbance):
    """Links on which the last bytes of an engine that crashes come late."""

    name = 'links that hold the last bytes of engines'

    def disturb(self, fleet: EngineFleet) -> None:
        """Cut the link between the first and the last bytes of the answer."""
        cut: set[tuple[str, str]] = set()
        fleet.network.is_cut = lambda host, other: bool(
            cut.intersection({(host, other), (other, host)})
        )

        def hold(engine: SimulatedEngine, reader: str) -> None:
            link = engine.host, reader
            engine.later(_READ_S, lambda: cut.add(link))
            fleet.network.reactor.callLater(_PAUSE_S, cut.discard, link)

        fleet.on_crash = hold


@given(
    '{routers:d} routers before {engines:d} engines, disturbed by {disturbance}'
)
def start_fleet(
    context: Context, routers: int, engines: int, disturbance: str
) -> None:
    """Start a fleet and let it run."""
    context.fleet = EngineFleet(routers, engines)
    disturbances.get(disturbance)().disturb(context.fleet)
    context.fleet.run(_WARM_UP_S)
    _send_prompts(context.fleet, _WARM_UP_S)


@when(
    'prompts come for {seconds:d} s, and {percent:d} % of them have a part that '
    'crashes engines'
)
def send_guilty_prompts(context: Context, seconds: int, percent: int) -> None:
    """Send prompts that share customer and other parts with sound ones."""
    context.fleet.guilty_parts.add(_GUILTY_PART)
    _send_prompts(context.fleet, seconds, percent / 100)


@when(
    'prompts come for {seconds:d} s, and one of them crashes engines again '
    'and again'
)
def repeat_deadly_prompt(context: Context, seconds: int) -> None:
    """Send the same prompt, which shares its parts with others."""
    fleet = context.fleet
    context.deadly_parts = ('f0', 's0')
    for _ in range(seconds):
        fleet.send_prompt(*context.deadly_parts, own_part=DEADLY_PART)
        _send_prompts(fleet, 1)


@then(
    'this prompt reaches engines at most 3 times later than 3 s after the third '
    'crash'
)
def check_deadly(context: Context) -> None:
    """Guard against a request that ends one engine after the other."""
    fleet = context.fleet
    late = [
        at
        for at, request_id in fleet.arrivals
        if at > fleet.ends[2] + _MARGIN
        and fleet.prompts[request_id].own_part == DEADLY_PART
    ]
    assert len(late) <= _ALLOWED_SENDS, (late, fleet.ends)


@then('prompts that share all its other parts are answered')
def check_companions(context: Context) -> None:
    """Guard against parts that one request accuses."""
    fleet = context.fleet
    first = len(fleet.prompts) + 1
    for _ in range(_MINIMUM_PROMPTS):
        fleet.send_prompt(*context.deadly_parts)
        fleet.run(_PROMPT_PERIOD_S)
    fleet.run(1)
    answered = sum(
        f'c{first + number}' in fleet.begun
        for number in range(_MINIMUM_PROMPTS)
    )
    assert answered == _MINIMUM_PROMPTS, answered


@then('sound prompts are begun at least half as often as before')
def check_sound_without_guilty(context: Context) -> None:
    """Guard against sound requests that are kept away for other faults."""
    fleet = context.fleet
    begin = Millis(2 * _WARM_UP_S * 1000)
    share = _share_begun(fleet, begin, fleet.clock.now())
    assert share >= _SOUND_SHARE, share


@then(
    'requests with the part reach engines at most 3 times later than 3 s after '
    'the fifth crash'
)
def check_guilty(context: Context) -> None:
    """Guard against a part that ends one engine after the other."""
    fleet = context.fleet
    late = fleet.guilty_sends_after_fifth_crash(_MARGIN)
    assert late <= _ALLOWED_SENDS, (
        f'{late} requests later than {_MARGIN} ms after the fifth crash, '
        f'{len(fleet.ends)} crashes in all'
    )


@then(
    'sound prompts with the same first part or customer are begun at least half '
    'as often as before'
)
def check_sound(context: Context) -> None:
    """Guard against sound requests that are kept away with guilty ones."""
    fleet = context.fleet
    last_counted = fleet.ends[:5][-1]
    before = _share_begun(fleet, Millis(0), fleet.ends[0])
    later = _share_begun(
        fleet, Millis(last_counted + 2 * _MARGIN), fleet.clock.now()
    )
    assert later >= _SOUND_SHARE * before, (before, later, len(fleet.ends))


def _share_begun(fleet: EngineFleet, begin: Millis, end: Millis) -> float:
    """Return the share of sound prompts of a time that engines began."""
    sound = [
        request_id
        for request_id, prompt in fleet.prompts.items()
        if begin <= prompt.at < end - 1000 and not prompt.is_guilty
    ]
    assert len(sound) >= _MINIMUM_PROMPTS, len(sound)
    return sum(map(fleet.begun.__contains__, sound)) / len(sound)


def _send_prompts(
    fleet: EngineFleet, seconds: float, guilty_share: float = 0
) -> None:
    choices: random.Random = fleet.random
    for _ in range(int(seconds / _PROMPT_PERIOD_S)):
        parts = [
            f'f{choices.randrange(_FIRST_PARTS)}',
            f's{choices.randrange(_SECOND_PARTS)}',
        ]
        if choices.random() < guilty_share:
            parts.append(_GUILTY_PART)
        fleet.send_prompt(*parts)
        fleet.run(_PROMPT_PERIOD_S)
