"""The platform's append-only log."""

import base64
import itertools
from collections import deque
from dataclasses import dataclass

from twisted.internet import defer
from twisted.web.http import Request

from yuccagauge.clock import Clock, Millis
from yuccagauge.standins.base import (
    STANDINS,
    BadRequestError,
    Standin,
    cut_connection,
    integer_argument,
    json_answer,
    pause,
)
from yuccagauge.standins.faults import LogFaults
from yuccagauge.standins.signal import Signal

_MILLISECONDS_PER_SECOND = 1000
_DEFAULT_LIMIT = 1000
_MAXIMUM_LIMIT = 10_000
_MAXIMUM_WAIT_MS = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredRecord:
    """One record of a stream."""

    offset: int
    time: Millis
    payload: bytes


class Stream:
    """The retained records of one stream, in the order of their offsets."""

    def __init__(self) -> None:
        """Start at offset 0."""
        self._records: deque[StoredRecord] = deque()
        self._next = 0
        #: Wakes the readers that wait for the next record.
        self.signal = Signal()

    @property
    def first_offset(self) -> int:
        """The oldest retained offset, or the next one if none is."""
        return self._records[0].offset if self._records else self._next

    @property
    def next_offset(self) -> int:
        """The offset that the next record gets."""
        return self._next

    def append(self, payload: bytes, now: Millis) -> StoredRecord:
        """Add a record; its time never runs backwards."""
        if self._records:
            now = max(now, self._records[-1].time)
        stored = StoredRecord(offset=self._next, time=now, payload=payload)
        self._records.append(stored)
        self._next += 1
        self.signal.notify()
        return stored

    def page(self, after: int, limit: int) -> list[StoredRecord]:
        """Return up to ``limit`` records with offsets above ``after``."""
        start = max(after + 1 - self.first_offset, 0)
        return list(itertools.islice(self._records, start, start + limit))

    def trim(self, oldest_time: Millis, first_offset: int) -> None:
        """Drop records older than a time or below an offset."""
        records = self._records
        while records and (
            records[0].time < oldest_time or records[0].offset < first_offset
        ):
            records.popleft()

    def lose(self, next_offset: int) -> None:
        """Drop the records from an offset on, which is given out again."""
        records = self._records
        while records and records[-1].offset >= next_offset:
            records.pop()
        self._next = min(self._next, next_offset)


class RateLimit:
    """A token bucket that holds one second's worth of tokens."""

    def __init__(self, clock: Clock) -> None:
        """Start with a full bucket at the first use."""
        self._clock = clock
        self._tokens: float | None = None
        self._updated = clock.now()

    def try_take(self, rate: float) -> bool:
        """Take one token, if there is one."""
        now = self._clock.now()
        elapsed = (now - self._updated) / _MILLISECONDS_PER_SECOND
        self._updated = now
        capacity = max(rate, 1) if rate else 0
        tokens = capacity if self._tokens is None else self._tokens
        tokens = min(tokens + elapsed * rate, capacity)
        taken = tokens >= 1
        self._tokens = tokens - 1 if taken else tokens
        return taken


@STANDINS.register
class LogStandin(Standin):
    """The append-only log with its streams in memory."""

    name = 'log'
    aliases = ()
    faults_kind = LogFaults

    def add_routes(self) -> None:
        """Add reading and appending."""
        path = '/streams/<stream>/records'
        self._streams: dict[str, Stream] = {}
        #: How often records were lost.
        self._era = 0
        self._limit = RateLimit(self._clock)
        self._route(path, self._append, 'POST')
        self._route(path, self._read, 'GET')

    def faults_changed(self) -> None:
        """Trim or lose records at once if that was asked for."""
        super().faults_changed()
        if self._faults.outage:
            for stream in self._streams.values():
                stream.signal.notify()
        if self._faults.trim_to:
            for stream, offset in self._targets(self._faults.trim_to):
                stream.trim(Millis(0), offset)
            self._board.pop('trim_to')
            self._faults = self._board.build()
        if self._faults.restore_to:
            self._restore(self._faults.restore_to)
            self._board.pop('restore_to')
            self._faults = self._board.build()

    @defer.inlineCallbacks
    def _append(
        self,
        request: Request,
        stream: str,
    ) -> defer.Deferred[bytes]:
        yield pause(self._faults.delay_ms)
        if self._faults.outage:
            return json_answer(request, {'error': 'outage'}, 503)
        if not self._limit.try_take(self._faults.append_rate):
            return json_answer(request, {'error': 'append rate'}, 429)
        stored = self._stream(stream).append(
            request.content.read(),
            self._clock.wall_time(),
        )
        self.record('appended', stream=stream, offset=stored.offset)
        if self._random.random() < self._faults.lose_answers:
            if self._random.getrandbits(1):
                return json_answer(request, {'error': 'internal'}, 500)
            yield cut_connection(request)
        receipt = {'offset': stored.offset, 'time_ms': stored.time}
        return json_answer(request, receipt)

    @defer.inlineCallbacks
    def _read(
        self,
        request: Request,
        stream: str,
    ) -> defer.Deferred[bytes]:
        after = integer_argument(request, 'after', -1)
        limit = integer_argument(request, 'limit', _DEFAULT_LIMIT)
        wait_ms = integer_argument(request, 'wait_ms', 0)
        yield pause(self._faults.delay_ms)
        end = self._clock.now() + min(wait_ms, _MAXIMUM_WAIT_MS)
        era = self._era
        found = self._stream(stream)
        while (
            found.next_offset <= after + 1
            and not self._faults.outage
            and era == self._era
        ):
            remaining = Millis(end - self._clock.now())
            if remaining <= 0:
                break
            yield found.signal.wait(remaining)
        if self._faults.outage or era != self._era:
            return json_answer(request, {'error': 'outage'}, 503)
        return self._page(request, stream, after, limit)

    def _page(
        self,
        request: Request,
        stream: str,
        after: int,
        limit: int,
    ) -> bytes:
        found = self._stream(stream)
        bounded = min(max(limit, 1), _MAXIMUM_LIMIT)
        records = found.page(after, bounded)
        following = records[-1].offset + 1 if records else found.next_offset
        page = {
            'first_offset': found.first_offset,
            'next_offset': following,
            'records': [_render(stored) for stored in records],
            'era': self._era,
        }
        return json_answer(request, page)

    def _stream(self, name: str) -> Stream:
        stream = self._streams.setdefault(name, Stream())
        oldest = self._clock.wall_time() - self._faults.retention_ms
        stream.trim(Millis(oldest), 0)
        return stream

    def _restore(self, target: str) -> None:
        """Come back from a copy that ends before an offset."""
        self._era += 1
        for stream, offset in self._targets(target):
            stream.lose(offset)
        for stream in self._streams.values():
            stream.signal.notify()

    def _targets(self, target: str) -> list[tuple[Stream, int]]:
        """Return the streams that a fault names, with the offset."""
        name, _, text = target.rpartition(':')
        try:
            offset = int(text)
        except ValueError:
            raise BadRequestError(f'{target} is not an offset') from None
        names = (name,) if name else tuple(self._streams)
        return [(self._stream(each), offset) for each in names]


def _render(stored: StoredRecord) -> dict[str, object]:
    return {
        'offset': stored.offset,
        'time_ms': stored.time,
        'data': base64.b64encode(stored.payload).decode(),
    }
