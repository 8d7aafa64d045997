"""Simulation of routers that look for a prompt part that crashes engines.

Time passes in steps. Engines, requests and exchanges are as simple as the
evidence allows: an engine begins to answer after a fixed time, and crashes if
the prompt has a guilty part.
"""

import random
from dataclasses import dataclass, field

from yuccagauge.clock import Millis
from yuccagauge.quarantine.evidence import PartCrash
from yuccagauge.quarantine.parts import SOUND_OUTPUT_TIME, PartQuarantine

_STEP = Millis(10)
_WARM_UP = Millis(6000)
_DURATION = Millis(24_000)
_FIRST_OUTPUT = Millis(150)
_ANSWER = Millis(550)
_DOWN = Millis(3200)
_EXCHANGE_PERIOD = Millis(250)
_PARTNERS = 2
_EVIDENCE_LIMIT = 24
_REQUESTS_PER_SECOND = 30
_FIRST_PARTS = 4
_SECOND_PARTS = 240
_STABLE_TIME = Millis(3000)


@dataclass(frozen=True, slots=True, kw_only=True)
class PartWorkload:
    """The setting of one simulation."""

    routers: int = 8
    engines: int = 5
    guilty_parts: int = 1
    #: Share of the requests that have a guilty part.
    guilty_share: float = 0.05
    #: Time between two crashes that no request causes; 0 for none.
    other_crash_period: Millis = Millis(0)


@dataclass(slots=True)
class PartOutcome:
    """What happened in one simulation."""

    #: Crashes by guilty requests.
    crashes: int = 0
    #: Guilty requests sent later than the allowed time after the fifth crash.
    late_sends: int = 0
    sound: int = 0
    #: Sound requests that were refused.
    refused: int = 0


@dataclass(slots=True)
class _Run:
    router: int
    parts: tuple[str, ...]
    request: str
    sent_at: Millis
    is_guilty: bool


@dataclass(slots=True)
class _Engine:
    starts: int = 0
    returns_at: Millis = Millis(0)
    runs: list[_Run] = field(default_factory=list)


class PartSimulation:
    """Simulates routers before engines, some of whose requests are guilty.

    Parameters
    ----------
    workload
        The setting.
    seed
        Determines all random choices.
    """

    def __init__(self, workload: PartWorkload, seed: int) -> None:
        """Start with idle engines."""
        self._workload = workload
        self._random = random.Random(seed)
        self._routers = [PartQuarantine() for _ in range(workload.routers)]
        self._engines = [_Engine() for _ in range(workload.engines)]
        self._crashed_at: list[Millis] = []
        self._requests = 0
        self._outcome = PartOutcome()

    def run(self) -> PartOutcome:
        """Pass the time of the simulation."""
        for now in range(0, _DURATION, _STEP):
            self._step(Millis(now))
        return self._outcome

    def _step(self, now: Millis) -> None:
        period = self._workload.other_crash_period
        if period and now % period == 0:
            self._crash(self._random.choice(self._engines), now)
        if self._random.random() < _REQUESTS_PER_SECOND * _STEP / 1000:
            self._send(now)
        for engine in self._engines:
            self._answer(engine, now)
        if now % _EXCHANGE_PERIOD == 0:
            self._exchange(now)

    def _send(self, now: Millis) -> None:
        draw = self._random
        parts = [
            f'f{draw.randrange(_FIRST_PARTS)}',
            f's{draw.randrange(_SECOND_PARTS)}',
        ]
        is_guilty = now >= _WARM_UP and (
            draw.random() < self._workload.guilty_share
        )
        if is_guilty:
            parts.append(f'bad{draw.randrange(self._workload.guilty_parts)}')
        number = draw.randrange(len(self._routers))
        router = self._routers[number]
        self._outcome.sound += not is_guilty
        is_blamed = router.blamed_part(parts, now) is not None
        if is_blamed and not router.try_probe(parts, now):
            self._outcome.refused += not is_guilty
            return
        live = [each for each in self._engines if now >= each.returns_at]
        if not live:
            return
        if is_guilty and len(self._crashed_at) >= 5:
            limit = self._crashed_at[4] + _STABLE_TIME
            self._outcome.late_sends += now > limit
        self._requests += 1
        run = _Run(number, tuple(parts), f'r{self._requests}', now, is_guilty)
        draw.choice(live).runs.append(run)

    def _answer(self, engine: _Engine, now: Millis) -> None:
        for run in tuple(engine.runs):
            age = now - run.sent_at
            if run.is_guilty and age >= _FIRST_OUTPUT:
                self._outcome.crashes += 1
                self._crashed_at.append(now)
                self._crash(engine, now)
                return
            if age >= _ANSWER:
                engine.runs.remove(run)
                began_at = Millis(run.sent_at + _FIRST_OUTPUT)
                self._routers[run.router].record_sound(run.parts, began_at, now)

    def _crash(self, engine: _Engine, now: Millis) -> None:
        crash = f'{self._engines.index(engine)}/{engine.starts}'
        for run in engine.runs:
            output_time = now - run.sent_at - _FIRST_OUTPUT
            if output_time < SOUND_OUTPUT_TIME:
                self._routers[run.router].record_crash(
                    run.parts,
                    PartCrash(
                        crash=crash,
                        request=run.request,
                        sent_at=run.sent_at,
                        noticed_at=now,
                    ),
                    now,
                )
        engine.runs.clear()
        engine.starts += 1
        engine.returns_at = Millis(now + _DOWN)

    def _exchange(self, now: Millis) -> None:
        for router in self._routers:
            partners = self._random.sample(
                self._routers, min(_PARTNERS, len(self._routers))
            )
            for partner in partners:
                if partner is not router:
                    sent = router.evidence(_EVIDENCE_LIMIT, now)
                    answer = partner.evidence(_EVIDENCE_LIMIT, now)
                    partner.merge(sent, now)
                    router.merge(answer, now)
