"""The retry budget, which keeps retries from feeding an overload."""

from yuccagauge.clock import Millis

#: Time over which requests earn retries.
BUDGET_WINDOW = Millis(10_000)

#: Retries that are allowed in a window without any requests.
MINIMUM_RETRIES = 1.0


class RetryBudget:
    """Allows retries as a share of recent requests.

    Parameters
    ----------
    share
        Retries for each request.
    """

    def __init__(self, share: float) -> None:
        """Start with the minimum."""
        self._share = share
        self._earned = MINIMUM_RETRIES
        self._updated = Millis(0)

    def record_request(self, now: Millis) -> None:
        """Count a first attempt, which earns a share of a retry."""
        self._decay(now)
        self._earned += self._share

    def try_spend(self, now: Millis) -> bool:
        """Take one retry if the budget has it."""
        self._decay(now)
        if self._earned < 1:
            return False
        self._earned -= 1
        return True

    def _decay(self, now: Millis) -> None:
        """Let earnings fade so that old requests pay for no retries."""
        age = max(0, now - self._updated)
        self._updated = max(now, self._updated)
        kept = self._earned * max(0, 1 - age / BUDGET_WINDOW)
        floor = min(
            MINIMUM_RETRIES,
            self._earned + MINIMUM_RETRIES * age / BUDGET_WINDOW,
        )
        self._earned = max(kept, floor)
