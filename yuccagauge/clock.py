"""Clocks that count whole milliseconds."""

import time
from typing import NewType, Protocol

#: A point in time or a duration, in whole milliseconds.
Millis = NewType('Millis', int)

_NANOSECONDS_PER_MILLISECOND = 1_000_000
_MILLISECONDS_PER_SECOND = 1000


def in_seconds(duration: float) -> float:
    """Convert milliseconds to seconds, for reactors and metrics."""
    return duration / _MILLISECONDS_PER_SECOND


def in_millis(duration: float) -> Millis:
    """Convert seconds to whole milliseconds, rounded towards zero."""
    return Millis(int(duration * _MILLISECONDS_PER_SECOND))


class Clock(Protocol):
    """The time source that is passed to every object that needs one."""

    def now(self) -> Millis:
        """Return the monotonic time, in milliseconds from any origin."""

    def wall_time(self) -> Millis:
        """Return the wall time, in milliseconds since the Unix epoch."""


class SystemClock:
    """Reads the time from the operating system."""

    def now(self) -> Millis:
        """Return the monotonic time of this process, in milliseconds.

        The clock also counts while the VM is suspended, so ages are correct
        after the VM resumes.
        """
        ticks = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return Millis(ticks // _NANOSECONDS_PER_MILLISECOND)

    def wall_time(self) -> Millis:
        """Return the wall time, in milliseconds since the Unix epoch."""
        return Millis(time.time_ns() // _NANOSECONDS_PER_MILLISECOND)


class ManualClock:
    """A clock that only ``advance`` moves, for tests and the bench.

    Parameters
    ----------
    start
        Initial monotonic and wall time, in milliseconds.
    """

    def __init__(self, start: Millis = Millis(0)) -> None:
        """Set monotonic and wall time to the same value."""
        self._now = start

    def now(self) -> Millis:
        """Return the simulated monotonic time, in milliseconds."""
        return self._now

    def wall_time(self) -> Millis:
        """Return the simulated wall time, in milliseconds."""
        return self._now

    def advance(self, duration: Millis) -> None:
        """Move both times forward.

        Raises
        ------
        ValueError
            If the duration is negative.
        """
        if duration < 0:
            raise ValueError(f'cannot move the clock back by {-duration} ms')
        self._now = Millis(self._now + duration)
