"""When a second attempt is worth its cost. Pure state."""

from collections import deque

#: Recent times that the percentile is taken from.
_WINDOW = 256

#: Below this number of times the percentile says nothing.
_MINIMUM = 40

_PERCENTILE = 0.95

#: The percentile is computed again after this many new times.
_REFRESH = 16


class LatencyWindow:
    """The 95th percentile of recent times to the first token."""

    def __init__(self) -> None:
        """Start without times."""
        self._times: deque[int] = deque(maxlen=_WINDOW)
        self._since_refresh = 0
        self._delay: int | None = None

    @property
    def hedge_delay(self) -> int | None:
        """After how many ms to hedge; ``None`` if too little is known."""
        return self._delay

    def record(self, duration: int) -> None:
        """Take the time to the first token of one call, in ms."""
        self._times.append(duration)
        self._since_refresh += 1
        if len(self._times) >= _MINIMUM and self._since_refresh >= _REFRESH:
            self._since_refresh = 0
            ordered = sorted(self._times)
            self._delay = ordered[int(len(ordered) * _PERCENTILE)]
