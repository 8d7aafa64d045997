"""Servers that restart before routers notice their end."""

import signal

from twisted.internet import defer

from yuccagauge.clock import Millis
from yuccagauge.demo.processes import StandinProcess
from yuccagauge.soak.base import FAULTS, Fault, SoakFleet
from yuccagauge.standins.base import pause

#: From the crash of a server to its restart.
_RESTART = Millis(100)
#: How long the routers are paused, which covers the restart.
_PAUSE = Millis(600)


@FAULTS.register
class ServersRestart(Fault):
    """Plain services restart amid answers without a length.

    All routers are paused meanwhile, so that each sees the end of an answer
    only when its server accepts connections again.
    """

    name = 'servers-restart'
    weight = 2

    @property
    def _servers(self) -> tuple[StandinProcess, ...]:
        return self._fleet.part('servers')

    @classmethod
    def targets(cls, fleet: SoakFleet) -> tuple[str, ...]:
        """Return all routers and plain services, as one target."""
        servers = [one.name for one in fleet.part('servers')]
        return (','.join((*fleet.routers, *servers)),)

    def begin(self) -> defer.Deferred[object]:
        """Let no answer have a length or chunks."""
        return self._set_faults(unframed=1)

    @defer.inlineCallbacks
    def end(self) -> defer.Deferred[None]:
        """Restart the servers while the routers are paused."""
        self._send_signal(signal.SIGSTOP)
        yield self._set_faults(
            crash=True, crash_resets=False, restart_ms=_RESTART
        )
        yield pause(_PAUSE)
        self._send_signal(signal.SIGCONT)
        yield self._set_faults(
            unframed=None, crash_resets=None, restart_ms=None
        )

    def _set_faults(self, **knobs: object) -> defer.Deferred[object]:
        return defer.gatherResults(
            [self._fleet.set_faults(one, **knobs) for one in self._servers]
        )

    def _send_signal(self, number: signal.Signals) -> None:
        for router in self._fleet.routers.values():
            router.send_signal(number)
