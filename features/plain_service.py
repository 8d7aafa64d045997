"""A plain service behind the product's own interface, in virtual time."""

import hashlib
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.protocol import Factory, Protocol

from features.memory_network import MemoryNetwork, NodeReactor
from features.rollout_engines import VirtualClock
from yuccagauge.claims.base import Granted
from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import Call, Header
from yuccagauge.dispatch.plain import PlainRequest
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.service import ServiceState, Surroundings
from yuccagauge.explain.base import DecisionLog
from yuccagauge.settings.document import ServiceDocument, build_document
from yuccagauge.verdict import Refusal, Verdict

_SERVICE = 'roster-api'
ROUTER_HOST = '10.0.0.1'
_SERVER_HOST = '10.1.0.1'
SERVER_PORT = 8080
_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
_STEP_S = 0.01


class _Server(Protocol):
    """Answers each request."""

    def __init__(self, received: list[bytes]) -> None:
        self._received = received

    def dataReceived(self, data: bytes) -> None:
        """Keep the request."""
        self._received.append(data)
        self.transport.write(_ANSWER)


class _Claims:
    """Grants each claim after a while."""

    def __init__(self, reactor: Any) -> None:
        self.delay_s = float(0)
        self.released: list[Granted] = []
        self._reactor = reactor

    def claim(self, request: Any, timeout: Millis) -> Deferred[Granted]:
        """Grant a claim."""
        granted: Deferred[Granted] = Deferred()
        claim = Granted(claim_id=b'c', key=b'k', key_time=Millis(0))
        self._reactor.callLater(self.delay_s, granted.callback, claim)
        return granted

    def release(self, granted: Granted) -> Deferred[None]:
        """Note that the key is free again."""
        self.released.append(granted)
        return succeed(None)

    def complete(
        self, granted: Granted, status: int, body: bytes
    ) -> Deferred[None]:
        """Ignore the outcome."""
        return succeed(None)


class Sink:
    """The way to a caller."""

    def __init__(self) -> None:
        self.watcher: Any = None
        self.refusal: Refusal | None = None
        #: What the caller has of the body.
        self.body = b''

    def watch(self, watcher: Any) -> None:
        """Keep what hears of the caller."""
        self.watcher = watcher

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Ignore the head."""

    def write(self, event: bytes) -> None:
        """Keep a part of the body."""
        self.body += event

    def finish(self) -> None:
        """Ignore the end."""

    def refuse(self, refusal: Refusal) -> None:
        """Keep the refusal."""
        self.refusal = refusal


@dataclass(frozen=True, slots=True, kw_only=True)
class _InForce:
    document: ServiceDocument
    service: str = _SERVICE
    version: int = 0


def _document(server_hosts: tuple[str, ...]) -> ServiceDocument:
    backends = {
        f'backend {host}:{SERVER_PORT}': {'data_centre': 'khomas-a'}
        for host in server_hosts
    }
    return build_document(
        {
            'service': {
                'name': _SERVICE,
                'kind': 'plain',
                'owner': 'shiftline',
            },
            'customer namport': {
                'credential_sha256': hashlib.sha256(b'key').hexdigest(),
            },
            'routing': {'deadline_ms': '5000', 'admission': 'open'},
            'route POST /bookings': {'idempotent': 'no'},
            'route GET /bookings': {'idempotent': 'yes'},
            **backends,
        },
        _SERVICE,
    )


class PlainService:
    """One service, and calls of it."""

    server_hosts: tuple[str, ...] = (_SERVER_HOST,)

    def __init__(self) -> None:
        """Start the servers and the router."""
        self.network = MemoryNetwork()
        self.clock = VirtualClock(self.network.reactor)
        #: What the servers have received.
        self.received: list[bytes] = []
        self.start_servers()
        reactor = NodeReactor(self.network, ROUTER_HOST)
        self.router_reactor = reactor
        self.claims = _Claims(reactor)
        self.state = ServiceState(
            _SERVICE,
            Surroundings(
                clock=self.clock,
                call_later=reactor.callLater,
                pool=ConnectionPool(reactor),
                decisions=DecisionLog(),
                data_centre='khomas-a',
                router='r1',
                claims=self.claims,
            ),
        )
        in_force = _InForce(document=_document(self.server_hosts))
        self.state.configure(in_force)
        #: The way to the caller of each call.
        self.sinks: list[Sink] = []
        self.verdicts: list[Verdict] = []

    @property
    def sink(self) -> 'Sink':
        """The way to the caller of the last call."""
        return self.sinks[-1]

    def start_servers(self) -> None:
        """Let the servers accept connections."""
        factory = Factory.forProtocol(lambda: _Server(self.received))
        for host in self.server_hosts:
            self.network.listen(host, SERVER_PORT, factory)

    def book(self, timeout: Millis) -> Call:
        """Make a booking."""
        return self.send('POST', timeout)

    def send(self, method: str, timeout: Millis) -> Call:
        """Make a booking, or another call, which may be repeated."""
        now = self.clock.now()
        sink = Sink()
        self.sinks.append(sink)
        call = Call(
            request_id=f'ygr-{len(self.sinks)}',
            customer='namport',
            service=_SERVICE,
            document_version=0,
            method=method,
            path='/bookings',
            headers=((b'Request-Id', b'%d' % len(self.sinks)),),
            body=b'{}' if method == 'POST' else b'',
            idempotent=method != 'POST',
            received_at=now,
            deadline=Millis(now + timeout),
            priority=0,
            idempotency_key='k',
            fingerprint=b'f',
        )
        request = PlainRequest(self.state, call, sink)
        request.start().addCallback(self.verdicts.append)
        return call

    def run(self, seconds: float) -> None:
        """Pass time."""
        for _ in range(round(seconds / _STEP_S)):
            self.network.reactor.advance(_STEP_S)
