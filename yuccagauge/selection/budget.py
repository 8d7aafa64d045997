"""The budget of second sends that all routers of a fleet share."""

from collections import deque

from yuccagauge.clock import Millis

#: Share of the budget that routers use. Routers learn the size of the fleet
#: late, and the last sends of a window may overlap the next one.
USED_SHARE = 0.7

#: Second sends that a router may always have in one window, so that a
#: router with little traffic can move a call off a failing server.
MINIMUM_RETRIES_PER_WINDOW = 2


class FleetRetryBudget:
    """Allows second sends of one service by this router's traffic.

    Load pattern: all servers of a service fail. Each router spends its
    part of the allowance and then answers at once, instead of doubling
    the load on the servers that come back.

    Parameters
    ----------
    ratio
        Second sends allowed for each request, over all routers.
    slack
        Second sends allowed besides, over all routers.
    window
        Length of the sliding window.
    """

    def __init__(self, ratio: float, slack: float, window: Millis) -> None:
        """Start with an empty window."""
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: deque[Millis] = deque()
        self._sends: deque[Millis] = deque()

    def record_request(self, now: Millis) -> None:
        """Count a first send."""
        self._requests.append(now)
        self._trim(now)

    def try_spend(self, routers: int, now: Millis) -> bool:
        """Take one second send if this router's part has it.

        Parameters
        ----------
        routers
            Routers that share the slack.
        """
        self._trim(now)
        slack = self._slack / max(1, routers)
        allowed = USED_SHARE * (self._ratio * len(self._requests) + slack)
        if len(self._sends) >= max(allowed, MINIMUM_RETRIES_PER_WINDOW):
            return False
        self._sends.append(now)
        return True

    def _trim(self, now: Millis) -> None:
        oldest = now - self._window
        for times in (self._requests, self._sends):
            while times and times[0] < oldest:
                times.popleft()
