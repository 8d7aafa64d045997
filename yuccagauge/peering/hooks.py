"""What the exchange between routers needs from the rest of the router."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.load.base import EngineReport
from yuccagauge.peering.polling import CacheEvent
from yuccagauge.settings.options import Endpoint


@dataclass(frozen=True, slots=True, kw_only=True)
class PeeringHooks:
    """Functions of the slices that the daemon wires to the exchange."""

    #: ``adoption.DocumentStore``.
    store: Any
    #: ``quarantine.Quarantine``.
    quarantine: Any
    #: ``ClaimClient.answer_forwarded``.
    answer_claim: Callable[[bytes], Any]
    #: Model engines of the documents in force, with their data centres.
    engines: Callable[[], Mapping[Endpoint, str]]
    #: Names of all customers of the documents in force.
    customers: Callable[[], tuple[str, ...]]
    #: Takes the load of an engine, polled or from a peer.
    report: Callable[[EngineReport], None]
    #: Takes one cache event.
    event: Callable[[CacheEvent], None]
    #: Takes an engine whose cache events have a gap.
    gap: Callable[[Endpoint], None]
    #: Returns the hottest prefixes of the cache view.
    hot: Callable[[int], tuple[HotPrefix, ...]]
    #: Takes a peer's hot prefixes.
    preload: Callable[[tuple[HotPrefix, ...]], None]
    #: This router's demand in requests/s, by customer.
    demand: Callable[[], Mapping[str, float]]
    #: Takes the number of live routers and the fleet's demand.
    set_fleet_demand: Callable[[int, Mapping[str, float]], None]
    #: Takes all backend servers that are leaving, by the VM list or by the
    #: notice of any router, whenever that set changes. A server that is
    #: no longer in it may be used again.
    leaving: Callable[[frozenset[Endpoint]], None]
