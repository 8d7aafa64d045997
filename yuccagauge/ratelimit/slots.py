"""Slots of brittle servers that one router may use.

A brittle server ends if it has to reject too many calls for want of room. All
routers together therefore send it no more calls at a time than it has slots.
One router, the home of the server, lends the slots; a router returns one that
it does not use.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import repeat

from yuccagauge.clock import Millis

#: Time after which a lent slot is returned once it is free, so that routers
#: under load take turns.
SLOT_TENURE = Millis(600)

#: Time since the home last answered from which lent slots are not used: the
#: home may have lent them to others.
CONFIRMATION_LIFETIME = Millis(1500)

#: Shortest wait that is assumed for a call that needs a slot.
MINIMUM_WAIT = Millis(20)

#: Time that a call occupies a slot, where no answer has shown it.
UNKNOWN_SERVICE_MS = 1000.0


@dataclass(slots=True)
class _LentSlots:
    """The slots of one server that are lent to this router."""

    #: When each of them was lent, in order.
    lent_at: list[Millis] = field(default_factory=list)
    #: When the home last answered.
    confirmed_at: Millis = Millis(0)
    #: Time before which the home lends no further slot.
    unavailable_until: Millis = Millis(0)
    #: Whether the home was asked and has not answered.
    is_asking: bool = False
    #: Slots that it was asked for.
    wanted: int = 0


class Slots:
    """The slots of brittle servers that this router may use.

    Parameters
    ----------
    is_brittle
        Returns whether a server is brittle.
    calls_of
        Returns the number of calls of this router in flight at a server.
    """

    def __init__(
        self,
        is_brittle: Callable[[str], bool],
        calls_of: Callable[[str], int],
    ) -> None:
        """Create without slots."""
        self._is_brittle = is_brittle
        self._calls_of = calls_of
        self._servers: dict[str, _LentSlots] = {}
        #: Called with a server, the slots that this router occupies there and
        #: the number that it wants besides.
        self.on_request: Callable[[str, int, int], None] = (
            lambda server_id, occupied, wanted: None
        )
        #: Called with a server at which a slot may have become free.
        self.on_free: Callable[[str], None] = lambda server_id: None

    @property
    def servers(self) -> tuple[str, ...]:
        """The brittle servers that calls have asked for."""
        return tuple(filter(self._is_brittle, self._servers))

    def sendable(
        self, server_ids: Iterable[str], position: int, now: Millis
    ) -> frozenset[str]:
        """Return the servers to which a call may go now.

        Parameters
        ----------
        position
            Number of waiting calls that have precedence, at whichever of the
            servers a slot is free for them.
        """
        free = {
            server_id: self._free(server_id, now) for server_id in server_ids
        }
        usable = {name: count for name, count in free.items() if count > 0}
        return frozenset(usable if sum(usable.values()) > position else ())

    def reserve(self, server_id: str, wanted: int, now: Millis) -> None:
        """Ask for slots for calls that wait."""
        lent = self._current(server_id, now)
        missing = wanted - self._free(server_id, now)
        if missing <= 0 or lent.is_asking or now < lent.unavailable_until:
            return
        self._ask(server_id, missing, now)

    def confirm(self, server_id: str, now: Millis) -> None:
        """Tell the home how many slots this router occupies."""
        if self.occupied(server_id, now):
            self.ask_home(server_id, now)

    def ask_home(self, server_id: str, now: Millis) -> None:
        """Send the home what is occupied, unless it is asked already."""
        if not self._current(server_id, now).is_asking:
            self._ask(server_id, 0, now)

    def return_spare(self, server_id: str, now: Millis) -> None:
        """Return the slots that no call uses."""
        lent = self._current(server_id, now)
        if lent.is_asking or self._free(server_id, now) <= 0:
            return
        del lent.lent_at[self._calls_of(server_id) :]
        self._ask(server_id, 0, now)

    def record_end(self, server_id: str) -> None:
        """Record that a call at a server has ended."""
        if server_id in self._servers and self._is_brittle(server_id):
            self.on_free(server_id)

    def record_grant(
        self, server_id: str, count: int, wait: Millis, now: Millis
    ) -> None:
        """Record the answer of the home.

        A home of an older build knows no slots, and grants what nobody wants.
        """
        lent = self._current(server_id, now)
        lent.is_asking = False
        lent.confirmed_at = now
        count = min(count, lent.wanted)
        lent.lent_at.extend(repeat(now, count))
        lent.unavailable_until = Millis(now + wait)
        if count:
            self.on_free(server_id)

    def record_failure(
        self, server_id: str, pause: Millis, now: Millis
    ) -> None:
        """Record that the home did not answer."""
        lent = self._current(server_id, now)
        lent.is_asking = False
        lent.unavailable_until = Millis(now + pause)

    def occupied(self, server_id: str, now: Millis) -> int:
        """Return the slots that are lent to this router, or that it uses."""
        lent = self._current(server_id, now)
        return max(len(lent.lent_at), self._calls_of(server_id))

    def available_at(
        self, server_id: str, position: int, service_ms: float, now: Millis
    ) -> Millis:
        """Return when a slot will probably be free for a call.

        Parameters
        ----------
        service_ms
            Time that a call occupies a slot; 0 if that is not known.
        """
        free = self._free(server_id, now)
        if free > position:
            return now
        slots = max(1, self.occupied(server_id, now)) * len(self.servers)
        ahead = (position + 1 - free) / max(1, slots)
        wait = ahead * (service_ms or UNKNOWN_SERVICE_MS)
        return Millis(now + max(MINIMUM_WAIT, int(wait)))

    def drop_sound(self) -> None:
        """Drop the slots of servers that are not brittle."""
        self._servers = {
            server_id: lent
            for server_id, lent in self._servers.items()
            if self._is_brittle(server_id)
        }

    def _ask(self, server_id: str, wanted: int, now: Millis) -> None:
        lent = self._servers[server_id]
        lent.is_asking = True
        lent.wanted = wanted
        self.on_request(server_id, self.occupied(server_id, now), wanted)

    def _free(self, server_id: str, now: Millis) -> int:
        lent = self._current(server_id, now)
        if now - lent.confirmed_at > CONFIRMATION_LIFETIME:
            return 0
        return len(lent.lent_at) - self._calls_of(server_id)

    def _current(self, server_id: str, now: Millis) -> _LentSlots:
        """Return the slots of a server, without free ones that are overdue."""
        lent = self._servers.setdefault(server_id, _LentSlots())
        free = len(lent.lent_at) - self._calls_of(server_id)
        if not lent.is_asking:
            while free > 0 and now - lent.lent_at[0] > SLOT_TENURE:
                lent.lent_at.pop(0)
                free -= 1
        return lent
