"""The faults that a workload may name."""

import abc
import functools
from typing import TYPE_CHECKING, ClassVar

from yuccagauge.bench.workload import FaultSection
from yuccagauge.errors import NotFoundError
from yuccagauge.registry import Registry

if TYPE_CHECKING:
    from yuccagauge.bench.simulation import Simulation

#: Time in which a restarting router is down, in ms.
ROUTER_RESTART_MS = 1000.0

#: Age of the VM list when a router reads it, in ms.
VM_LIST_LAG_MS = 2000.0


class FaultNotFoundError(NotFoundError):
    """No kind of fault has this name."""


class Fault(abc.ABC):
    """Something that breaks at one time and is whole again later.

    Parameters
    ----------
    simulation
        The run that it breaks.
    section
        Its settings.
    """

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()

    def __init__(
        self,
        simulation: 'Simulation',
        section: FaultSection,
    ) -> None:
        """Keep what it acts on."""
        self._simulation = simulation
        self._fleet = simulation.fleet
        self._section = section

    @abc.abstractmethod
    def begin(self) -> None:
        """Break it."""

    @abc.abstractmethod
    def end(self) -> None:
        """Remove the cause."""


#: All kinds of fault by name.
fault_kinds: Registry[type[Fault]] = Registry(
    'kind of fault',
    FaultNotFoundError,
)


def schedule_faults(simulation: 'Simulation') -> None:
    """Schedule all faults of the workload of a run.

    Raises
    ------
    FaultNotFoundError
        If the workload names an unknown kind.
    """
    loop = simulation.fleet.loop
    for section in simulation.fleet.workload.faults.values():
        fault = fault_kinds.get(section.kind)(simulation, section)
        loop.at(section.at_ms, fault.begin)
        loop.at(section.at_ms + section.duration_ms, fault.end)


@fault_kinds.register
class EngineCrash(Fault):
    """Engines crash, and come back empty at the end."""

    name = 'engine-crash'

    def begin(self) -> None:
        """Crash them."""
        for engine in self._fleet.all_engines[: self._section.count]:
            engine.crash()

    def end(self) -> None:
        """Start them again."""
        for engine in self._fleet.all_engines[: self._section.count]:
            engine.restart()


@fault_kinds.register
class RouterRestart(Fault):
    """Routers restart within the duration, and lose all their state."""

    name = 'router-restart'

    def begin(self) -> None:
        """Stop them all at the same time."""
        for router in self._simulation.routers[: self._section.count]:
            self._simulation.stop_router(router)

    def end(self) -> None:
        """Start them all at the same time."""
        for router in self._simulation.routers[: self._section.count]:
            self._simulation.start_router(router)


@fault_kinds.register
class HotShift(Fault):
    """A new prefix draws a share of the sessions; part of the trace."""

    name = 'hot-shift'

    def begin(self) -> None:
        """Do nothing: the trace has it."""

    def end(self) -> None:
        """Do nothing: the trace has it."""


@fault_kinds.register
class EventLoss(Fault):
    """A share of the cache events is lost."""

    name = 'event-loss'

    def begin(self) -> None:
        """Lose them."""
        self._fleet.event_loss = self._section.share

    def end(self) -> None:
        """Lose no more than before."""
        self._fleet.event_loss = self._fleet.workload.signals.event_loss


@fault_kinds.register
class LogOutage(Fault):
    """The log takes and gives nothing; a change is published meanwhile."""

    name = 'log-outage'

    def begin(self) -> None:
        """Start the outage, and try to publish in the middle of it."""
        self._fleet.log.is_out = True
        self._fleet.loop.after(self._section.duration_ms / 2, self._publish)

    def end(self) -> None:
        """End the outage."""
        self._fleet.log.is_out = False

    def _publish(self) -> None:
        if not self._fleet.log.publish(self._fleet.loop.now):
            self._fleet.measures.events['publications_deferred'] += 1
            self._fleet.loop.after(1000, self._publish)


@fault_kinds.register
class Partition(Fault):
    """Data centres are cut off from the others and from the platform."""

    name = 'partition'

    def begin(self) -> None:
        """Cut them off."""
        names = self._fleet.workload.workload.data_centres
        self._fleet.cut_off.update(names[: self._section.count])

    def end(self) -> None:
        """Join them again."""
        self._fleet.cut_off.clear()


@fault_kinds.register
class LeavingVms(Fault):
    """Engines leave in order, and new ones come at the end."""

    name = 'leaving'

    def begin(self) -> None:
        """Announce it in the VM list, which lags."""
        for engine in self._fleet.all_engines[: self._section.count]:
            engine.is_leaving = True
        self._set_leaving(is_leaving=True)

    def end(self) -> None:
        """Start new engines at the same addresses."""
        for engine in self._fleet.all_engines[: self._section.count]:
            engine.crash()
            engine.restart()
        self._set_leaving(is_leaving=False)

    def _set_leaving(self, *, is_leaving: bool) -> None:
        for router in self._simulation.routers:
            for engine in self._fleet.all_engines[: self._section.count]:
                self._fleet.loop.after(
                    VM_LIST_LAG_MS,
                    functools.partial(
                        router.set_leaving,
                        engine.key,
                        is_leaving=is_leaving,
                    ),
                )
