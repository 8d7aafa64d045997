"""Permits to send calls to servers with a rate limit.

One router, the home of a server, schedules the calls of all routers to it. A
router that wants to send a call there reserves a permit first. A share of the
limit for each router would waste that of routers without demand, and one
saved-up call at each of many routers would exceed the limit.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from yuccagauge.clock import Millis
from yuccagauge.ratelimit.schedule import PermitGrant, interval_ms

#: How long a permit may be used from its time on. It is lost afterwards, so
#: that no router saves permits up.
PERMIT_LIFETIME = Millis(400)

#: Time of permits that one reservation may hold, in seconds. Larger ones would
#: take fewer messages, but leave nothing to other routers.
RESERVED_TIME_S = 0.1

#: Wait that is assumed while the home has not answered.
UNKNOWN_WAIT = Millis(20)


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
    """The permits of one router.

    Parameters
    ----------
    limit_of
        Returns the limit of a server, in calls a second, or ``None``.
    """

    def __init__(self, limit_of: Callable[[str], float | None]) -> None:
        """Create without permits."""
        self._limit_of = limit_of
        self._servers: dict[str, _ServerPermits] = {}
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
        permits.usable_at.extend(
            Millis(now + grant.wait + int(number * grant.interval_ms))
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
        return Millis(int(earliest + ahead * interval_ms(limit)))

    def drop_unlimited(self) -> None:
        """Drop the permits for servers that name no limit."""
        self._servers = {
            server_id: permits
            for server_id, permits in self._servers.items()
            if self._limit_of(server_id) is not None
        }

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
