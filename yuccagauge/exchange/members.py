"""The routers of the fleet and when each was last seen. No I/O."""

from collections.abc import Callable, Iterable, Mapping
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


@dataclass(frozen=True, slots=True, kw_only=True, eq=False)
class LiveNames:
    """The names of the routers that count as alive, this one left out.

    The same object stands for the same routers, so that what is derived from
    it can be kept until it changes.
    """

    ordered: tuple[str, ...]
    names: frozenset[str]
    #: The data centre of each.
    data_centres: Mapping[str, str]


_NO_NAMES = LiveNames(ordered=(), names=frozenset(), data_centres={})


class MemberList:
    """The other routers of the fleet, merged from their messages.

    Load pattern: in a fleet of hundreds, each message updates when some were
    last seen, many parts ask who is alive, and seldom does this change.

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
        self._live = _NO_NAMES
        #: Time before which no router of ``_live`` can count as dead.
        self._live_until = Millis(0)
        #: Time before which nothing has to be forgotten.
        self._keep_until = Millis(0)

    def live(self, now: Millis) -> tuple[Member, ...]:
        """Return the routers that count as alive."""
        ordered = self.live_names(now).ordered
        return tuple(map(self._members.__getitem__, ordered))

    def live_names(self, now: Millis) -> LiveNames:
        """Return the names of the routers that count as alive."""
        if now >= self._live_until:
            self._update_live(now)
        return self._live

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
        live = len(self.live_names(now).ordered) + 1
        return live / self.remembered_count(expected)

    def remembered_count(self, expected: int) -> int:
        """Return how many routers may run, this one included.

        Parameters
        ----------
        expected
            Number of other routers that exist at least.
        """
        return max(expected, len(self._members)) + 1

    def missing_count(self, expected: int, now: Millis) -> int:
        """Return how many routers are remembered that do not count as alive.

        Parameters
        ----------
        expected
            Number of other routers that exist at least.
        """
        live = len(self.live_names(now).ordered) + 1
        return self.remembered_count(expected) - live

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
        names = self.live_names(now).ordered
        if len(names) > count:
            names = _choose(names, count, random_fraction)
        return tuple(map(self._members.__getitem__, names))

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
                self._replace(known, member)
        if now > self._keep_until:
            self._remove_old_entries(now)

    def remove_member(self, name: str, now: Millis) -> bool:
        """Remove a router that stops; return whether this was unknown."""
        if self._members.pop(name, None) is not None:
            self._live_until = Millis(0)
        is_new = name not in self._stopped_at
        self._stopped_at[name] = now
        return is_new

    def _replace(self, known: Member | None, member: Member) -> None:
        """Store a member; look again who is alive if it may have changed."""
        self._members[member.name] = member
        is_same = (
            known is not None
            and member.name in self._live.names
            and known.data_centre == member.data_centre
        )
        if not is_same:
            self._live_until = Millis(0)
            self._keep_until = min(
                self._keep_until, Millis(member.last_seen_at + REMEMBERED_FOR)
            )

    def _update_live(self, now: Millis) -> None:
        live = [
            member
            for member in self._members.values()
            if now - member.last_seen_at < DEAD_AFTER
        ]
        data_centres = {member.name: member.data_centre for member in live}
        if data_centres != self._live.data_centres:
            self._live = LiveNames(
                ordered=tuple(data_centres),
                names=frozenset(data_centres),
                data_centres=data_centres,
            )
        oldest = min((member.last_seen_at for member in live), default=now)
        self._live_until = Millis(oldest + DEAD_AFTER)

    def _remove_old_entries(self, now: Millis) -> None:
        for entries in (self._members, self._stopped_at):
            for name in tuple(entries):
                if now - _seen_at(entries[name]) > REMEMBERED_FOR:
                    entries.pop(name)
        kept = (*self._members.values(), *self._stopped_at.values())
        oldest = min(map(_seen_at, kept), default=now)
        self._keep_until = Millis(oldest + REMEMBERED_FOR)


def _seen_at(entry: Member | Millis) -> Millis:
    return entry.last_seen_at if isinstance(entry, Member) else entry


def _choose(
    names: tuple[str, ...], count: int, random_fraction: Callable[[], float]
) -> list[str]:
    """Return some of the names, each with the same probability."""
    left = list(names)
    for place in range(count):
        other = place + int(random_fraction() * (len(left) - place))
        left[place], left[other] = left[other], left[place]
    return left[:count]
