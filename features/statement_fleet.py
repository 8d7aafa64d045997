"""Engines that state when they started in some places or in none.

Everything runs in virtual time.
"""

import json
import re
from dataclasses import replace
from typing import Any

from twisted.internet.protocol import Protocol

from features.upgrade_fleet import UpgradedEngine, UpgradeFleet
from yuccagauge.platform.engines import PlatformEngineClient
from yuccagauge.relay.adapter import PlatformAdapter

#: How a poll for cache events begins, and the header with its longest wait.
_POLL = b'GET /api/kv-events'
_WAIT = re.compile(rb'wait-ms: (\d+)', re.IGNORECASE)

#: The places in which engines state their start, by the words of a feature.
_PLACES = {
    'the entry and the report': frozenset(('entry', 'report')),
    'the entry': frozenset(('entry',)),
    'the report': frozenset(('report',)),
    'no place': frozenset(),
}


class StatingEngine(UpgradedEngine):
    """An engine that states its start where its fleet says."""

    def entry_document(self) -> dict[str, Any]:
        """Return what the engine writes to the store."""
        return self._stated('entry', super().entry_document())

    def report(self) -> dict[str, Any]:
        """Return what the engine tells of itself."""
        return self._stated('report', super().report())

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return _PolledProtocol(self, super().build_protocol())

    def poll_answer(self) -> bytes:
        """Return the answer to a poll for cache events."""
        if not self._fleet.has_cache_events:
            return b'HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n'
        document = {
            'bootEpoch': 1000 * self._number + self._starts,
            'next': 0,
            'lost': False,
            'events': [],
        }
        body = json.dumps(document).encode()
        return b'HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n%b' % (
            len(body),
            body,
        )

    def _stated(self, place: str, document: dict[str, Any]) -> dict[str, Any]:
        if place not in self._fleet.stating_places(self._number, self._starts):
            document.pop('born')
        return document


class _PolledProtocol(Protocol):
    """A connection to an engine that answers polls for cache events."""

    def __init__(self, engine: StatingEngine, inner: Protocol) -> None:
        self._engine = engine
        self._inner = inner

    def connectionMade(self) -> None:  # noqa: N802
        """Hand the connection on to what answers requests."""
        self._inner.makeConnection(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a poll after its wait, or hand the data on."""
        if not data.startswith(_POLL):
            self._inner.dataReceived(data)
            return
        found = _WAIT.search(data)
        wait_s = int(found.group(1)) / 1000 if found else 0
        self._engine.later(wait_s, self._answer)

    def connectionLost(self, *reason: Any) -> None:  # noqa: N802
        """Hand the end on."""
        self._inner.connectionLost(*reason)

    def _answer(self) -> None:
        if self._inner.transport is not None:
            self.transport.write(self._engine.poll_answer())


class StatementFleet(UpgradeFleet):
    """Routers before engines that need not state when they started.

    Parameters
    ----------
    places
        Where engines state it, in the words of a feature.
    has_cache_events
        Whether they answer polls for cache events, which have an epoch.
    """

    server_type = StatingEngine

    def __init__(
        self,
        routers: int,
        servers: int,
        *,
        places: str,
        has_cache_events: bool,
        seed: int = 1,
    ) -> None:
        """Start a fleet whose engines all have the version ``v1``."""
        self._places = places
        self.has_cache_events = has_cache_events
        super().__init__(routers, servers, 0, seed)

    def stating_places(self, number: int, starts: int) -> frozenset[str]:
        """Return where an engine states its start."""
        everywhere = _PLACES['the entry and the report']
        if self._places == 'both since they were upgraded':
            return everywhere if starts > 1 else frozenset()
        if self._places == 'both until they were upgraded':
            return frozenset() if starts > 1 else everywhere
        if self._places == 'both, at every second engine':
            return everywhere if number % 2 else frozenset()
        return _PLACES[self._places]

    def _build_adapter(
        self, settings: Any, reactor: Any, pool: Any
    ) -> PlatformAdapter:
        adapter = super()._build_adapter(settings, reactor, pool)
        engines = PlatformEngineClient(reactor, pool, settings.relay.name)
        return replace(adapter, cache_event_source=engines)
