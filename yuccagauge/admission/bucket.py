"""A token bucket whose rate may change."""

from yuccagauge.clock import Millis

_MILLIS_PER_SECOND = 1000


class TokenBucket:
    """Holds up to ``burst`` units and gains ``rate`` units a second.

    Parameters
    ----------
    rate
        Units a second.
    burst
        Units that a full bucket holds.
    now
        Time at which the bucket is full.
    """

    __slots__ = ('_burst', '_level', '_rate', '_updated')

    def __init__(self, rate: float, burst: float, now: Millis) -> None:
        """Start full."""
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._updated = now

    def set_rate(self, rate: float, burst: float, now: Millis) -> None:
        """Change rate and size; what is in the bucket stays, up to its size."""
        self._fill(now)
        self._rate = rate
        self._burst = burst
        self._level = min(self._level, burst)

    def wait_ms(self, amount: float, now: Millis) -> float:
        """Return how long it takes until ``amount`` can be taken, in ms.

        An amount above the size of the bucket can be taken when it is full.
        """
        self._fill(now)
        missing = min(amount, self._burst) - self._level
        if missing <= 0:
            return 0
        if self._rate <= 0:
            return float('inf')
        return missing / self._rate * _MILLIS_PER_SECOND

    def take(self, amount: float, now: Millis) -> None:
        """Take an amount; the level may become negative."""
        self._fill(now)
        self._level -= amount

    def _fill(self, now: Millis) -> None:
        gained = self._rate * (now - self._updated) / _MILLIS_PER_SECOND
        self._level = min(self._burst, self._level + max(0, gained))
        self._updated = max(now, self._updated)
