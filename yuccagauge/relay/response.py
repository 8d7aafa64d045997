"""Forwards the response of a backend server to the caller."""

import copy
from collections.abc import Sequence
from dataclasses import dataclass

from yuccagauge.dispatch.base import AnswerSink, Framing, Header, ResponseHead
from yuccagauge.dispatch.errors import (
    BackendProtocolError,
    ContinuationError,
)
from yuccagauge.dispatch.sse import (
    BYTE_ORDER_MARK,
    EventSplitter,
    has_data,
)
from yuccagauge.relay.eventorder import EventOrder

_EVENT_STREAM_TYPE = 'text/event-stream'
_CONTENT_LENGTH = b'content-length'
_OK = 200
_FIRST_ERROR_STATUS = 400

#: Responses up to this size are buffered until they are complete, so that a
#: retryable call can still move to another server.
_BUFFER_LIMIT_BYTES = 262_144

#: Longest event of a stream. A relay has 150 MB for thousands of streams, and
#: engines send a few tokens in an event.
_MAXIMUM_EVENT_BYTES = 65_536

#: A body that is longer than this, and is no stream of events, does not end.
_MAXIMUM_BODY_BYTES = 67_108_864


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseSummary:
    """What the router received of one response, for the log."""

    status: int
    framing: Framing
    #: Whether the caller had a part of an earlier response.
    is_continuation: bool
    #: Whole events, and the bytes after the last one.
    events: int
    rest_bytes: int


