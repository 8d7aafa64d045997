"""Questions to other routers over TCP, one connection for each peer."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import (
    TCP4ClientEndpoint,
    TCP6ClientEndpoint,
)
from twisted.internet.error import ConnectError, ConnectingCancelledError
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from yuccagauge.clock import Millis, in_seconds
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import Message, Received
from yuccagauge.wire.errors import (
    CertificateRefusedError,
    MessageTooLongError,
    PeerFailedError,
    PeerUnavailableError,
)
from yuccagauge.wire.messages import Failed
from yuccagauge.wire.secure import PeerSecurity
from yuccagauge.wire.stream import FrameProtocol
from yuccagauge.wire.traffic import REQUESTS, count_ignored

#: An idle connection is closed after this time, in seconds.
IDLE_SECONDS = 60

#: Largest number of requests that wait on one connection.
MAXIMUM_PENDING = 1024

#: How long connecting may take, in seconds.
CONNECT_SECONDS = 5


class PeerClient:
    """Send requests to peers and match the answers by sequence number.

    Parameters
    ----------
    reactor
        The loop.
    sender
        Name of this router.
    tls
        Certificates; without them, connections are plain.
    """

    def __init__(
        self,
        reactor: Any,
        sender: str,
        tls: PeerSecurity | None = None,
    ) -> None:
        """Start without connections."""
        self._reactor = reactor
        self._sender = sender
        self._tls = tls
        self._channels: dict[Endpoint, _Channel] = {}
        self._closed = False

    def request(
        self,
        peer: Endpoint,
        message: Message,
        timeout: Millis,
    ) -> Deferred[Any]:
        """Send a request and return a Deferred of the answering message.

        Cancelling the Deferred forgets the request.

        Raises
        ------
        PeerUnavailableError
            If the peer cannot be reached or does not answer in time.
        CertificateRefusedError
            If one side did not accept the certificate of the other.
        PeerFailedError
            If the peer answered that it could not handle the request.
        """
        if self._closed:
            return _fail(PeerUnavailableError('the client is closed'))
        channel = self._channels.get(peer)
        if channel is None:
            channel = _Channel(self, peer)
            self._channels[peer] = channel
            channel.connect(self._connect(peer, channel))
        answer = channel.request(message)
        answer.addTimeout(
            in_seconds(timeout),
            self._reactor,
            lambda _result, _seconds: _fail(
                PeerUnavailableError(f'{peer} did not answer in {timeout} ms'),
            ),
        )
        kind = type(message).__name__
        return answer.addBoth(_count_outcome, kind)

    def drop(self, peer: Endpoint) -> None:
        """Close the connection to a peer that does not answer on it."""
        channel = self._channels.get(peer)
        if channel is not None:
            channel.close()

    def drop_connections(self) -> None:
        """Close idle connections, so that new certificates come into use."""
        for channel in tuple(self._channels.values()):
            if not channel.pending:
                channel.close()

    def close(self) -> None:
        """Close all connections; pending requests fail."""
        self._closed = True
        for channel in tuple(self._channels.values()):
            channel.close()

    def forget(self, channel: '_Channel') -> None:
        """Remove a channel whose connection ended."""
        if self._channels.get(channel.peer) is channel:
            self._channels.pop(channel.peer)

    def translate(
        self,
        peer: Endpoint,
        reason: Failure,
    ) -> PeerUnavailableError:
        """Return the error of a connection that failed or ended."""
        refusal = ''
        if self._tls is not None:
            refusal = self._tls.describe_refusal(reason)
        if refusal:
            return CertificateRefusedError(f'{peer}: {refusal}')
        if reason.check(ConnectError, ConnectingCancelledError):
            return PeerUnavailableError(f'{peer} cannot be reached')
        return PeerUnavailableError(f'{peer} closed the connection')

    def _connect(self, peer: Endpoint, channel: '_Channel') -> Deferred[Any]:
        is_ipv6 = ':' in peer.host
        family = TCP6ClientEndpoint if is_ipv6 else TCP4ClientEndpoint
        endpoint: Any = family(
            self._reactor,
            peer.host,
            peer.port,
            CONNECT_SECONDS,
        )
        if self._tls is not None:
            endpoint = self._tls.wrap_client(
                endpoint,
                peer.host,
                self._reactor,
            )
        factory = Factory.forProtocol(
            lambda: FrameProtocol(
                self._sender,
                IDLE_SECONDS,
                channel.received,
                channel.lost,
            ),
        )
        factory.noisy = False
        return endpoint.connect(factory)


class _Channel:
    """One connection with the requests that wait on it."""

    def __init__(self, client: PeerClient, peer: Endpoint) -> None:
        self.peer = peer
        self.pending: dict[int, Deferred[Any]] = {}
        self._client = client
        self._sequence = 0
        self._unsent: list[tuple[Message, int]] = []
        self._protocol: FrameProtocol | None = None
        self._connecting: Deferred[Any] | None = None

    def connect(self, connecting: Deferred[Any]) -> None:
        self._connecting = connecting
        connecting.addCallbacks(self._connected, self._refused)

    def request(self, message: Message) -> Deferred[Any]:
        if len(self.pending) >= MAXIMUM_PENDING:
            return _fail(
                PeerUnavailableError(f'too many requests wait for {self.peer}'),
            )
        self._sequence += 1
        sequence = self._sequence
        answer: Deferred[Any] = Deferred(
            lambda _deferred: self.pending.pop(sequence, None),
        )
        self.pending[sequence] = answer
        if self._protocol is None:
            self._unsent.append((message, sequence))
        else:
            self._send(message, sequence)
        return answer

    def received(self, protocol: FrameProtocol, received: Received) -> None:
        answer = self.pending.pop(received.sequence, None)
        if answer is None:
            count_ignored('late-answer')
        elif isinstance(received.message, Failed):
            reason = received.message.reason
            answer.errback(PeerFailedError(f'{self.peer}: {reason}'))
        else:
            answer.callback(received.message)

    def lost(self, protocol: FrameProtocol, reason: Failure) -> None:
        self._fail_all(reason)

    def close(self) -> None:
        self._client.forget(self)
        if self._protocol is not None:
            self._protocol.transport.abortConnection()
        elif self._connecting is not None:
            self._connecting.cancel()

    def _connected(self, protocol: FrameProtocol) -> None:
        self._connecting = None
        self._protocol = protocol
        unsent, self._unsent = self._unsent, []
        for message, sequence in unsent:
            if sequence in self.pending:
                self._send(message, sequence)

    def _refused(self, failure: Failure) -> None:
        self._connecting = None
        self._fail_all(failure)

    def _send(self, message: Message, sequence: int) -> None:
        try:
            self._protocol.send_message(message, sequence)
        except MessageTooLongError as error:
            self.pending.pop(sequence).errback(error)

    def _fail_all(self, reason: Failure) -> None:
        self._client.forget(self)
        pending, self.pending = self.pending, {}
        for answer in pending.values():
            answer.errback(self._client.translate(self.peer, reason))


def _fail(error: Exception) -> Deferred[Any]:
    failed: Deferred[Any] = Deferred()
    failed.errback(error)
    return failed


def _count_outcome(result: Any, kind: str) -> Any:
    outcome = 'answered'
    if isinstance(result, Failure):
        outcome = result.type.__name__
    REQUESTS.add(1, {'kind': kind, 'outcome': outcome})
    return result
