"""Measures the demand of customers and divides limits among routers."""

import math
from collections.abc import Mapping

from yuccagauge.clock import Millis

#: Time constant of the average of the demand at this router.
DEMAND_WINDOW = Millis(5000)

#: Fraction of a limit that all routers share equally, whatever the demand.
#: The traffic of a customer may move to a router that had no demand from it;
#: this fraction lets that router admit requests at once.
EQUAL_FRACTION = 0.2

#: The demand that routers receive from each other may be old at all of them.
#: A router uses at most this many equal shares, which bounds the overshoot.
MAXIMUM_EQUAL_SHARES = 2.0

_MILLIS_PER_SECOND = 1000


class DemandMeter:
    """Measures the requests/s of one customer, admitted and refused."""

    __slots__ = ('_count', '_updated')

    def __init__(self) -> None:
        """Create a meter without requests."""
        self._count: float = 0
        self._updated = Millis(0)

    def record_request(self, now: Millis) -> None:
        """Count a request."""
        self._count = self._decayed_count(now) + 1
        self._updated = max(now, self._updated)

    def rate(self, now: Millis) -> float:
        """Return the average demand, in requests/s."""
        return self._decayed_count(now) * _MILLIS_PER_SECOND / DEMAND_WINDOW

    def _decayed_count(self, now: Millis) -> float:
        age = max(0, now - self._updated)
        return self._count * math.exp(-age / DEMAND_WINDOW)


def share_of_limit(
    own: float,
    customer: str,
    live_routers: int,
    demand: Mapping[str, float],
) -> float:
    """Return the fraction of a customer's limits that this router may use.

    If all routers know the current demand, their fractions add up to 1, or
    to less where ``MAXIMUM_EQUAL_SHARES`` applies.

    Parameters
    ----------
    own
        Demand of the customer at this router, in requests/s.
    customer
        Name of the customer.
    live_routers
        Number of live routers, including this one.
    demand
        Demand of each customer at all routers together, in requests/s. The
        routers share the limits of a customer without an entry equally.
    """
    equal = 1 / live_routers
    total = max(demand.get(customer, 0), own)
    if customer not in demand or total <= 0:
        return equal
    weighted = (1 - EQUAL_FRACTION) * own / total + EQUAL_FRACTION * equal
    return min(weighted, MAXIMUM_EQUAL_SHARES * equal)
