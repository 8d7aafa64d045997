"""Servers that need not state their start, and whose answers have no length.

Everything runs in virtual time.
"""

import json
from dataclasses import replace
from typing import Any

from twisted.internet.protocol import Protocol

from features.leaving_fleet import LeavingFleet, UnframedServer
from features.stating import PolledProtocol, stating_places
from yuccagauge.platform.engines import PlatformEngineClient
from yuccagauge.relay.adapter import PlatformAdapter


class StatingServer(UnframedServer):
    """A server that states its start where its fleet says."""

    @property
    def epoch(self) -> int | None:
        """The epoch of its cache events, if it has some."""
        if not self._fleet.has_cache_events:
            return None
        return 1000 * self._number + self._starts

    def entry_document(self) -> dict[str, Any]:
        """Return what the server writes to the store."""
        return self._stated('entry', super().entry_document())

    def report(self) -> bytes:
        """Return what a model engine states about itself."""
        document = {'born': self.started_at}
        return json.dumps(self._stated('report', document)).encode()

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        return PolledProtocol(self, super().build_protocol())

    def _stated(self, place: str, document: dict[str, Any]) -> dict[str, Any]:
        places = stating_places(self._fleet.places, self._number, self._starts)
        if place not in places:
            document.pop('born')
        return document


class StatingEndsFleet(LeavingFleet):
    """Routers before such servers.

    Parameters
    ----------
    places
        Where servers state their start, in the words of a feature.
    has_cache_events
        Whether they answer polls for cache events, which have an epoch.
    """

    server_type = StatingServer

    def __init__(
        self,
        routers: int,
        servers: int,
        *,
        places: str,
        has_cache_events: bool,
    ) -> None:
        """Start the fleet."""
        self.places = places
        self.has_cache_events = has_cache_events
        super().__init__(routers, servers)

    def _build_adapter(
        self, settings: Any, reactor: Any, pool: Any
    ) -> PlatformAdapter:
        adapter = super()._build_adapter(settings, reactor, pool)
        engines = PlatformEngineClient(reactor, pool, settings.relay.name)
        return replace(adapter, cache_event_source=engines)
