"""One request to a peer to carry a connection."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from yuccagauge.dispatch.endpoints import tcp_endpoint
from yuccagauge.exchange.members import Member
from yuccagauge.peerpath.transport import PathTransport
from yuccagauge.wire.base import Received
from yuccagauge.wire.fleetmessages import PathOpen, PathOpened
from yuccagauge.wire.stream import FrameProtocol

#: Seconds that a peer may take to open a path.
_OPENING_S = 2


class PathAttempt:
    """Asks one peer for a path.

    Parameters
    ----------
    peer
        The peer.
    request
        What it is asked for.
    sender
        Name of this router.
    reactor
        The loop.
    on_opened, on_failed
        One of them is called once with this attempt.
    """

    def __init__(
        self,
        peer: Member,
        request: PathOpen,
        *,
        sender: str,
        reactor: Any,
        on_opened: 'Callable[[PathAttempt], None]',
        on_failed: 'Callable[[PathAttempt], None]',
    ) -> None:
        """Create an attempt that has not started."""
        self._peer = peer
        self._request = request
        self._sender = sender
        self._reactor = reactor
        self._on_opened = on_opened
        self._on_failed = on_failed
        self._connecting: Deferred[FrameProtocol] | None = None
        self._frames: FrameProtocol | None = None
        self._has_ended = False

    @property
    def peer(self) -> Member:
        """The peer that is asked."""
        return self._peer

    def start(self) -> None:
        """Connect to the peer and ask it."""
        factory = Factory.forProtocol(
            lambda: FrameProtocol(
                self._sender, _OPENING_S, self._handle_frame, self._handle_loss
            )
        )
        factory.noisy = False
        endpoint = tcp_endpoint(self._reactor, self._peer.endpoint)
        self._connecting = endpoint.connect(factory)
        self._connecting.addCallbacks(self._ask, self._handle_no_connection)

    def cancel(self) -> None:
        """Close; nothing is called any more."""
        self._has_ended = True
        if self._frames is not None:
            self._frames.transport.abortConnection()
        elif self._connecting is not None:
            self._connecting.cancel()

    def use(self, factory: Any, on_closed: Callable[[], None]) -> Any:
        """Return a protocol that speaks to the server on the open path."""
        server = self._request.target
        transport = PathTransport(
            self._frames, server, self._reactor, on_closed
        )
        protocol = factory.buildProtocol(transport.getPeer())
        transport.connect(protocol)
        return protocol

    def _ask(self, frames: FrameProtocol) -> None:
        if self._has_ended:
            frames.transport.abortConnection()
            return
        self._frames = frames
        frames.transport.setTcpNoDelay(True)
        frames.send_message(self._request)

    def _handle_frame(self, frames: FrameProtocol, received: Received) -> None:
        if self._has_ended:
            return
        if isinstance(received.message, PathOpened):
            self._has_ended = True
            self._on_opened(self)
            return
        frames.transport.abortConnection()
        self._fail()

    def _handle_loss(self, frames: FrameProtocol, reason: Failure) -> None:
        self._fail()

    def _handle_no_connection(self, failure: Failure) -> None:
        self._fail()

    def _fail(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._on_failed(self)
