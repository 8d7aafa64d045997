"""The platform-specific components that a relay needs."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from yuccagauge.cachefeed.base import CacheEventSource
from yuccagauge.directory.state import RecordDecoder
from yuccagauge.directory.store import KeyedStore
from yuccagauge.directory.targetarchive import TargetStore
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.origins.archive import VersionStore
from yuccagauge.origins.log import OriginLogStore
from yuccagauge.quarantine.archive import CrashStore
from yuccagauge.relay.base import BackendProtocol, CallDecoder, ResponseInfo
from yuccagauge.relay.identity import ProcessNameSource
from yuccagauge.relay.leavingchecks import HealthSource
from yuccagauge.rollout.base import LeaseStore, WeightsOrderClient
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.relay import RelaySettings

#: Called with the endpoint of an engine as a request goes out; returns what takes
#: the statements of its answer. Another engine may be there by the answer.
AnswerListener = Callable[[Endpoint], Callable[[ResponseInfo], None]]


@dataclass(frozen=True, slots=True, kw_only=True)
class PlatformAdapter:
    """One platform's implementation of each interface of the relay."""

    call_decoder: CallDecoder
    backend_protocol: BackendProtocol
    record_decoder: RecordDecoder
    store: KeyedStore
    lease_store: LeaseStore
    crash_store: CrashStore
    version_store: VersionStore
    target_store: TargetStore
    origin_log_store: OriginLogStore
    order_client: WeightsOrderClient
    cache_event_source: CacheEventSource
    #: Path of the load balancer's readiness check.
    ready_path: str
    #: Called when a call of the router itself goes out to an engine.
    answer_listeners: list[AnswerListener] = field(default_factory=list)
    #: ``None`` if servers cannot be asked.
    process_name_source: ProcessNameSource | None = None
    #: ``None`` if servers cannot be asked who they are.
    identity_source: ProcessNameSource | None = None
    #: ``None`` if servers cannot be asked whether they are healthy.
    health_source: HealthSource | None = None


class AdapterFactory(Protocol):
    """Builds the platform adapter of a relay process."""

    def __call__(
        self,
        settings: RelaySettings,
        reactor: Any,
        pool: ConnectionPool,
    ) -> PlatformAdapter:
        """Return the adapter."""
