"""Servers whose engines report their status and carry out orders."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Protocol

from features.partition_servers import PartitionServer, StreamProtocol
from yuccagauge.clock import Millis

#: Time from an order to its end.
_LOAD_S = 1.3

_OWN_PATH = '/api/'
_OK = 200
_ACCEPTED = 202
_CONFLICT = 409
_FENCED = 412


@dataclass(frozen=True, slots=True, kw_only=True)
class ArrivedOrder:
    """An order as it reached an engine."""

    at: Millis
    engine: str
    #: The host that had opened the connection.
    source: str
    holder: str
    fence: int
    status: int


class OrderServer(PartitionServer):
    """An engine that takes orders if its number is even."""

    def __init__(self, fleet: Any, number: int) -> None:
        """Start with version 1."""
        super().__init__(fleet, number)
        self.is_engine = number % 2 == 0
        self.weights_version = 1
        self.loaded_at = Millis(0)
        #: Whether each status is the last answer of its connection.
        self.closes_after_status = False
        #: Called with the host that has read the status.
        self.on_status_read: Callable[[str], None] = lambda source: None
        self._is_busy = False
        self._order_count = 0
        self._fence = 0

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        if self.is_engine:
            return _OrderProtocol(self)
        return super().build_protocol()

    def entry_document(self) -> dict[str, Any]:
        """Return what the server writes to the store."""
        document = super().entry_document()
        if self.is_engine:
            document['models'] = self._models()
        return document

    def report(self) -> dict[str, Any]:
        """Return the status of the engine."""
        return {
            'busy': self._is_busy,
            'seq': self._order_count,
            'models': self._models(),
            'active': 0,
            'queued': 0,
        }

    def take_order(self, order: dict[str, Any], source: str) -> int:
        """Carry out an order, and return the status of the answer."""
        status = self._judge(order)
        self._fence = max(self._fence, order['fence'])
        self._fleet.orders.append(
            ArrivedOrder(
                at=self.now(),
                engine=self.server_id,
                source=source,
                holder=order['holder'],
                fence=order['fence'],
                status=status,
            )
        )
        if status == _ACCEPTED:
            self._is_busy = True
            self._order_count += 1
            self.later(_LOAD_S, lambda: self._finish(order['version']))
        return status

    def _judge(self, order: dict[str, Any]) -> int:
        if order['fence'] < self._fence:
            return _FENCED
        if self._is_busy or order['expected'] != self._order_count:
            return _CONFLICT
        if self.weights_version == order['version']:
            return _OK
        return _ACCEPTED

    def _finish(self, version: int) -> None:
        self._is_busy = False
        self.weights_version = version
        self.loaded_at = self.now()

    def _models(self) -> list[dict[str, Any]]:
        return [{'name': 'm', 'version': self.weights_version, 'adapters': []}]


class _OrderProtocol(StreamProtocol):
    """A connection to an engine that also takes calls of the routers' own."""

    def dataReceived(self, data: bytes) -> None:
        """Answer a router's own call, or run a caller's request."""
        head, found, body = (self._buffer + data).partition(b'\r\n\r\n')
        method, path, _ = f'{head.decode()}  '.split(' ', 2)
        length = _content_length(head)
        if not found or not path.startswith(_OWN_PATH):
            super().dataReceived(data)
        elif len(body) < length:
            self._buffer += data
        else:
            self._buffer = b''
            self._answer_router(method, body)

    def _answer_router(self, method: str, body: bytes) -> None:
        status, answer, fields = _OK, b'', ''
        source = self.transport.getPeer().host
        if method == 'GET':
            answer = json.dumps(self._server.report()).encode()
            self._server.on_status_read(source)
            if self._server.closes_after_status:
                fields = 'Connection: close\r\n'
        else:
            status = self._server.take_order(json.loads(body), source)
        head = (
            f'HTTP/1.1 {status} X\r\nContent-Length: {len(answer)}\r\n'
            f'{fields}\r\n'
        )
        self.transport.write(head.encode() + answer)


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b'\r\n'):
        name, _, value = line.partition(b':')
        if name == b'content-length':
            return int(value)
    return 0
