"""The routers of the fleet and when each was last seen. No I/O."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint

#: A router that no router has seen for this long counts as dead.
DEAD_AFTER = Millis(6000)

#: How long a router is remembered that may be dead or cut off.
REMEMBERED_FOR = Millis(60_000)


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A router, and when any router last received a message from it."""

    name: str
    endpoint: Endpoint
    data_centre: str
    last_seen_at: Millis


class MemberList:
    """The other routers of the fleet, merged from their messages.

    Parameters
    ----------
    name
        Name of this router, which the list leaves out.
    """

    def __init__(self, name: str) -> None:
        """Create an empty list."""
        self._name = name
        self._members: dict[str, Member] = {}
        #: When each router that stopped announced it.
        self._stopped_at: dict[str, Millis] = {}

    def live(self, now: Millis) -> tuple[Member, ...]:
        """Return the routers that count as alive."""
        return tuple(
            member
            for member in self._members.values()
            if now - member.last_seen_at < DEAD_AFTER
        )

    def live_share(self, expected: int, now: Millis) -> float:
        """Return the share of live routers among all that are remembered.

        This router counts as one of them. Routers that announced that they
        stop are not remembered.

        Parameters
        ----------
        expected
            Number of other routers that exist at least. A router that starts
            remembers none of those that it cannot reach.
        """
        others = max(expected, len(self._members))
        return (len(self.live(now)) + 1) / (others + 1)

    def sample(
        self,
        count: int,
        now: Millis,
        random_fraction: Callable[[], float],
    ) -> tuple[Member, ...]:
        """Return a random sample of the live routers.

        Load pattern: in a fleet of a hundred routers, messages that list all
        routers would carry little else. A list of the routers that were seen
        last would repeat the same few, and others would count as dead.

        Parameters
        ----------
        random_fraction
            Returns a random number from 0 to 1.
        """
        live = self.live(now)
        if len(live) <= count:
            return live
        return tuple(sorted(live, key=lambda _: random_fraction())[:count])

    def observe_members(self, members: Iterable[Member], now: Millis) -> None:
        """Merge members; the latest time at which each was seen counts.

        Entries that are older than a router's announced stop are ignored.
        """
        for member in members:
            if (
                member.name == self._name
                or now - member.last_seen_at > DEAD_AFTER
            ):
                continue
            if (
                self._stopped_at.get(member.name, Millis(-1))
                >= member.last_seen_at
            ):
                continue
            known = self._members.get(member.name)
            if known is None or known.last_seen_at < member.last_seen_at:
                self._members[member.name] = member
        self._remove_old_entries(now)

    def remove_member(self, name: str, now: Millis) -> bool:
        """Remove a router that stops; return whether this was unknown."""
        self._members.pop(name, None)
        is_new = name not in self._stopped_at
        self._stopped_at[name] = now
        return is_new

    def _remove_old_entries(self, now: Millis) -> None:
        for entries in (self._members, self._stopped_at):
            for name in tuple(entries):
                entry = entries[name]
                seen_at = (
                    entry.last_seen_at if isinstance(entry, Member) else entry
                )
                if now - seen_at > REMEMBERED_FOR:
                    entries.pop(name)
