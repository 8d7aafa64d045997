"""A token bucket with a variable rate."""

from yuccagauge.clock import Millis

_MILLIS_PER_SECOND = 1000


class TokenBucket:
    """Limits the rate at which units are consumed.

    Parameters
    ----------
    rate
        Units that the bucket gains per second.
    burst
        Units in a full bucket.
    now
        Current time; the bucket is full at this time.
    """

    __slots__ = ('_burst', '_level', '_rate', '_updated')

    def __init__(self, rate: float, burst: float, now: Millis) -> None:
        """Create a full bucket."""
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._updated = now

    def set_rate(self, rate: float, burst: float, now: Millis) -> None:
        """Change rate and size; keep the current units, up to the new size."""
        self._refill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def wait_ms(self, amount: float, now: Millis) -> float:
        """Return the time until ``amount`` can be consumed, in ms.

        An amount larger than the bucket can be consumed once it is full.
        """
        self._refill(now)
        missing = min(amount, self._burst) - self._level
        if missing <= 0:
            return 0
        if self._rate <= 0:
            return float('inf')
        return missing / self._rate * _MILLIS_PER_SECOND

    def consume(self, amount: float, now: Millis) -> None:
        """Consume an amount; the level may become negative."""
        self._refill(now)
        self._level -= amount

    def _refill(self, now: Millis) -> None:
        gained = self._rate * (now - self._updated) / _MILLIS_PER_SECOND
        self._level = min(self._burst, self._level + max(0, gained))
        self._updated = max(now, self._updated)
