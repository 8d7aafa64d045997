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
_HOST = '10.0.0.1'
_SERVER_HOST = '10.1.0.1'
_PORT = 8080
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


class _Sink:
    """The way to a caller."""

    def __init__(self) -> None:
        self.watcher: Any = None
        self.refusal: Refusal | None = None

    def watch(self, watcher: Any) -> None:
        """Keep what hears of the caller."""
        self.watcher = watcher

    def begin(self, status: int, headers: tuple[Header, ...]) -> None:
        """Ignore the head."""

    def write(self, event: bytes) -> None:
        """Ignore the body."""

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


def _document() -> ServiceDocument:
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
            f'backend {_SERVER_HOST}:{_PORT}': {'data_centre': 'khomas-a'},
        },
        _SERVICE,
    )


class PlainService:
    """One service with one server, and bookings there."""

    def __init__(self) -> None:
        """Start the server."""
        self.network = MemoryNetwork()
        self.clock = VirtualClock(self.network.reactor)
        #: What the server has received.
        self.received: list[bytes] = []
        factory = Factory.forProtocol(lambda: _Server(self.received))
        self.network.listen(_SERVER_HOST, _PORT, factory)
        reactor = NodeReactor(self.network, _HOST)
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
        self.state.configure(_InForce(document=_document()))
        self.sink = _Sink()
        self.verdicts: list[Verdict] = []

    def book(self, timeout: Millis) -> Call:
        """Make a booking."""
        now = self.clock.now()
        call = Call(
            request_id='ygr-1',
            customer='namport',
            service=_SERVICE,
            document_version=0,
            method='POST',
            path='/bookings',
            headers=(),
            body=b'{}',
            idempotent=False,
            received_at=now,
            deadline=Millis(now + timeout),
            priority=0,
            idempotency_key='k',
            fingerprint=b'f',
        )
        request = PlainRequest(self.state, call, self.sink)
        request.start().addCallback(self.verdicts.append)
        return call

    def run(self, seconds: float) -> None:
        """Pass time."""
        for _ in range(round(seconds / _STEP_S)):
            self.network.reactor.advance(_STEP_S)
