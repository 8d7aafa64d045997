"""Connections from callers: strict HTTP/1.1, one request at a time.

A request is read whole before it is passed on. Bytes that follow it wait
until its answer is out. Anything that two readers could understand in two
ways is refused, and the connection is closed.
"""

import json
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, in_seconds
from yuccagauge.directory.base import CallerLimits
from yuccagauge.dispatch.base import AnswerSink, Header, SinkWatcher
from yuccagauge.relay import refusals
from yuccagauge.relay.base import IncomingRequest
from yuccagauge.verdict import VERDICT_HEADER, Refusal

#: Bytes behind a request that are kept until its answer is out. Beyond
#: them, nothing more is read, and the caller's leaving goes unnoticed.
_MAXIMUM_BEHIND = 262_144

#: Time beyond the announced idle limit before a connection is closed, so
#: that a request sent at the limit is still read, in seconds.
_IDLE_MARGIN_S = 1

#: Time a whole body may take, as a multiple of the time for a head.
_BODY_TIMEOUTS = 5

#: Handles one request; the sink takes the answer.
RequestHandler = Callable[[IncomingRequest, AnswerSink], None]


class CallerChannel(Protocol, TimeoutMixin):
    """One connection from a caller.

    Parameters
    ----------
    factory
        Knows the limits, the handler and all open channels.
    """

    def __init__(self, factory: 'CallerFactory') -> None:
        """Start without a request."""
        self._factory = factory
        limits = factory.limits()
        self._parser = h11.Connection(h11.SERVER, limits.header_bytes)
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._watcher: SinkWatcher | None = None
        self._is_answering = False
        self._is_begun = False
        self._is_open = False
        #: Whether the channel ends with the next answer.
        self._is_last = False
        self._behind: list[bytes] = []
        self._behind_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        is_reading = self._head is not None or self._parser.trailing_data[0]
        return not self._is_answering and not is_reading

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the factory and expect a head."""
        self._is_open = True
        self._factory.channels.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, streaming=True)
        self._expect_head()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Tell the running call that its caller left."""
        self._is_open = False
        self.setTimeout(None)
        self._factory.forget(self)
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.left()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse, or keep what follows an unanswered request."""
        if self._is_answering:
            self._behind.append(data)
            self._behind_bytes += len(data)
            if self._behind_bytes > _MAXIMUM_BEHIND:
                self.transport.pauseProducing()
            return
        if self._head is None:
            self.setTimeout(in_seconds(self._factory.limits().header_timeout))
        self._feed(data)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Answer a request that stopped half way, or close an idle channel."""
        if self._head is None and not self._parser.trailing_data[0]:
            self._close()
            return
        self._reject(refusals.slow_request())

    def pauseProducing(self) -> None:  # noqa: N802
        """The caller reads slower than it is written to."""
        if self._watcher is not None:
            self._watcher.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """The caller reads again."""
        if self._watcher is not None:
            self._watcher.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is gone; ``connectionLost`` reports it."""

    def watch(self, watcher: SinkWatcher) -> None:
        """Report back pressure and the caller's departure from now on."""
        self._watcher = watcher

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the response head."""
        if not self._is_open:
            return
        self._is_begun = True
        closing = () if self._keeps_open() else ((b'Connection', b'close'),)
        self._write(
            h11.Response(status_code=status, headers=[*headers, *closing]),
        )

    def write(self, event: bytes) -> None:
        """Send a part of the body."""
        if self._is_open and event:
            self._write(h11.Data(data=event))

    def finish(self) -> None:
        """End a complete answer and read the next request."""
        if not self._is_open:
            return
        self._watcher = None
        self._write(h11.EndOfMessage())
        self._is_answering = False
        self._is_begun = False
        if self._parser.our_state is not h11.DONE or not self._keeps_open():
            self._close()
            return
        self._parser.start_next_cycle()
        self._expect_head()
        behind = b''.join(self._behind)
        self._behind.clear()
        self._behind_bytes = 0
        self.transport.resumeProducing()
        if behind or self._parser.trailing_data[0]:
            self._feed(behind)

    def refuse(self, refusal: Refusal) -> None:
        """End without a complete answer."""
        if not self._is_open:
            return
        if self._is_begun:
            # A clean end would make the answer look complete.
            self._watcher = None
            self._is_open = False
            self.transport.abortConnection()
            return
        body = json.dumps({'error': refusal.code}).encode()
        headers = [
            (b'Content-Type', b'application/json'),
            (b'Content-Length', str(len(body)).encode()),
            (VERDICT_HEADER.encode(), refusal.verdict.value.encode()),
        ]
        if refusal.retry_after is not None:
            seconds = in_seconds(refusal.retry_after)
            headers.append((b'Retry-After', f'{seconds:.3f}'.encode()))
        self.begin(refusal.status, tuple(headers))
        self.write(body)
        self.finish()

    def close_if_idle(self) -> None:
        """Close a channel that carries no request."""
        if self._is_open and self.is_idle:
            self._close()

    def abort(self) -> None:
        """Close at once, whatever runs."""
        if self._is_open:
            self.transport.abortConnection()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as error:
            self._reject(
                refusals.malformed(str(error), error.error_status_hint),
            )

    def _parse(self) -> None:
        while self._is_open and not self._is_answering:
            event = self._parser.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.ConnectionClosed):
                self._close()
                return
            self._take(event)

    def _take(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._take_head(event)
        elif isinstance(event, h11.Data):
            self._take_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._take_end()

    def _take_head(self, head: h11.Request) -> None:
        self._head = head
        problem = _problem(head, self._factory.limits())
        if problem is not None:
            self._reject(problem)
            return
        self.setTimeout(
            _BODY_TIMEOUTS * in_seconds(self._factory.limits().header_timeout),
        )
        if self._parser.they_are_waiting_for_100_continue:
            self._write(
                h11.InformationalResponse(status_code=100, headers=[]),
            )

    def _take_body(self, data: bytes) -> None:
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._factory.limits().body_bytes:
            self._reject(refusals.too_large(refusals.TOO_LARGE))

    def _take_end(self) -> None:
        self.setTimeout(None)
        head = self._head
        request = IncomingRequest(
            method=head.method.decode('ascii'),
            target=head.target.decode('latin-1'),
            headers=tuple(head.headers.raw_items()),
            body=b''.join(self._body),
            received_at=self._factory.clock.now(),
        )
        self._head = None
        self._body.clear()
        self._body_bytes = 0
        self._is_answering = True
        self._factory.handle(request, self)

    def _reject(self, refusal: Refusal) -> None:
        """Refuse a request that was not read whole, and close."""
        self.setTimeout(None)
        if self._parser.our_state is not h11.SEND_RESPONSE and (
            self._parser.our_state is not h11.IDLE
        ):
            self._is_open = False
            self.transport.abortConnection()
            return
        self._is_answering = True
        self._is_last = True
        self.refuse(refusal)

    def _close(self) -> None:
        """Close once everything written has left."""
        self._is_open = False
        # A paused producer would keep the transport from closing.
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _keeps_open(self) -> bool:
        return not (self._factory.is_leaving or self._is_last)

    def _expect_head(self) -> None:
        idle = in_seconds(self._factory.limits().idle_timeout)
        self.setTimeout(idle + _IDLE_MARGIN_S)

    def _write(self, event: Any) -> None:
        packed = self._parser.send(event)
        if packed:
            self.transport.write(packed)


class CallerFactory(Factory):
    """Builds the channels of callers and knows the open ones.

    Parameters
    ----------
    handle
        Handles each request.
    limits
        Returns the limits in force.
    clock
        The source of time.
    """

    noisy = False

    def __init__(
        self,
        handle: RequestHandler,
        limits: Callable[[], CallerLimits],
        clock: Clock,
    ) -> None:
        """Start without channels."""
        self.handle = handle
        self.limits = limits
        self.clock = clock
        self.channels: set[CallerChannel] = set()
        self.is_leaving = False

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Return the channel of a new connection."""
        return CallerChannel(self)

    def forget(self, channel: CallerChannel) -> None:
        """Remove a channel that ended."""
        self.channels.discard(channel)

    def leave(self) -> None:
        """Let each channel end with its next answer."""
        self.is_leaving = True

    def close_idle(self) -> None:
        """Close the channels that carry no request."""
        for channel in tuple(self.channels):
            channel.close_if_idle()

    def close(self) -> None:
        """Cut all channels."""
        for channel in tuple(self.channels):
            channel.abort()


def _problem(head: h11.Request, limits: CallerLimits) -> Refusal | None:
    """Return why a head is refused, if it is ambiguous or too large."""
    counts: dict[bytes, int] = {}
    declared = 0
    for name, value in head.headers:
        counts[name] = counts.get(name, 0) + 1
        if name == b'content-length':
            declared = int(value)
    if b'transfer-encoding' in counts and b'content-length' in counts:
        return refusals.malformed('both a length and a transfer encoding')
    if counts.get(b'host', 0) != 1:
        return refusals.malformed('not exactly one host')
    if not head.target.startswith(b'/'):
        return refusals.malformed('the target is not a path')
    if declared > limits.body_bytes:
        return refusals.too_large(refusals.TOO_LARGE)
    return None
