"""An engine that emits tokens at an even pace, at little cost.

The engine stand-in limits answers to a few dozen tokens and spends more CPU
on a token than a router does. This one sends the same protocol from
prepared bytes, so that it is never the bottleneck of a measurement.
"""

import json
import sys
from typing import Any

from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol

from yuccagauge.clock import SystemClock

#: Time from the request to the first token, in seconds.
PREFILL_SECONDS = 0.02

#: Time between two tokens, in seconds.
TOKEN_SECONDS = 0.015

_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length:'
_STREAM_HEAD = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n'
    b'Transfer-Encoding: chunked\r\nX-Engine-Incarnation: i1\r\n'
    b'X-Weights-Version: w1\r\n\r\n'
)


class PacedEngine(Protocol):
    """One connection of the engine."""

    def __init__(self) -> None:
        """Start without a request."""
        self._buffer = b''
        self._left = 0
        self._number = 0
        self._request_id = ''

    def connectionMade(self) -> None:
        """Send each token at once."""
        self.transport.setTcpNoDelay(True)

    def dataReceived(self, data: bytes) -> None:
        """Collect a request and answer it."""
        self._buffer += data
        head, found, rest = self._buffer.partition(_HEAD_END)
        if not found:
            return
        length = _length_of(head)
        if len(rest) < length:
            return
        self._buffer = rest[length:]
        if head.startswith(b'POST'):
            self._begin(json.loads(rest[:length]))
        else:
            self._answer(_load_report() if b'/load' in head else b'{}')

    def connectionLost(self, reason: Any = None) -> None:
        """Stop the stream."""
        self._left = 0

    def _begin(self, fields: dict[str, Any]) -> None:
        self._request_id = fields['request_id']
        self._left = fields['max_tokens']
        self._number = 0
        self.transport.write(_STREAM_HEAD)
        reactor.callLater(PREFILL_SECONDS, self._emit)

    def _emit(self) -> None:
        if not self._left:
            return
        self._left -= 1
        delta = '{"index": 0, "delta": {"content": "token "}}'
        self._send(f'{{"id": "{self._request_id}", "choices": [{delta}]}}')
        if self._left:
            reactor.callLater(TOKEN_SECONDS, self._emit)
        else:
            self._send('[DONE]')
            self.transport.write(b'0\r\n\r\n')

    def _send(self, text: str) -> None:
        event = f'id: {self._number}\ndata: {text}\n\n'.encode()
        self._number += 1
        self.transport.write(b'%x\r\n%s\r\n' % (len(event), event))

    def _answer(self, body: bytes) -> None:
        head = f'HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n'
        self.transport.write(head.encode() + body)


def run_engine() -> None:
    """Serve until SIGTERM; the bound address is printed."""
    factory = Factory.forProtocol(PacedEngine)
    factory.noisy = False
    port = reactor.listenTCP(0, factory, backlog=1024, interface='127.0.0.1')
    sys.stdout.write(f'127.0.0.1:{port.getHost().port}\n')
    sys.stdout.flush()
    reactor.run()


def _length_of(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        if line.startswith(_LENGTH):
            return int(line.removeprefix(_LENGTH))
    return 0


def _load_report() -> bytes:
    report = dict.fromkeys(
        ('running', 'queued', 'queued_tokens', 'used_blocks'),
        0,
    )
    return json.dumps(
        {
            **report,
            'incarnation': 'i1',
            'weights_version': 'w1',
            'role': 'serve',
            'total_blocks': 1,
            'measured_ms': SystemClock().wall_time(),
        },
    ).encode()
