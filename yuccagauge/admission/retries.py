"""A retry budget, which keeps retries from prolonging an overload."""

from yuccagauge.clock import Millis

#: Time for which a request counts towards the budget.
BUDGET_WINDOW = Millis(10_000)

#: Retries that the budget allows in a window without any requests.
MINIMUM_RETRIES = 1.0


class RetryBudget:
    """Limits retries to a share of recent requests.

    Parameters
    ----------
    share
        Retries that each request earns.
    """

    def __init__(self, share: float) -> None:
        """Start with the minimum of retries."""
        self._share = share
        self._available = MINIMUM_RETRIES
        self._updated = Millis(0)

    def record_request(self, now: Millis) -> None:
        """Count a first attempt, which earns a fraction of a retry."""
        self._expire(now)
        self._available += self._share

    def has_retry(self, now: Millis) -> bool:
        """Return whether a retry is available."""
        self._expire(now)
        return self._available >= 1

    def try_spend(self, now: Millis) -> bool:
        """Spend a retry if one is available; return whether it was."""
        self._expire(now)
        if self._available < 1:
            return False
        self._available -= 1
        return True

    def _expire(self, now: Millis) -> None:
        """Expire earned retries, so that old requests do not allow new ones."""
        age = max(0, now - self._updated)
        self._updated = max(now, self._updated)
        unexpired = self._available * max(0, 1 - age / BUDGET_WINDOW)
        floor = min(
            MINIMUM_RETRIES,
            self._available + MINIMUM_RETRIES * age / BUDGET_WINDOW,
        )
        self._available = max(unexpired, floor)
