"""A caller of a stream, and engines that send it any bytes."""

import re
from collections.abc import Iterable
from typing import Any

from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.dispatch.errors import (
    BackendProtocolError,
    ContinuationError,
)
from yuccagauge.relay.response import ResponseForwarder

_HEAD = ResponseHead(
    status=200, headers=((b'Content-Type', b'text/event-stream'),)
)
_LINE_END = re.compile(b'\r\n|\n|\r')
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'


class StreamCaller:
    """Reads a stream as the standard of server-sent events states."""

    def __init__(self, last_event_id: str = '') -> None:
        """Take a stream up after an event; empty for a new stream."""
        self.received = b''
        self.is_complete = False
        self.response = ResponseForwarder(self, last_event_id)

    @property
    def events(self) -> list[bytes]:
        """The data of each event that the caller has."""
        found: list[bytes] = []
        data: list[bytes] = []
        text = self.received.removeprefix(_BYTE_ORDER_MARK)
        for line in _LINE_END.split(text)[:-1]:
            if line.startswith(b'data:'):
                data.append(line.removeprefix(b'data:').removeprefix(b' '))
            elif not line and data:
                found.append(b'\n'.join(data))
                data.clear()
        return found

    def watch(self, watcher: Any) -> None:
        """Read without pauses."""

    def begin(self, status: int, headers: Any) -> None:
        """Take the head."""

    def write(self, data: bytes) -> None:
        """Take a part of the body."""
        self.received += data

    def finish(self) -> None:
        """Take the end of a complete answer."""
        self.is_complete = True

    def refuse(self, refusal: Any) -> None:
        """Take no refusal; the stream is judged by what was written."""

    def receive(self, pieces: Iterable[bytes], *, ends: bool) -> None:
        """Take one response of an engine, as a call does.

        Parameters
        ----------
        ends
            Whether the response ends by its framing, not by a reset.
        """
        response = self.response
        if self.is_complete or not response.can_be_continued:
            return
        try:
            self._receive(pieces, ends=ends)
        except (BackendProtocolError, ContinuationError):
            response.discard_unsent()

    def _receive(self, pieces: Iterable[bytes], *, ends: bool) -> None:
        response = self.response
        response.accept_head(_HEAD, _HEAD.headers)
        for piece in pieces:
            response.forward_data(piece)
        is_whole = ends and not response.is_inside_event
        if is_whole and not response.lacks_number:
            response.finish_response()
        else:
            response.discard_unsent()
