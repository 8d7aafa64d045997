"""Servers of a model service and of a plain one, in virtual time.

Each notes which requests it ran, and which host had opened the connection.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Protocol

from features.crash_server import ServerProtocol, SimulatedServer
from yuccagauge.clock import Millis

#: Time from the arrival of a plain request to its answer.
_ANSWER_S = 0.02

#: Time from the arrival of a request to the first event, and between events.
_EVENT_INTERVAL_S = 0.1

#: Events of a stream.
EVENTS = 8

#: Share of the answers after which a server closes the connection, so that
#: routers open new ones all the while.
_CLOSING_SHARE = 0.2

_SLOTS = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request that a server began to run."""

    at: Millis
    #: The host that had opened the connection.
    source: str
    #: When the connection was opened.
    opened_at: Millis


class PartitionServer(SimulatedServer):
    """A model server if its number is even, or else a plain one."""

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        is_model = self._number % 2 == 0
        return (StreamProtocol if is_model else _PlainProtocol)(self)

    def entry_document(self) -> dict[str, Any]:
        """Return what the server writes to the store."""
        document = {
            **super().entry_document(),
            'slots': _SLOTS,
            'zone': 'ab'[self._number // 2 % 2],
        }
        if self._number % 2 == 0:
            document['service'] = 'model'
            document['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        return document

    def now(self) -> Millis:
        """Return the time."""
        return self._fleet.clock.now()

    def record_run(
        self, request_id: str, source: str, opened_at: Millis
    ) -> None:
        """Note that a request has begun to run."""
        run = Run(at=self.now(), source=source, opened_at=opened_at)
        self._fleet.runs.setdefault(request_id, []).append(run)

    def closes_connection(self) -> bool:
        """Return whether an answer is the last one of its connection."""
        return self._fleet.random.random() < _CLOSING_SHARE

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call an action unless the server has ended since."""
        start = self._starts

        def act() -> None:
            if self.is_up and start == self._starts:
                action()

        self._fleet.network.reactor.callLater(delay_s, act)


class _RunningProtocol(ServerProtocol):
    """A connection that notes the requests that run."""

    #: Time from the arrival of a request to the first byte of its answer.
    delay_s: float

    def connectionMade(self) -> None:  # noqa: N802
        """Note when the connection was opened."""
        self._opened_at = self._server.now()

    def run_request(self, headers: dict[str, str], body: bytes) -> None:
        """Answer a request after a while."""
        request_id = headers['x-yuccagauge-request-id']
        source = self.transport.getPeer().host
        self._server.record_run(request_id, source, self._opened_at)
        last_event = int(headers.get('last-event-id', '0'))
        self._server.later(
            self.delay_s, lambda: self.begin(request_id, last_event)
        )

    def begin(self, request_id: str, last_event: int) -> None:
        """Begin to answer a request."""

    def write_head(self, request_id: str, *fields: str) -> bool:
        """Write the head; return whether the connection closes afterwards."""
        is_last = self._server.closes_connection()
        lines = [
            'HTTP/1.1 200 X',
            f'X-Yuccagauge-Request-Id: {request_id}',
            'X-Yuccagauge-Server-Stamp: s',
            *(['Connection: close'] if is_last else []),
            *fields,
        ]
        self.transport.write('\r\n'.join([*lines, '', '']).encode())
        return is_last


class _PlainProtocol(_RunningProtocol):
    """A connection to a plain server."""

    delay_s = _ANSWER_S

    def begin(self, request_id: str, last_event: int) -> None:
        """Write the whole answer."""
        is_last = self.write_head(request_id, 'Content-Length: 2')
        self.transport.write(b'ok')
        if is_last:
            self.transport.loseConnection()


class StreamProtocol(_RunningProtocol):
    """A connection to a model server."""

    delay_s = _EVENT_INTERVAL_S

    def begin(self, request_id: str, last_event: int) -> None:
        """Write the head and the first event."""
        is_last = self.write_head(
            request_id,
            'Transfer-Encoding: chunked',
            'Content-Type: text/event-stream',
        )
        self._send_event(last_event + 1, is_last=is_last)

    def _send_event(self, number: int, *, is_last: bool) -> None:
        if number > EVENTS:
            self.transport.write(b'0\r\n\r\n')
            if is_last:
                self.transport.loseConnection()
            return
        event = f'id: {number}\ndata: token\n\n'.encode()
        self.transport.write(b'%x\r\n%s\r\n' % (len(event), event))
        self._server.later(
            _EVENT_INTERVAL_S,
            lambda: self._send_event(number + 1, is_last=is_last),
        )
