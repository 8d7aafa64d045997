"""The near end of a connection that a peer carries."""

from collections.abc import Callable
from typing import Any

from twisted.internet.address import IPv4Address, IPv6Address
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.python.failure import Failure

from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import Received
from yuccagauge.wire.fleetmessages import PathData, PathEnd
from yuccagauge.wire.stream import FrameProtocol
from yuccagauge.wire.traffic import count_ignored

#: Largest number of bytes of a connection in one message.
MAXIMUM_PAYLOAD = 65_536

#: A path is closed after this time without a message, in seconds. It only ends
#: paths whose other side is gone: the deadlines of calls are shorter.
PATH_IDLE_S = 600


def send_payload(frames: FrameProtocol, data: bytes) -> None:
    """Send bytes of a connection in messages of bounded size."""
    for start in range(0, len(data), MAXIMUM_PAYLOAD):
        part = data[start : start + MAXIMUM_PAYLOAD]
        frames.send_message(PathData(payload=part))


class PathTransport:
    """The transport of a protocol that speaks to a server through a peer.

    Parameters
    ----------
    frames
        The connection to the peer, which carries nothing else.
    server
        The backend server.
    reactor
        Schedules the delivery of data that was held back.
    on_closed
        Called once when the path has ended.
    """

    #: Each path carries one call, so that the calls return to the direct way
    #: as soon as it is there again.
    allows_reuse = False
    is_direct = False
    disconnecting = False

    def __init__(
        self,
        frames: FrameProtocol,
        server: Endpoint,
        reactor: Any,
        on_closed: Callable[[], None],
    ) -> None:
        """Create a transport without a protocol."""
        self._frames = frames
        self._server = server
        self._reactor = reactor
        self._on_closed = on_closed
        self._protocol: Any = None
        self._has_ended = False
        self._is_paused = False

    def connect(self, protocol: Any) -> None:
        """Begin to serve a protocol."""
        self._protocol = protocol
        self._frames.hand_over(
            PATH_IDLE_S, self._handle_frame, self._handle_loss
        )
        protocol.makeConnection(self)

    def write(self, data: bytes) -> None:
        """Send bytes to the server."""
        if not self._has_ended:
            send_payload(self._frames, data)

    def writeSequence(self, parts: list[bytes]) -> None:
        """Send several parts of data to the server."""
        self.write(b''.join(parts))

    def loseConnection(self) -> None:
        """Close after all data is sent."""
        self.disconnecting = True
        self._frames.transport.loseConnection()

    def abortConnection(self) -> None:
        """Close at once; the peer resets its connection to the server."""
        self.disconnecting = True
        self._frames.transport.abortConnection()

    def pauseProducing(self) -> None:
        """Stop reading from the peer."""
        self._is_paused = True
        self._frames.pauseProducing()

    def resumeProducing(self) -> None:
        """Read from the peer again.

        Data that was held back is delivered in a call of its own: the frames
        must not be parsed again while one of them is being handled.
        """
        self._is_paused = False
        self._reactor.callLater(0, self._resume_frames)

    def stopProducing(self) -> None:
        """Close, because nobody reads any more."""
        self.loseConnection()

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Pause a producer while the peer takes no more."""
        self._frames.transport.registerProducer(producer, streaming)

    def unregisterProducer(self) -> None:
        """Forget the producer."""
        self._frames.transport.unregisterProducer()

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Send small messages without delay."""
        self._frames.transport.setTcpNoDelay(enabled)

    def getPeer(self) -> Any:
        """Return the address of the server, not of the peer."""
        kind = IPv6Address if ':' in self._server.host else IPv4Address
        return kind('TCP', self._server.host, self._server.port)

    def getHost(self) -> Any:
        """Return the address of this side."""
        return self._frames.transport.getHost()

    def _resume_frames(self) -> None:
        if not self._is_paused and not self._has_ended:
            self._frames.resumeProducing()

    def _handle_frame(self, frames: FrameProtocol, received: Received) -> None:
        message = received.message
        if self._has_ended or self.disconnecting:
            return
        if isinstance(message, PathData):
            self._protocol.dataReceived(message.payload)
        elif isinstance(message, PathEnd):
            self._end(Failure(ConnectionDone()))
            frames.transport.abortConnection()
        else:
            count_ignored('unexpected-on-path')
            frames.transport.abortConnection()

    def _handle_loss(self, frames: FrameProtocol, reason: Failure) -> None:
        """End the connection as lost, however the one to the peer ended.

        An answer without a length ends with its connection, and a peer that
        ends must not make it look complete.
        """
        self._end(Failure(ConnectionLost('the path through a peer ended')))

    def _end(self, reason: Failure) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._on_closed()
            self._protocol.connectionLost(reason)
