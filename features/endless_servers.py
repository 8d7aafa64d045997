"""Servers that send bytes without end."""

from collections.abc import Callable, Iterator
from itertools import repeat

from twisted.internet import reactor

from features.relay_servers import CHUNKED
from features.scripted_server import Exchange

_BLOCK_BYTES = 16_384

#: Bytes after which a server stops, so that a test without a bound ends.
_LIMIT_BYTES = 256 * 1024 * 1024

_FILLER = b'x' * _BLOCK_BYTES
_STATUS = b'HTTP/1.1 200 X\r\n'
_STREAM = _STATUS + b'Content-Type: text/event-stream\r\n'
_FOREIGN = _STATUS + b'X-Yuccagauge-Request-Id: other\r\n'

#: First bytes, and the block that is repeated.
_BYTES = {
    'a status line': (b'HTTP/1.1 200 ', _FILLER),
    'a header line': (_STATUS + b'X-Long: ', _FILLER),
    'header lines': (_STATUS, b'X-Many: value\r\n' * 1000),
    'interim answers': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 500),
    'answers to another request': (
        b'',
        (_FOREIGN + b'Content-Length: 2\r\n\r\nno') * 200,
    ),
    'one answer to another request': (_FOREIGN + b'\r\n', _FILLER),
    "a chunk's size": (
        _STREAM + CHUNKED.encode() + b'\r\n\r\n',
        b'0' * _BLOCK_BYTES,
    ),
    'trailers': (
        _STREAM + CHUNKED.encode() + b'\r\n\r\n0\r\n',
        b'X-Many: value\r\n' * 1000,
    ),
    'an event': (_STREAM + b'\r\n', b'data: ' + _FILLER),
    'an event with carriage returns': (
        _STREAM + b'\r\n',
        b'data: no\r\n' * 1000,
    ),
    'a body': (_STATUS + b'\r\n', _FILLER),
}


class EndlessServer:
    """A script that sends bytes until its connection is closed.

    Parameters
    ----------
    name
        The kind of bytes.
    """

    def __init__(self, name: str) -> None:
        """Send nothing yet."""
        self._first, self._block = _BYTES[name]
        self.sent = 0
        self.open_connections = 0

    def __call__(self, exchange: Exchange) -> None:
        """Answer a request."""
        self.open_connections += 1
        first = self._first
        if not first.startswith(_FOREIGN):
            # Otherwise the head ends the answer before its body.
            marks = ''.join(f'{mark}\r\n' for mark in exchange.marks(200))
            first = first.replace(_STATUS, _STATUS + marks.encode())
        exchange.transport.write(first)
        producer = _Producer(exchange, repeat(self._block), self._count)
        exchange.transport.registerProducer(producer, streaming=False)

    def _count(self, size: int) -> bool:
        """Count sent bytes, or a closed connection; return if it goes on."""
        if not size:
            self.open_connections -= 1
        self.sent += size
        return self.sent < _LIMIT_BYTES


class _Producer:
    """Sends a block whenever the connection has room."""

    def __init__(
        self,
        exchange: Exchange,
        blocks: Iterator[bytes],
        count: Callable[[int], bool],
    ) -> None:
        self._exchange = exchange
        self._blocks = blocks
        self._count = count

    def resumeProducing(self) -> None:
        """Send one block."""
        reactor.callLater(0, self._send)

    def stopProducing(self) -> None:
        """Note that the connection is closed."""
        self._count(0)

    def _send(self) -> None:
        block = next(self._blocks)
        if not self._exchange.lost and self._count(len(block)):
            self._exchange.transport.write(block)
