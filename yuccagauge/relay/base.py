"""Data types of a call, and the interfaces that decode and encode it."""

import re
from dataclasses import dataclass, field
from typing import Protocol

import xxhash

from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    CustomerSpec,
    Route,
    RouteKind,
)
from yuccagauge.dispatch.base import BackendMessage, Header, ResponseHead
from yuccagauge.errors import YuccagaugeError
from yuccagauge.relay.answers import AnswerMarks
from yuccagauge.settings.options import Endpoint

_FIRST_VERSION_WITH_CHUNKS = '1.1'

_SHORT_PART_ID = re.compile('[A-Za-z0-9_-]{1,32}')


class CallFieldError(YuccagaugeError):
    """A request lacks a header that a call needs, or has a malformed one."""


@dataclass(frozen=True, slots=True, kw_only=True)
class IncomingRequest:
    """One request of a caller, with its whole body."""

    method: str
    #: Path and query as the caller sent them.
    target: str
    headers: tuple[Header, ...] = field(repr=False)
    body: bytes = field(repr=False)
    received_at: Millis
    http_version: str = _FIRST_VERSION_WITH_CHUNKS

    @property
    def path(self) -> str:
        """The target without the query string."""
        return self.target.partition('?')[0]

    @property
    def knows_chunks(self) -> bool:
        """Whether the caller can tell the end of an answer without a length.

        In earlier versions such an answer ends with its connection.
        """
        return self.http_version >= _FIRST_VERSION_WITH_CHUNKS


@dataclass(frozen=True, slots=True, kw_only=True)
class PromptPart:
    """A part of a prompt that other prompts may have in common."""

    part_id: str
    tokens: int


