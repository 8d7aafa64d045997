"""Group commit of claim records: many records in one append."""

import enum
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.logger import Logger
from twisted.python.failure import Failure

from yuccagauge.claims.base import Claim, Outcome, Record
from yuccagauge.claims.codec import encode_batch
from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.logstream.backoff import Backoff
from yuccagauge.logstream.base import (
    Log,
    LogRateLimitedError,
    LogUnavailableError,
)

_MILLISECONDS_PER_SECOND = 1000
_LOGGER = Logger()

#: Packed size of a record without a body, rounded up.
_RECORD_BYTES = 80

#: What recognises a record that was read back: its kind and claim id.
RecordId = tuple[type, bytes]


@dataclass(frozen=True, slots=True, kw_only=True)
class BatcherOptions:
    """How a batcher trades delay for appends."""

    #: How long the first record of a batch waits for others.
    window: Millis = Millis(20)
    #: Bound on the window when the log limits the rate.
    maximum_window: Millis = Millis(1000)
    #: Appends per second to one stream under lasting load. At 450 nodes,
    #: 48 shards x 5 fit into the log's several hundred appends/s.
    appends_per_second: float = 20
    #: Appends that may follow each other at the window's distance.
    burst: int = 5
    #: How long records of an append without an answer are looked for in
    #: the log before they are appended again.
    resend_after: Millis = Millis(500)
    #: Bounds on one append.
    maximum_records: int = 2000
    maximum_bytes: int = 256_000


@enum.unique
class _State(enum.Enum):
    """Where a record is on its way into the log."""

    WAITING = 'waiting'
    FLYING = 'flying'
    #: Appended, perhaps, and not yet read back.
    SENT = 'sent'


class _Item:
    """One record on its way into the log."""

    __slots__ = ('appended', 'attempts', 'record', 'state')

    def __init__(self, record: Record) -> None:
        """Wait for the next batch."""
        self.record = record
        self.state = _State.WAITING
        #: Whether the record may be in the log, now or later.
        self.appended = False
        #: How many appends carried it.
        self.attempts = 0


