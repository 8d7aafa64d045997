"""HTTP connections of callers with bounds on size and time."""

from io import BytesIO
from typing import Any

from twisted.internet.address import IPv4Address, IPv6Address
from twisted.internet.defer import Deferred
from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from yuccagauge.clock import Millis
from yuccagauge.gateway import metrics
from yuccagauge.gateway.responses import raw_response
from yuccagauge.settings.process import LimitsSection
from yuccagauge.verdict import Refusal, not_run_refusal

#: An idle connection between two requests is closed after this time.
_IDLE_SECONDS = 75

#: Time for which a connection that was accepted may bring its first request
#: while the router stops.
_FIRST_REQUEST_SECONDS = 1

#: The most headers of one request.
_MAXIMUM_HEADERS = 200

_MILLISECONDS_PER_SECOND = 1000

#: When to come back to a router with too many connections, in ms.
_CONNECTIONS_RETRY = Millis(1000)


class LimitedRequest(Request):
    """A request whose body stays in memory, within a bound."""

    def gotLength(self, length: int | None) -> None:
        """Refuse a body that announces too much; never use a disk."""
        self.content = BytesIO()
        self._received = 0
        if length is not None and length > self.channel.limits.body_bytes:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:
        """Take a part of the body, unless it is too long."""
        self._received += len(data)
        if self._received > self.channel.limits.body_bytes:
            self._refuse()
        else:
            super().handleContentChunk(data)

    def process(self) -> None:
        """Route the request, unless it was refused already."""
        if not self.channel.refused:
            super().process()

    def _refuse(self) -> None:
        limit = self.channel.limits.body_bytes
        self.channel.refuse(
            not_run_refusal(
                413,
                'body_too_large',
                f'the body is longer than {limit} bytes',
            ),
        )


class LimitedChannel(HTTPChannel):
    """A connection that answers broken or slow requests in our form."""

    requestFactory = LimitedRequest
    maxHeaders = _MAXIMUM_HEADERS
    #: Set by the site.
    limits: LimitsSection
    refused = False
    _clock_call: Any = None
    _has_received = False

    def connectionMade(self) -> None:
        """Apply the bounds, and the limit on connections."""
        self.totalHeadersSize = self.limits.header_bytes
        self.MAX_LENGTH = self.limits.header_bytes
        super().connectionMade()
        self.site.channels.add(self)
        if len(self.site.channels) > self.limits.connections:
            metrics.CONNECTIONS_REFUSED.add(1)
            self.refuse(
                not_run_refusal(
                    503,
                    'too_many_connections',
                    'the router has too many connections',
                    _CONNECTIONS_RETRY,
                ),
            )

    def dataReceived(self, data: bytes) -> None:
        """Start the time of a request with its first byte."""
        if self.refused:
            return
        self._has_received = True
        if self._clock_call is None and not self._handlingRequest:
            self._limit_time(self.limits.header_timeout_ms, 'header_timeout')
        super().dataReceived(data)

    def close_if_idle(self, *, may_be_new: bool) -> None:
        """Close the connection unless a request is under way.

        Parameters
        ----------
        may_be_new
            Whether a connection on which nothing has arrived stays open: its
            first request may be on the way.
        """
        if self not in self.site.channels:
            return
        is_new = may_be_new and not self._has_received
        is_arriving = self._clock_call is not None
        if not (self.requests or is_arriving or is_new):
            self.loseConnection()

    def checkPersistence(self, request: Request, version: bytes) -> bool:
        """Close after this answer once the router leaves."""
        if self.site.leaving:
            request.responseHeaders.setRawHeaders(b'Connection', [b'close'])
            return False
        return super().checkPersistence(request, version)

    def allHeadersReceived(self) -> None:
        """Go on with the time of the body."""
        super().allHeadersReceived()
        self._limit_time(self.limits.body_timeout_ms, 'body_timeout')

    def allContentReceived(self) -> None:
        """Stop the time; the caller has sent everything."""
        self._stop_time()
        super().allContentReceived()

    def lineLengthExceeded(self, line: bytes) -> None:
        """Answer a header that does not end."""
        self.refuse(_head_too_large())

    def connectionLost(self, reason: Any) -> None:
        """Free what the connection held."""
        self._stop_time()
        super().connectionLost(reason)
        self.site.closed(self)

    def refuse(self, refusal: Refusal) -> None:
        """Answer and close, whatever the caller still sends."""
        if self.refused:
            return
        self.refused = True
        self._stop_time()
        metrics.REFUSALS.add(
            1,
            {'code': refusal.code, 'verdict': refusal.verdict.value},
        )
        self.transport.write(raw_response(refusal))
        self.loseConnection()

    # The hook that HTTPChannel calls for every malformed request head.
    def _respondToBadRequestAndDisconnect(self) -> None:
        is_flood = (
            self._receivedHeaderSize > self.totalHeadersSize
            or self._receivedHeaderCount > self.maxHeaders
        )
        if is_flood:
            self.refuse(_head_too_large())
            return
        self.refuse(
            not_run_refusal(
                400, 'malformed_request', 'the request is not HTTP/1.1'
            ),
        )

    def _limit_time(self, limit_ms: int, code: str) -> None:
        self._stop_time()
        seconds = limit_ms / _MILLISECONDS_PER_SECOND
        self._clock_call = self.callLater(seconds, self._too_slow, code)

    def _stop_time(self) -> None:
        call = self._clock_call
        self._clock_call = None
        if call is not None and call.active():
            call.cancel()

    def _too_slow(self, code: str) -> None:
        self.refuse(
            not_run_refusal(408, code, 'the request took too long to arrive'),
        )


