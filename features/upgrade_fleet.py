"""Engines that restart under their ids with other software, in virtual time."""

import json
from typing import Any

from twisted.internet.protocol import Protocol

from features.version_fleet import EngineProtocol, VersionedEngine, VersionFleet

_NEW_VERSION = 'v2'


class UpgradedEngine(VersionedEngine):
    """An engine that answers reports, and whose entry follows its start."""

    #: Requests for its report.
    reports = 0

    def start(self) -> None:
        """Start the engine, and write its entry some time later."""
        super().start()
        self.later(self._fleet.entry_s, self._write_first_entry)

    def entry_document(self) -> dict[str, Any]:
        """Return what the engine writes to the store.

        A start time of 0 would count as none.
        """
        return {**super().entry_document(), 'born': self._born + 1}

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return _ReportingProtocol(self)

    def report(self) -> dict[str, Any]:
        """Return what the engine tells of itself."""
        entry = self.entry_document()
        return {
            'stage': 'colocated',
            'models': entry['models'],
            'born': entry['born'],
            'busy': False,
            'seq': 0,
            'queued': 0,
            'active': 0,
            'kvUsed': 0,
            'kvTotal': 1,
            'handles': 0,
        }

    def _write_first_entry(self) -> None:
        self._fleet.store.append_entry(*self._entry())

    def _write_entry(self, entry: tuple[str, bytes]) -> None:
        """Write what a heartbeat states, if it is not too early or too late."""
        known_from = self._born + round(self._fleet.entry_s * 1000)
        is_own = json.loads(entry[1])['born'] > self._born
        if is_own and self.is_up:
            is_written = self._fleet.clock.now() >= known_from
        else:
            is_written = self._fleet.has_late_entries
        if is_written:
            super()._write_entry(entry)


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
    """

    server_type = UpgradedEngine
    asks_start_times = True

    def __init__(self, routers: int, servers: int, entry_s: float) -> None:
        """Start a fleet whose engines all have the version ``v1``."""
        self.entry_s = entry_s
        #: Whether entries of an engine that has ended still reach the store.
        self.has_late_entries = False
        super().__init__(routers, servers)
        self.return_kind = 'as it was'
        self.on_end = self._install

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

    def _install(self, engine: UpgradedEngine) -> None:
        self.versions[self.servers.index(engine)] = _NEW_VERSION
