"""Model engines that load weights on orders, for fleets in virtual time."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from features.crash_server import SimulatedServer
from yuccagauge.clock import Millis

#: The one model of the engines.
MODEL = 'm'

#: Time for which an engine loads weights, in seconds, and how many engines load
#: at a time without slowing each other down.
LOAD_S = 1.3
_FREE_LOADS = 2

#: Time from the arrival of a request to its first event, and between events.
_FIRST_EVENT_S = 0.1
_EVENT_INTERVAL_S = 0.1

#: Events of a stream.
EVENTS = 8

#: Age of what a report states.
_REPORT_AGE = Millis(200)

_SLOTS = 3
_KV_TOKENS = 90_000

_REASONS = {
    200: 'OK',
    202: 'Accepted',
    409: 'Conflict',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


@dataclass(frozen=True, slots=True, kw_only=True)
class Run:
    """A request that an engine began to run."""

    at: Millis
    engine: str
    version: int
    #: Name of the router that sent it.
    router: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order that reached an engine."""

    at: Millis
    engine: str
    holder: str
    fence: int
    version: int
    status: int


class WeightsEngine(SimulatedServer):
    """An engine that carries out orders, and checks fences and versions."""

    def __init__(self, fleet: Any, number: int) -> None:
        """Create an engine with the first weights."""
        super().__init__(fleet, number)
        self.weights = 1
        self._order_count = 0
        self._fence = 0
        self._is_loading = False
        self._mode: str | None = None
        self._ordered = 0
        #: What reports stated, and from when on.
        self._reports: list[tuple[Millis, dict[str, Any]]] = []
        self._runs: list[EngineProtocol] = []

    @property
    def is_busy(self) -> bool:
        """Whether it carries out an order."""
        return self._mode is not None

    @property
    def is_loading(self) -> bool:
        """Whether it loads weights, all runs having ended."""
        return self._is_loading

    @property
    def active(self) -> int:
        """Number of its runs."""
        return len(self._runs)

    def start(self) -> None:
        """Start the engine; its weights are what they were."""
        self._order_count = 0
        self._fence = 0
        self._mode = None
        self._is_loading = False
        self._runs = []
        self._reports = []
        self._note_state()
        super().start()

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return EngineProtocol(self)

    def entry_document(self) -> dict[str, Any]:
        """Return what the engine writes to the store."""
        return {
            **super().entry_document(),
            'service': 'model',
            'slots': _SLOTS,
            'models': [self._model_document()],
        }

    def report(self) -> dict[str, Any]:
        """Return what the engine tells of itself, some time late."""
        until = self._fleet.clock.now() - _REPORT_AGE
        known = [state for at, state in self._reports if at <= until]
        return {
            'stage': 'colocated',
            'queued': 0,
            'active': self.active,
            'kvUsed': 0,
            'kvTotal': _KV_TOKENS,
            'handles': 0,
            **(known or [self._reports[0][1]])[-1],
        }

    def take_order(self, order: dict[str, Any], server_id: str) -> int:
        """Take an order or refuse it; return the status."""
        status = self._judge(order, server_id)
        self._fleet.orders.append(
            Order(
                at=self._fleet.clock.now(),
                engine=self.server_id,
                holder=order['holder'],
                fence=order['fence'],
                version=order['version'],
                status=status,
            )
        )
        if status != 202:
            return status
        self._order_count += 1
        self._mode = order['swapMode']
        self._ordered = order['version']
        self._note_state()
        if self._mode == 'preempt':
            for run in tuple(self._runs):
                run.reset()
        self._load_when_idle()
        return status

    def refusal(self, headers: dict[str, str]) -> int | None:
        """Return the status with which a request is rejected, if it is."""
        expected = headers.get('x-yuccagauge-expect-version')
        if headers.get('x-yuccagauge-expect-instance') != self.server_id:
            return 421
        if expected is not None and int(expected) != self.weights:
            return 421
        return 503 if self.is_busy else None

    def begin_run(self, connection: 'EngineProtocol', host: str) -> None:
        """Note that a request has begun to run."""
        self._runs.append(connection)
        self._fleet.runs.append(
            Run(
                at=self._fleet.clock.now(),
                engine=self.server_id,
                version=self.weights,
                router=f'router{host.removeprefix("10.0.0.")}',
            )
        )

    def end_run(self, connection: 'EngineProtocol') -> None:
        """Note that a run, if there was one, has ended."""
        if connection in self._runs:
            self._runs.remove(connection)
            self._load_when_idle()

    def later(self, delay_s: float, action: Callable[[], None]) -> None:
        """Call an action unless the engine has ended since."""
        start = self._starts

        def act() -> None:
            if self.is_up and start == self._starts:
                action()

        self._fleet.network.reactor.callLater(delay_s, act)

    def _judge(self, order: dict[str, Any], server_id: str) -> int:
        """Return the status of an order."""
        if server_id != self.server_id:
            return 421
        if self._fleet.checks_fences and order['fence'] < self._fence:
            return 412
        self._fence = order['fence']
        expected = order.get('expected', self._order_count)
        if self.is_busy or expected != self._order_count:
            return 409
        return 200 if order['version'] == self.weights else 202

    def _load_when_idle(self) -> None:
        """Begin to load weights, once no run is left."""
        if self._mode is None or self._is_loading or self._runs:
            return
        self._is_loading = True
        loading = sum(engine.is_loading for engine in self._fleet.servers)
        self.later(LOAD_S * max(1, loading / _FREE_LOADS), self._finish_load)

    def _finish_load(self) -> None:
        self._is_loading = False
        self._mode = None
        self.weights = self._ordered
        self._note_state()
        self._fleet.record_loaded()

    def _note_state(self) -> None:
        state = {
            'busy': self.is_busy,
            'seq': self._order_count,
            'models': [self._model_document()],
        }
        self._reports.append((self._fleet.clock.now(), state))

    def _model_document(self) -> dict[str, Any]:
        return {'name': MODEL, 'version': self.weights, 'adapters': []}


