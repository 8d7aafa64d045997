"""A backend server on a raw socket that does exactly what a test says."""

import json
import time
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import maybeDeferred
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from yuccagauge.settings.options import Endpoint

_MILLISECONDS_PER_SECOND = 1000
_HEAD_END = b'\r\n\r\n'
_REQUEST_ID = 'X-Yuccagauge-Request-Id'
_SERVER_STAMP = 'X-Yuccagauge-Server-Stamp'
_NOT_EXECUTED = 'X-Yuccagauge-Not-Executed'
_MISDIRECTED = 421
_CHECK_PATHS = frozenset(('/h', '/api/report'))


class Exchange(Protocol):
    """One connection; the script is called with each whole request."""

    def __init__(self, server: 'ScriptedServer') -> None:
        """Start without a request."""
        self._server = server
        self._buffer = b''
        self.method = ''
        self.path = ''
        self.headers: dict[str, str] = {}
        self.body = b''
        self.lost = False

    def dataReceived(self, data: bytes) -> None:
        """Collect a request, or follow the script for its first byte."""
        if self._server.on_first_byte is not None:
            self._server.on_first_byte(self)
            return
        self._buffer += data
        head, found, rest = self._buffer.partition(_HEAD_END)
        if not found:
            return
        length = 0
        lines = head.decode('latin-1').split('\r\n')
        self.headers.clear()
        for line in lines[1:]:
            name, _, text = line.partition(':')
            self.headers[name.lower()] = text.strip()
            if name.lower() == 'content-length':
                length = int(text)
        if len(rest) < length:
            return
        self.method, self.path = lines[0].split(' ')[:2]
        self.body = rest[:length]
        self._buffer = rest[length:]
        self._server.serve(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Remember that the router closed the connection."""
        self.lost = True

    def answer(
        self,
        status: int,
        body: bytes,
        *headers: str,
    ) -> None:
        """Send a whole response."""
        self.write_head(status, f'Content-Length: {len(body)}', *headers)
        self.transport.write(body)

    def open_stream(self, incarnation: str, version: str) -> None:
        """Send the head of an event stream."""
        self.write_head(
            200,
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'X-Engine-Incarnation: {incarnation}',
            f'X-Weights-Version: {version}',
        )

    def chunk(self, data: bytes) -> None:
        """Send a part of a stream; an empty one ends it."""
        self.transport.write(b'%x\r\n%s\r\n' % (len(data), data))

    def cut(self) -> None:
        """Break the connection."""
        self.transport.abortConnection()

    def marks(self, status: int, *headers: str) -> tuple[str, ...]:
        """Return the marks of a sound answer that other headers lack.

        Servers of relays repeat the id of a request that has one, and stamp
        what they do not reject.
        """
        request_id = self.headers.get(_REQUEST_ID.lower())
        if request_id is None:
            return ()
        stated = {line.partition(':')[0] for line in headers}
        is_rejection = status == _MISDIRECTED or _NOT_EXECUTED in stated
        marks = {_REQUEST_ID: request_id}
        if not is_rejection:
            marks[_SERVER_STAMP] = 's'
        return tuple(
            f'{name}: {text}'
            for name, text in marks.items()
            if name not in stated
        )

    def write_head(self, status: int, *headers: str) -> None:
        """Send the head of an answer with the marks of a sound one."""
        marks = self.marks(status, *headers)
        lines = [f'HTTP/1.1 {status} X', *headers, *marks, '', '']
        self.transport.write('\r\n'.join(lines).encode())


Script = Callable[[Exchange], None]


class ScriptedServer:
    """Answers ``GET /load`` itself and gives other requests to a script.

    Parameters
    ----------
    script
        What to do with a request.
    on_first_byte
        What to do instead with the first bytes of any connection.
    """

    def __init__(
        self,
        script: Script,
        on_first_byte: Script | None = None,
    ) -> None:
        """Keep the script."""
        self.script = script
        self.on_first_byte = on_first_byte
        self.incarnation = 'i1'
        self.weights_version = 'w1'
        #: Method and path of each request but ``GET /load``.
        self.requests: list[tuple[str, str]] = []
        #: Its id, if it answers health checks and requests for its report.
        self.instance_id = ''
        #: Connections that were accepted.
        self.connections = 0
        self._exchanges: list[Exchange] = []
        self._is_killed = False
        #: Status that another process answers at its port once it is killed.
        self.successor_status = 0
        self._port: Any = None
        #: The end of the port, once it closes.
        self._closing: Any = None
        #: Where it listens, also while it is closed.
        self.endpoint = Endpoint('127.0.0.1', 0)

    def start(self) -> None:
        """Open the port."""
        self._closing = None
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = self._accept
        host = self.endpoint.host
        self._port = reactor.listenTCP(
            self.endpoint.port,
            factory,
            interface=host,
        )
        self.endpoint = Endpoint(host, self._port.getHost().port)

    def close(self) -> Any:
        """Close the port, unless it closes already."""
        if self._closing is None:
            self._closing = maybeDeferred(self._port.stopListening)
        return self._closing

    def kill(self) -> None:
        """Close all connections, and answer nothing on new ones.

        The port stays open until ``close``, as that of a killed process does
        for a moment.
        """
        self._is_killed = True
        self.end_connections()

    def end_connections(self) -> None:
        """Close all connections, as the end of a process does."""
        for exchange in self._exchanges:
            exchange.transport.loseConnection()

    def stop_answering(self) -> None:
        """Answer nothing, and close nothing, as a host that has failed."""
        self._is_killed = True

    def serve(self, exchange: Exchange) -> None:
        """Answer or follow the script."""
        if self._is_killed:
            if self.successor_status:
                exchange.answer(self.successor_status, b'starting')
            return
        if exchange.path == '/load':
            exchange.answer(200, self._load())
            return
        if exchange.path == '*':
            # A question to the server itself, not to its service.
            exchange.answer(200, b'')
            return
        if self.instance_id and exchange.path in _CHECK_PATHS:
            exchange.answer(
                200, b'{}', f'X-Yuccagauge-Instance-Id: {self.instance_id}'
            )
            return
        self.requests.append((exchange.method, exchange.path))
        self.script(exchange)

    def _accept(self, _: Any) -> Exchange:
        self.connections += 1
        exchange = Exchange(self)
        self._exchanges.append(exchange)
        return exchange

    def _load(self) -> bytes:
        zeros = dict.fromkeys(
            ('running', 'queued', 'queued_tokens', 'used_blocks'),
            0,
        )
        return json.dumps(
            {
                'incarnation': self.incarnation,
                'weights_version': self.weights_version,
                'role': 'serve',
                'total_blocks': 1,
                'measured_ms': int(time.time() * _MILLISECONDS_PER_SECOND),
                **zeros,
            },
        ).encode()


def frames(request_id: str, *words: str) -> list[bytes]:
    """Return the events of a small answer, with usage and end mark."""
    texts = [
        json.dumps(
            {
                'id': request_id,
                'choices': [{'index': 0, 'delta': {'content': word}}],
            },
        )
        for word in words
    ]
    usage = {'prompt_tokens': 9, 'completion_tokens': len(words)}
    texts.append(json.dumps({'id': request_id, 'usage': usage, 'choices': []}))
    texts.append('[DONE]')
    return [
        f'id: {number}\ndata: {text}\n\n'.encode()
        for number, text in enumerate(texts)
    ]
