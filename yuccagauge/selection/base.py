"""What a choice needs to know of a call, and what it decides."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ObservedTarget, ServiceSpec
from yuccagauge.relay.base import Placement
from yuccagauge.selection.load import ServerLoad


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectionRequest:
    """What a choice needs to know of a call."""

    call_id: str
    service: ServiceSpec
    received_at: Millis
    #: Time by which the answer, or the first event, earns full worth.
    objective_at: Millis
    #: Time by which the answer has to be complete.
    deadline: Millis
    #: Time at which the caller gives up if nothing has come.
    first_output_deadline: Millis
    priority: int = 0
    model: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    #: Ids and tokens of the parts of the prompt, in order. The last one
    #: belongs to the request.
    parts: tuple[tuple[str, int], ...] = ()
    #: The customer, if it shares cached parts with no other one.
    isolated_customer: str = ''
    #: Servers that an earlier attempt failed on.
    excluded_servers: frozenset[str] = frozenset()

    @property
    def shared_tokens(self) -> int:
        """Tokens of the parts that other prompts may share."""
        return sum(tokens for _, tokens in self.parts[:-1])


@dataclass(frozen=True, slots=True, kw_only=True)
class Candidate:
    """A server that may get the call, with what is known of it."""

    server: BackendServer
    load: ServerLoad
    #: Whether it is in the router's own data centre.
    is_local: bool
    #: Weights version that it runs; ``None`` for plain servers.
    weights_version: int | None = None
    #: Whether its weights are older than the newest named ones.
    is_outdated: bool = False
    #: Leading tokens of the prompt that it holds.
    cached_tokens: int = 0
    #: Leading tokens of the prompt that the kept store holds.
    stored_tokens: int = 0
    #: Whether it is heard what the engine drops of its cache.
    is_followed: bool = True
    #: Whether all routers choose it first for prompts with these shared
    #: parts, as long as none is known to hold them.
    is_preferred: bool = True


@dataclass(frozen=True, slots=True, kw_only=True)
class SelectionDecision:
    """The decision on a call: exactly one of the fields is set."""

    placement: Placement | None = None
    #: Decide again at this time.
    wait_until: Millis | None = None
    #: Refuse, and let the caller come back after this time.
    retry_after: Millis | None = None
    #: What decided, for the log.
    reason: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetView:
    """What choices see beside the loads."""

    servers: Mapping[str, BackendServer]
    #: The latest named weights versions by model, newest last.
    target_history: Mapping[str, tuple[ObservedTarget, ...]] = field(
        default_factory=dict
    )

    def superseded_at(self, model: str, version: int) -> Millis | None:
        """Return when a version was replaced, or ``None`` if it is in force.

        Load pattern: versions are named every few seconds. The first newer
        one counts, whatever was named since.
        """
        newer = (
            observed_target.observed_at
            for observed_target in self.target_history.get(model, ())
            if observed_target.version > version
        )
        return min(newer, default=None)
