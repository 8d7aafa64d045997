"""Which backend servers this router reaches directly. No I/O."""

import enum
from collections.abc import Callable, Container
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.journal import log_state_change

#: Mean time between two direct attempts at a server that is not reached.
PROBE_INTERVAL = Millis(500)

#: Mean time between two direct attempts while no call asks for the server. A
#: server that returns meets as many attempts as routers have missed it.
IDLE_PROBE_INTERVAL = Millis(1000)

#: Share by which the time between two probes varies to both sides.
_PROBE_JITTER = 0.3

#: Shortest time between two log lines of one kind about one server.
_LOG_INTERVAL = Millis(1000)


@enum.unique
class Loss(enum.Enum):
    """How a direct attempt failed."""

    #: At once; connections that are open may go on working.
    REFUSED = 'refused'
    #: Nothing was heard; connections that are open may hang.
    TIMED_OUT = 'timed_out'


@dataclass(slots=True, kw_only=True)
class _LostWay:
    """A server that is not reached directly."""

    loss: Loss
    since: Millis
    probe_at: Millis
    #: The peer that carried the latest path.
    peer: str = ''


class DirectReach:
    """Remembers the servers whose last direct attempt failed.

    Load pattern: a partition separates this router from servers that its peers
    reach. Each call would wait for its own attempt to fail, and when the
    partition ends, all calls would try the direct way at the same moment.

    Parameters
    ----------
    random_fraction
        Returns a random number from 0 to 1.
    """

    def __init__(self, random_fraction: Callable[[], float]) -> None:
        """Expect all servers to be reached."""
        self._random_fraction = random_fraction
        self._lost: dict[Endpoint, _LostWay] = {}
        #: When servers that are reached were last checked.
        self._checked_at: dict[Endpoint, Millis] = {}
        #: When each kind of line about each server was last logged.
        self._logged_at: dict[tuple[str, Endpoint], Millis] = {}

    def is_lost(self, server: Endpoint) -> bool:
        """Return whether the last direct attempt failed."""
        return server in self._lost

    @property
    def lost(self) -> tuple[Endpoint, ...]:
        """The servers whose last direct attempt failed."""
        return tuple(self._lost)

    def may_hang(self, server: Endpoint) -> bool:
        """Return whether open connections to a server may hang."""
        lost = self._lost.get(server)
        return lost is not None and lost.loss is Loss.TIMED_OUT

    def record_open(self, server: Endpoint, now: Millis) -> None:
        """Record that a server has accepted a direct connection."""
        lost = self._lost.pop(server, None)
        if lost is not None:
            self._log(
                'direct_way_regained', server, now, lost_ms=now - lost.since
            )

    def record_loss(self, server: Endpoint, loss: Loss, now: Millis) -> None:
        """Record that a direct attempt failed."""
        lost = self._lost.get(server)
        if lost is not None:
            lost.loss = loss
            return
        self._lost[server] = _LostWay(
            loss=loss, since=now, probe_at=self._next_probe(now)
        )
        self._log('direct_way_lost', server, now, cause=loss.value)

    def record_path(self, server: Endpoint, peer: str, now: Millis) -> None:
        """Record that a peer carries a connection to a server."""
        lost = self._lost.get(server)
        if lost is not None and lost.peer != peer:
            lost.peer = peer
            self._log('path_opened', server, now, peer=peer)

    def try_probe(self, server: Endpoint, now: Millis) -> bool:
        """Return whether a direct attempt is due, and plan the next one."""
        lost = self._lost.get(server)
        if lost is None or now < lost.probe_at:
            return False
        lost.probe_at = self._next_probe(now)
        return True

    def take_due_probes(self, now: Millis) -> tuple[Endpoint, ...]:
        """Return the servers that are due for an attempt, and plan the next.

        Load pattern: a partition ends, and a router with few calls would send
        the next one to each server through a peer.
        """
        return tuple(
            server
            for server, lost in self._lost.items()
            if now - lost.probe_at >= IDLE_PROBE_INTERVAL - PROBE_INTERVAL
            and self.try_probe(server, now)
        )

    def try_check(self, server: Endpoint, now: Millis) -> bool:
        """Return whether a direct attempt is due after a broken call."""
        if self.is_lost(server):
            return self.try_probe(server, now)
        checked_at = self._checked_at.get(server)
        if checked_at is not None and now - checked_at < PROBE_INTERVAL:
            return False
        self._checked_at[server] = now
        return True

    def remove_gone(self, servers: Container[Endpoint]) -> None:
        """Forget the servers that are not listed any more."""
        self._lost = {
            server: lost
            for server, lost in self._lost.items()
            if server in servers
        }
        self._checked_at = {
            server: at
            for server, at in self._checked_at.items()
            if server in servers
        }
        self._logged_at = {
            (event, server): at
            for (event, server), at in self._logged_at.items()
            if server in servers
        }

    def _next_probe(self, now: Millis) -> Millis:
        jitter = _PROBE_JITTER * (2 * self._random_fraction() - 1)
        return Millis(now + int(PROBE_INTERVAL * (1 + jitter)))

    def _log(
        self, event: str, server: Endpoint, now: Millis, **fields: object
    ) -> None:
        logged_at = self._logged_at.get((event, server))
        if logged_at is None or now - logged_at >= _LOG_INTERVAL:
            self._logged_at[event, server] = now
            log_state_change(event, server=server, **fields)
