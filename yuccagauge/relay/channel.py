"""Connections from callers: strict HTTP, one request at a time.

A request is read completely before it is handled. Pipelined bytes after it
wait until it is answered. A request that two parsers could interpret
differently is refused, and the connection is closed, to prevent request
smuggling.
"""

import json
from collections.abc import Callable
from typing import Any

import h11
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.base import CallerLimits
from yuccagauge.dispatch.base import AnswerSink, Header, SinkWatcher
from yuccagauge.dispatch.withheld import WithheldAnswer
from yuccagauge.relay import refusals
from yuccagauge.relay.base import IncomingRequest
from yuccagauge.verdict import VERDICT_HEADER, Refusal

#: Pipelined bytes that are buffered until the current request is answered.
#: Beyond them the connection is not read, so the router does not notice if the
#: caller closes it.
_MAXIMUM_PIPELINED_BYTES = 262_144

#: Time that a connection stays open beyond the configured idle timeout, so
#: that a request sent just before the timeout is still read.
_IDLE_MARGIN = Millis(1000)

#: Timeout for reading a body, as a multiple of the timeout for a head.
_BODY_TIMEOUT_FACTOR = 5

#: Handles one request; the sink receives the answer.
RequestHandler = Callable[[IncomingRequest, AnswerSink], None]


