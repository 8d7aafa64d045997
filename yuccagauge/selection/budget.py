"""The retry budget that all routers of a fleet share."""

from collections import deque

from yuccagauge.clock import Millis

#: Share of the budget that routers spend. The rest is a margin: routers learn
#: late that the number of routers changed, and the last retries of a window may
#: overlap the next window.
SPENDABLE_SHARE = 0.7

#: Retries that each router may always make in a window, so that a router with
#: little traffic can move a call away from a failing server.
MINIMUM_RETRIES_PER_WINDOW = 2


class FleetRetryBudget:
    """Limits the retries of one service to this router's part of the budget.

    Load pattern: all servers of a service fail. Each router spends its part
    of the budget and then refuses calls at once. Without the limit, retries
    would double the load on the servers that recover.

    Parameters
    ----------
    ratio
        Retries allowed for each request, over all routers.
    slack
        Retries allowed in a window in addition, over all routers.
    window
        Length of the sliding window.
    """

    def __init__(self, ratio: float, slack: float, window: Millis) -> None:
        """Create a budget with an empty window."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: deque[Millis] = deque()
        self._retries: deque[Millis] = deque()

    def record_request(self, now: Millis) -> None:
        """Count a request, which adds to the budget."""
        self._requests.append(now)
        self._remove_expired(now)

    def try_spend(self, router_count: int, now: Millis) -> bool:
        """Spend one retry and return ``True`` if the budget allows it.

        Parameters
        ----------
        router_count
            Number of routers that share the slack.
        """
        self._remove_expired(now)
        slack = self._slack / max(1, router_count)
        allowed = SPENDABLE_SHARE * (self._ratio * len(self._requests) + slack)
        if len(self._retries) >= max(allowed, MINIMUM_RETRIES_PER_WINDOW):
            return False
        self._retries.append(now)
        return True

    def return_retry(self) -> None:
        """Take back the latest retry, which was not used."""
        if self._retries:
            self._retries.pop()

    def _remove_expired(self, now: Millis) -> None:
        window_start = now - self._window
        for times in (self._requests, self._retries):
            while times and times[0] < window_start:
                times.popleft()
