"""Estimate of the waiting time of late calls."""

from yuccagauge.clock import Millis
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.selection.deferral import MAXIMUM_RETRY_AFTER

#: Time between two decisions about a late call that waits.
LATE_RECHECK_INTERVAL = Millis(50)

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

    def wait_or_refuse(
        self, first_token_ms: float, request: SelectionRequest, now: Millis
    ) -> SelectionDecision:
        """Let a late call wait, or refuse it if it cannot be served in time.

        Parameters
        ----------
        first_token_ms
            Expected time from the send to the first token.
        """
        waited = Millis(now - request.received_at)
        slack_ms = request.first_output_deadline - now - first_token_ms
        is_new = waited < LATE_RECHECK_INTERVAL
        if is_new and self.expected_wait(now) > slack_ms:
            return SelectionDecision(
                retry_after=MAXIMUM_RETRY_AFTER, reason='overloaded'
            )
        if slack_ms <= 0:
            self.record_wait(waited, now, refused=True)
            return SelectionDecision(
                retry_after=MAXIMUM_RETRY_AFTER, reason='overloaded'
            )
        until = Millis(now + LATE_RECHECK_INTERVAL)
        return SelectionDecision(wait_until=until, reason='late_anyway')
