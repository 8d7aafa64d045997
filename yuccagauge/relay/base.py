"""A call on its way, and what the interfaces on both sides translate."""

from dataclasses import dataclass, field
from typing import Protocol

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, CustomerSpec, Route
from yuccagauge.dispatch.base import BackendMessage, Header, ResponseHead
from yuccagauge.errors import YuccagaugeError
from yuccagauge.settings.options import Endpoint


class CallFieldError(YuccagaugeError):
    """A request whose head does not say what a call needs."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """One whole request of a caller."""

    method: str
    #: Path and query as the caller sent them.
    target: str
    headers: tuple[Header, ...] = field(repr=False)
    body: bytes = field(repr=False)
    received_at: Millis

    @property
    def path(self) -> str:
        """The target without the query."""
        return self.target.partition('?')[0]


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other prompts may share."""

    part_id: str
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFields:
    """What the head of a request says, decoded."""

    request_id: str
    host: str
    #: How long the caller waits; ``None`` if it does not say.
    client_timeout: Millis | None
    #: Empty if the caller sent none.
    key: str = field(default='', repr=False)
    #: Empty for calls of plain services.
    model: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    #: The parts of the prompt in order; the last belongs to the request.
    parts: tuple[PromptPart, ...] = ()
    #: The last event that the caller has, if it resumes a stream.
    last_event_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCall:
    """A call that the configuration allows."""

    request: IncomingRequest
    fields: CallFields
    route: Route
    #: The service that the route's shares chose.
    service: str
    #: ``None`` on public routes without a key.
    customer: CustomerSpec | None
    #: Version of the configuration that allowed it.
    configuration: int
    #: Digest of path, customer and body.
    fingerprint: bytes
    #: When the caller stops waiting.
    expires_at: Millis
    #: When the route's timeout is over.
    due_at: Millis

    @property
    def deadline(self) -> Millis:
        """When the final answer has to be out."""
        return min(self.expires_at, self.due_at)

    @property
    def priority(self) -> int:
        """The customer's priority, else the route's; 0 is first."""
        customer = self.customer
        if customer is not None and customer.priority is not None:
            return customer.priority
        return self.route.priority


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """Where one attempt of a call goes, and how."""

    server: BackendServer
    #: Weights version that the engine has to run; ``None`` for plain calls.
    weights_version: int | None = None
    #: Scope in which the engine looks for cached parts.
    cache_scope: str = ''
    #: Where the engine fetches cached parts that it lacks.
    kv_fetch_endpoint: Endpoint | None = None
    #: Where the engine keeps a copy of the parts that it computes.
    kv_save_endpoint: Endpoint | None = None
    #: Tokens that the engine is expected to have cached.
    cached_tokens: int = 0
    #: Expected time to the first output, in ms.
    expected_first_output_ms: float = 0
    #: The part of it that the engine spends on this and earlier prompts, by
    #: its data sheet; 0 for plain calls.
    nominal_prefill_ms: float = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRequest:
    """One attempt as the backend protocol has to write it."""

    call: RelayCall
    placement: Placement
    #: Time that the server may use.
    timeout: Millis
    #: 0 to 9, 0 is first; ``None`` leaves the server's default.
    priority: int | None = None
    #: The last event that the caller has; empty for a whole answer.
    last_event_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseInfo:
    """What the head of a server's answer states."""

    #: The server did not run the request and never will.
    is_not_run: bool = False
    #: Another server, or another weights version, than was asked for.
    is_misdirected: bool = False
    #: The answer is a server's own and not of something in between.
    has_server_stamp: bool = False
    #: Identity of the server that answered; empty if it does not say.
    server_id: str = ''
    #: Weights version that answers; ``None`` if it does not say.
    weights_version: int | None = None


class CallDecoder(Protocol):
    """Reads the fields of a call from the head of a request."""

    def decode_request(self, request: IncomingRequest) -> CallFields:
        """Return the fields.

        Raises
        ------
        CallFieldError
            If a field is missing or malformed.
        """


class BackendProtocol(Protocol):
    """Writes attempts to backend servers and reads their answers."""

    def encode_attempt(self, attempt: AttemptRequest) -> BackendMessage:
        """Return the request towards the server."""

    def parse_head(self, head: ResponseHead) -> ResponseInfo:
        """Return what the head of an answer states."""

    def end_to_end_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers that the caller gets."""