class EngineProtocol(Protocol):
    """A connection to an engine, for one request after the other."""

    def __init__(self, engine: WeightsEngine) -> None:
        """Start without a request."""
        self._engine = engine
        self._buffer = b''
        #: Counts requests, so that a run that was reset makes no more events.
        self._number = 0

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a request that is complete."""
        self._buffer += data
        head, found, rest = self._buffer.partition(b'\r\n\r\n')
        first, *lines = head.decode().split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines if ': ' in line)
        headers = {name.lower(): text for name, text in headers.items()}
        length = int(headers.get('content-length', 0))
        if not found or len(rest) < length:
            return
        self._buffer = rest[length:]
        path = first.split(' ')[1]
        if path == '/api/report':
            self._answer(200, self._engine.report())
        elif path == '/api/order':
            server_id = headers.get('x-yuccagauge-expect-instance', '')
            order = json.loads(rest[:length])
            self._answer(self._engine.take_order(order, server_id), {})
        else:
            self._take_request(headers)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the run, whose router has left."""
        self._number += 1
        self._engine.end_run(self)

    def reset(self) -> None:
        """Break a run off."""
        self._number += 1
        self._engine.end_run(self)
        self.transport.abortConnection()

    def _take_request(self, headers: dict[str, str]) -> None:
        self._number += 1
        number = self._number
        self._engine.later(
            _FIRST_EVENT_S,
            lambda: number == self._number and self._begin(headers),
        ) if not self._reject(headers) else None

    def _reject(self, headers: dict[str, str]) -> bool:
        """Reject a request if the engine does not run it."""
        status = self._engine.refusal(headers)
        if status is not None:
            self._write_head(status, headers, 'Content-Length: 0')
        return status is not None

    def _begin(self, headers: dict[str, str]) -> None:
        if self._reject(headers):
            return
        self._engine.begin_run(self, self.transport.getPeer().host)
        self._write_head(
            200,
            headers,
            'Transfer-Encoding: chunked',
            'Content-Type: text/event-stream',
        )
        self._send_event(int(headers.get('last-event-id', '0')) + 1)

    def _send_event(self, number: int) -> None:
        if number > EVENTS:
            self.transport.write(b'0\r\n\r\n')
            self._engine.end_run(self)
            return
        event = f'id: {number}\ndata: token\n\n'.encode()
        self.transport.write(b'%x\r\n%s\r\n' % (len(event), event))
        run = self._number
        self._engine.later(
            _EVENT_INTERVAL_S,
            lambda: run == self._number and self._send_event(number + 1),
        )

    def _write_head(
        self, status: int, headers: dict[str, str], *fields: str
    ) -> None:
        lines = [
            f'HTTP/1.1 {status} {_REASONS[status]}',
            f'X-Yuccagauge-Request-Id: {headers["x-yuccagauge-request-id"]}',
            'X-Yuccagauge-Server-Stamp: s',
            f'X-Yuccagauge-Weight-Versions: {self._engine.weights}',
            *fields,
        ]
        if status == 503:
            lines.append('X-Yuccagauge-Not-Executed: 1')
        self.transport.write('\r\n'.join([*lines, '', '']).encode())

    def _answer(self, status: int, document: dict[str, Any]) -> None:
        """Answer a call of the router itself."""
        body = json.dumps(document).encode()
        head = (
            f'HTTP/1.1 {status} {_REASONS[status]}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        self.transport.write(head.encode() + body)
