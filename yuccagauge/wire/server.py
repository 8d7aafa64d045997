"""The TCP endpoint that answers the questions of other routers."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, maybeDeferred
from twisted.internet.interfaces import IReactorTCP
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from yuccagauge.errors import YuccagaugeError
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import Message, Received
from yuccagauge.wire.messages import Failed
from yuccagauge.wire.secure import PeerSecurity
from yuccagauge.wire.stream import FrameProtocol
from yuccagauge.wire.traffic import count_ignored

#: An idle connection is closed after this time, in seconds. It is longer
#: than the client's, so that the client closes first and no request is
#: sent into a connection that is closing.
IDLE_SECONDS = 120

#: Largest number of open connections from other routers. A fleet of 450
#: opens far fewer, because most questions stay within a data centre.
MAXIMUM_CONNECTIONS = 1024

#: Answers one request; returns a message or a Deferred of one.
RequestHandler = Callable[[Received], Any]

#: Takes a whole connection over, which begins with one message.
ConnectionHandler = Callable[[FrameProtocol, Received], None]


class PeerServer(Factory):
    """Answer requests by the handler of their message class.

    Parameters
    ----------
    reactor
        The loop.
    listen
        Local address; port 0 lets the system choose.
    sender
        Name of this router.
    tls
        Certificates; without them, connections are plain.
    """

    noisy = False

    def __init__(
        self,
        reactor: IReactorTCP,
        listen: Endpoint,
        sender: str,
        tls: PeerSecurity | None = None,
    ) -> None:
        """Prepare without opening the socket."""
        self._reactor = reactor
        self._listen = listen
        self._sender = sender
        self._tls = tls
        self._handlers: dict[type[Message], RequestHandler] = {}
        self._connection_handlers: dict[type[Message], ConnectionHandler] = {}
        self._connections: set[FrameProtocol] = set()
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
        handler: RequestHandler,
    ) -> None:
        """Answer all requests of one message class."""
        self._handlers[message] = handler

    def add_connection_handler(
        self,
        message: type[Message],
        handler: ConnectionHandler,
    ) -> None:
        """Hand over the connections on which one message class arrives."""
        self._connection_handlers[message] = handler

    def start(self) -> None:
        """Open the socket."""
        factory: Any = self
        if self._tls is not None:
            factory = self._tls.wrap_server(self, self._reactor)
        self._port = self._reactor.listenTCP(
            self._listen.port,
            factory,
            interface=self._listen.host,
        )

    def close(self) -> Any:
        """Close the socket and all connections; return a Deferred or None."""
        port, self._port = self._port, None
        for connection in tuple(self._connections):
            connection.transport.abortConnection()
        return port.stopListening() if port is not None else None

    def buildProtocol(self, address: Any) -> FrameProtocol | None:  # noqa: N802
        """Accept a connection unless there are too many."""
        if len(self._connections) >= MAXIMUM_CONNECTIONS:
            count_ignored('too-many-connections')
            return None
        protocol = FrameProtocol(
            self._sender,
            IDLE_SECONDS,
            self._answer,
            self._lost,
        )
        self._connections.add(protocol)
        return protocol

    def _lost(self, protocol: FrameProtocol, reason: Failure) -> None:
        self._connections.discard(protocol)

    def _answer(self, protocol: FrameProtocol, received: Received) -> None:
        take_over = self._connection_handlers.get(type(received.message))
        if take_over is not None:
            take_over(protocol, received)
            return
        handler = self._handlers.get(type(received.message))
        if handler is None:
            count_ignored('unhandled-kind')
            kind = type(received.message).__name__
            failed = Failed(reason=f'no handler for {kind}')
            protocol.send_answer(failed, received.sequence)
            return
        answer: Deferred[Message] = maybeDeferred(handler, received)
        answer.addErrback(_failed)
        answer.addCallback(self._reply, protocol, received.sequence)

    def _reply(
        self,
        message: Message,
        protocol: FrameProtocol,
        sequence: int,
    ) -> None:
        if protocol in self._connections:
            protocol.send_answer(message, sequence)


def _failed(failure: Failure) -> Failed:
    # Only errors of this project have messages that are free of the
    # caller's data; of any other, the peer learns the type alone.
    if failure.check(YuccagaugeError):
        return Failed(reason=failure.getErrorMessage())
    count_ignored('handler-error')
    return Failed(reason=failure.type.__name__)
