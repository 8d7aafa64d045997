"""HTTP/1.1 connections to backend servers.

The router writes requests through these connections itself, because the
verdict of a failed request depends on whether any of its bytes were handed
to the transport.
"""

import itertools
from collections.abc import Callable
from typing import Any, Protocol

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as TwistedProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http import (
    _ChunkedTransferDecoder,
    _MalformedChunkedDataError,
)

from yuccagauge.dispatch.base import (
    AnswerOwner,
    BackendMessage,
    ResponseHead,
)
from yuccagauge.dispatch.errors import BackendProtocolError
from yuccagauge.dispatch.tcpinfo import Delivery
from yuccagauge.settings.options import Endpoint

#: Methods whose requests have no body unless one is given.
_BODILESS_METHODS = frozenset(('GET', 'HEAD', 'DELETE', 'OPTIONS'))

#: Interim answers before an answer, and late answers to other requests in
#: front of it, after which a connection is broken off.
_MAXIMUM_INTERIM_ANSWERS = 16
_MAXIMUM_FOREIGN_ANSWERS = 8

#: Bytes of late answers to other requests that are read.
_MAXIMUM_FOREIGN_BYTES = 1_048_576

#: Orders the openings of connections and other moments of a process. Times in
#: ms are too coarse for it.
_moments = itertools.count(1)

_PROTOCOL_ERRORS = (
    h11.RemoteProtocolError,
    BackendProtocolError,
    _MalformedChunkedDataError,
)


def next_moment() -> int:
    """Return a number that is larger than that of each earlier moment."""
    return next(_moments)


class ResponseUser(Protocol):
    """Hears the response to the one request that a connection carries."""

    def head(self, head: ResponseHead) -> None:
        """Take status and headers."""

    def data(self, data: bytes) -> None:
        """Take a part of the body."""

    def complete(self) -> None:
        """Take the end of a complete response."""

    def lost(self, reason: str) -> None:
        """Take the end of an incomplete response."""


