"""The configuration in force and the backend servers, as typed values."""

import enum
import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

import xxhash

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint


@enum.unique
class RouteKind(enum.Enum):
    """Whether requests of a route may be retried, and how they are answered."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficShare:
    """The weighted part of a route's requests that one service gets."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """A rule that maps requests to services, with its limits."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    kind: RouteKind
    #: Longest time that a caller may have to wait for the answer.
    timeout: Millis
    #: Target time to the answer, or to the first event of a stream.
    objective: Millis
    #: Longest gap between two events of a stream that is on time.
    event_gap_objective: Millis
    #: Number of backend servers that may run one request.
    attempts: int
    #: 0 is the highest priority.
    priority: int
    #: Whether the route accepts requests without an API key.
    is_public: bool
    #: Whether another server may resume an interrupted stream.
    is_resumable: bool
    traffic_shares: tuple[TrafficShare, ...]

    @property
    def is_retryable(self) -> bool:
        """Whether a request that a server may have executed can be resent."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True, kw_only=True)
class KvCacheStore:
    """A store of KV cache that engines exported."""

    endpoint: Endpoint
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """The configuration of one service."""

    name: str
    health_path: str
    #: Connections that one server accepts from all routers together.
    connection_limit: int
    #: Whether the servers are model engines.
    is_model: bool = False
    #: Requests that one engine runs in a batch.
    slots: int = 0
    #: KV cache capacity of one engine, in tokens.
    kv_tokens: int = 0
    #: Long polls for cache events that one server holds open at once.
    poll_limit: int = 0
    #: Set if the service is a store of exported KV cache.
    kv_cache_store: KvCacheStore | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerSpec:
    """A customer, its API keys and its privileges."""

    name: str
    api_keys: tuple[str, ...] = field(repr=False)
    #: Overrides the route's priority; ``None`` if the customer has none.
    priority: int | None = None
    #: Whether its cached prompts must not be shared with other customers.
    is_isolated: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Size and time limits on the requests of callers."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: Millis = Millis(3000)
    idle_timeout: Millis = Millis(15_000)


@dataclass(frozen=True, kw_only=True)
class Configuration:
    """One version of the operator's configuration."""

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, ServiceSpec]
    customers: tuple[CustomerSpec, ...]
    limits: CallerLimits

    @cached_property
    def customer_by_api_key(self) -> Mapping[str, CustomerSpec]:
        """The customer of each API key."""
        return {
            key: customer
            for customer in self.customers
            for key in customer.api_keys
        }

    @cached_property
    def sharing_customers(self) -> frozenset[str]:
        """Names of the customers that share cached parts with each other."""
        return frozenset(
            customer.name
            for customer in self.customers
            if not customer.is_isolated
        )

    @cached_property
    def sharing_group(self) -> str:
        """A name of what they share; it differs by who is isolated."""
        isolated = sorted(
            customer.name for customer in self.customers if customer.is_isolated
        )
        if not isolated:
            return ''
        return xxhash.xxh3_128_hexdigest(json.dumps(isolated).encode())

    @cached_property
    def kv_cache_stores(self) -> tuple[KvCacheStore, ...]:
        """All stores of exported KV cache."""
        return tuple(
            service.kv_cache_store
            for service in self.services.values()
            if service.kv_cache_store is not None
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose path prefix is the longest match."""
        matching = [
            route
            for route in self._routes_by_host.get(host, ())
            if path.startswith(route.path_prefix)
        ]
        return max(
            matching,
            key=lambda route: len(route.path_prefix),
            default=None,
        )

    @cached_property
    def _routes_by_host(self) -> Mapping[str, tuple[Route, ...]]:
        found: dict[str, tuple[Route, ...]] = {}
        for route in self.routes:
            found[route.host] = (*found.get(route.host, ()), route)
        return found


@enum.unique
class ServerState(enum.Enum):
    """The state that a backend server reports in its entry."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """A backend server, as described by its entry in the store."""

    server_id: str
    service: str
    endpoint: Endpoint
    data_centre: str
    slots: int
    state: ServerState
    #: Unix time of its start, in ms; 0 if the entry lacks it.
    started_at: int = 0
    #: Version of its software, which is not that of its weights; empty if the
    #: entry lacks it.
    software_version: str = ''
    #: Weights version of each model that it has loaded.
    weights: Mapping[str, int] = field(default_factory=dict)
    #: Heartbeats since its start; 0 if the entry lacks them. They change with
    #: each entry, and say nothing else of the server.
    heartbeat_count: int = field(default=0, compare=False)

    @property
    def incarnation(self) -> str:
        """An id of this run of the server, since server ids are reused."""
        return f'{self.server_id}/{self.started_at}'

    def may_be_same_process(self, other: 'BackendServer') -> bool:
        """Return whether two entries of one id may be of one process.

        A process keeps its start, whether it states it, its address, its
        service and its software.
        """
        return (
            self.started_at == other.started_at
            and self.endpoint == other.endpoint
            and self.service == other.service
            and self.software_version == other.software_version
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightsTarget:
    """The weights version that the operator wants a model to have."""

    model: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetEvidence:
    """A time before which none of a range of weights versions was named."""

    model: str
    #: The range: all versions after ``previous``, up to ``version``.
    version: int
    previous: int
    named_after: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class NamedWeights:
    """The newest weights version of a model, and how old versions can be."""

    version: int
    evidence: tuple[TargetEvidence, ...] = ()
