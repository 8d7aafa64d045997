"""The UDP endpoint of a router."""

from collections.abc import Callable
from typing import Any

from twisted.internet.interfaces import IReactorUDP
from twisted.internet.protocol import DatagramProtocol

from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import MAXIMUM_DATAGRAM, Message, Received
from yuccagauge.wire.codec import decode, encode
from yuccagauge.wire.errors import (
    MalformedMessageError,
    MessageTooLongError,
    UnknownKindError,
)
from yuccagauge.wire.traffic import BYTES, DATAGRAMS, count_ignored

#: Called with each datagram of one message class.
DatagramHandler = Callable[[Received], None]


class DatagramEndpoint(DatagramProtocol):
    """Send and receive single messages, each within one MTU.

    Parameters
    ----------
    reactor
        The loop.
    listen
        Local address; port 0 lets the system choose.
    sender
        Name of this router, written into each envelope.
    """

    noisy = False

    def __init__(
        self,
        reactor: IReactorUDP,
        listen: Endpoint,
        sender: str,
    ) -> None:
        """Prepare without opening the socket."""
        self._reactor = reactor
        self._listen = listen
        self._sender = sender
        self._handlers: dict[type[Message], DatagramHandler] = {}
        self._port: Any = None

    @property
    def endpoint(self) -> Endpoint:
        """The local address with the actual port."""
        if self._port is None:
            return self._listen
        return Endpoint(self._listen.host, self._port.getHost().port)

    def add_handler(
        self,
        message: type[Message],
        handler: DatagramHandler,
    ) -> None:
        """Handle all datagrams of one message class."""
        self._handlers[message] = handler

    def start(self, listen: Endpoint | None = None) -> None:
        """Open the socket, at another address than the given one if asked.

        The TCP endpoint of a router with port 0 gets its port first.
        """
        self._listen = listen or self._listen
        self._port = self._reactor.listenUDP(
            self._listen.port,
            self,
            interface=self._listen.host,
            maxPacketSize=2 * MAXIMUM_DATAGRAM,
        )

    def close(self) -> Any:
        """Close the socket; return a Deferred or None."""
        port, self._port = self._port, None
        return port.stopListening() if port is not None else None

    def send(self, peer: Endpoint, message: Message, sequence: int = 0) -> int:
        """Send one message and return its length in bytes.

        A datagram that the system does not take is lost, as any other.

        Raises
        ------
        MessageTooLongError
            If the message does not fit into one datagram.
        """
        return self.send_packed(
            (peer,),
            message,
            encode(message, self._sender, sequence),
        )

    def send_all(self, peers: tuple[Endpoint, ...], message: Message) -> int:
        """Send one message to several peers, encoding it once.

        Raises
        ------
        MessageTooLongError
            If the message does not fit into one datagram.
        """
        return self.send_packed(peers, message, encode(message, self._sender))

    def send_packed(
        self,
        peers: tuple[Endpoint, ...],
        message: Message,
        packed: bytes,
    ) -> int:
        """Send bytes that ``encode`` made and return their length."""
        if len(packed) > MAXIMUM_DATAGRAM:
            kind = type(message).__name__
            raise MessageTooLongError(
                f'{kind} has {len(packed)} bytes, more than a datagram',
            )
        if self.transport is None or self._port is None:
            return 0
        for peer in peers:
            try:
                self.transport.write(packed, (peer.host, peer.port))
            except OSError:
                count_ignored('send-failed')
        kind = type(message).__name__
        DATAGRAMS.add(len(peers), {'kind': kind, 'direction': 'sent'})
        total = len(packed) * len(peers)
        BYTES.add(total, {'transport': 'udp', 'direction': 'sent'})
        return len(packed)

    def datagramReceived(self, packed: bytes, address: Any) -> None:  # noqa: N802
        """Decode one datagram and pass it to its handler."""
        BYTES.add(len(packed), {'transport': 'udp', 'direction': 'received'})
        try:
            received = decode(packed, Endpoint(address[0], address[1]))
        except UnknownKindError:
            count_ignored('unknown-kind')
            return
        except MalformedMessageError:
            count_ignored('malformed')
            return
        handler = self._handlers.get(type(received.message))
        if handler is None:
            count_ignored('unhandled-kind')
            return
        kind = type(received.message).__name__
        DATAGRAMS.add(1, {'kind': kind, 'direction': 'received'})
        handler(received)
