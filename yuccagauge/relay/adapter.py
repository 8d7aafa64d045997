"""What a relay needs from the platform that it runs on."""

from dataclasses import dataclass
from typing import Any, Protocol

from yuccagauge.cachefeed.base import CachePort
from yuccagauge.directory.state import RecordDecoder
from yuccagauge.directory.store import KeyedStore
from yuccagauge.dispatch.connection import ConnectionPool
from yuccagauge.relay.base import BackendProtocol, CallDecoder
from yuccagauge.rollout.base import LeadStore, OrderPort
from yuccagauge.settings.relay import RelaySettings


@dataclass(frozen=True, slots=True, kw_only=True)
class Adapter:
    """The members of each interface that one platform needs."""

    calls: CallDecoder
    backend: BackendProtocol
    records: RecordDecoder
    store: KeyedStore
    lead: LeadStore
    orders: OrderPort
    cache: CachePort
    #: Path of the load balancer's check.
    ready_path: str


class AdapterFactory(Protocol):
    """Builds the adapter of a process."""

    def __call__(
        self,
        settings: RelaySettings,
        reactor: Any,
        pool: ConnectionPool,
    ) -> Adapter:
        """Return the adapter."""
