"""Carries connections of peers to backend servers."""

from collections.abc import Callable
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from yuccagauge.clock import Clock
from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.dispatch.endpoints import ACCEPT_LIMIT, tcp_endpoint
from yuccagauge.peerpath.answers import CarriedAnswer
from yuccagauge.peerpath.dialer import probe_server
from yuccagauge.peerpath.direct import DirectAttempt
from yuccagauge.peerpath.metrics import CARRIED
from yuccagauge.peerpath.reach import DirectReach
from yuccagauge.peerpath.transport import (
    MAXIMUM_PAYLOAD,
    PATH_IDLE_S,
    send_payload,
)
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import Received
from yuccagauge.wire.fleetmessages import (
    PathData,
    PathEnd,
    PathOpen,
    PathOpened,
)
from yuccagauge.wire.messages import Failed
from yuccagauge.wire.server import PeerServer
from yuccagauge.wire.stream import FrameProtocol
from yuccagauge.wire.traffic import count_ignored

#: Largest number of connections that one router carries for its peers. Each may
#: hold a few buffers of 64 KiB.
MAXIMUM_CARRIED = 256


class PathCarrier:
    """Opens direct connections for peers that do not reach a server.

    A path has one hop: the connections never go through another peer.

    Parameters
    ----------
    server
        Accepts the connections of the peers.
    directory
        Knows the servers; no other address is connected to. Servers that were
        removed lately get connections that carry no call.
    reach
        Remembers which servers this router reaches directly.
    reactor, clock
        Open connections and tell the time.
    """

    def __init__(
        self,
        server: PeerServer,
        directory: Directory,
        reach: DirectReach,
        reactor: Any,
        clock: Clock,
    ) -> None:
        """Carry nothing yet."""
        self._server = server
        self._directory = directory
        self._reach = reach
        self._reactor = reactor
        self._clock = clock
        self._paths: set[_CarriedPath] = set()
        self._is_stopping = False
        #: Returns whether a server wants no call from this VM now.
        self.refuses_calls: Callable[[BackendServer], bool] = lambda server: (
            False
        )
        #: Called with a server and the head of its answer to a carried call.
        self.on_answer: Callable[[BackendServer, ResponseHead], None] = (
            lambda server, head: None
        )

    @property
    def carried_count(self) -> int:
        """Number of connections that are carried or being opened."""
        return len(self._paths)

    def start(self) -> None:
        """Begin to accept requests for paths."""
        self._server.add_connection_handler(PathOpen, self._handle_open)

    def stop_accepting(self) -> None:
        """Refuse new paths, because the router stops."""
        self._is_stopping = True

    def abort_paths(self) -> None:
        """End all paths at once, because the router stops."""
        for path in tuple(self._paths):
            path.abort()

    def _handle_open(self, frames: FrameProtocol, received: Received) -> None:
        request = received.message
        server = self._find_server(request)
        refusal = self._refusal(request, server)
        if refusal or server is None:
            CARRIED.add(1, {'outcome': refusal})
            frames.send_message(Failed(reason=refusal))
            return
        answer = CarriedAnswer(lambda head: self.on_answer(server, head))
        path = _CarriedPath(frames, answer, self._paths.discard)
        self._paths.add(path)
        path.start(
            DirectAttempt(
                request.target,
                tcp_endpoint(self._reactor, request.target),
                reach=self._reach,
                reactor=self._reactor,
                clock=self._clock,
                on_opened=path.handle_open,
                on_failed=path.handle_failure,
            )
        )

    def _find_server(self, request: PathOpen) -> BackendServer | None:
        """Return the server at the end of a path."""
        known = self._directory.servers.get(request.server)
        removed = (
            self._directory.removed_servers(self._clock.now())
            if request.is_probe and known is None
            else ()
        )
        return next(
            (
                server
                for server in (known, *removed)
                if server is not None
                and server.server_id == request.server
                and server.endpoint == request.target
            ),
            None,
        )

    def _refusal(self, request: PathOpen, server: BackendServer | None) -> str:
        """Return why a path is refused; empty if it is not."""
        if self._is_stopping:
            return 'stopping'
        if server is None:
            return 'unknown_server'
        if not request.is_probe and self.refuses_calls(server):
            return 'server_refuses'
        if len(self._paths) >= MAXIMUM_CARRIED:
            return 'too_many_paths'
        if self._reach.is_lost(request.target):
            self._probe_if_due(request.target)
            return 'not_reached'
        return ''

    def _probe_if_due(self, target: Endpoint) -> None:
        """Find out when a server is reached again that no own call tries."""
        if self._reach.try_probe(target, self._clock.now()):
            probe_server(target, self._reach, self._reactor, self._clock)


