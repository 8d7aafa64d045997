"""Frames on a TCP connection between two routers."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IHandshakeListener
from twisted.protocols.basic import Int32StringReceiver
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure
from zope.interface import implementer

from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import MAXIMUM_FRAME, Message, Received
from yuccagauge.wire.codec import decode, encode
from yuccagauge.wire.errors import (
    MalformedMessageError,
    MessageTooLongError,
    UnknownKindError,
)
from yuccagauge.wire.messages import Failed
from yuccagauge.wire.traffic import BYTES, count_ignored

#: Called with each frame, and with the reason when the connection ends.
FrameHandler = Callable[['FrameProtocol', Received], None]
LossHandler = Callable[['FrameProtocol', Failure], None]


@implementer(IHandshakeListener)
class FrameProtocol(Int32StringReceiver, TimeoutMixin):
    """Length-prefixed frames; each frame is one message.

    Parameters
    ----------
    sender
        Name of this router, written into each envelope.
    idle_seconds
        The connection is closed after this time without a frame, which
        also bounds the time that a frame or a handshake may take.
    on_frame, on_lost
        Receive the frames and the end of the connection.
    """

    MAX_LENGTH = MAXIMUM_FRAME

    def __init__(
        self,
        sender: str,
        idle_seconds: float,
        on_frame: FrameHandler,
        on_lost: LossHandler,
    ) -> None:
        """Keep the handlers."""
        self._sender = sender
        self._idle_seconds = idle_seconds
        self._on_frame = on_frame
        self._on_lost = on_lost

    @property
    def peer(self) -> Endpoint:
        """The remote address."""
        address = self.transport.getPeer()
        return Endpoint(address.host, address.port)

    def connectionMade(self) -> None:  # noqa: N802
        """Start the idle timeout."""
        self.setTimeout(self._idle_seconds)

    def handshakeCompleted(self) -> None:  # noqa: N802
        """Accept the end of a TLS handshake; the context verified it."""

    def stringReceived(self, string: bytes) -> None:  # noqa: N802
        """Decode one frame; an unknown kind gets an answer."""
        self.resetTimeout()
        BYTES.add(len(string), {'transport': 'tcp', 'direction': 'received'})
        try:
            received = decode(string, self.peer)
        except UnknownKindError:
            count_ignored('unknown-kind')
            return
        except MalformedMessageError:
            count_ignored('malformed')
            self.transport.abortConnection()
            return
        self._on_frame(self, received)

    def lengthLimitExceeded(self, length: int) -> None:  # noqa: N802
        """Close a connection that announces too long a frame."""
        count_ignored('frame-too-long')
        self.transport.abortConnection()

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close an idle connection."""
        self.transport.abortConnection()

    def connectionLost(self, reason: Any = None) -> None:  # noqa: N802
        """Report the end."""
        self.setTimeout(None)
        self._on_lost(self, reason)

    def hand_over(
        self,
        idle_seconds: float,
        on_frame: FrameHandler,
        on_lost: LossHandler,
    ) -> None:
        """Give the frames to other handlers, beside the old one of the end."""
        previous_on_lost = self._on_lost

        def report_loss(protocol: 'FrameProtocol', reason: Failure) -> None:
            previous_on_lost(protocol, reason)
            on_lost(protocol, reason)

        self._on_frame = on_frame
        self._on_lost = report_loss
        self._idle_seconds = idle_seconds
        self.setTimeout(idle_seconds)

    def send_message(self, message: Message, sequence: int = 0) -> None:
        """Send one frame.

        Raises
        ------
        MessageTooLongError
            If the message exceeds the longest frame.
        """
        packed = encode(message, self._sender, sequence)
        if len(packed) > MAXIMUM_FRAME:
            kind = type(message).__name__
            raise MessageTooLongError(f'{kind} has {len(packed)} bytes')
        BYTES.add(len(packed), {'transport': 'tcp', 'direction': 'sent'})
        self.resetTimeout()
        self.sendString(packed)

    def send_answer(self, message: Message, sequence: int) -> None:
        """Send an answer; one that is too long becomes a failure."""
        try:
            self.send_message(message, sequence)
        except MessageTooLongError as error:
            self.send_message(Failed(reason=str(error)), sequence)
