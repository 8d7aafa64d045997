"""Answers that are held until their length is known."""

from yuccagauge.dispatch.base import (
    BODILESS_STATUSES,
    AnswerSink,
    Header,
    SinkWatcher,
)
from yuccagauge.verdict import Refusal, Verdict

#: The status of requests that need a later version of HTTP.
VERSION_NOT_SUPPORTED = 505

VERSION_CODE = 'http_version'
VERSION_MESSAGE = 'an answer without a length needs HTTP/1.1'

_CONTENT_LENGTH = b'content-length'

#: Longest body that is held. A router has 150 MB for all calls.
_MAXIMUM_BYTES = 1_048_576


class WithheldAnswer:
    """Gives the answer to a caller that knows no chunks a length.

    Without a length, such an answer ends with its connection, so that a router
    that is killed looks like the regular end.

    Parameters
    ----------
    sink
        Receives the answer, or a refusal if it is too long to be held.
    method
        The method of the request.
    """

    def __init__(self, sink: AnswerSink, method: str) -> None:
        """Hold nothing yet."""
        self._sink = sink
        self._method = method
        self._watcher: SinkWatcher | None = None
        self._status = 0
        self._headers: tuple[Header, ...] = ()
        self._is_held = False
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._has_ended = False

    def watch(self, watcher: SinkWatcher) -> None:
        """Report back pressure and the caller's departure from now on."""
        self._watcher = watcher
        self._sink.watch(watcher)

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Hold the head if the body has no length."""
        if self._has_ended:
            return
        has_length = any(name.lower() == _CONTENT_LENGTH for name, _ in headers)
        is_bodiless = status in BODILESS_STATUSES or self._method == 'HEAD'
        if has_length or is_bodiless:
            self._sink.begin(status, headers)
            return
        self._is_held = True
        self._status = status
        self._headers = headers

    def write(self, event: bytes) -> None:
        """Hold a part of the body, or send it."""
        if self._has_ended:
            return
        if not self._is_held:
            self._sink.write(event)
            return
        self._body.append(event)
        self._body_bytes += len(event)
        if self._body_bytes > _MAXIMUM_BYTES:
            self._reject()

    def finish(self) -> None:
        """End a complete answer, whose length is known now."""
        if self._has_ended:
            return
        self._has_ended = True
        if self._is_held:
            length = str(self._body_bytes).encode()
            self._sink.begin(
                self._status, (*self._headers, (b'Content-Length', length))
            )
            self._sink.write(b''.join(self._body))
        self._sink.finish()

    def refuse(self, refusal: Refusal) -> None:
        """End without a complete answer; what is held is dropped."""
        if self._has_ended:
            return
        self._has_ended = True
        self._body.clear()
        self._sink.refuse(refusal)

    def _reject(self) -> None:
        """Leave a call whose answer is too long."""
        self.refuse(
            Refusal(
                status=VERSION_NOT_SUPPORTED,
                code=VERSION_CODE,
                message=VERSION_MESSAGE,
                verdict=Verdict.MAY_HAVE_RUN,
            )
        )
        if self._watcher is not None:
            self._watcher.left()
