"""The routers of the fleet, as heard of. Pure state."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint

#: A router that was not heard of for this long counts as dead.
DEAD_AFTER = Millis(6000)


@dataclass(frozen=True, slots=True, kw_only=True)
class Member:
    """A router, and when anyone heard it last."""

    name: str
    endpoint: Endpoint
    data_centre: str
    last_seen_at: Millis


class Members:
    """The other routers of the fleet.

    Parameters
    ----------
    name
        Name of this router, which is no member of its own list.
    """

    def __init__(self, name: str) -> None:
        """Start alone."""
        self._name = name
        self._members: dict[str, Member] = {}
        self._left: dict[str, Millis] = {}

    def live(self, now: Millis) -> tuple[Member, ...]:
        """Return the routers that were heard of lately."""
        return tuple(
            member
            for member in self._members.values()
            if now - member.last_seen_at < DEAD_AFTER
        )

    def sample(
        self,
        count: int,
        now: Millis,
        draw: Callable[[], float],
    ) -> tuple[Member, ...]:
        """Return some of the live routers by chance.

        Load pattern: a hundred routers, whose exchanges would carry little
        else if each named all. Naming those that were heard last would name
        the same few again and again, and others would count as dead.

        Parameters
        ----------
        draw
            Draws a number from 0 to 1.
        """
        live = self.live(now)
        if len(live) <= count:
            return live
        return tuple(sorted(live, key=lambda _: draw())[:count])

    def observe_members(self, members: Iterable[Member], now: Millis) -> None:
        """Take what was heard; the latest sign of life of each router counts."""
        for member in members:
            if (
                member.name == self._name
                or now - member.last_seen_at > DEAD_AFTER
            ):
                continue
            if self._left.get(member.name, Millis(-1)) >= member.last_seen_at:
                continue
            known = self._members.get(member.name)
            if known is None or known.last_seen_at < member.last_seen_at:
                self._members[member.name] = member
        self._forget(now)

    def remove_member(self, name: str, now: Millis) -> bool:
        """Drop a router that said that it stops; return whether it is news."""
        self._members.pop(name, None)
        is_news = name not in self._left
        self._left[name] = now
        return is_news

    def _forget(self, now: Millis) -> None:
        for known in (self._members, self._left):
            for name in tuple(known):
                at = known[name]
                heard = at.last_seen_at if isinstance(at, Member) else at
                if now - heard > 2 * DEAD_AFTER:
                    known.pop(name)
