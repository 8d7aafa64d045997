"""The answer of a server on its way to the caller."""

from yuccagauge.dispatch.base import AnswerSink, Header, ResponseHead
from yuccagauge.dispatch.sse import EventSplitter, event_number

_EVENT_STREAM = 'text/event-stream'
_LENGTH = b'content-length'

#: Answers up to this size are held until they are complete, so that a call
#: that may be repeated can still be moved to another server.
_HELD_BYTES = 262_144


class Answer:
    """Passes on events as they arrive, and other answers when complete.

    Parameters
    ----------
    sink
        Where the answer goes.
    """

    def __init__(self, sink: AnswerSink) -> None:
        """Start without a head."""
        self._sink = sink
        self._head: ResponseHead | None = None
        self._headers: tuple[Header, ...] = ()
        self._splitter: EventSplitter | None = None
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._is_begun = False
        self._last_event = ''

    @property
    def is_begun(self) -> bool:
        """Whether the caller got a part of it."""
        return self._is_begun

    @property
    def status(self) -> int:
        """The status of the head, or 0 before it."""
        return self._head.status if self._head is not None else 0

    @property
    def last_event(self) -> str:
        """The number of the last whole event that the caller got."""
        return self._last_event

    def take_head(
        self,
        head: ResponseHead,
        headers: tuple[Header, ...],
    ) -> None:
        """Take the head; a resumed answer keeps the first one."""
        self._held.clear()
        self._held_bytes = 0
        if not self._is_begun:
            self._head = head
            self._headers = headers
        kind = head.get(b'content-type')
        is_stream = kind.startswith(_EVENT_STREAM)
        self._splitter = EventSplitter() if is_stream else None

    def take_data(self, data: bytes) -> bool:
        """Take a part of the body; return whether some of it went out."""
        if self._splitter is None:
            return self._hold(data)
        events = self._splitter.feed(data)
        if not events:
            return False
        for event in events:
            number = event_number(event)
            if number is not None:
                self._last_event = str(number)
        self._begin(without_length=True)
        self._sink.write(b''.join(events))
        return True

    def complete(self) -> None:
        """End the answer; bytes behind the last event go out as they are."""
        rest = b'' if self._splitter is None else self._splitter.rest
        held = b''.join(self._held)
        if not self._is_begun:
            self._begin(without_length=bool(rest))
        self._sink.write(held + rest)
        self._sink.finish()

    def drop_partial(self) -> None:
        """Drop what the caller did not get of a broken answer."""
        self._held.clear()
        self._held_bytes = 0
        self._splitter = None

    def _hold(self, data: bytes) -> bool:
        if self._is_begun:
            self._sink.write(data)
            return True
        self._held.append(data)
        self._held_bytes += len(data)
        if self._held_bytes <= _HELD_BYTES:
            return False
        self._begin(without_length=False)
        self._sink.write(b''.join(self._held))
        self._held.clear()
        return True

    def _begin(self, *, without_length: bool) -> None:
        if self._is_begun:
            return
        self._is_begun = True
        headers = self._headers
        if without_length:
            # A resumed stream may differ in length from the first one.
            headers = tuple(
                header for header in headers if header[0].lower() != _LENGTH
            )
        self._sink.begin(self.status, headers)
