"""Open-loop load on raw sockets, and the time to each first token."""

import json
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from twisted.internet import reactor
from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.endpoints import TCP4ClientEndpoint, connectProtocol
from twisted.internet.protocol import Protocol, connectionDone
from twisted.internet.task import LoopingCall, deferLater
from twisted.python.failure import Failure

from yuccagauge.settings.options import Endpoint

CREDENTIAL = 'overhead'

_BYTES_PER_TOKEN = 4
_FIRST_EVENT = b'data: '
_DONE = b'[DONE]'
_SHARED_PROMPTS = 16


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadShape:
    """What is sent."""

    #: Requests/s, evenly spaced.
    rate: float
    #: Tokens of each answer.
    tokens: int
    prompt_tokens: int
    #: Measured time and the time before it, in seconds.
    seconds: float
    warm_up: float


@dataclass(slots=True, kw_only=True)
class LoadResult:
    """What came back in the measured time."""

    #: Time to the first token, in ms.
    first_token: list[float] = field(default_factory=list)
    requests: int = 0
    incomplete: int = 0


class _Stream(Protocol):
    """One request on a connection of its own."""

    def __init__(self, request: bytes) -> None:
        self._request = request
        self._sent_at: float = 0
        self.first_token_ms: float = -1
        self.complete = False
        self.done: Deferred[None] = Deferred()

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.setTcpNoDelay(True)
        self._sent_at = time.perf_counter()
        self.transport.write(self._request)

    def dataReceived(self, data: bytes) -> None:
        """Take the time of the first event; end with the last."""
        if self.first_token_ms < 0 and _FIRST_EVENT in data:
            self.first_token_ms = (time.perf_counter() - self._sent_at) * 1000
        if _DONE in data:
            self.complete = True
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """End in any case."""
        self.done.callback(None)


class LoadRun:
    """Sends requests at an even rate.

    Parameters
    ----------
    targets
        Where requests go in turn.
    shape
        What is sent.
    """

    def __init__(self, targets: Sequence[Endpoint], shape: LoadShape) -> None:
        """Prepare without sending."""
        self._targets = tuple(targets)
        self._shape = shape
        self._result = LoadResult()
        self._sent = 0
        self._open = 0
        self._measuring = False

    @inlineCallbacks
    def run(self) -> Deferred[LoadResult]:
        """Send for the warm-up and the measured time."""
        sending = LoopingCall(self._send)
        sending.start(1 / self._shape.rate)
        yield deferLater(reactor, self._shape.warm_up, lambda: None)
        self._measuring = True
        yield deferLater(reactor, self._shape.seconds, lambda: None)
        self._measuring = False
        result = self._result
        sending.stop()
        while self._open:
            yield deferLater(reactor, 0.05, lambda: None)
        return result

    def _send(self) -> None:
        target = self._targets[self._sent % len(self._targets)]
        request = _request(self._sent, self._shape)
        self._sent += 1
        self._open += 1
        endpoint = TCP4ClientEndpoint(reactor, target.host, target.port)
        connecting = connectProtocol(endpoint, _Stream(request))
        connecting.addCallback(self._follow, self._measuring)
        connecting.addErrback(self._failed)

    def _follow(self, stream: _Stream, measured: bool) -> Deferred[None]:
        def ended(_: None) -> None:
            self._open -= 1
            if measured:
                self._count(stream)

        return stream.done.addCallback(ended)

    def _count(self, stream: _Stream) -> None:
        self._result.requests += 1
        self._result.incomplete += not stream.complete
        if stream.complete:
            self._result.first_token.append(stream.first_token_ms)

    def _failed(self, failure: Failure) -> None:
        self._open -= 1
        self._result.incomplete += 1


def _request(number: int, shape: LoadShape) -> bytes:
    shared = f'file {number % _SHARED_PROMPTS} '
    size = shape.prompt_tokens * _BYTES_PER_TOKEN
    prefix = (shared * (size // len(shared) + 1))[:size]
    body = json.dumps(
        {
            'model': 'matcher-70b',
            'stream': True,
            'request_id': f'direct-{number}',
            'max_tokens': shape.tokens,
            'messages': [
                {'role': 'system', 'content': prefix},
                {'role': 'user', 'content': f'question {number}'},
            ],
        },
    ).encode()
    head = (
        'POST /v1/chat/completions HTTP/1.1\r\nHost: overhead\r\n'
        'Connection: close\r\n'
        f'Authorization: Bearer {CREDENTIAL}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body
