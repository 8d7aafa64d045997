"""The interface of the log, its values and its errors."""

from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.errors import UnavailableError, YuccagaugeError

#: The era of a log that has never come back from a copy.
FIRST_ERA = 0

#: The value of ``after`` that reads a stream from its first record.
BEFORE_FIRST = -1


class LogError(YuccagaugeError):
    """Any failure of the log or of its client."""


class LogUnavailableError(LogError, UnavailableError):
    """The log did not take or answer the call; an append had no effect."""


class LogRateLimitedError(LogUnavailableError):
    """The log refused the append because of its rate limit."""


class AppendUnknownError(LogError):
    """An append may or may not have taken effect, now or later."""


class LogAnswerError(LogError):
    """The log's answer cannot be understood."""


@dataclass(frozen=True, slots=True, kw_only=True)
class LogRecord:
    """One record of a stream."""

    offset: int
    #: When the log took the record, by the log's clock.
    time: Millis
    payload: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class LogPage:
    """The answer to one read."""

    #: The oldest offset that the log still has.
    first_offset: int
    #: The offset after the last record of the stream.
    next_offset: int
    records: tuple[LogRecord, ...]
    #: How often the log has come back from a copy that lacked its last records.
    #: Offsets of lost records are given out again.
    era: int = UNKNOWN_ERA


@dataclass(frozen=True, slots=True, kw_only=True)
class AppendReceipt:
    """The position and time of an appended record."""

    offset: int
    time: Millis


class Log(Protocol):
    """An append-only log of streams of records."""

    def append(self, stream: str, payload: bytes) -> Deferred[AppendReceipt]:
        """Append one record."""

    def read(
        self,
        stream: str,
        after: int,
        limit: int,
        wait: Millis,
    ) -> Deferred[LogPage]:
        """Return records after an offset, waiting up to ``wait`` for some."""
