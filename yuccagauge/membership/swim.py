"""The membership protocol as a pure state machine.

It gets times and messages and gives messages; it reads no clock and does
no I/O. After each call, ``take_outgoing`` has the datagrams to send and
``wakeup`` the time of the next ``advance``.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from yuccagauge.clock import Millis
from yuccagauge.membership.base import (
    Member,
    MemberChange,
    MemberState,
    update_of,
)
from yuccagauge.membership.items import HeldItem, ItemTable
from yuccagauge.membership.options import SwimOptions
from yuccagauge.membership.probe import Probe, ProbeOrder, Relay
from yuccagauge.membership.roster import Roster
from yuccagauge.membership.table import MemberTable
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import Message, Received
from yuccagauge.wire.messages import (
    Ack,
    Gossip,
    IndirectPing,
    Item,
    Nack,
    Ping,
    StateSync,
)

_SEQUENCES = 2**32
_FINAL_STATES = frozenset((MemberState.DEAD,))


@dataclass(frozen=True, slots=True, kw_only=True)
class Outgoing:
    """A datagram to send."""

    peer: Endpoint
    message: Message
    sequence: int


class Swim:
    """One router's side of the protocol.

    Parameters
    ----------
    own
        This router, alive. The incarnation should exceed that of an
        earlier process of this name; the wall time in seconds does.
    options
        Times and numbers.
    source
        Random choices.
    now
        Start time, in milliseconds.
    """

    def __init__(
        self,
        own: Member,
        options: SwimOptions,
        source: random.Random,
        now: Millis,
    ) -> None:
        """Start alone."""
        self._options = options
        self._source = source
        self._roster = Roster(own, options)
        self._order = ProbeOrder(source)
        self._relays: dict[int, Relay] = {}
        self._probe: Probe | None = None
        self._reconnects: set[int] = set()
        self._outgoing: list[Outgoing] = []
        self._sync_peers: list[Endpoint] = []
        self._handlers = {
            Ping: self._handle_ping,
            IndirectPing: self._handle_indirect,
            Ack: self._handle_ack,
            Nack: self._handle_nack,
            Gossip: self._handle_gossip,
        }
        self._sequence = source.randrange(_SEQUENCES)
        # Routers that start at once do not probe in step.
        first = Millis(now + source.randrange(options.period) + 1)
        self._next_probe = first
        self._next_gossip = now
        self._next_reconnect = first
        # The second exchange brings what the first came too early for.
        self._next_sync = Millis(first + 2 * options.period)
        self._wakeup = first

    @property
    def own(self) -> Member:
        """This router."""
        return self._roster.own

    @property
    def table(self) -> MemberTable:
        """The other members."""
        return self._roster.table

    @property
    def items(self) -> ItemTable:
        """The items that spread with the membership."""
        return self._roster.items

    @property
    def health_score(self) -> int:
        """The score of this router's own health; 0 is healthy."""
        return self._roster.health.score

    @property
    def wakeup(self) -> Millis:
        """When ``advance`` has to be called, in milliseconds."""
        times = [self._next_probe, self._next_reconnect, self._next_sync]
        deadline = self._roster.next_deadline
        if deadline is not None:
            times.append(deadline)
        if len(self._roster.queue):
            times.append(self._next_gossip)
        if self._probe is not None and self._probe.needs_helpers:
            times.append(self._probe.indirect_at)
        times.extend(
            relay.ends_at if relay.is_nacked else relay.nack_at
            for relay in self._relays.values()
        )
        return min(times)

    def advance(self, now: Millis) -> None:
        """Do what is due."""
        self._check_pause(now)
        self._end_relays(now)
        self._continue_probe(now)
        self._roster.end_suspicions(now)
        self._gossip(now)
        self._reconnect(now)
        self._plan_sync(now)
        self._plan_wakeup(now)

    def handle(self, received: Received, now: Millis) -> None:
        """Take a datagram."""
        self._check_pause(now)
        handler = self._handlers.get(type(received.message))
        if handler is not None:
            handler(received, now)
        self._plan_wakeup(now)

    def state_sync(self, now: Millis) -> StateSync:
        """Return the whole state."""
        return self._roster.state_sync(now)

    def merge_sync(
        self,
        message: StateSync,
        sender: str,
        now: Millis,
    ) -> None:
        """Take the whole state of another router.

        Members that the other side holds for dead become suspects, so that
        they can refute. A partition heals this way.
        """
        softened = tuple(
            replace(update, state=int(MemberState.SUSPECT), reporter=sender)
            if update.state == MemberState.DEAD
            else update
            for update in message.updates
        )
        self._roster.merge(softened, message.items, now)
        self._plan_wakeup(now)

    def join(self, seeds: Iterable[Endpoint]) -> None:
        """Exchange the whole state with these routers."""
        self._sync_peers.extend(
            seed for seed in seeds if seed != self._roster.own.peer
        )

    def leave(self, now: Millis) -> None:
        """Tell the others that this router is leaving."""
        self._roster.leave()
        self._plan_wakeup(now)

    def spread(self, item: Item, now: Millis) -> bool:
        """Spread an item; return false if a newer one is known."""
        is_newer = self._roster.spread(item, now)
        self._plan_wakeup(now)
        return is_newer

    def take_outgoing(self) -> tuple[Outgoing, ...]:
        """Return the datagrams to send since the last call."""
        outgoing = tuple(self._outgoing)
        self._outgoing.clear()
        return outgoing

    def take_changes(self) -> tuple[MemberChange, ...]:
        """Return the changes of members since the last call."""
        return self._roster.table.take_changes()

    def take_items(self) -> tuple[HeldItem, ...]:
        """Return the items that arrived since the last call."""
        return self._roster.take_items()

    def take_sync_peers(self) -> tuple[Endpoint, ...]:
        """Return the routers to exchange the whole state with."""
        peers = tuple(dict.fromkeys(self._sync_peers))
        self._sync_peers.clear()
        return peers

    def _handle_ping(self, received: Received, now: Millis) -> None:
        message = received.message
        if message.target not in {self._roster.own.name, ''}:
            return
        self._roster.merge(message.updates, message.items, now)
        updates, items = self._roster.piggyback(
            self._roster.about(received.sender)
        )
        ack = Ack(updates=updates, items=items)
        self._send(received.source, ack, received.sequence)

    def _handle_indirect(self, received: Received, now: Millis) -> None:
        message = received.message
        self._roster.merge(message.updates, message.items, now)
        sequence = self._next_sequence()
        self._relays[sequence] = Relay(
            origin=received.source,
            sequence=received.sequence,
            nack_at=Millis(now + self._options.nack_timeout),
            ends_at=Millis(now + self._options.period),
        )
        updates, items = self._roster.piggyback(
            self._roster.about(message.target)
        )
        ping = Ping(target=message.target, updates=updates, items=items)
        self._send(message.peer, ping, sequence)

    def _handle_nack(self, received: Received, now: Millis) -> None:
        if self._probe and self._probe.sequence == received.sequence:
            self._probe.nacks += 1

    def _handle_gossip(self, received: Received, now: Millis) -> None:
        message = received.message
        self._roster.merge(message.updates, message.items, now)

    def _handle_ack(self, received: Received, now: Millis) -> None:
        message = received.message
        self._roster.merge(message.updates, message.items, now)
        sequence = received.sequence
        probe = self._probe
        if probe and probe.sequence == sequence:
            if not probe.is_acknowledged:
                self._roster.health.change(-1)
            probe.is_acknowledged = True
            return
        relay = self._relays.pop(sequence, None)
        if relay is not None:
            updates, items = self._roster.piggyback()
            ack = Ack(updates=updates, items=items)
            self._send(relay.origin, ack, relay.sequence)
        elif sequence in self._reconnects:
            self._reconnects.discard(sequence)
            self._sync_peers.append(received.source)

    def _continue_probe(self, now: Millis) -> None:
        probe = self._probe
        if probe is not None and probe.needs_helpers:
            if now >= probe.indirect_at:
                self._ask_helpers(probe)
        if now < self._next_probe:
            return
        if probe is not None and not probe.is_acknowledged:
            self._roster.health.change(probe.health_penalty)
            self._roster.suspect(probe.target, self._roster.own.name, now)
        self._start_probe(now)

    def _start_probe(self, now: Millis) -> None:
        period = self._roster.health.scale(self._options.period)
        self._next_probe = Millis(now + period)
        self._probe = None
        for name in self._roster.take_new_names():
            self._order.insert(name)
        target = self._order.next_target(self._roster.table)
        if target is None:
            return
        timeout = self._roster.health.scale(self._options.probe_timeout)
        self._probe = Probe(
            target=target.name,
            sequence=self._next_sequence(),
            indirect_at=Millis(now + timeout),
            ends_at=self._next_probe,
        )
        updates, items = self._roster.piggyback(self._roster.about(target.name))
        ping = Ping(target=target.name, updates=updates, items=items)
        self._send(target.peer, ping, self._probe.sequence)

    def _ask_helpers(self, probe: Probe) -> None:
        probe.is_indirect = True
        target = self._roster.table.get(probe.target)
        if target is None:
            return
        helpers = self._roster.table.choose(
            self._options.helpers,
            self._source,
            frozenset((probe.target,)),
        )
        probe.helpers = len(helpers)
        for helper in helpers:
            updates, items = self._roster.piggyback(
                self._roster.about(probe.target)
            )
            request = IndirectPing(
                target=target.name,
                peer=target.peer,
                updates=updates,
                items=items,
            )
            self._send(helper.peer, request, probe.sequence)

    def _end_relays(self, now: Millis) -> None:
        for sequence, relay in tuple(self._relays.items()):
            if now >= relay.nack_at and not relay.is_nacked:
                relay.is_nacked = True
                self._send(relay.origin, Nack(), relay.sequence)
            if now >= relay.ends_at:
                self._relays.pop(sequence)

    def _gossip(self, now: Millis) -> None:
        if now < self._next_gossip or not len(self._roster.queue):
            return
        self._next_gossip = Millis(now + self._options.gossip_interval)
        for member in self._roster.table.choose(
            self._options.fanout, self._source
        ):
            updates, items = self._roster.piggyback()
            if updates or items:
                gossip = Gossip(updates=updates, items=items)
                self._send(member.peer, gossip, 0)

    def _reconnect(self, now: Millis) -> None:
        if now < self._next_reconnect:
            return
        self._next_reconnect = Millis(now + self._options.reconnect_interval)
        self._reconnects.clear()
        self._roster.expire(now)
        dead = self._roster.table.in_state(_FINAL_STATES)
        if not dead:
            return
        member = self._source.choice(dead)
        sequence = self._next_sequence()
        self._reconnects.add(sequence)
        updates = (
            update_of(self._roster.own),
            *self._roster.about(member.name),
        )
        ping = Ping(target=member.name, updates=updates)
        self._send(member.peer, ping, sequence)

    def _plan_sync(self, now: Millis) -> None:
        if now < self._next_sync:
            return
        size = len(self._roster.table) + 1
        self._next_sync = Millis(now + self._options.sync_interval(size))
        for member in self._roster.table.choose(1, self._source):
            self._sync_peers.append(member.peer)

    def _plan_wakeup(self, now: Millis) -> None:
        self._wakeup = Millis(max(now, self.wakeup))

    def _check_pause(self, now: Millis) -> None:
        # If this process was paused, answers may wait in the socket's
        # buffer, and nothing that ended meanwhile says anything about the
        # other members.
        late = Millis(now - self._wakeup)
        if late <= self._options.probe_timeout:
            return
        self._roster.health.change(1)
        self._roster.postpone(late)
        self._next_probe = Millis(self._next_probe + late)
        if self._probe is not None:
            probe = self._probe
            probe.indirect_at = Millis(probe.indirect_at + late)
            probe.ends_at = self._next_probe

    def _send(self, peer: Endpoint, message: Message, sequence: int) -> None:
        self._outgoing.append(
            Outgoing(peer=peer, message=message, sequence=sequence),
        )

    def _next_sequence(self) -> int:
        self._sequence = (self._sequence + 1) % _SEQUENCES
        return self._sequence
