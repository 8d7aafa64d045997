"""The member table and the rule by which statements about a member merge."""

import random
from dataclasses import dataclass, replace

from yuccagauge.clock import Millis
from yuccagauge.membership.base import (
    LIVE_STATES,
    Member,
    MemberChange,
    MemberState,
)


@dataclass(slots=True)
class _Record:
    member: Member
    changed_at: Millis


class MemberTable:
    """Other members by name; statements merge as a join semi-lattice.

    Of two statements about one member the one with the higher incarnation
    holds, and at one incarnation the one with the higher state. The order
    in which statements arrive, and repeated ones, make no difference.
    """

    def __init__(self, maximum: int) -> None:
        """Start empty."""
        self._maximum = maximum
        self._records: dict[str, _Record] = {}
        self._changes: list[MemberChange] = []
        self._live: tuple[Member, ...] | None = None

    def __len__(self) -> int:
        """Return the number of known members."""
        return len(self._records)

    @property
    def live(self) -> tuple[Member, ...]:
        """The members that are alive or suspect."""
        if self._live is None:
            self._live = self.in_state(LIVE_STATES)
        return self._live

    def get(self, name: str) -> Member | None:
        """Return a member, or ``None`` if it is unknown."""
        record = self._records.get(name)
        return record.member if record else None

    def members(self) -> tuple[Member, ...]:
        """Return all members."""
        return tuple(record.member for record in self._records.values())

    def in_state(
        self,
        states: frozenset[MemberState],
    ) -> tuple[Member, ...]:
        """Return the members in any of the states."""
        return tuple(
            record.member
            for record in self._records.values()
            if record.member.state in states
        )

    def apply(self, member: Member, now: Millis) -> bool:
        """Merge a statement and return whether it changed the table."""
        record = self._records.get(member.name)
        if record is None:
            return self._add(member, now)
        if member.precedence <= record.member.precedence:
            return False
        previous = record.member.state
        record.member = member
        record.changed_at = now
        self._note(MemberChange(member=member, previous=previous))
        return True

    def set_state(self, name: str, state: MemberState, now: Millis) -> Member:
        """Raise the state of a known member at its incarnation."""
        member = replace(self._records[name].member, state=state)
        self.apply(member, now)
        return member

    def expire(self, retention: dict[MemberState, Millis], now: Millis) -> None:
        """Forget members that have been in a final state for long."""
        for name, record in tuple(self._records.items()):
            kept = retention.get(record.member.state)
            if kept is not None and now - record.changed_at > kept:
                self._remove(name)

    def choose(
        self,
        count: int,
        source: random.Random,
        excluded: frozenset[str] = frozenset(),
    ) -> list[Member]:
        """Return some random live members."""
        live = self.live
        if not excluded:
            return source.sample(live, min(count, len(live)))
        allowed = [member for member in live if member.name not in excluded]
        return source.sample(allowed, min(count, len(allowed)))

    def take_changes(self) -> tuple[MemberChange, ...]:
        """Return the changes since the last call."""
        changes = tuple(self._changes)
        self._changes.clear()
        return changes

    def _add(self, member: Member, now: Millis) -> bool:
        # A member that is gone needs no tombstone where nobody knew it. One that
        # was forgotten would otherwise be learned again from a peer that forgets
        # it a little later, as if it had just gone.
        if not member.is_live:
            return False
        if len(self._records) >= self._maximum and not self._make_room():
            return False
        self._records[member.name] = _Record(member, now)
        self._note(MemberChange(member=member, previous=None))
        return True

    def _make_room(self) -> bool:
        dead = [
            (record.changed_at, name)
            for name, record in self._records.items()
            if record.member.state is MemberState.DEAD
        ]
        if dead:
            self._remove(min(dead)[1])
        return bool(dead)

    def _remove(self, name: str) -> None:
        member = self._records.pop(name).member
        self._note(
            MemberChange(member=member, previous=member.state, removed=True),
        )

    def _note(self, change: MemberChange) -> None:
        self._live = None
        self._changes.append(change)
