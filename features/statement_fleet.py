"""Engines that state when they started in some places or in none.

Everything runs in virtual time.
"""

from dataclasses import replace
from typing import Any

from twisted.internet.protocol import Protocol

from features.stating import PolledProtocol, stating_places
from features.upgrade_fleet import UpgradedEngine, UpgradeFleet
from yuccagauge.platform.engines import PlatformEngineClient
from yuccagauge.relay.adapter import PlatformAdapter


class StatingEngine(UpgradedEngine):
    """An engine that states its start where its fleet says."""

    @property
    def epoch(self) -> int | None:
        """The epoch of its cache events, if it has some."""
        if not self._fleet.has_cache_events:
            return None
        return 1000 * self._number + self._starts

    def entry_document(self) -> dict[str, Any]:
        """Return what the engine writes to the store."""
        return self._stated('entry', super().entry_document())

    def report(self) -> dict[str, Any]:
        """Return what the engine tells of itself."""
        return self._stated('report', super().report())

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return PolledProtocol(self, super().build_protocol())

    def _stated(self, place: str, document: dict[str, Any]) -> dict[str, Any]:
        places = stating_places(self._fleet.places, self._number, self._starts)
        if place not in places:
            document.pop('born')
        return document


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
        self.places = places
        self.has_cache_events = has_cache_events
        super().__init__(routers, servers, 0, seed)

    def _build_adapter(
        self, settings: Any, reactor: Any, pool: Any
    ) -> PlatformAdapter:
        adapter = super()._build_adapter(settings, reactor, pool)
        engines = PlatformEngineClient(reactor, pool, settings.relay.name)
        return replace(adapter, cache_event_source=engines)