class Batcher:
    """Append records until they are read back.

    At most one append is in flight. After an append with an unknown outcome
    its records are appended again if the reader does not find them; the
    ledger ignores copies.

    Parameters
    ----------
    log
        The log.
    stream
        Name of the shard's stream.
    reactor
        Keeps the windows.
    seed
        Seed of the jitter after failures.
    options
        Windows and bounds.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        reactor: IReactorTime,
        seed: int | str,
        options: BatcherOptions,
    ) -> None:
        """Start without records."""
        self._log = log
        self._stream = stream
        self._reactor = reactor
        self._options = options
        self._window = options.window
        self._backoff = Backoff(seed, initial=options.window)
        self._items: dict[RecordId, _Item] = {}
        self._waiting: dict[RecordId, _Item] = {}
        self._timers: set[IDelayedCall] = set()
        self._is_scheduled = False
        self._tick_asked = False
        self._is_closed = False
        self._era = UNKNOWN_ERA
        self._allowance = float(options.burst)
        self._allowed_at = reactor.seconds()
        self._counts: Counter[str] = Counter()

    @property
    def counters(self) -> Mapping[str, int]:
        """Appends, records, repeats and failures."""
        return dict(self._counts)

    @property
    def window(self) -> Millis:
        """The present window, in milliseconds."""
        return self._window

    @property
    def is_idle(self) -> bool:
        """Whether every record was read back."""
        return not self._items

    def add(self, record: Record) -> None:
        """Append a record with the next batch."""
        identity = record_id(record)
        if identity not in self._items:
            self._items[identity] = _Item(record)
            self._wait(identity)

    def observe_era(self, era: int) -> None:
        """Name the era of the log that was read last in what is appended."""
        self._era = max(self._era, era)

    def tick(self) -> None:
        """Append a batch even if it is empty, to learn the log's time."""
        self._tick_asked = True
        self._schedule()

    def confirm(self, record: Record) -> bool:
        """Take note that a record was read; return if copies may follow."""
        identity = record_id(record)
        self._waiting.pop(identity, None)
        item = self._items.pop(identity, None)
        return item is not None and item.attempts > 1

    def withdraw(self, claim: Claim) -> bool:
        """Stop appending a claim; return whether it may be in the log."""
        identity = record_id(claim)
        self._waiting.pop(identity, None)
        item = self._items.pop(identity, None)
        if item is None or item.appended:
            return True
        return item.state is _State.FLYING

    def read_gap(self) -> None:
        """Append again what may have been trimmed before it was read."""
        for identity, item in self._items.items():
            if item.state is _State.SENT:
                self._wait(identity)

    def close(self) -> None:
        """Stop appending; records that were not read back are dropped."""
        self._is_closed = True
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()

    def _wait(self, identity: RecordId) -> None:
        item = self._items[identity]
        item.state = _State.WAITING
        self._waiting[identity] = item
        self._schedule()

    def _schedule(self, delay: Millis | None = None) -> None:
        if self._is_scheduled:
            return
        self._is_scheduled = True
        if delay is None:
            delay = self._window
        seconds = max(delay / _MILLISECONDS_PER_SECOND, self._allowance_wait())
        self._call_later(seconds, self._flush)

    def _allowance_wait(self) -> float:
        now = self._reactor.seconds()
        rate = self._options.appends_per_second
        gained = (now - self._allowed_at) * rate
        self._allowance = min(self._options.burst, self._allowance + gained)
        self._allowed_at = now
        return max(0, 1 - self._allowance) / rate

    def _flush(self) -> None:
        batch = self._take_batch()
        if not batch and not self._tick_asked:
            self._is_scheduled = False
            return
        self._tick_asked = False
        self._allowance -= 1
        self._counts['appends'] += 1
        self._counts['records'] += len(batch)
        payload = encode_batch((item.record for item in batch), self._era)
        call = self._log.append(self._stream, payload)
        call.addCallbacks(
            self._done,
            self._failed,
            callbackArgs=(batch,),
            errbackArgs=(batch,),
        )

    def _take_batch(self) -> list[_Item]:
        batch: list[_Item] = []
        size = 0
        for item in self._waiting.values():
            size += _size(item.record)
            if batch and size > self._options.maximum_bytes:
                break
            batch.append(item)
            if len(batch) == self._options.maximum_records:
                break
        for item in batch:
            item.state = _State.FLYING
            item.attempts += 1
            self._waiting.pop(record_id(item.record))
        return batch

    def _done(self, receipt: object, batch: list[_Item]) -> None:
        self._backoff.reset()
        base = self._options.window
        self._window = Millis(max(base, self._window * 7 // 8))
        self._sent(batch)
        self._next()

    def _failed(self, failure: Failure, batch: list[_Item]) -> None:
        if not batch:
            self._tick_asked = True
        if failure.check(LogUnavailableError):
            self._refused(failure, batch)
            return
        self._counts['unknown'] += 1
        self._sent(batch)
        seconds = self._options.resend_after / _MILLISECONDS_PER_SECOND
        self._call_later(seconds, lambda: self._resend(batch))
        self._next()

    def _sent(self, batch: list[_Item]) -> None:
        for item in batch:
            item.state = _State.SENT
            item.appended = True

    def _refused(self, failure: Failure, batch: list[_Item]) -> None:
        if failure.check(LogRateLimitedError):
            self._counts['rate_limited'] += 1
            limit = self._options.maximum_window
            self._window = Millis(min(limit, self._window * 2))
        else:
            self._counts['unavailable'] += 1
        for item in batch:
            identity = record_id(item.record)
            item.attempts -= 1
            if self._items.get(identity) is item:
                item.state = _State.WAITING
                self._waiting[identity] = item
        self._next(self._backoff.next_delay())

    def _resend(self, batch: list[_Item]) -> None:
        for item in batch:
            identity = record_id(item.record)
            is_ours = self._items.get(identity) is item
            if is_ours and item.state is _State.SENT:
                self._counts['repeats'] += 1
                self._wait(identity)

    def _next(self, delay: Millis | None = None) -> None:
        self._is_scheduled = False
        if self._waiting or self._tick_asked:
            self._schedule(delay)

    def _call_later(self, seconds: float, action: Callable[[], None]) -> None:
        if self._is_closed:
            return

        def run() -> None:
            self._timers.discard(timer)
            action()

        timer = self._reactor.callLater(seconds, run)
        self._timers.add(timer)


def record_id(record: Record) -> RecordId:
    """Return what recognises a record in the log."""
    return type(record), record.claim_id


def _size(record: Record) -> int:
    if isinstance(record, Outcome) and record.body is not None:
        return _RECORD_BYTES + len(record.body)
    return _RECORD_BYTES
