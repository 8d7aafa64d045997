"""The schedule of the calls of all routers to one server."""

import math
from dataclasses import dataclass

from yuccagauge.clock import Millis

#: Longest time ahead for which a permit is reserved.
MAXIMUM_RESERVATION = Millis(5000)

_MS_PER_S = 1000


def interval_ms(per_second: float) -> float:
    """Return the time between two calls at a rate, in ms."""
    return _MS_PER_S / per_second


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitGrant:
    """The answer to a reservation."""

    #: Number of permits; 0 if the first one is too far ahead.
    count: int
    #: Time until the first permit may be used.
    wait: Millis
    #: Time between two permits, in ms.
    interval_ms: float = 0


class PermitSchedule:
    """Schedules the calls of all routers to one server.

    Calls are spaced evenly, and time that passes unused is not made up for.

    Load pattern: many routers that cannot reach each other schedule a share of
    the limit each, and calls come to all of them at the same time. If each sent
    one at once, the sum would exceed the limit. Each of them therefore sends
    only at times of its own, a random part of an interval away from the others.

    Parameters
    ----------
    first_at
        When the first call may be sent.
    """

    def __init__(self, first_at: float) -> None:
        """Create an empty schedule."""
        self._next_at = first_at
        self._per_second: float | None = None

    def reserve(
        self,
        per_second: float,
        count: int,
        within: Millis,
        now: Millis,
        *,
        share: float = 1,
    ) -> PermitGrant:
        """Reserve permits, unless the first one is too far ahead.

        Parameters
        ----------
        per_second
            The limit of the server.
        count
            Number of permits.
        within
            Longest acceptable time until the first permit.
        share
            Part of the limit that this schedule has. Others may have the rest.
        """
        interval = interval_ms(per_second * share)
        if self._per_second is not None and per_second < self._per_second:
            # Routers drop the permits that they reserved at the higher rate.
            self._next_at = min(self._next_at, now + interval)
        self._per_second = per_second
        if share < 1 and now > self._next_at:
            self._next_at += interval * math.ceil(
                (now - self._next_at) / interval
            )
        start = max(self._next_at, now)
        wait = Millis(-int(now - start))
        if wait > min(within, MAXIMUM_RESERVATION):
            return PermitGrant(count=0, wait=wait)
        self._next_at = start + count * interval
        return PermitGrant(count=count, wait=wait, interval_ms=interval)
