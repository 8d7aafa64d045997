"""What one router believes about the fleet, and how it merges statements."""

from collections.abc import Iterable
from dataclasses import replace

from yuccagauge.clock import Millis
from yuccagauge.membership.base import (
    Member,
    MemberState,
    member_of,
    update_of,
)
from yuccagauge.membership.broadcast import BroadcastQueue
from yuccagauge.membership.items import HeldItem, ItemTable
from yuccagauge.membership.options import SwimOptions
from yuccagauge.membership.probe import HealthScore
from yuccagauge.membership.suspicion import Suspicion
from yuccagauge.membership.table import MemberTable
from yuccagauge.wire.base import MAXIMUM_DATAGRAM
from yuccagauge.wire.messages import Item, MemberUpdate, StateSync

# Bytes of a datagram that are kept free for the envelope, the addresses and
# an update that goes first.
_RESERVED_BYTES = 300

_HIGHEST_INCARNATION = 2**32 - 1

#: What a message carries besides its own purpose.
Piggyback = tuple[tuple[MemberUpdate, ...], tuple[Item, ...]]


class Roster:
    """Members, suspicions, items and the updates that wait to be sent.

    Parameters
    ----------
    own
        This router.
    options
        Times and numbers.
    """

    def __init__(self, own: Member, options: SwimOptions) -> None:
        """Start alone."""
        self._own = own
        self._options = options
        self._new_names: list[str] = []
        self._new_items: list[HeldItem] = []
        self._suspicions: dict[str, Suspicion] = {}
        self.table = MemberTable(options.maximum_members)
        self.items = ItemTable()
        self.queue = BroadcastQueue()
        self.health = HealthScore(options.maximum_health_score)
        self._announce()

    @property
    def own(self) -> Member:
        """This router."""
        return self._own

    @property
    def next_deadline(self) -> Millis | None:
        """When the next suspicion ends; ``None`` without one."""
        return min(
            (suspicion.deadline for suspicion in self._suspicions.values()),
            default=None,
        )

    def leave(self) -> None:
        """Announce that this router is leaving."""
        self._own = replace(
            self._own,
            state=MemberState.LEAVING,
            incarnation=self._own.incarnation + 1,
        )
        self._announce()

    def spread(self, item: Item, now: Millis) -> bool:
        """Take and queue an item; return false if a newer one is known."""
        if self.items.apply(item, now) is None:
            return False
        self.queue.add((item.topic, item.key), item)
        return True

    def merge(
        self,
        updates: Iterable[MemberUpdate],
        items: Iterable[Item],
        now: Millis,
    ) -> None:
        """Take what a message carried."""
        for update in updates:
            try:
                member = member_of(update)
            except ValueError:
                continue
            if member.name == self._own.name:
                self._merge_own(member)
            elif member.state is MemberState.SUSPECT:
                self._merge_suspect(member, update.reporter, now)
            else:
                self._merge_other(member, update, now)
        for item in items:
            held = self.items.apply(item, now)
            if held is not None:
                self._new_items.append(held)
                self.queue.add((item.topic, item.key), item)

    def suspect(self, name: str, reporter: str, now: Millis) -> None:
        """Count a report that a member does not answer."""
        member = self.table.get(name)
        if member is None or not member.is_live:
            return
        suspicion = self._suspicions.get(name)
        if suspicion is None:
            self._suspicions[name] = self._new_suspicion(reporter, now)
            member = self.table.set_state(name, MemberState.SUSPECT, now)
        elif not suspicion.confirm(reporter):
            return
        self.queue.add(name, update_of(member, reporter))

    def end_suspicions(self, now: Millis) -> None:
        """Declare members dead whose suspicion was not refuted in time."""
        for name, suspicion in tuple(self._suspicions.items()):
            if now < suspicion.deadline:
                continue
            self._suspicions.pop(name)
            member = self.table.get(name)
            if member is not None and member.state is MemberState.SUSPECT:
                dead = self.table.set_state(name, MemberState.DEAD, now)
                self.queue.add(name, update_of(dead, self._own.name))

    def postpone(self, late: Millis) -> None:
        """Prolong all suspicions after a pause of this process."""
        for suspicion in self._suspicions.values():
            suspicion.postpone(late)

    def expire(self, now: Millis) -> None:
        """Forget old items and members that are gone for long."""
        self.items.expire(now)
        retention = {
            MemberState.DEAD: self._options.dead_retention,
            MemberState.LEAVING: self._options.leaving_retention,
        }
        self.table.expire(retention, now)

    def about(self, name: str) -> tuple[MemberUpdate, ...]:
        """Return what a member has to hear about itself, if anything.

        A member that is held for suspect or dead is told so in every
        message to it, and can refute without waiting for gossip.
        """
        member = self.table.get(name)
        if member is None or member.state is MemberState.ALIVE:
            return ()
        return (update_of(member, self._own.name),)

    def piggyback(self, first: tuple[MemberUpdate, ...] = ()) -> Piggyback:
        """Return waiting updates that fit into one datagram."""
        parts = self.queue.take(
            MAXIMUM_DATAGRAM - _RESERVED_BYTES,
            self._options.transmissions(len(self.table.live)),
        )
        updates = [part for part in parts if isinstance(part, MemberUpdate)]
        items = tuple(part for part in parts if isinstance(part, Item))
        return (*first, *updates), items

    def state_sync(self, now: Millis) -> StateSync:
        """Return the whole state."""
        members = (self._own, *self.table.members())
        return StateSync(
            updates=tuple(update_of(member) for member in members),
            items=self.items.messages(now),
        )

    def take_new_names(self) -> tuple[str, ...]:
        """Return the members that became known since the last call."""
        names = tuple(self._new_names)
        self._new_names.clear()
        return names

    def take_items(self) -> tuple[HeldItem, ...]:
        """Return the items that arrived since the last call."""
        items = tuple(self._new_items)
        self._new_items.clear()
        return items

    def _merge_own(self, member: Member) -> None:
        if member.precedence <= self._own.precedence:
            return
        if member.state in {MemberState.SUSPECT, MemberState.DEAD}:
            self.health.change(1)
        incarnation = min(member.incarnation + 1, _HIGHEST_INCARNATION)
        self._own = replace(self._own, incarnation=incarnation)
        self._announce()

    def _merge_suspect(
        self,
        member: Member,
        reporter: str,
        now: Millis,
    ) -> None:
        known = self.table.get(member.name)
        if known is not None and known.precedence > member.precedence:
            return
        if known is None or known.incarnation < member.incarnation:
            alive = replace(member, state=MemberState.ALIVE)
            self._suspicions.pop(member.name, None)
            self._apply(alive, now)
        self.suspect(member.name, reporter, now)

    def _merge_other(
        self,
        member: Member,
        update: MemberUpdate,
        now: Millis,
    ) -> None:
        if self._apply(member, now):
            self._suspicions.pop(member.name, None)
            self.queue.add(member.name, update)

    def _apply(self, member: Member, now: Millis) -> bool:
        is_new = self.table.get(member.name) is None
        has_changed = self.table.apply(member, now)
        if has_changed and is_new:
            self._new_names.append(member.name)
        return has_changed

    def _new_suspicion(self, reporter: str, now: Millis) -> Suspicion:
        others = len(self.table.live)
        shortest = self._options.shortest_suspicion(others + 1)
        needed = self._options.confirmations
        if others - 1 < needed:
            needed = 0
        longest = Millis(round(shortest * self._options.suspicion_range))
        return Suspicion(now, reporter, shortest, longest, needed)

    def _announce(self) -> None:
        self.queue.add(self._own.name, update_of(self._own))
