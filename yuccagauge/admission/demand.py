"""Demand of customers at this router, and the share of limits it earns."""

import math
from collections.abc import Mapping

from yuccagauge.clock import Millis

#: Time over which the demand at this router is averaged.
DEMAND_WINDOW = Millis(5000)

#: Part of a limit that is held in equal shares, whatever the demand; it
#: serves a customer whose traffic moves to another router.
EQUAL_PART = 0.2

#: A router holds at most this many equal shares, which bounds the overshoot
#: when all routers have old news of each other.
LARGEST_SHARE = 2.0

_MILLIS_PER_SECOND = 1000


class DemandMeter:
    """Requests a second of one customer, admitted or not."""

    __slots__ = ('_count', '_updated')

    def __init__(self) -> None:
        """Start without demand."""
        self._count: float = 0
        self._updated = Millis(0)

    def record(self, now: Millis) -> None:
        """Count a request."""
        self._count = self._decayed(now) + 1
        self._updated = max(now, self._updated)

    def rate(self, now: Millis) -> float:
        """Return the demand, in requests/s."""
        return self._decayed(now) * _MILLIS_PER_SECOND / DEMAND_WINDOW

    def _decayed(self, now: Millis) -> float:
        age = max(0, now - self._updated)
        return self._count * math.exp(-age / DEMAND_WINDOW)


def share_of_limit(
    own: float,
    customer: str,
    live_routers: int,
    demand: Mapping[str, float],
) -> float:
    """Return the part of a customer's limits that this router holds.

    With news that is up to date, the parts of all routers add up to 1.

    Parameters
    ----------
    own
        Demand of the customer at this router, in requests/s.
    customer
        Name of the customer.
    live_routers
        Routers that are alive, this one included.
    demand
        Demand at all routers together, in requests/s; a customer that is
        not in it has equal shares.
    """
    equal = 1 / live_routers
    total = max(demand.get(customer, 0), own)
    if customer not in demand or total <= 0:
        return equal
    weighted = (1 - EQUAL_PART) * own / total + EQUAL_PART * equal
    return min(weighted, LARGEST_SHARE * equal)