class LimitedSite(Site):
    """Serves a resource within the limits of the settings.

    Parameters
    ----------
    resource
        Routes the requests.
    limits
        Bounds on what one caller may send.
    """

    noisy = False

    def __init__(self, resource: Any, limits: LimitsSection) -> None:
        """Keep the limits for each connection."""
        super().__init__(resource, LimitedRequest, timeout=_IDLE_SECONDS)
        self.protocol = LimitedChannel
        self.limits = limits
        #: Open connections.
        self.channels: set[LimitedChannel] = set()
        #: Whether connections are closed after their next answer.
        self.leaving = False
        self._waiting: list[Deferred[None]] = []

    def leave(self) -> None:
        """Close connections after the answers that are under way.

        A channel that does not persist drops the bytes of its next request, so
        one without a request stays as it is.
        """
        self.leaving = True
        for channel in self.channels:
            if channel.requests:
                channel.persistent = False

    def close_idle(self) -> None:
        """Close the connections that carry no request.

        Those that have just been accepted have time for their first one.
        """
        for channel in tuple(self.channels):
            channel.close_if_idle(may_be_new=True)
            channel.callLater(
                _FIRST_REQUEST_SECONDS, channel.close_if_idle, may_be_new=False
            )

    def when_empty(self) -> Deferred[None]:
        """Fire when every connection is closed and its bytes are sent."""
        empty: Deferred[None] = Deferred()
        self._waiting.append(empty)
        self._tell_empty()
        return empty

    def closed(self, channel: LimitedChannel) -> None:
        """Forget a connection."""
        self.channels.discard(channel)
        self._tell_empty()

    def _tell_empty(self) -> None:
        if self.channels:
            return
        waiting = self._waiting
        self._waiting = []
        for empty in waiting:
            empty.callback(None)

    def buildProtocol(
        self,
        addr: IPv4Address | IPv6Address,
    ) -> LimitedChannel:
        """Give the limits to a new connection."""
        channel = super().buildProtocol(addr)
        channel.limits = self.limits
        return channel

    def log(self, request: Request) -> None:
        """Write no access log: lines are for state changes only."""


def _head_too_large() -> Refusal:
    return not_run_refusal(
        431, 'headers_too_large', 'the request head is too large'
    )