def shared_part_ids(parts: tuple[PromptPart, ...]) -> tuple[str, ...]:
    """Return the ids of all parts but the last, the request's own one.

    Callers choose the ids, so one that is long or unusual is replaced by its
    digest.
    """
    return tuple(
        part.part_id
        if _SHORT_PART_ID.fullmatch(part.part_id)
        else xxhash.xxh3_64_hexdigest(part.part_id.encode())
        for part in parts[:-1]
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class CallFields:
    """The fields of a call, decoded from the head of its request."""

    request_id: str
    host: str
    #: How long the caller waits; ``None`` if the request does not state it.
    caller_timeout: Millis | None
    #: The API key; empty if the caller sent none.
    api_key: str = field(default='', repr=False)
    #: Empty for calls to plain services.
    model: str = ''
    prompt_tokens: int = 0
    output_tokens: int = 0
    #: The parts of the prompt in order. The last one is specific to this
    #: request.
    parts: tuple[PromptPart, ...] = ()
    #: The last event that the caller received, if it resumes a stream.
    last_event_id: str = ''
    #: The request that brought the first event of the stream that the caller
    #: resumes; empty if it resumes none.
    resumed_request_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayCall:
    """A call that the router accepted under its configuration."""

    request: IncomingRequest
    fields: CallFields
    route: Route
    #: The service, selected by the route's traffic shares.
    service: str
    #: ``None`` if the request has no valid API key and the route requires none.
    customer: CustomerSpec | None
    #: Version of the configuration under which the call was accepted.
    configuration_version: int
    #: Digest of path, customer and body.
    fingerprint: bytes
    #: Time at which the caller stops waiting.
    caller_deadline: Millis
    #: Time at which the route's timeout ends.
    route_deadline: Millis
    #: Whether the call tests a part of its prompt that is blamed for crashes.
    #: It is sent once.
    is_probe: bool = False

    @property
    def shared_part_ids(self) -> tuple[str, ...]:
        """The parts of the prompt that other prompts may have in common."""
        return shared_part_ids(self.fields.parts)

    @property
    def resumed_after(self) -> str:
        """The last event that the caller has of the stream that it resumes."""
        is_stream = self.route.kind is RouteKind.STREAMING
        return self.fields.last_event_id if is_stream else ''

    @property
    def takes_stream_up(self) -> bool:
        """Whether the caller has events of the stream from an earlier call."""
        fields = self.fields
        has_part = bool(fields.resumed_request_id or fields.last_event_id)
        return has_part and self.route.is_resumable

    @property
    def deadline(self) -> Millis:
        """Time by which the answer has to be complete."""
        return min(self.caller_deadline, self.route_deadline)

    @property
    def priority(self) -> int:
        """The customer's priority, or else the route's; 0 is the highest."""
        customer = self.customer
        if customer is not None and customer.priority is not None:
            return customer.priority
        return self.route.priority


@dataclass(frozen=True, slots=True, kw_only=True)
class Placement:
    """The server selected for an attempt, and the attempt's parameters."""

    server: BackendServer
    #: Weights version that the engine has to use; ``None`` for plain calls.
    weights_version: int | None = None
    #: Time since newer weights were named, as far as this router knows;
    #: ``None`` if there are none.
    superseded_ms: Millis | None = None
    #: Cache scope in which the engine looks up the parts of the prompt.
    cache_scope: str = ''
    #: Where the engine fetches the KV cache of parts that it has not cached.
    kv_fetch_endpoint: Endpoint | None = None
    #: Where the engine saves a copy of the KV cache that it computes.
    kv_save_endpoint: Endpoint | None = None
    #: Prompt tokens that the engine is expected not to compute again, because
    #: it has them cached or can fetch them.
    cached_tokens: int = 0
    #: Expected time to the first output, in milliseconds.
    expected_first_output_ms: float = 0
    #: The part of it that the engine spends on the prefill of this and earlier
    #: prompts, by its data sheet; 0 for plain calls.
    nominal_prefill_ms: float = 0
    #: Calls a second that the server takes from all routers together; ``None``
    #: if it names no limit.
    rate_limit: float | None = None


@dataclass(frozen=True, slots=True, kw_only=True)
class AttemptRequest:
    """What the backend protocol needs to encode one attempt."""

    call: RelayCall
    placement: Placement
    #: Time left for the response of the server.
    timeout: Millis
    #: 0 to 9, where 0 is the highest; ``None`` for the server's default.
    priority: int | None = None
    #: The last event that the caller received; empty for the whole stream.
    last_event_id: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseInfo:
    """What the head of a backend server's response states."""

    #: Whether the server states that it has not run the request and never will.
    is_not_run: bool = False
    #: Whether the request reached another server, or another weights version,
    #: than the one that it names.
    is_misdirected: bool = False
    #: Whether the response comes from a backend server itself, not from an
    #: intermediary.
    has_server_stamp: bool = False
    #: Id of the server that responded; empty if it is not stated.
    server_id: str = ''
    #: Weights version that the server used; ``None`` if it is not stated.
    weights_version: int | None = None
    #: Calls a second that the server takes from all routers together; ``None``
    #: if it states none, or a malformed one.
    rate_limit: float | None = None
    #: The limit as the server states it, if that is malformed.
    malformed_rate_limit: str = ''
    #: Whether the server states that it leaves.
    is_leaving: bool = False
    #: How long the server wants no call from this router; ``None`` if it states
    #: nothing of the kind.
    retry_after: Millis | None = None
    #: The time as the server states it, if that is malformed.
    malformed_retry_after: str = ''
    #: Rejections in a second after which the server ends, because it is
    #: brittle; ``None`` if it states nothing of the kind.
    allowed_rejections: int | None = None
    #: The number as the server states it, if that is malformed.
    malformed_rejections: str = ''

    @property
    def shows_rate_limit(self) -> bool:
        """Whether the response shows if its server has a rate limit.

        A rejection may come from a part of the server that knows no limit.
        """
        return self._shows(self.rate_limit) and not self.malformed_rate_limit

    @property
    def shows_if_brittle(self) -> bool:
        """Whether the response shows if its server is brittle."""
        stated = self.allowed_rejections
        return self._shows(stated) and not self.malformed_rejections

    def _shows(self, stated: float | None) -> bool:
        """Whether the absence of a statement, or the statement, counts."""
        is_named = self.is_not_run and stated is not None
        return (self.has_server_stamp or is_named) and not self.is_misdirected


class CallDecoder(Protocol):
    """Decodes the head of a request into the fields of a call."""

    def decode_request(self, request: IncomingRequest) -> CallFields:
        """Return the fields of the call.

        Raises
        ------
        CallFieldError
            If a field is missing or malformed.
        """


class BackendProtocol(Protocol):
    """Encodes requests to backend servers and parses their responses."""

    def encode_attempt(self, attempt: AttemptRequest) -> BackendMessage:
        """Return the request to the backend server."""

    def parse_marks(self, head: ResponseHead, request_id: str) -> AnswerMarks:
        """Return what a head states of the origin of its answer."""

    def parse_head(self, head: ResponseHead) -> ResponseInfo:
        """Return what the head of a response states."""

    def end_to_end_headers(self, head: ResponseHead) -> tuple[Header, ...]:
        """Return the headers of a response that are passed on to the caller."""
