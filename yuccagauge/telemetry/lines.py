"""A log handler that never blocks and bounds the number of lines."""

import logging
import os

from yuccagauge.clock import Clock, in_seconds

#: Lines a second that are written over time, and at once after a quiet time.
LINES_PER_SECOND = 300.0
BURST_LINES = 1500.0

#: Bytes that wait for a reader that is slow; lines beyond them are dropped.
MAXIMUM_WAITING = 65_536


class BoundedLineHandler(logging.Handler):
    """Write lines to a file descriptor, and count what is dropped.

    Parameters
    ----------
    descriptor
        Where lines go; it is set to non-blocking.
    clock
        The source of time.
    """

    def __init__(self, descriptor: int, clock: Clock) -> None:
        """Start with a full allowance."""
        super().__init__()
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._clock = clock
        self._allowance = BURST_LINES
        self._filled_at = clock.now()
        self._waiting = b''
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that were dropped since the last one that was written."""
        return self._dropped

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line, or count it as dropped."""
        now = self._clock.now()
        age = max(0, now - self._filled_at)
        self._filled_at = now
        earned = LINES_PER_SECOND * in_seconds(age)
        self._allowance = min(BURST_LINES, self._allowance + earned)
        if self._allowance < 1 or len(self._waiting) > MAXIMUM_WAITING:
            self._dropped += 1
            self._flush()
            return
        self._allowance -= 1
        if self._dropped:
            self._waiting += b'{"event":"lines_dropped","count":%d}\n' % (
                self._dropped
            )
            self._dropped = 0
        self._waiting += f'{self.format(record)}\n'.encode()
        self._flush()

    def _flush(self) -> None:
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            # The reader is slow: the lines wait, and later ones are dropped.
            return
        except OSError:
            # Nobody reads any more, so there is nobody to tell.
            self._waiting = b''
            return
        self._waiting = self._waiting[written:]
