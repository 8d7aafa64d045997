"""Faults of backend servers and of the log, by their knobs and signals."""

import signal
from typing import Any, ClassVar

from twisted.internet import defer

from yuccagauge.demo.processes import StandinProcess
from yuccagauge.soak.base import FAULTS, Fault, SoakFleet


class StandinFault(Fault):
    """A fault of one stand-in, set by knobs and restored to defaults."""

    knobs: ClassVar[dict[str, Any]] = {}
    #: Kinds of stand-ins that it may hit: their part of the fleet.
    part: ClassVar[str] = ''

    @classmethod
    def targets(cls, fleet: SoakFleet) -> tuple[str, ...]:
        """Return the stand-ins of the part."""
        return tuple(one.name for one in fleet.part(cls.part))

    @property
    def standin(self) -> StandinProcess:
        """The process that is hit."""
        for one in self._fleet.part(self.part):
            if one.name == self._target:
                return one
        raise KeyError(self._target)

    def begin(self) -> defer.Deferred[bool] | None:
        """Set the knobs."""
        return self._fleet.set_faults(self.standin, **self.knobs)

    def end(self) -> defer.Deferred[bool] | None:
        """Restore the knobs."""
        return self._fleet.set_faults(
            self.standin,
            **dict.fromkeys(self.knobs),
        )


class PauseFault(StandinFault):
    """SIGSTOP and SIGCONT."""

    def begin(self) -> None:
        """Stop the process."""
        self.standin.send_signal(signal.SIGSTOP)

    def end(self) -> None:
        """Let it go on."""
        self.standin.send_signal(signal.SIGCONT)


class CrashFault(StandinFault):
    """A crash that loses all state but the records."""

    knobs: ClassVar[dict[str, Any]] = {'crash': True, 'restart_ms': 250}

    def end(self) -> None:
        """Do nothing: the stand-in comes back by itself."""


@FAULTS.register
class EngineCrash(CrashFault):
    """An engine crashes."""

    name = 'engine-crash'
    weight = 3
    part = 'engines'


@FAULTS.register
class EnginePause(PauseFault):
    """An engine is paused."""

    name = 'engine-pause'
    weight = 2
    part = 'engines'


@FAULTS.register
class EngineCut(StandinFault):
    """An engine cuts connections in the middle of a stream."""

    name = 'engine-cut'
    weight = 2
    part = 'engines'
    knobs: ClassVar[dict[str, Any]] = {'cut_after_events': 3}


@FAULTS.register
class EngineStall(StandinFault):
    """An engine stops sending in the middle of a stream."""

    name = 'engine-stall'
    part = 'engines'
    knobs: ClassVar[dict[str, Any]] = {'stall_after_events': 4}


@FAULTS.register
class EngineRefusal(StandinFault):
    """An engine answers that it has not run a request."""

    name = 'engine-not-run'
    part = 'engines'
    knobs: ClassVar[dict[str, Any]] = {'not_run': True}


@FAULTS.register
class EngineEvents(StandinFault):
    """An engine loses half of its cache events and reports old load."""

    name = 'engine-events'
    part = 'engines'
    knobs: ClassVar[dict[str, Any]] = {
        'event_loss': 0.5,
        'event_delay_ms': 500,
        'load_lag_ms': 1500,
    }


@FAULTS.register
class ServerCrash(CrashFault):
    """A plain service crashes."""

    name = 'server-crash'
    weight = 2
    part = 'servers'


@FAULTS.register
class ServerPause(PauseFault):
    """A plain service is paused."""

    name = 'server-pause'
    weight = 2
    part = 'servers'


@FAULTS.register
class ServerCut(StandinFault):
    """A plain service executes calls without answering."""

    name = 'server-cut'
    weight = 2
    part = 'servers'
    knobs: ClassVar[dict[str, Any]] = {'cut_before_answer': 0.6}


@FAULTS.register
class ServerRefusedPort(StandinFault):
    """A plain service closes its port for a while."""

    name = 'server-refused'
    part = 'servers'
    knobs: ClassVar[dict[str, Any]] = {'refuse_connections': 700}

    def end(self) -> None:
        """Do nothing: the port opens by itself."""


@FAULTS.register
class LogOutage(StandinFault):
    """The log answers 503."""

    name = 'log-outage'
    weight = 2
    part = 'log'
    knobs: ClassVar[dict[str, Any]] = {'outage': True}


@FAULTS.register
class LogLostAnswers(StandinFault):
    """The log loses answers to appends that took effect."""

    name = 'log-lost-answers'
    weight = 3
    part = 'log'
    knobs: ClassVar[dict[str, Any]] = {'lose_answers': 0.5}


@FAULTS.register
class LogDelay(StandinFault):
    """The log is slow."""

    name = 'log-delay'
    weight = 2
    part = 'log'
    knobs: ClassVar[dict[str, Any]] = {'delay_ms': 400}


@FAULTS.register
class LogPause(PauseFault):
    """The log is paused."""

    name = 'log-pause'
    part = 'log'
