"""Faults of routers and of their links to the log."""

import signal

from twisted.internet import defer

from yuccagauge.demo.processes import ManagedProcess
from yuccagauge.soak.base import FAULTS, Fault, SoakFleet


class RouterFault(Fault):
    """A fault of one router."""

    @classmethod
    def targets(cls, fleet: SoakFleet) -> tuple[str, ...]:
        """Return all routers."""
        return tuple(fleet.routers)

    @property
    def router(self) -> ManagedProcess:
        """The process that is hit."""
        return self._fleet.routers[self._target]


@FAULTS.register
class RouterKill(RouterFault):
    """SIGKILL, and a restart."""

    name = 'router-kill'
    weight = 3

    def begin(self) -> defer.Deferred[None]:
        """Kill the router."""
        self.router.send_signal(signal.SIGKILL)
        return self.router.ended

    def end(self) -> None:
        """Start it again."""
        self.router.start()


@FAULTS.register
class RouterRestart(RouterFault):
    """SIGTERM, and a restart after the graceful end."""

    name = 'router-restart'
    weight = 2

    def begin(self) -> defer.Deferred[None]:
        """End the router."""
        return self.router.close()

    def end(self) -> None:
        """Start it again."""
        self.router.start()


@FAULTS.register
class RouterPause(RouterFault):
    """SIGSTOP and SIGCONT."""

    name = 'router-pause'
    weight = 3

    def begin(self) -> None:
        """Stop the process."""
        self.router.send_signal(signal.SIGSTOP)

    def end(self) -> None:
        """Let it go on."""
        self.router.send_signal(signal.SIGCONT)


@FAULTS.register
class RouterPartition(RouterFault):
    """The links from one router to the platform are lost."""

    name = 'router-partition'
    weight = 3

    def begin(self) -> None:
        """Cut the links."""
        for router in self._target.split(','):
            for relay in self._fleet.relays[router]:
                relay.cut()

    def end(self) -> None:
        """Heal the links."""
        for router in self._target.split(','):
            for relay in self._fleet.relays[router]:
                relay.heal()


@FAULTS.register
class CentrePartition(RouterPartition):
    """All routers of a data centre are cut off from the platform."""

    name = 'centre-partition'
    weight = 2

    @classmethod
    def targets(cls, fleet: SoakFleet) -> tuple[str, ...]:
        """Return the routers of each data centre as one target."""
        centres: dict[str, list[str]] = {}
        for ports in fleet.ports:
            centres.setdefault(ports.data_centre, []).append(ports.name)
        return tuple(','.join(names) for names in centres.values())


@FAULTS.register
class AllRoutersKill(Fault):
    """All routers are killed at once."""

    name = 'all-routers-kill'

    @classmethod
    def targets(cls, fleet: SoakFleet) -> tuple[str, ...]:
        """Return all routers, as one target."""
        return (','.join(fleet.routers),)

    def begin(self) -> defer.Deferred[object]:
        """Kill them."""
        routers = tuple(self._fleet.routers.values())
        for router in routers:
            router.send_signal(signal.SIGKILL)
        return defer.gatherResults([one.ended for one in routers])

    def end(self) -> None:
        """Start them again."""
        for router in self._fleet.routers.values():
            router.start()
