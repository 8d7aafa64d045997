"""The configuration in force and the backend servers, as typed values."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass, field
from functools import cached_property

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint


@enum.unique
class RouteKind(enum.Enum):
    """What may be repeated on a route."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True, kw_only=True)
class TrafficShare:
    """A part of a route's requests that goes to one service."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Route:
    """Which requests go to which services, and how."""

    name: str
    host: str
    #: Begins and ends with a slash.
    path_prefix: str
    kind: RouteKind
    #: The longest time that a request may be kept waiting.
    timeout: Millis
    #: Time to the answer, or to the first event, that earns full worth.
    objective: Millis
    #: Longest pause between two events that keeps a stream on time.
    event_gap_objective: Millis
    #: Backend servers that may run one request.
    attempts: int
    #: 0 is the most urgent.
    priority: int
    #: Whether requests need no key.
    is_public: bool
    #: Whether another server may continue a stream.
    is_resumable: bool
    traffic_shares: tuple[TrafficShare, ...]

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have run may be sent again."""
        if self.kind is RouteKind.STREAMING:
            return self.is_resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclass(frozen=True, slots=True, kw_only=True)
class KvCacheStore:
    """A store of kept KV cache."""

    endpoint: Endpoint
    data_centre: str


@dataclass(frozen=True, slots=True, kw_only=True)
class ServiceSpec:
    """What the configuration says about one service."""

    name: str
    health_path: str
    #: Connections that one server accepts from all routers together.
    connection_limit: int
    #: Whether the servers are model engines.
    is_model: bool = False
    #: Requests that one engine batches.
    slots: int = 0
    #: KV memory of one engine, in tokens.
    kv_tokens: int = 0
    #: Waiting event polls that one server holds at once.
    poll_limit: int = 0
    #: Set where the service is a store of kept KV cache.
    kv_cache_store: KvCacheStore | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class CustomerSpec:
    """A customer and its keys."""

    name: str
    keys: tuple[str, ...] = field(repr=False)
    #: Goes before the route's priority; ``None`` if the customer has none.
    priority: int | None = None
    #: Whether it shares no cached prompt with others.
    is_isolated: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

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
    def customer_by_key(self) -> Mapping[str, CustomerSpec]:
        """The customers by each of their keys."""
        return {
            key: customer
            for customer in self.customers
            for key in customer.keys
        }

    @cached_property
    def kv_cache_stores(self) -> tuple[KvCacheStore, ...]:
        """All stores of kept KV cache."""
        return tuple(
            service.kv_cache_store
            for service in self.services.values()
            if service.kv_cache_store is not None
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins the path."""
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
    """What a backend server says about itself."""

    READY = 'ready'
    DRAINING = 'draining'


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendServer:
    """One entry of the list of backend servers."""

    server_id: str
    service: str
    endpoint: Endpoint
    data_centre: str
    slots: int
    state: ServerState
    #: Unix time of its start, in ms; 0 if the entry does not say.
    started_at: int = 0
    #: Weights version of each model that it has loaded.
    weights: Mapping[str, int] = field(default_factory=dict)

    @property
    def incarnation(self) -> str:
        """Names this start of the server; an id may be used again."""
        return f'{self.server_id}/{self.started_at}'


@dataclass(frozen=True, slots=True, kw_only=True)
class WeightsTarget:
    """The newest weights version that the operator named for a model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ObservedTarget:
    """A weights version of a model, and when this router heard of it."""

    version: int
    observed_at: Millis