class Connection(TwistedProtocol):
    """One connection that carries one request at a time."""

    def __init__(self) -> None:
        """Start without a request."""
        self._parser = h11.Connection(h11.CLIENT)
        self._user: ResponseUser | None = None
        self._open = True
        # A chunked body is decoded by Twisted, which costs a third of h11
        # for each chunk.
        self._chunks: _ChunkedTransferDecoder | None = None
        self._parts: list[bytes] = []
        self._message: BackendMessage | None = None
        # Whether the answer that is being read belongs to another request.
        self._is_foreign = False
        self._foreign_answers = 0
        self._foreign_bytes = 0
        self._interim_answers = 0
        self._may_reuse = True
        #: Tells the pool about the end of the connection.
        self.on_close: Callable[[Connection], None] | None = None
        self.idle_timer: Any = None
        #: What its user knows of the process that it leads to; ``None`` before
        #: that was asked.
        self.process: Any = None
        #: The moment at which it was open.
        self.opened_at = 0

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed it, as far as is known."""
        return self._open

    @property
    def reusable(self) -> bool:
        """Whether another request can be sent."""
        return self.can_send and self._may_reuse

    @property
    def can_send(self) -> bool:
        """Whether it is open, and its last answer is complete."""
        return self._open and self._parser.our_state is h11.IDLE

    @property
    def is_direct(self) -> bool:
        """Whether it leads to the server without a peer in between."""
        return getattr(self.transport, 'is_direct', True)

    def watch_delivery(self) -> Delivery | None:
        """Return what tells whether the host of the server has the next request.

        ``None`` if that is not known, as on a connection that a peer carries.
        """
        delivery = Delivery(self.transport)
        return delivery if self.is_direct and delivery.is_known else None

    def connectionMade(self) -> None:
        """Send small messages without delay."""
        self.opened_at = next_moment()
        self.transport.setTcpNoDelay(True)
        self._may_reuse = getattr(self.transport, 'allows_reuse', True)

    def send(self, message: BackendMessage, user: ResponseUser) -> None:
        """Hand a whole request to the transport.

        From here on the backend server may run it.
        """
        self._user = user
        self._message = message
        self.transport.write(_encode(self._parser, message, self._host()))

    def abort(self) -> None:
        """Close at once; the user hears nothing more."""
        self._user = None
        self._open = False
        self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading."""
        if self._open:
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read again."""
        if self._open:
            self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:
        """Parse a part of the response."""
        if self._user is None:
            # Bytes without a request would answer the next one.
            self.abort()
            return
        try:
            self._receive(data)
        except _PROTOCOL_ERRORS as error:
            self._fail(str(error))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Report the end to the user and to the pool."""
        self._open = False
        if self._user is not None:
            self._end_of_stream(reason)
        if self.on_close is not None:
            self.on_close(self)

    def _receive(self, data: bytes) -> None:
        if self._chunks is not None:
            self._decode(data)
            return
        self._parser.receive_data(data)
        self._drain()

    def _decode(self, data: bytes) -> None:
        """Hand on the chunks that came together, then the end if it came."""
        was_foreign = self._is_foreign
        decoder = self._chunks
        decoder.dataReceived(data)
        parts = b''.join(self._parts)
        self._parts.clear()
        if was_foreign:
            self._count_foreign(parts)
            return
        if parts and self._user is not None:
            self._user.data(parts)
        if self._chunks is None and self._user is not None:
            user = self._user
            self._user = None
            user.complete()

    def _end_chunks(self, surplus: bytes) -> None:
        self._chunks = None
        if self._is_foreign:
            self._parts.clear()
            self._read_next_answer(surplus)
        elif self._parser.our_state is h11.DONE and not surplus:
            self._parser = h11.Connection(h11.CLIENT)

    def _drain(self) -> None:
        """Hand on what was parsed; parts that came together go together."""
        parts: list[bytes] = []
        while self._user is not None and self._chunks is None:
            event = self._parser.next_event()
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                continue
            if self._is_foreign:
                self._count_foreign(b''.join(parts))
            elif parts:
                self._user.data(b''.join(parts))
            parts.clear()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            self._take(event)

    def _take(self, event: Any) -> None:
        if self._user is None:
            return
        if isinstance(event, h11.Response):
            headers = tuple(event.headers.raw_items())
            head = ResponseHead(status=event.status_code, headers=headers)
            self._is_foreign = self._belongs_elsewhere(head)
            if not self._is_foreign:
                self._user.head(head)
            if head.get(b'transfer-encoding').lower() == 'chunked':
                self._start_chunks()
        elif isinstance(event, h11.InformationalResponse):
            self._interim_answers += 1
            if self._interim_answers > _MAXIMUM_INTERIM_ANSWERS:
                raise BackendProtocolError('the interim answers do not end')
        elif isinstance(event, h11.EndOfMessage):
            self._finish()

    def _start_chunks(self) -> None:
        self._chunks = _ChunkedTransferDecoder(
            self._parts.append,
            self._end_chunks,
        )
        received = self._parser.trailing_data[0]
        if received:
            self._decode(received)

    def _belongs_elsewhere(self, head: ResponseHead) -> bool:
        """Return whether an answer is a late one to another request.

        Raises
        ------
        BackendProtocolError
            If it belongs to no request.
        """
        if self._message.find_owner is None:
            return False
        decision = self._message.find_owner(head)
        if decision.owner is AnswerOwner.NOBODY:
            raise BackendProtocolError(
                f'no answer of the server: {decision.reason}'
            )
        return decision.owner is AnswerOwner.OTHER_REQUEST

    def _count_foreign(self, data: bytes) -> None:
        """Bound the bytes that are read for other requests."""
        self._foreign_bytes += len(data)
        if self._foreign_bytes > _MAXIMUM_FOREIGN_BYTES:
            raise BackendProtocolError(
                'an answer to another request does not end'
            )

    def _read_next_answer(self, surplus: bytes) -> None:
        """Expect our own answer behind one that belongs elsewhere.

        Raises
        ------
        BackendProtocolError
            If there are too many of them.
        """
        self._foreign_answers += 1
        if self._foreign_answers > _MAXIMUM_FOREIGN_ANSWERS:
            raise BackendProtocolError(
                'the answers to other requests do not end'
            )
        self._is_foreign = False
        self._may_reuse = False
        self._parser = h11.Connection(h11.CLIENT)
        _encode(self._parser, self._message, self._host())
        if surplus:
            self._receive(surplus)

    def _finish(self) -> None:
        if self._is_foreign:
            self._read_next_answer(self._parser.trailing_data[0])
            return
        user = self._user
        self._user = None
        surplus = self._parser.trailing_data[0]
        if self._parser.our_state is h11.DONE and not surplus:
            self._parser.start_next_cycle()
        user.complete()

    def _end_of_stream(self, reason: Failure) -> None:
        if self._chunks is not None or not reason.check(ConnectionDone):
            self._fail(reason.getErrorMessage())
            return
        try:
            # A body without a length ends with the connection.
            self._parser.receive_data(b'')
            self._drain()
        except _PROTOCOL_ERRORS:
            self._fail(reason.getErrorMessage())
            return
        if self._user is not None:
            self._fail(reason.getErrorMessage())

    def _fail(self, reason: str) -> None:
        user = self._user
        self._user = None
        if self._open:
            self.abort()
        if user is not None:
            user.lost(reason)

    def _host(self) -> str:
        peer = self.transport.getPeer()
        return str(Endpoint(peer.host, peer.port))


def _encode(
    parser: h11.Connection, message: BackendMessage, host: str
) -> bytes:
    headers = [(b'Host', (message.host or host).encode()), *message.headers]
    if message.body or message.method not in _BODILESS_METHODS:
        length = str(len(message.body)).encode()
        headers.append((b'Content-Length', length))
    head = parser.send(
        h11.Request(
            method=message.method,
            target=message.path,
            headers=headers,
        ),
    )
    body = b''
    if message.body:
        body = parser.send(h11.Data(data=message.body))
    return head + body + parser.send(h11.EndOfMessage())
