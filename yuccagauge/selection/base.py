"""Inputs and results of the server selection."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    Configuration,
    CustomerSpec,
    NamedWeights,
    ServiceSpec,
)
from yuccagauge.directory.targets import UNKNOWN_TIME
from yuccagauge.relay.base import Placement
from yuccagauge.selection.load import ServerLoad


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectionRequest:
    """The properties of a call by which a server is selected."""

    call_id: str
    service: ServiceSpec
    received_at: Millis
    #: Time up to which the answer, or the first event of a stream, is on time.
    objective_at: Millis
    #: Time by which the answer must be complete.
    deadline: Millis
    #: Time at which the caller is expected to give up if it has received no
    #: output.
    first_output_deadline: Millis
    priority: int = 0
    model: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    #: Id and number of tokens of each part of the prompt, in order. Only
    #: this request uses the last part.
    parts: tuple[tuple[str, int], ...] = ()
    #: Name of the customer if it is isolated, that is, if it shares no cached
    #: parts with other customers; otherwise empty.
    isolated_customer: str = ''
    #: Names the customers that it shares cached parts with, if it is not
    #: isolated.
    sharing_group: str = ''
    #: Ids of servers that must not get the call: an earlier attempt failed
    #: there, or the request is a suspect and another suspect runs there.
    excluded_servers: frozenset[str] = frozenset()
    #: Software version that the server must have, because it began the stream;
    #: ``None`` for any.
    software_version: str | None = None

    def accepts(self, server: BackendServer) -> bool:
        """Return whether a server may get the call."""
        has_version = self.software_version in {None, server.software_version}
        return has_version and server.server_id not in self.excluded_servers

    def for_customer(
        self, customer: CustomerSpec | None, configuration: Configuration
    ) -> 'SelectionRequest':
        """Return the request for what a customer may share by now.

        A customer that is not listed any more shares nothing.
        """
        if customer is None or customer.name in configuration.sharing_customers:
            return replace(self, sharing_group=configuration.sharing_group)
        return replace(self, isolated_customer=customer.name)

    def for_version(self, software_version: str | None) -> 'SelectionRequest':
        """Return the request for servers of a software version, or of any."""
        return replace(self, software_version=software_version)

    def for_another_server(
        self, server: BackendServer, *, keeps_version: bool
    ) -> 'SelectionRequest':
        """Return the request for a server instead of one.

        Parameters
        ----------
        keeps_version
            Whether the other server must have the same software version.
        """
        version = self.software_version
        return replace(
            self,
            excluded_servers=self.excluded_servers | {server.server_id},
            software_version=(
                server.software_version if keeps_version else version
            ),
        )

    @property
    def shared_tokens(self) -> int:
        """Number of tokens in the parts that other prompts may share."""
        return sum(tokens for _, tokens in self.parts[:-1])


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A server that may get the call, with its load and cache state."""

    server: BackendServer
    load: ServerLoad
    #: Whether the server is in the router's own data centre.
    is_local: bool
    #: Weights version that the engine runs; ``None`` for plain servers.
    weights_version: int | None = None
    #: Time since the operator named newer weights; ``None`` if there are none.
    superseded_ms: Millis | None = None
    #: Time within which the call has to begin; ``None`` if there is no bound.
    time_to_begin: Millis | None = None
    #: Whether ``superseded_ms`` is more than ``OUTDATED_GRACE``.
    is_outdated: bool = False
    #: Leading tokens of the prompt that the engine has cached.
    cached_tokens: int = 0
    #: Leading tokens of the prompt that the KV cache store holds.
    stored_tokens: int = 0
    #: Whether the router receives the cache events of the engine, and so
    #: learns of evictions.
    has_cache_events: bool = True
    #: Cost of leaving the engines that all routers prefer for the prompt.
    spread_cost_ms: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectionDecision:
    """Where a call goes, or when to decide again, or a refusal.

    At most one of ``placement``, ``wait_until`` and ``retry_after`` is set.
    Without any, the call is refused, and no retry can succeed.
    """

    placement: Placement | None = None
    #: Time at which to decide again.
    wait_until: Millis | None = None
    #: The call is refused, and the caller may retry after this time.
    retry_after: Millis | None = None
    #: The reason that is logged.
    reason: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetView:
    """The servers and the named weights versions of the fleet."""

    servers: Mapping[str, BackendServer]
    #: The weights versions that the operator named, by model.
    named_weights: Mapping[str, NamedWeights] = field(default_factory=dict)

    def superseded_at(self, model: str, version: int) -> Millis | None:
        """Return the earliest time at which a newer version can be named.

        ``None`` if there is no newer version.

        Load pattern: the operator names a version every few seconds. A
        version counts as outdated from the first newer one on. If the latest
        one counted, each new version would start the age again.
        """
        named = self.named_weights.get(model)
        if named is None or named.version <= version:
            return None
        return max(
            (
                evidence.named_after
                for evidence in named.evidence
                if evidence.previous <= version < evidence.version
            ),
            default=UNKNOWN_TIME,
        )
