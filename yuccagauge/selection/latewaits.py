"""Estimate of the waiting time of late calls."""

from yuccagauge.clock import Millis

#: Weight of one wait in the moving average.
WAIT_SAMPLE_WEIGHT = 0.25

#: Half-life of the moving average while no wait ends. It is short, so that
#: calls are accepted again soon after an overload.
WAIT_HALF_LIFE_MS = 1200.0

#: Factor by which a wait that ended in a refusal counts as longer than it was.
REFUSED_WAIT_FACTOR = 1.5


class LateWaitEstimator:
    """Estimates how long a late call waits, from the waits before it.

    Load pattern: under a lasting overload, calls wait until their callers are
    about to give up, and are then refused. With the estimate, such a call is
    refused on arrival, while its caller still has time to retry.
    """

    def __init__(self) -> None:
        """Create an estimator that expects no wait."""
        self._mean_wait_ms = float(0)
        self._updated_at = Millis(0)

    def expected_wait(self, now: Millis) -> float:
        """Return the expected wait of a call that arrives now, in ms."""
        age = max(0, now - self._updated_at)
        return self._mean_wait_ms * 0.5 ** (age / WAIT_HALF_LIFE_MS)

    def record_wait(
        self, waited: Millis, now: Millis, *, refused: bool
    ) -> None:
        """Add a wait that ended with a send or a refusal."""
        mean_wait_ms = self.expected_wait(now)
        sample_ms = waited * REFUSED_WAIT_FACTOR if refused else waited
        self._mean_wait_ms = mean_wait_ms + WAIT_SAMPLE_WEIGHT * (
            sample_ms - mean_wait_ms
        )
        self._updated_at = now
