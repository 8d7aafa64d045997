"""Measure what one router's claims cost, on simulated log time.

The log is simulated: it accepts a number of appends per second and answers
after a round trip. Processor time and memory are real.
"""

import gc
import time
import tracemalloc
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

from twisted.internet.defer import Deferred, fail
from twisted.internet.task import Clock

from yuccagauge.claims.base import Claim, ClaimRequest, Outcome
from yuccagauge.claims.batcher import BatcherOptions
from yuccagauge.claims.client import ClaimClient, ClaimOptions, Granted
from yuccagauge.claims.ledger import Ledger
from yuccagauge.claims.shard import ShardOptions
from yuccagauge.clock import Millis
from yuccagauge.logstream.base import (
    AppendReceipt,
    LogPage,
    LogRateLimitedError,
    LogRecord,
)

_START_SECONDS = 1_000_000
_ROUND_TRIP_SECONDS = 0.002
_TIMEOUT = Millis(5000)
_PERCENT = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimRate:
    """What one router reached with one limit on appends."""

    appends_per_second: float
    offered_per_second: int
    granted_per_second: float
    #: Time from asking to the grant, in milliseconds.
    median_ms: float
    p99_ms: float
    records_per_append: float
    #: Processor time of claim and outcome together, in microseconds.
    cpu_us: float


class _SimulatedLog:
    """One stream after another in memory, with a limit on appends."""

    def __init__(self, reactor: Clock, rate: float) -> None:
        """Start empty, with one second's worth of appends."""
        self.appends = 0
        self._reactor = reactor
        self._rate = rate
        self._tokens = rate
        self._refilled = reactor.seconds()
        self._streams: dict[str, list[LogRecord]] = {}
        self._waiting: dict[str, list[tuple[int, Deferred]]] = {}

    def append(self, stream: str, payload: bytes) -> Deferred:
        """Append within the rate, answering after a round trip."""
        now = self._reactor.seconds()
        gained = (now - self._refilled) * self._rate
        self._tokens = min(max(self._rate, 1), self._tokens + gained)
        self._refilled = now
        if self._tokens < 1:
            return fail(LogRateLimitedError('rate'))
        self._tokens -= 1
        self.appends += 1
        records = self._streams.setdefault(stream, [])
        record = LogRecord(
            offset=len(records),
            time=Millis(int(now * 1000)),
            payload=payload,
        )
        records.append(record)
        answer: Deferred = Deferred()
        receipt = AppendReceipt(offset=record.offset, time=record.time)
        self._later(answer, receipt)
        for after, reader in self._waiting.pop(stream, ()):
            self._later(reader, self._page(stream, after))
        return answer

    def read(
        self,
        stream: str,
        after: int,
        limit: int,
        wait: Millis,
    ) -> Deferred:
        """Answer after a round trip, or when there is a record."""
        answer: Deferred = Deferred()
        page = self._page(stream, after)
        if page.records or not wait:
            self._later(answer, page)
        else:
            self._waiting.setdefault(stream, []).append((after, answer))
        return answer

    def _page(self, stream: str, after: int) -> LogPage:
        records = self._streams.get(stream, [])
        return LogPage(
            first_offset=0,
            next_offset=len(records),
            records=tuple(records[after + 1 :]),
        )

    def _later(self, answer: Deferred, found: object) -> None:
        self._reactor.callLater(_ROUND_TRIP_SECONDS, _fire, answer, found)


def _fire(answer: Deferred, found: object) -> None:
    if not answer.called:
        answer.callback(found)


def measure_rate(appends: float, offered: int, seconds: int) -> ClaimRate:
    """Offer calls at a steady rate and complete each that is granted."""
    reactor = Clock()
    reactor.advance(_START_SECONDS)
    log = _SimulatedLog(reactor, appends)
    batcher = BatcherOptions(appends_per_second=appends)
    options = ClaimOptions(shards=1, shard=ShardOptions(batcher=batcher))
    client = ClaimClient(log, 'router', reactor, options=options)
    client.start()
    reactor.advance(1)
    waits: list[float] = []

    def decided(decision: object, asked: float) -> None:
        if isinstance(decision, Granted):
            waits.append(reactor.seconds() - asked)
            client.complete(decision, 200, b'{"booked": true}')

    started = time.process_time()
    for request in _requests(reactor, offered * seconds):
        call = client.claim(request, _TIMEOUT)
        call.addCallback(decided, reactor.seconds())
        reactor.advance(1 / offered)
    used = time.process_time() - started
    client.close()
    waits.sort()
    return ClaimRate(
        appends_per_second=appends,
        offered_per_second=offered,
        granted_per_second=len(waits) / seconds,
        median_ms=waits[len(waits) // 2] * 1000,
        p99_ms=waits[len(waits) * 99 // _PERCENT] * 1000,
        records_per_append=client.counters['records'] / log.appends,
        cpu_us=used / len(waits) * 1_000_000,
    )


def measure_memory(keys: int) -> float:
    """Return the bytes that a ledger keeps for each answered key."""
    gc.collect()
    tracemalloc.start()
    ledger = Ledger()
    ledger.observe(0, Millis(0))
    for number in range(keys):
        # One key each 10 ms, as on a shard with 100 calls/s.
        moment = Millis(number * 10)
        ledger.observe(number, moment)
        identity = uuid.uuid4().bytes
        common = {
            'key': uuid.uuid4().bytes,
            'claim_id': identity,
            'key_time': moment,
        }
        ledger.apply(number, Claim(fingerprint=identity, **common))
        ledger.apply(number, Outcome(status=200, body=b'', **common))
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held / len(ledger)


def _requests(reactor: Clock, count: int) -> Iterator[ClaimRequest]:
    for _ in range(count):
        high = int(reactor.seconds() * 1000) << 80
        low = uuid.uuid4().int & ((1 << 62) - 1)
        key = uuid.UUID(int=high | (7 << 76) | (2 << 62) | low)
        yield ClaimRequest(
            customer='namport',
            service='roster-api',
            key=str(key),
            fingerprint=b'body',
        )