class ResponseForwarder:
    """Forwards events as they arrive, and other responses when complete.

    A resumed stream continues the response that the caller already receives.

    Parameters
    ----------
    sink
        Receives the response.
    resumed_after
        The last event that the caller has from an earlier call; empty if it
        wants the whole answer.
    """

    def __init__(self, sink: AnswerSink, resumed_after: str = '') -> None:
        """Create a forwarder that has not received a response head."""
        self._sink = sink
        self._resumed_after = resumed_after
        self._head: ResponseHead | None = None
        self._is_stream = False
        self._headers: tuple[Header, ...] = ()
        self._splitter: EventSplitter | None = None
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._body_bytes = 0
        self._has_started = False
        self._order = EventOrder(resumed_after)
        #: The head of the latest response, which the caller may not have.
        self._latest_head: ResponseHead | None = None
        self._is_continuation = False
        self._events = 0

    @property
    def summary(self) -> ResponseSummary | None:
        """What arrived of the latest response; ``None`` without a head."""
        head = self._latest_head
        if head is None:
            return None
        rest = b'' if self._splitter is None else self._splitter.rest
        return ResponseSummary(
            status=head.status,
            framing=head.framing,
            is_continuation=self._is_continuation,
            events=self._events,
            rest_bytes=len(rest),
        )

    @property
    def has_started(self) -> bool:
        """Whether the caller was sent a part of the response."""
        return self._has_started

    @property
    def can_be_continued(self) -> bool:
        """Whether another response may follow what the caller has."""
        if not self._has_started:
            return True
        return self._is_stream and self._order.is_numbered

    @property
    def status(self) -> int:
        """The status of the response, or 0 before its head arrives."""
        return self._head.status if self._head is not None else 0

    @property
    def is_server_error(self) -> bool:
        """Whether the server states that it failed."""
        return self._head is not None and self._head.is_server_error

    @property
    def is_inside_event(self) -> bool:
        """Whether the last event of a stream is not complete."""
        return self._splitter is not None and bool(self._splitter.rest.strip())

    @property
    def lacks_number(self) -> bool:
        """Whether no number shows that the events are the rest of a stream."""
        return self._splitter is not None and self._order.lacks_number

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of its connection ends the latest response."""
        head = self._latest_head
        return head is not None and head.framing is Framing.CONNECTION

    @property
    def last_event_id(self) -> str:
        """The last event that the caller has; empty if it has none."""
        return self._order.last_event_id

    def accept_head(
        self,
        head: ResponseHead,
        headers: tuple[Header, ...],
    ) -> None:
        """Start a response; a resumed one keeps the head that was sent.

        Raises
        ------
        ContinuationError
            If the caller has a part of a stream that this is not the rest of.
        """
        self._buffered.clear()
        self._buffered_bytes = 0
        self._order.start_response()
        self._latest_head = head
        self._is_continuation = self._has_started
        self._events = 0
        is_stream = _is_event_stream(head)
        self._splitter = (
            EventSplitter(_MAXIMUM_EVENT_BYTES) if is_stream else None
        )
        if not (is_stream and head.status == _OK):
            self._check_needs_no_events(head)
        if not self._has_started:
            self._head = head
            self._headers = headers
            self._is_stream = is_stream

    def forward_data(self, data: bytes) -> bool:
        """Forward or buffer a part of the body; return if it was forwarded.

        Raises
        ------
        BackendProtocolError
            If the body, or an event of a stream, does not end.
        ContinuationError
            If an event does not follow the last one that the caller has.
        """
        if self._splitter is None:
            self._body_bytes += len(data)
            if self._body_bytes > _MAXIMUM_BODY_BYTES:
                raise BackendProtocolError('the body does not end')
            return self._buffer_or_send(data)
        events = self._splitter.feed(data)
        if not events:
            return False
        if self._is_continuation and not self._events:
            # Only the first byte of a stream is a mark.
            events[0] = events[0].removeprefix(BYTE_ORDER_MARK)
        self._events += len(events)
        accepted: list[bytes] = []
        try:
            for event in events:
                accepted.extend(self._order.accept(event))
        finally:
            self._send_events(accepted)
        return bool(accepted)

    def finish_response(self) -> None:
        """End the response, with any bytes after the last event unchanged."""
        rest = b'' if self._splitter is None else self._splitter.rest
        self._send_events(self._order.release())
        buffered = b''.join(self._buffered)
        if not self._has_started:
            self._send_head(without_length=bool(rest))
        self._sink.write(buffered + rest)
        self._sink.finish()

    def discard_unsent(self) -> None:
        """Discard the part of a broken response that was not sent yet."""
        self._buffered.clear()
        self._buffered_bytes = 0
        self._splitter = None
        self._latest_head = None

    def check_replaces(self, head: ResponseHead) -> None:
        """Raise an error if a response is no better than one that may go on.

        Raises
        ------
        ContinuationError
            If its server failed, or if it is not the rest of the stream that
            the caller has a part of.
        """
        is_rest = _is_event_stream(head) and head.status == _OK
        if head.is_server_error or (
            (self._has_started or self._resumed_after) and not is_rest
        ):
            raise ContinuationError(
                f'status {head.status} replaces no answer that may go on'
            )

    def is_reading(self, head: ResponseHead) -> bool:
        """Return whether the latest response is that of a head."""
        return self._latest_head is head

    def may_begin(
        self, head: ResponseHead, data: bytes, *, is_whole: bool = False
    ) -> bool:
        """Return whether a response that was received so far is to begin.

        A stream begins with its first event, another answer once it is long
        or whole.

        Raises
        ------
        ContinuationError
            If an event does not follow the last one of the caller.
        """
        if not _is_event_stream(head):
            return is_whole or len(data) > _BUFFER_LIMIT_BYTES
        events = EventSplitter(_MAXIMUM_EVENT_BYTES).feed(data)
        order = copy.copy(self._order)
        order.start_response()
        has_event = any(
            has_data(accepted)
            for event in events
            for accepted in order.accept(event)
        )
        if has_event or not is_whole or order.lacks_number:
            return has_event
        return any(map(has_data, order.release()))

    def would_start(self, data: bytes) -> bool:
        """Return whether data would be the first that the caller gets."""
        if self._has_started or self._splitter is None:
            return False
        splitter, order = copy.copy(self._splitter), copy.copy(self._order)
        return any(order.accept(event) for event in splitter.feed(data))

    def _check_needs_no_events(self, head: ResponseHead) -> None:
        """Raise an error if only events may follow what the caller has."""
        is_failure = head.status >= _FIRST_ERROR_STATUS
        if self._has_started or (self._resumed_after and not is_failure):
            raise ContinuationError(
                f'status {head.status} does not continue the stream'
            )

    def _send_events(self, events: Sequence[bytes]) -> None:
        if events:
            self._send_head(without_length=True)
            self._sink.write(b''.join(events))

    def _buffer_or_send(self, data: bytes) -> bool:
        if self._has_started:
            self._sink.write(data)
            return True
        self._buffered.append(data)
        self._buffered_bytes += len(data)
        if self._buffered_bytes <= _BUFFER_LIMIT_BYTES:
            return False
        self._send_head(without_length=False)
        self._sink.write(b''.join(self._buffered))
        self._buffered.clear()
        return True

    def _send_head(self, *, without_length: bool) -> None:
        if self._has_started:
            return
        self._has_started = True
        headers = self._headers
        if without_length:
            # A resumed stream may differ in length from the first response.
            headers = tuple(
                header
                for header in headers
                if header[0].lower() != _CONTENT_LENGTH
            )
        self._sink.begin(self.status, headers)


def _is_event_stream(head: ResponseHead) -> bool:
    content_type = head.get(b'content-type').lower()
    return content_type.startswith(_EVENT_STREAM_TYPE)