class _CarriedPath:
    """One connection to a server, and the one to the peer that uses it."""

    def __init__(
        self,
        frames: FrameProtocol,
        answer: CarriedAnswer,
        on_closed: 'Callable[[_CarriedPath], None]',
    ) -> None:
        self._frames = frames
        self._answer = answer
        self._on_closed = on_closed
        self._attempt: DirectAttempt | None = None
        #: The connection to the server while it is open.
        self._connection: Any = None
        #: Whether the peer has sent anything for the server.
        self._has_request = False
        self._has_ended = False

    def start(self, attempt: DirectAttempt) -> None:
        """Connect to the server."""
        self._attempt = attempt
        self._frames.hand_over(
            PATH_IDLE_S, self._handle_frame, self._handle_loss
        )
        factory = Factory.forProtocol(lambda: _ServerSide(self))
        factory.noisy = False
        attempt.start(factory, ACCEPT_LIMIT)

    def abort(self) -> None:
        """End both connections at once."""
        self._frames.transport.abortConnection()

    def handle_open(self, server_side: '_ServerSide') -> None:
        """Begin to carry; each side is paused while the other is full."""
        CARRIED.add(1, {'outcome': 'opened'})
        self._connection = server_side.transport
        self._connection.setTcpNoDelay(True)
        self._frames.transport.setTcpNoDelay(True)
        self._connection.registerProducer(_PushProducer(self._frames), True)
        self._frames.transport.registerProducer(
            _PushProducer(self._connection), True
        )
        self._frames.send_message(PathOpened())

    def handle_failure(self, failure: Failure) -> None:
        """Tell the peer that the server was not reached."""
        CARRIED.add(1, {'outcome': 'connect_failed'})
        self._frames.send_message(Failed(reason='connect_failed'))
        self._end()

    def handle_data(self, data: bytes) -> None:
        """Pass bytes of the server on.

        What it sends unasked would answer a request that it does not get.
        """
        if not self._has_request:
            count_ignored('unasked-on-path')
            self.abort()
        elif not self._has_ended:
            self._answer.receive(data)
            send_payload(self._frames, data)

    def handle_server_end(self, reason: Failure) -> None:
        """Pass the end of the server's connection on as it was.

        After a regular end the peer closes the path, once it has read all.
        """
        if self._connection is None:
            return
        self._connection = None
        if self._has_ended:
            return
        self._frames.transport.unregisterProducer()
        # The server takes no more, and must not keep the frames paused.
        if self._frames.paused:
            self._frames.resumeProducing()
        if reason.check(ConnectionDone):
            self._frames.send_message(PathEnd())
        else:
            self.abort()

    def _handle_frame(self, frames: FrameProtocol, received: Received) -> None:
        message = received.message
        is_sound = (
            isinstance(message, PathData)
            and len(message.payload) <= MAXIMUM_PAYLOAD
        )
        if not is_sound:
            count_ignored('unexpected-on-path')
            self.abort()
        elif self._connection is not None:
            self._has_request = True
            self._connection.write(message.payload)

    def _handle_loss(self, frames: FrameProtocol, reason: Failure) -> None:
        connection = self._connection
        self._connection = None
        self._end()
        if self._attempt is not None:
            self._attempt.cancel()
        if connection is not None:
            connection.unregisterProducer()
            connection.abortConnection()

    def _end(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self._on_closed(self)


class _ServerSide(Protocol):
    """The connection to the server."""

    def __init__(self, path: _CarriedPath) -> None:
        self._path = path

    def dataReceived(self, data: bytes) -> None:
        """Pass bytes of the server on."""
        self._path.handle_data(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Pass the end on."""
        self._path.handle_server_end(reason)


class _PushProducer:
    """Pauses one side while the other one is full.

    The end of a side is passed on when it is reported, with its reason: a
    transport that ends by itself would close the other side as if regularly.
    """

    def __init__(self, side: Any) -> None:
        self._side = side

    def pauseProducing(self) -> None:
        """Stop reading."""
        self._side.pauseProducing()

    def resumeProducing(self) -> None:
        """Read again."""
        self._side.resumeProducing()

    def stopProducing(self) -> None:
        """Leave the end to the one who reports it."""
