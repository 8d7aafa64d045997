"""An in-memory log with faults, on simulated time."""

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from yuccagauge.clock import Millis
from yuccagauge.logstream.base import (
    AppendReceipt,
    AppendUnknownError,
    LogPage,
    LogRateLimitedError,
    LogRecord,
    LogUnavailableError,
)


class MemoryLog:
    """The log's interface over lists; the knobs are plain attributes."""

    def __init__(self, reactor: Clock) -> None:
        """Start without streams or faults."""
        self.reactor = reactor
        self.streams: dict[str, list[LogRecord]] = {}
        self.first: dict[str, int] = {}
        self.era = 0
        self.outage = False
        self.rate_limited = 0
        #: Appends that take effect but whose answers are lost.
        self.lose_answers = 0
        #: Appends that take effect only by ``deliver_delayed``.
        self.delay_appends = 0
        self.delayed: list[tuple[str, bytes]] = []
        #: Records that are lost just before the next append takes effect.
        self.lose_at_append = 0
        self.appends = 0
        self._waiting: list[tuple[str, int, int, Deferred]] = []

    def append(self, stream: str, payload: bytes) -> Deferred:
        """Append, subject to the knobs."""
        self.appends += 1
        if self.outage:
            return fail(LogUnavailableError('outage'))
        if self.rate_limited:
            self.rate_limited -= 1
            return fail(LogRateLimitedError('limit'))
        if self.delay_appends:
            self.delay_appends -= 1
            self.delayed.append((stream, payload))
            return fail(AppendUnknownError('delayed'))
        if self.lose_at_append:
            self.restore(self.lose_at_append)
            self.lose_at_append = 0
        record = self.put(stream, payload)
        if self.lose_answers:
            self.lose_answers -= 1
            return fail(AppendUnknownError('answer lost'))
        return succeed(AppendReceipt(offset=record.offset, time=record.time))

    def put(self, stream: str, payload: bytes) -> LogRecord:
        """Append without faults and wake the readers."""
        records = self.streams.setdefault(stream, [])
        time = Millis(int(self.reactor.seconds() * 1000))
        offset = len(records)
        record = LogRecord(offset=offset, time=time, payload=payload)
        records.append(record)
        self.reactor.callLater(0, self._wake)
        return record

    def deliver_delayed(self) -> None:
        """Let the delayed appends take effect."""
        delayed, self.delayed = self.delayed, []
        for stream, payload in delayed:
            self.put(stream, payload)

    def trim(self, stream: str, first: int) -> None:
        """Drop the records below an offset."""
        self.first[stream] = first

    def restore(self, lost: int) -> None:
        """Come back from a copy that lacks the last records of each stream."""
        for records in self.streams.values():
            del records[max(0, len(records) - lost) :]
        self.era += 1
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            answer = entry[-1]
            if not answer.called:
                answer.errback(LogUnavailableError('restart'))

    def read(
        self, stream: str, after: int, limit: int, wait: Millis
    ) -> Deferred:
        """Read at once, or wait for a record."""
        if self.outage:
            return fail(LogUnavailableError('outage'))
        page = self.page(stream, after, limit)
        if page.records or not wait:
            return succeed(page)
        answer: Deferred = Deferred()
        self._waiting.append((stream, after, limit, answer))
        self.reactor.callLater(wait / 1000, self._expire, answer)
        return answer

    def page(self, stream: str, after: int, limit: int) -> LogPage:
        """Return what the log has after an offset."""
        records = self.streams.get(stream, [])
        first = self.first.get(stream, 0)
        start = max(after + 1, first)
        return LogPage(
            first_offset=first,
            next_offset=len(records),
            records=tuple(records[start : start + limit]),
            era=self.era,
        )

    def _expire(self, answer: Deferred) -> None:
        for entry in self._waiting:
            if entry[-1] is answer:
                self._waiting.remove(entry)
                self._answer(*entry)
                return

    def _wake(self) -> None:
        waiting, self._waiting = self._waiting, []
        for entry in waiting:
            stream, after, limit, _ = entry
            if self.page(stream, after, limit).records or self.outage:
                self._answer(*entry)
            else:
                self._waiting.append(entry)

    def _answer(
        self, stream: str, after: int, limit: int, answer: Deferred
    ) -> None:
        if answer.called:
            return
        if self.outage:
            answer.errback(LogUnavailableError('outage'))
        else:
            answer.callback(self.page(stream, after, limit))
