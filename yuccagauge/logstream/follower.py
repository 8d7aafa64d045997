"""Follow one stream of the log by long polling.

A log that comes back from a copy may have lost its last records and gives their
offsets out again, so that what was read up to there says nothing on what it has
now. The stream is read again from its first record then.
"""

from collections import Counter
from collections.abc import Mapping
from typing import Protocol

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.interfaces import IDelayedCall, IReactorTime
from twisted.logger import Logger
from twisted.python.failure import Failure

from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.logstream.backoff import Backoff
from yuccagauge.logstream.base import BEFORE_FIRST, Log, LogError, LogPage
from yuccagauge.telemetry.journal import log_state_change

_MILLISECONDS_PER_SECOND = 1000
_PAGE_LIMIT = 500
_LOGGER = Logger()


class StreamReader(Protocol):
    """What a follower feeds; the calls come in offset order.

    After ``read_restored``, offsets begin anew.
    """

    def read_gap(self, expected: int, first_offset: int) -> None:
        """Take note that records from ``expected`` on were trimmed unread."""

    def read_restored(self, era: int) -> None:
        """Take note that the log lost records, and is read from its start."""

    def read_page(self, page: LogPage) -> None:
        """Take the next records; ``page.records`` may be empty."""


class Follower:
    """Read a stream from an offset on, for ever.

    Parameters
    ----------
    log
        The log.
    stream
        Name of the stream.
    reader
        Gets every record once and in order, and all that are left once more
        after the log has lost some.
    reactor
        Schedules the next attempt after a failure.
    backoff
        Delays after failures.
    after
        The last offset that the reader already has.
    wait
        How long the log may hold an empty answer back, in milliseconds.
    """

    def __init__(
        self,
        log: Log,
        stream: str,
        reader: StreamReader,
        reactor: IReactorTime,
        backoff: Backoff,
        *,
        after: int = BEFORE_FIRST,
        wait: Millis = Millis(10_000),
    ) -> None:
        """Read nothing before ``start``."""
        self._log = log
        self._stream = stream
        self._reader = reader
        self._reactor = reactor
        self._backoff = backoff
        self._after = after
        self._wait = wait
        self._era = UNKNOWN_ERA
        self._caught_up = False
        self._failing = False
        self._running = False
        self._call: Deferred[LogPage] | None = None
        self._timer: IDelayedCall | None = None
        self._counts: Counter[str] = Counter()

    @property
    def after(self) -> int:
        """The offset of the last record that the reader got."""
        return self._after

    @property
    def caught_up(self) -> bool:
        """Whether the end of the stream was reached at least once."""
        return self._caught_up

    @property
    def failing(self) -> bool:
        """Whether the last read failed."""
        return self._failing

    @property
    def counters(self) -> Mapping[str, int]:
        """Pages, records, failures, gaps, restorations and regressions."""
        return dict(self._counts)

    def start(self) -> None:
        """Begin to read."""
        self._running = True
        self._read()

    def close(self) -> None:
        """Stop reading; nothing is delivered any more."""
        self._running = False
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        if self._call is not None:
            self._call.cancel()

    def _read(self) -> None:
        self._timer = None
        if not self._running:
            return
        # A log that was away may have lost records, which its answer shows.
        may_wait = self._caught_up and not self._failing
        wait = self._wait if may_wait else Millis(0)
        call = self._log.read(self._stream, self._after, _PAGE_LIMIT, wait)
        self._call = call
        call.addCallbacks(self._take, self._fail)
        call.addErrback(self._report)

    def _take(self, page: LogPage) -> None:
        self._call = None
        if not self._running:
            return
        expected = self._after + 1
        if self._is_of_new_era(page) or (
            page.era == UNKNOWN_ERA and page.next_offset < expected
        ):
            self._restart(page)
            return
        if UNKNOWN_ERA < page.era < self._era or page.next_offset < expected:
            # Within an era, a log never shrinks: the answer is outdated.
            self._counts['regressions'] += 1
            self._later()
            return
        self._era = max(self._era, page.era)
        self._failing = False
        self._backoff.reset()
        if page.first_offset > expected:
            self._counts['gaps'] += 1
            self._after = page.first_offset - 1
            self._reader.read_gap(expected, page.first_offset)
        self._deliver(page)
        self._timer = self._reactor.callLater(0, self._read)

    def _is_of_new_era(self, page: LogPage) -> bool:
        return UNKNOWN_ERA < self._era < page.era

    def _restart(self, page: LogPage) -> None:
        """Read the stream again from its first record."""
        self._counts['restorations'] += 1
        log_state_change(
            'log_restored',
            stream=self._stream,
            era=page.era,
            known_era=self._era,
            read_to=self._after,
            next_offset=page.next_offset,
        )
        self._era = max(self._era, page.era)
        self._after = BEFORE_FIRST
        self._caught_up = False
        self._reader.read_restored(self._era)
        self._timer = self._reactor.callLater(0, self._read)

    def _deliver(self, page: LogPage) -> None:
        self._counts['pages'] += 1
        self._counts['records'] += len(page.records)
        if page.records:
            self._after = page.records[-1].offset
        full = len(page.records) >= _PAGE_LIMIT
        if not full and page.next_offset <= self._after + 1:
            self._caught_up = True
        self._reader.read_page(page)

    def _fail(self, failure: Failure) -> None:
        self._call = None
        if failure.check(CancelledError) and not self._running:
            return
        if not failure.check(LogError):
            _LOGGER.failure('unexpected failure of a read', failure)
        self._failing = True
        self._counts['failures'] += 1
        self._later()

    def _later(self) -> None:
        if self._running:
            seconds = self._backoff.next_delay() / _MILLISECONDS_PER_SECOND
            self._timer = self._reactor.callLater(seconds, self._read)

    def _report(self, failure: Failure) -> None:
        # The reader may have missed records; going on would break its fold.
        _LOGGER.failure('stream reader failed; it is stopped', failure)
        self._counts['reader_errors'] += 1
        self._failing = True
        self._caught_up = False
        self._running = False
