"""Permits to send calls to servers with a rate limit.

One router, the home of a server, schedules the calls of all routers to it. A
router that wants to send a call there reserves a permit first. A share of the
limit for each router would waste that of routers without demand, and one
saved-up call at each of many routers would exceed the limit.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from yuccagauge.clock import Millis

#: How long a permit may be used from its time on. It is lost afterwards, so
#: that no router saves permits up.
PERMIT_LIFETIME = Millis(400)

#: Longest time ahead for which a permit is reserved.
MAXIMUM_RESERVATION = Millis(5000)

#: Time of permits that one reservation may hold, in seconds. Larger ones would
#: take fewer messages, but leave nothing to other routers.
RESERVED_TIME_S = 0.1

#: Time after which a waiting call that was not decided upon again has ended.
WAITING_CALL_LIFETIME = Millis(100)

#: Wait that is assumed while the home has not answered.
UNKNOWN_WAIT = Millis(20)

MS_PER_S = 1000


@dataclass(frozen=True, slots=True, kw_only=True)
class PermitGrant:
    """The answer to a reservation."""

    #: Number of permits; 0 if the first one is too far ahead.
    count: int
    #: Time until the first permit may be used.
    wait: Millis


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
        interval = MS_PER_S / per_second / share
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
        return PermitGrant(count=count, wait=wait)


@dataclass(slots=True)
class _ServerPermits:
    """The permits of this router for one server."""

    #: The limit at which they were reserved.
    per_second: float = 0
    #: Time from which each permit may be used, in order.
    usable_at: list[Millis] = field(default_factory=list)
    #: Time before which no further permit is to be had.
    unavailable_until: Millis = Millis(0)
    #: Permits that are being reserved.
    requested: int = 0
    #: Calls that wanted a permit since the last reservation.
    wanted: int = 0


class Permits:
    """The permits of one router, and the calls that wait for one.

    Parameters
    ----------
    limit_of
        Returns the limit of a server, in calls a second, or ``None``.
    """

    def __init__(self, limit_of: Callable[[str], float | None]) -> None:
        """Create without permits."""
        self._limit_of = limit_of
        self._servers: dict[str, _ServerPermits] = {}
        #: Arrival and latest decision of each waiting call, by service and id.
        self._waiting: dict[str, dict[str, tuple[Millis, Millis]]] = {}
        #: Called with a server, a number of permits and the longest wait.
        self.on_request: Callable[[str, int, Millis], None] = (
            lambda server_id, count, within: None
        )

    def may_send(self, server_id: str, position: int, now: Millis) -> bool:
        """Return whether a call may go to a server now.

        Parameters
        ----------
        position
            Number of waiting calls that have precedence.
        """
        if self._limit_of(server_id) is None:
            return True
        permits = self._current(server_id, now)
        usable = sum(at <= now for at in permits.usable_at)
        return usable > position

    def spend(self, server_id: str, now: Millis) -> None:
        """Use a permit for a call that is sent."""
        if self._limit_of(server_id) is not None:
            permits = self._current(server_id, now)
            if permits.usable_at:
                permits.usable_at.pop(0)

    def reserve(
        self, server_id: str, needed: int, within: Millis, now: Millis
    ) -> None:
        """Reserve permits for calls that would use them.

        Parameters
        ----------
        needed
            Number of calls that want a permit now.
        within
            Longest time for which the latest of them can wait.
        """
        permits = self._current(server_id, now)
        permits.wanted += 1
        limit = self._limit_of(server_id)
        is_covered = len(permits.usable_at) >= needed
        if limit is None or permits.requested or is_covered:
            return
        if now + within < permits.unavailable_until:
            return
        most = max(1, int(limit * RESERVED_TIME_S))
        permits.requested = min(most, max(needed, permits.wanted))
        permits.wanted = 0
        self.on_request(server_id, permits.requested, within)

    def record_grant(
        self, server_id: str, grant: PermitGrant, now: Millis
    ) -> None:
        """Record the answer to a reservation."""
        permits = self._current(server_id, now)
        permits.requested = 0
        limit = self._limit_of(server_id)
        if limit is None:
            return
        interval = MS_PER_S / limit
        permits.usable_at.extend(
            Millis(now + grant.wait + int(number * interval))
            for number in range(grant.count)
        )
        permits.unavailable_until = Millis(now + grant.wait)

    def record_failure(
        self, server_id: str, pause: Millis, now: Millis
    ) -> None:
        """Record that the home of a server did not answer."""
        self.record_grant(server_id, PermitGrant(count=0, wait=pause), now)

    def available_at(
        self, server_id: str, position: int, now: Millis
    ) -> Millis:
        """Return when a call may go to a server, as far as is known."""
        limit = self._limit_of(server_id)
        if limit is None:
            return now
        permits = self._current(server_id, now)
        if position < len(permits.usable_at):
            return max(now, permits.usable_at[position])
        ahead = position - len(permits.usable_at)
        if permits.usable_at:
            ahead += 1
        earliest = max(
            now + UNKNOWN_WAIT,
            permits.unavailable_until,
            *permits.usable_at[-1:],
        )
        return Millis(int(earliest + ahead * MS_PER_S / limit))

    def drop_unlimited(self) -> None:
        """Drop the permits for servers that name no limit."""
        self._servers = {
            server_id: permits
            for server_id, permits in self._servers.items()
            if self._limit_of(server_id) is not None
        }

    def record_wait(
        self, service: str, call_id: str, received_at: Millis, now: Millis
    ) -> None:
        """Record that a call waits until it is decided upon again."""
        calls = self._waiting.setdefault(service, {})
        calls[call_id] = (received_at, now)

    def record_decided(self, service: str, call_id: str) -> None:
        """Record that a call no longer waits."""
        self._waiting.get(service, {}).pop(call_id, None)

    def position(
        self, service: str, call_id: str, received_at: Millis, now: Millis
    ) -> int:
        """Return how many waiting calls of a service arrived earlier."""
        calls = {
            waiting_id: times
            for waiting_id, times in self._waiting.get(service, {}).items()
            if now - times[1] <= WAITING_CALL_LIFETIME
        }
        self._waiting[service] = calls
        # Calls that arrived at the same time keep the order of their waits.
        order = tuple(calls)
        own_index = order.index(call_id) if call_id in calls else len(order)
        return sum(
            (calls[waiting_id][0], index) < (received_at, own_index)
            for index, waiting_id in enumerate(order)
        )

    def _current(self, server_id: str, now: Millis) -> _ServerPermits:
        """Return the permits of a server without those that have expired.

        Permits from before a fall of the limit would exceed the lower one.
        """
        permits = self._servers.setdefault(server_id, _ServerPermits())
        limit = self._limit_of(server_id) or 0
        if limit < permits.per_second:
            permits.usable_at.clear()
        permits.per_second = limit
        permits.usable_at = [
            at for at in permits.usable_at if now < at + PERMIT_LIFETIME
        ]
        return permits
