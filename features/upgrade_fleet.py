"""Engines that restart under their ids with other software, in virtual time."""

import json
from typing import Any

from twisted.internet.protocol import Protocol

from features.rollout_engines import VirtualClock
from features.stating import StartedEntry
from features.version_fleet import EngineProtocol, VersionedEngine, VersionFleet
from yuccagauge.clock import Clock, Millis

#: Wall time at the start of the fleet, in ms.
WALL_TIME = 1_700_000_000_000

_NEW_VERSION = 'v2'

#: Time from the leave of all callers to the end of an engine that nobody
#: notices, and to the reset of its connections, in seconds.
_UNNOTICED_S = 0.005
_RESET_S = 1.5

#: Length of the pause of a router, and time from one to the next, in seconds.
_PAUSE_S = 0.15
_PAUSE_PERIOD_S = 0.08


class _WallClock(VirtualClock):
    """A clock whose wall time is that of the engines."""

    def wall_time(self) -> Millis:
        """Return the wall time."""
        return Millis(WALL_TIME + self.now())


class UpgradedEngine(VersionedEngine):
    """An engine that answers reports, and whose entry follows its start."""

    #: Requests for its report.
    reports = 0

    @property
    def _stated_start(self) -> int:
        """When it started, by its clock, which may be off since a restart."""
        is_off = self._starts > 1
        return WALL_TIME + self._born + is_off * self._fleet.clock_step_ms

    def start(self) -> None:
        """Start the engine, and write its entry some time later."""
        super().start()
        self.later(self._fleet.entry_s, self._write_first_entry)

    def entry_document(self) -> dict[str, Any]:
        """Return what the engine writes to the store."""
        return {**super().entry_document(), 'born': self._stated_start}

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return _ReportingProtocol(self)

    def report(self) -> dict[str, Any]:
        """Return what the engine tells of itself."""
        entry = self.entry_document()
        return {
            'stage': 'colocated',
            'models': entry['models'],
            'born': self._stated_start,
            'busy': False,
            'seq': 0,
            'queued': 0,
            'active': 0,
            'kvUsed': 0,
            'kvTotal': 1,
            'handles': 0,
        }

    def _write_first_entry(self) -> None:
        self._append(self._entry())

    def _entry(self) -> StartedEntry:
        return StartedEntry(*super()._entry(), start=self._starts)

    def _write_entry(self, entry: StartedEntry) -> None:
        """Write what a heartbeat states, if it is not too early or too late."""
        known_from = self._born + round(self._fleet.entry_s * 1000)
        if entry.start == self._starts and self.is_up:
            is_written = self._fleet.clock.now() >= known_from
        else:
            is_written = self._fleet.has_late_entries
        if is_written:
            self._append(entry)

    def _append(self, entry: StartedEntry) -> None:
        self._fleet.store.append_entry(entry.server_id, entry.content)


class _ReportingProtocol(EngineProtocol):
    """A connection to an engine that answers requests for its report."""

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a request for the report, or run the request."""
        if not data.startswith(b'GET /api/report '):
            super().dataReceived(data)
            return
        self._server.reports += 1
        body = json.dumps(self._server.report()).encode()
        self.transport.write(
            b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
            b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
        )


class UpgradeFleet(VersionFleet):
    """Routers before engines that are upgraded one after the other.

    Parameters
    ----------
    entry_s
        Time from the start of an engine to its entry in the store, in seconds.
    seed
        Determines all random choices.
    """

    server_type = UpgradedEngine
    asks_process_names = True

    def __init__(
        self, routers: int, servers: int, entry_s: float, seed: int = 1
    ) -> None:
        """Start a fleet whose engines all have the version ``v1``."""
        self.entry_s = entry_s
        #: Whether entries of an engine that has ended still reach the store.
        self.has_late_entries = False
        self._alternations = 0
        #: By how much the clocks of engines are off that have restarted.
        self.clock_step_ms = 0
        super().__init__(routers, servers, seed)
        self.return_kind = 'as it was'
        self.on_end = self._install

    def router_clock(self, name: str) -> Clock:
        """Return the clock of a new process of a router."""
        return _WallClock(self.network.reactor)

    def alternate_start(self, engine: UpgradedEngine) -> None:
        """Write an entry with another start time than the latest one."""
        document = engine.entry_document()
        self._alternations += 1
        document['born'] -= 1000 * (self._alternations % 2)
        self.store.append_entry(engine.server_id, json.dumps(document).encode())

    def upgrade(self, down_s: float, gap_s: float) -> None:
        """Restart each engine with the new version, one after the other.

        Parameters
        ----------
        down_s
            Time for which each of them is down, in seconds.
        gap_s
            Time from its start to the end of the next one, in seconds.
        """
        self.down_s = down_s
        for number, engine in enumerate(tuple(self.servers)):
            self.network.reactor.callLater(
                number * (down_s + gap_s), engine.end
            )

    def pause_routers(self) -> None:
        """Pause a random router for a moment, again and again."""
        self.has_own_bodies = True
        self.freeze_router(self.random.choice(self.router_names), _PAUSE_S)
        self.network.reactor.callLater(_PAUSE_PERIOD_S, self.pause_routers)

    def upgrade_unnoticed(self, down_s: float) -> None:
        """Restart half of the engines with the new version, uncalled.

        Some time later their connections are reset.
        """
        self.down_s = down_s
        self.has_own_bodies = True
        self.leave()
        reactor = self.network.reactor
        for engine in self.servers[: len(self.servers) // 2]:
            reactor.callLater(_UNNOTICED_S, engine.end)
            reactor.callLater(_RESET_S, engine.reset_connections)

    def _install(self, engine: UpgradedEngine) -> None:
        self.versions[self.servers.index(engine)] = _NEW_VERSION
