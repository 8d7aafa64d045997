"""Connects the exchange between routers with the other slices."""

from collections.abc import Iterator, Mapping

from yuccagauge.adoption.store import DocumentStore
from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.claims.client import ClaimClient
from yuccagauge.dispatch.dispatcher import Dispatcher
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.load.base import EngineReport
from yuccagauge.peering.hooks import PeeringHooks
from yuccagauge.peering.polling import CacheEvent
from yuccagauge.settings.options import Endpoint


class RouterHooks:
    """Hands what peers and engines say to the services it concerns.

    Parameters
    ----------
    dispatcher
        Has the services.
    """

    def __init__(self, dispatcher: Dispatcher) -> None:
        """Keep the services."""
        self._dispatcher = dispatcher
        self._clock = dispatcher.around.clock

    def build(self, store: DocumentStore, claims: ClaimClient) -> PeeringHooks:
        """Return the functions that the exchange calls."""
        return PeeringHooks(
            store=store,
            quarantine=self._dispatcher.around.quarantine,
            answer_claim=claims.answer_forwarded,
            engines=self._engines,
            customers=self._customers,
            report=self._report,
            event=self._event,
            gap=self._gap,
            hot=self._hot,
            preload=self._preload,
            demand=self._dispatcher.take_demand,
            set_fleet_demand=self._set_fleet_demand,
            leaving=self._leaving,
        )

    def _engines(self) -> Mapping[Endpoint, str]:
        return {
            engine: section.data_centre
            for service in self._services()
            if service.in_force.document.service.kind == 'model'
            for engine, section in service.in_force.document.backends.items()
        }

    def _customers(self) -> tuple[str, ...]:
        names: set[str] = set()
        for service in self._services():
            names.update(service.in_force.document.customers)
        return tuple(sorted(names))

    def _report(self, report: EngineReport) -> None:
        for service in self._services_of(report.engine):
            service.update(report, self._clock.now())

    def _event(self, event: CacheEvent) -> None:
        for service in self._services_of(event.engine):
            if event.is_stored:
                service.view.apply_stored_event(
                    event.engine,
                    event.incarnation,
                    event.digest,
                    event.tokens,
                    self._clock.now(),
                )
            else:
                service.view.apply_evicted_event(
                    event.engine,
                    event.incarnation,
                    event.digest,
                )

    def _gap(self, engine: Endpoint) -> None:
        for service in self._services_of(engine):
            service.view.record_event_gap(engine, self._clock.now())

    def _hot(self, limit: int) -> tuple[HotPrefix, ...]:
        found: list[HotPrefix] = []
        for service in self._services():
            found.extend(service.view.hot_prefixes(limit))
        found.sort(key=lambda hot: -hot.rate)
        return tuple(found[:limit])

    def _preload(self, prefixes: tuple[HotPrefix, ...]) -> None:
        for service in self._services():
            known = tuple(
                hot for hot in prefixes if service.has_backend(hot.engine)
            )
            service.view.add_hot_prefixes(known, self._clock.now())

    def _set_fleet_demand(self, live: int, demand: Mapping[str, float]) -> None:
        for service in self._services():
            service.set_fleet_demand(live, demand)

    def _leaving(self, servers: frozenset[Endpoint]) -> None:
        for service in self._dispatcher.services.values():
            service.set_leaving(servers)

    def _services(self) -> Iterator[ServiceState]:
        for service in self._dispatcher.services.values():
            if service.in_force is not None:
                yield service

    def _services_of(self, server: Endpoint) -> Iterator[ServiceState]:
        for service in self._services():
            if service.has_backend(server):
                yield service
