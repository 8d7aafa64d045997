"""The answer to one call, on a request of ``twisted.web``."""

import json
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from twisted.web.http import Request
from zope.interface import implementer

from yuccagauge.dispatch.base import Header, SinkWatcher
from yuccagauge.gateway import metrics
from yuccagauge.gateway.responses import (
    REQUEST_ID_HEADER,
    error_body,
    error_event,
    refusal_headers,
)
from yuccagauge.verdict import Refusal

_EVENT_STREAM = b'text/event-stream'


@implementer(IPushProducer)
class _Producer:
    """Hands the back pressure of the caller's connection on."""

    def __init__(self, watcher: SinkWatcher) -> None:
        self._watcher = watcher

    def pauseProducing(self) -> None:
        """Pause, when the caller's buffer is full."""
        self._watcher.pause()

    def resumeProducing(self) -> None:
        """Resume, when the caller's buffer is empty."""
        self._watcher.resume()

    def stopProducing(self) -> None:
        """Do nothing; the end of the request tells the watcher."""


class HttpSink:
    """Writes one answer.

    Parameters
    ----------
    request
        The caller's request.
    request_id
        Its name, for the response header.
    """

    def __init__(self, request: Request, request_id: str) -> None:
        """Start before the response head."""
        self._request = request
        self._request_id = request_id
        self._watcher: SinkWatcher | None = None
        self._begun = False
        self._is_stream = False
        self._closed = False
        #: Fires when nothing more is written.
        self.done: Deferred[None] = Deferred(lambda _: None)
        request.notifyFinish().addErrback(self._left)

    def watch(self, watcher: SinkWatcher) -> None:
        """Report back pressure and the caller's departure."""
        self._watcher = watcher
        if self._closed:
            watcher.left()
            return
        self._request.registerProducer(_Producer(watcher), True)

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the response head with the first part of the body."""
        if self._closed:
            return
        self._begun = True
        self._request.setResponseCode(status)
        for name, text in headers:
            self._request.responseHeaders.addRawHeader(name, text)
            self._is_stream = self._is_stream or text == _EVENT_STREAM
        self._request.setHeader(REQUEST_ID_HEADER, self._request_id)

    def write(self, event: bytes) -> None:
        """Send a part of the body."""
        if not self._closed:
            self._request.write(event)

    def finish(self) -> None:
        """End a complete answer."""
        if not self._closed:
            self._close()

    def refuse(self, refusal: Refusal) -> None:
        """End without a complete answer."""
        if self._closed:
            _count(refusal)
        elif not self._begun:
            body = refuse_request(self._request, refusal, self._request_id)
            self._request.write(body)
            self._close()
        elif self._is_stream:
            _count(refusal)
            self._request.write(error_event(refusal, self._request_id))
            self._close()
        else:
            # A body without its end cannot be taken for a whole one.
            _count(refusal)
            self._request.transport.abortConnection()

    def _close(self) -> None:
        self._closed = True
        if self._watcher is not None:
            self._request.unregisterProducer()
        self._request.finish()
        self._fire()

    def _left(self, failure: Failure) -> None:
        if self._closed:
            return
        self._closed = True
        if self._watcher is not None:
            self._watcher.left()
        self._fire()

    def _fire(self) -> None:
        if not self.done.called:
            self.done.callback(None)


def json_answer(request: Request, status: int, answer: Any) -> bytes:
    """Set status and headers of an answer of the router's own, and encode it.

    It has a length, so that callers without chunks can tell its end.
    """
    body = json.dumps(answer).encode()
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    request.setHeader('Content-Length', str(len(body)))
    return body


def refuse_request(
    request: Request,
    refusal: Refusal,
    request_id: str = '',
) -> bytes:
    """Set status and headers of a refusal and return its body."""
    _count(refusal)
    body = error_body(refusal, request_id)
    request.setResponseCode(refusal.status)
    for name, text in refusal_headers(refusal, request_id).items():
        request.setHeader(name, text)
    request.setHeader('Content-Length', str(len(body)))
    return body


def _count(refusal: Refusal) -> None:
    metrics.REFUSALS.add(
        1,
        {'code': refusal.code, 'verdict': refusal.verdict.value},
    )
