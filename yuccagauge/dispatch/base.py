"""The call that a caller makes, and the sink that takes its answer."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Protocol

from yuccagauge.clock import Millis
from yuccagauge.prefixes.base import RequestPrefix
from yuccagauge.verdict import Refusal

#: A header name and its value.
Header = tuple[bytes, bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatCall:
    """The part of a call that only model services have."""

    #: Whether the caller wants server-sent events.
    stream: bool
    #: The decoded body of the caller.
    fields: dict[str, Any] = field(repr=False)
    #: The prompt's identity and level digests.
    prefix: RequestPrefix


@dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """One authenticated, well-formed call."""

    #: Chosen by the gateway, unique in the fleet.
    request_id: str
    customer: str
    service: str
    #: Version of the service document in force when the call arrived.
    document_version: int
    method: str
    #: Path and query towards the backend server.
    path: str
    #: Headers that are passed on.
    headers: tuple[Header, ...] = field(repr=False)
    body: bytes = field(repr=False)
    #: Whether the call may be run more than once.
    idempotent: bool
    #: Monotonic times, in ms.
    received_at: Millis
    deadline: Millis
    priority: int
    #: Empty unless the caller sent one.
    idempotency_key: str = ''
    #: Digest of the content, equal for equal calls of a customer.
    fingerprint: bytes
    #: ``None`` for plain services.
    chat: ChatCall | None = None


class SinkWatcher(Protocol):
    """Hears what the caller's connection does."""

    def pause(self) -> None:
        """Stop writing: the caller reads slower than it is written to."""

    def resume(self) -> None:
        """Write again."""

    def left(self) -> None:
        """Stop working for a caller that closed its connection."""


class AnswerSink(Protocol):
    """Takes the answer to one call, on its way to the caller."""

    def watch(self, watcher: SinkWatcher) -> None:
        """Report back pressure and the caller's departure from now on."""

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the response head."""

    def write(self, event: bytes) -> None:
        """Send a part of the body."""

    def finish(self) -> None:
        """End a complete answer."""

    def refuse(self, refusal: Refusal) -> None:
        """End without a complete answer; at any time before ``finish``."""


#: From this status on, a server states that it failed.
_FIRST_SERVER_ERROR = 500

#: Statuses whose responses have no body.
BODILESS_STATUSES = frozenset((204, 304))


@enum.unique
class Framing(enum.Enum):
    """What ends the body of a response."""

    LENGTH = 'length'
    CHUNKS = 'chunks'
    #: The server closes the connection, which proves nothing.
    CONNECTION = 'connection'


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseHead:
    """Status and headers of a backend server's response."""

    status: int
    headers: tuple[Header, ...]

    @property
    def is_server_error(self) -> bool:
        """Whether the server states that it failed."""
        return self.status >= _FIRST_SERVER_ERROR

    @property
    def framing(self) -> Framing:
        """What ends the body."""
        if self.get(b'transfer-encoding'):
            return Framing.CHUNKS
        has_length = bool(self.get(b'content-length'))
        if has_length or self.status in BODILESS_STATUSES:
            return Framing.LENGTH
        return Framing.CONNECTION

    def get(self, name: bytes) -> str:
        """Return the first value of a header, or an empty text.

        Parameters
        ----------
        name
            In lower case.
        """
        for found, text in self.headers:
            if found.lower() == name:
                return text.decode('latin-1')
        return ''


@enum.unique
class AnswerOwner(enum.Enum):
    """The request that an answer on a connection belongs to."""

    #: The one that the connection carries.
    REQUEST = 'request'
    #: An earlier one, whose answer is late.
    OTHER_REQUEST = 'other request'
    #: None; the bytes are no answer of the server.
    NOBODY = 'nobody'


@dataclass(frozen=True, slots=True)
class OwnerDecision:
    """Which request an answer belongs to."""

    owner: AnswerOwner
    #: What decided, for the log.
    reason: str


@dataclass(frozen=True, slots=True, kw_only=True)
class BackendMessage:
    """A request towards a backend server."""

    method: str
    path: str
    headers: tuple[Header, ...] = ()
    body: bytes = b''
    #: The ``Host`` header; the server's address if empty.
    host: str = ''
    #: Decides by the head of an answer whether it is that of this request. It
    #: always is if servers mark their answers with nothing.
    find_owner: Callable[[ResponseHead], OwnerDecision] | None = field(
        default=None, repr=False, compare=False
    )


#: Calls a function after some seconds; ``IReactorTime.callLater``.
CallLater = Callable[..., Any]