class CallerChannel(Protocol, TimeoutMixin):
    """One connection from a caller.

    Parameters
    ----------
    factory
        Holds the limits, the request handler and the open channels.
    """

    def __init__(self, factory: 'CallerFactory') -> None:
        """Create a channel that is not connected."""
        self._factory = factory
        limits = factory.limits()
        self._parser = h11.Connection(h11.SERVER, limits.header_bytes)
        self._head: h11.Request | None = None
        self._body: list[bytes] = []
        self._body_bytes = 0
        self._watcher: SinkWatcher | None = None
        self._is_answering = False
        self._has_sent_head = False
        self._is_open = False
        #: Whether the timeout passed and no bytes were read since.
        self._is_timeout_due = False
        self._idle_since = Millis(0)
        #: Whether the channel closes after the next answer.
        self._closes_after_answer = False
        self._pipelined: list[bytes] = []
        self._pipelined_bytes = 0

    @property
    def is_idle(self) -> bool:
        """Whether no request is being read or answered."""
        is_reading = self._head is not None or self._parser.trailing_data[0]
        return not self._is_answering and not is_reading

    def connectionMade(self) -> None:  # noqa: N802
        """Register with the factory and wait for a request."""
        self._is_open = True
        self._factory.channels.add(self)
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, streaming=True)
        self._start_idle_timeout()

    def connectionLost(  # noqa: N802
        self,
        reason: Failure = connectionDone,
    ) -> None:
        """Notify the running call that the caller has disconnected."""
        self._is_open = False
        self.setTimeout(None)
        self._factory.remove_channel(self)
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.left()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse a request, or buffer data until the current one is answered."""
        self._is_timeout_due = False
        if self._is_answering:
            self._pipelined.append(data)
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > _MAXIMUM_PIPELINED_BYTES:
                self.transport.pauseProducing()
            return
        if self._head is None:
            self.setTimeout(in_seconds(self._factory.limits().header_timeout))
        self._feed(data)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Refuse an incomplete request, or close an idle channel.

        After a pause of the process, timers are due before the bytes that
        arrived meanwhile are read, so those are read first.
        """
        if not self._is_timeout_due:
            self._is_timeout_due = True
            self.setTimeout(0)
            return
        self._is_timeout_due = False
        if not self.is_idle:
            self._reject_request(refusals.slow_request())
            return
        time_left = self._idle_time_left()
        if time_left > 0:
            self.setTimeout(in_seconds(time_left))
        else:
            self._close()

    def pauseProducing(self) -> None:  # noqa: N802
        """Pause the call, because the caller reads too slowly."""
        if self._watcher is not None:
            self._watcher.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume the call, because the caller reads again."""
        if self._watcher is not None:
            self._watcher.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; ``connectionLost`` handles the closed connection."""

    def watch(self, watcher: SinkWatcher) -> None:
        """Notify a watcher of backpressure and of a closed connection."""
        self._watcher = watcher

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Send the response head."""
        if not self._is_open:
            return
        self._has_sent_head = True
        closing = () if self._is_kept_alive() else ((b'Connection', b'close'),)
        self._write(
            h11.Response(status_code=status, headers=[*headers, *closing]),
        )

    def write(self, event: bytes) -> None:
        """Send a part of the body."""
        if self._is_open and event:
            self._write(h11.Data(data=event))

    def finish(self) -> None:
        """Complete the answer and read the next request."""
        if not self._is_open:
            return
        self._watcher = None
        self._write(h11.EndOfMessage())
        self._is_answering = False
        self._has_sent_head = False
        if self._parser.our_state is not h11.DONE:
            # The head has said that the channel closes.
            self._close()
            return
        self._parser.start_next_cycle()
        self._start_idle_timeout()
        pipelined = b''.join(self._pipelined)
        self._pipelined.clear()
        self._pipelined_bytes = 0
        self.transport.resumeProducing()
        if pipelined or self._parser.trailing_data[0]:
            self._feed(pipelined)
        if not self._is_kept_alive():
            self.close_if_idle()

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal, or reset the connection after a partial answer."""
        if not self._is_open:
            return
        if self._has_sent_head:
            # If the connection closed normally, the answer would look complete.
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
        """Close the channel if no request has arrived or is being answered."""
        if self._is_open and self.is_idle:
            self._closes_after_answer = True
            self.setTimeout(0)

    def abort(self) -> None:
        """Reset the connection at once."""
        if self._is_open:
            self.transport.abortConnection()

    def _feed(self, data: bytes) -> None:
        try:
            self._parser.receive_data(data)
            self._parse()
        except h11.RemoteProtocolError as error:
            self._reject_request(
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
            self._handle_event(event)

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, h11.Request):
            self._handle_head(event)
        elif isinstance(event, h11.Data):
            self._handle_body(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._handle_end()

    def _handle_head(self, head: h11.Request) -> None:
        self._head = head
        refusal = _check_head(head, self._factory.limits())
        if refusal is not None:
            self._reject_request(refusal)
            return
        self.setTimeout(
            _BODY_TIMEOUT_FACTOR
            * in_seconds(self._factory.limits().header_timeout),
        )
        if self._parser.they_are_waiting_for_100_continue:
            self._write(
                h11.InformationalResponse(status_code=100, headers=[]),
            )

    def _handle_body(self, data: bytes) -> None:
        self._body.append(data)
        self._body_bytes += len(data)
        if self._body_bytes > self._factory.limits().body_bytes:
            self._reject_request(refusals.too_large(refusals.TOO_LARGE))

    def _handle_end(self) -> None:
        self.setTimeout(None)
        head = self._head
        request = IncomingRequest(
            method=head.method.decode('ascii'),
            target=head.target.decode('latin-1'),
            headers=tuple(head.headers.raw_items()),
            body=b''.join(self._body),
            received_at=self._factory.clock.now(),
            http_version=head.http_version.decode('ascii'),
        )
        self._head = None
        self._body.clear()
        self._body_bytes = 0
        self._is_answering = True
        holds = not request.knows_chunks
        sink = WithheldAnswer(self, request.method) if holds else self
        self._factory.handle_request(request, sink)

    def _reject_request(self, refusal: Refusal) -> None:
        """Refuse a request that is not read completely, and close."""
        self.setTimeout(None)
        if self._parser.our_state is not h11.SEND_RESPONSE and (
            self._parser.our_state is not h11.IDLE
        ):
            self._is_open = False
            self.transport.abortConnection()
            return
        self._is_answering = True
        self._closes_after_answer = True
        self.refuse(refusal)

    def _close(self) -> None:
        """Close the connection after all written data is sent."""
        self._is_open = False
        # The transport does not close while a registered producer is paused.
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def _is_kept_alive(self) -> bool:
        return not (
            self._factory.closes_after_answers or self._closes_after_answer
        )

    def _start_idle_timeout(self) -> None:
        self._idle_since = self._factory.clock.now()
        self.setTimeout(in_seconds(self._idle_time_left()))

    def _idle_time_left(self) -> Millis:
        """Return how long an idle channel stays open by the limits in force."""
        if self._closes_after_answer:
            return Millis(0)
        limit = self._factory.limits().idle_timeout + _IDLE_MARGIN
        elapsed = self._factory.clock.now() - self._idle_since
        return Millis(max(0, limit - elapsed))

    def _write(self, event: Any) -> None:
        encoded = self._parser.send(event)
        if encoded:
            self.transport.write(encoded)


class CallerFactory(Factory):
    """Creates the channels of callers and keeps track of the open ones.

    Parameters
    ----------
    handle_request
        Handles each request.
    limits
        Returns the limits in force.
    clock
        The source of time.
    """

    noisy = False

    def __init__(
        self,
        handle_request: RequestHandler,
        limits: Callable[[], CallerLimits],
        clock: Clock,
    ) -> None:
        """Create a factory without channels."""
        self.handle_request = handle_request
        self.limits = limits
        self.clock = clock
        self.channels: set[CallerChannel] = set()
        self.closes_after_answers = False

    def buildProtocol(self, addr: Any) -> CallerChannel:  # noqa: N802
        """Return the channel of a new connection."""
        return CallerChannel(self)

    def remove_channel(self, channel: CallerChannel) -> None:
        """Remove a closed channel."""
        self.channels.discard(channel)

    def stop_keep_alive(self) -> None:
        """Close each channel after its next answer."""
        self.closes_after_answers = True

    def close_idle_channels(self) -> None:
        """Close the channels that have no request in progress."""
        for channel in tuple(self.channels):
            channel.close_if_idle()

    def close(self) -> None:
        """Reset the connections of all channels."""
        for channel in tuple(self.channels):
            channel.abort()


def _check_head(head: h11.Request, limits: CallerLimits) -> Refusal | None:
    """Return a refusal if a head is ambiguous or announces too large a body."""
    counts: dict[bytes, int] = {}
    declared = 0
    for name, value in head.headers:
        counts[name] = counts.get(name, 0) + 1
        if name == b'content-length':
            declared = int(value)
    if b'transfer-encoding' in counts and b'content-length' in counts:
        return refusals.malformed(
            'both Content-Length and Transfer-Encoding are present'
        )
    if counts.get(b'host', 0) != 1:
        return refusals.malformed('the number of Host headers is not one')
    if not head.target.startswith(b'/'):
        return refusals.malformed('the request target is not a path')
    if declared > limits.body_bytes:
        return refusals.too_large(refusals.TOO_LARGE)
    return None
