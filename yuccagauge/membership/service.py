"""Drive the membership protocol by the reactor and the endpoints."""

import random
from typing import Any

from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.membership.base import (
    Member,
    MemberChange,
    MemberListener,
    MemberState,
)
from yuccagauge.membership.items import HeldItem, ItemListener
from yuccagauge.membership.options import SwimOptions
from yuccagauge.membership.swim import Swim
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.process import RouterSettings
from yuccagauge.telemetry.guard import guarded
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.telemetry.meter import counter, gauge
from yuccagauge.wire.base import Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.datagram import DatagramEndpoint
from yuccagauge.wire.messages import (
    Ack,
    Gossip,
    IndirectPing,
    Item,
    Nack,
    Ping,
    StateSync,
)
from yuccagauge.wire.server import PeerServer

_MILLISECONDS_PER_SECOND = 1000
_SYNC_TIMEOUT = Millis(5000)

#: Time between two attempts to join while no other member is known, in
#: seconds.
JOIN_SECONDS = 2

#: Seeds that are asked in one attempt.
_SEEDS_PER_ATTEMPT = 3

_CHANGES = counter(
    'yuccagauge.membership.changes',
    'Changes of member states.',
    '{change}',
)
_LIVE = gauge(
    'yuccagauge.membership.live',
    'Members that are alive or suspect, with this one.',
    '{member}',
)
_HEALTH = gauge(
    'yuccagauge.membership.health_score',
    'Local health score; 0 is healthy.',
    '1',
)


class MembershipService:
    """The membership of one router.

    Parameters
    ----------
    settings
        Name, place, seeds and probe period.
    datagrams, server, client
        Endpoints, which their owner starts and closes.
    reactor, clock
        Timers and time.
    """

    def __init__(
        self,
        settings: RouterSettings,
        datagrams: DatagramEndpoint,
        server: PeerServer,
        client: PeerClient,
        reactor: Any,
        clock: Clock,
    ) -> None:
        """Prepare without sending anything."""
        self._settings = settings
        self._datagrams = datagrams
        self._server = server
        self._client = client
        self._reactor = reactor
        self._clock = clock
        self._listeners: list[MemberListener] = []
        self._item_listeners: dict[int, list[ItemListener]] = {}
        self._seeds = dict.fromkeys(settings.peers.seeds)
        self._source = random.Random(
            f'{settings.router.name}{clock.wall_time()}'
        )
        self._swim: Swim | None = None
        self._timer: Any = None
        self._send = guarded(datagrams.send, 'membership_datagram')
        self._joining = LoopingCall(self._join)
        self._joining.clock = reactor

    @property
    def own(self) -> Member:
        """This router."""
        return self._swim.own

    def members(self) -> tuple[Member, ...]:
        """Return all known members with this one, by name."""
        members = (self._swim.own, *self._swim.table.members())
        return tuple(sorted(members, key=lambda member: member.name))

    def live(self, data_centre: str | None = None) -> tuple[Member, ...]:
        """Return the live members with this one, by name.

        A router that is leaving counts itself, because it still works.
        """
        members = (self._swim.own, *self._swim.table.live)
        if data_centre is not None:
            members = tuple(
                member
                for member in members
                if member.data_centre == data_centre
            )
        return tuple(sorted(members, key=lambda member: member.name))

    def add_listener(self, listener: MemberListener) -> None:
        """Call a function after each change."""
        self._listeners.append(guarded(listener, 'member_listener'))

    def add_item_listener(self, topic: int, listener: ItemListener) -> None:
        """Call a function with each new item of a topic from a peer."""
        safe = guarded(listener, 'item_listener')
        self._item_listeners.setdefault(topic, []).append(safe)

    def add_seeds(self, seeds: tuple[Endpoint, ...]) -> None:
        """Take further routers that may be asked to join."""
        self._seeds.update(dict.fromkeys(seeds))

    def spread(self, item: Item) -> bool:
        """Spread an item to all routers; false if a newer one is known."""
        is_newer = self._swim.spread(item, self._clock.now())
        self._settle()
        return is_newer

    def held(self, topic: int) -> tuple[HeldItem, ...]:
        """Return the items of a topic."""
        return self._swim.items.held(topic, self._clock.now())

    def leave(self) -> None:
        """Tell the others that this router takes no new work soon."""
        self._swim.leave(self._clock.now())
        self._settle()

    def start(self) -> None:
        """Join the fleet; the endpoints have to be open."""
        router = self._settings.router
        own = Member(
            name=router.name,
            peer=self._datagrams.endpoint,
            data_centre=router.data_centre,
            region=router.region,
            # Above that of an earlier process of this name.
            incarnation=self._clock.wall_time() // _MILLISECONDS_PER_SECOND,
            state=MemberState.ALIVE,
        )
        options = SwimOptions(period=self._settings.peers.probe_period_ms)
        self._swim = Swim(own, options, self._source, self._clock.now())
        for message in (Ping, IndirectPing, Ack, Nack, Gossip):
            self._datagrams.add_handler(message, self._receive)
        self._server.add_handler(StateSync, self._answer_sync)
        self._joining.start(JOIN_SECONDS)
        self._settle()

    def close(self) -> None:
        """Stop without a word, as a crash does."""
        if self._joining.running:
            self._joining.stop()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _receive(self, received: Received) -> None:
        self._swim.handle(received, self._clock.now())
        self._settle()

    def _advance(self) -> None:
        self._timer = None
        self._swim.advance(self._clock.now())
        self._settle()

    def _join(self) -> None:
        # Seeds are asked while nobody is known; after that, the protocol
        # itself keeps contact.
        if self._swim.table.live or not self._seeds:
            return
        seeds = list(self._seeds)
        count = min(len(seeds), _SEEDS_PER_ATTEMPT)
        self._swim.join(self._source.sample(seeds, count))
        self._settle()

    def _answer_sync(self, received: Received) -> StateSync:
        now = self._clock.now()
        reply = self._swim.state_sync(now)
        self._swim.merge_sync(received.message, received.sender, now)
        self._settle()
        return reply

    def _settle(self) -> None:
        for outgoing in self._swim.take_outgoing():
            # A datagram that is too long, because of very long names, must
            # not keep the protocol from going on.
            self._send(outgoing.peer, outgoing.message, outgoing.sequence)
        for peer in self._swim.take_sync_peers():
            self._exchange(peer)
        for change in self._swim.take_changes():
            self._notify(change)
        for item in self._swim.take_items():
            for listener in self._item_listeners.get(item.topic, ()):
                listener(item)
        self._plan()

    def _exchange(self, peer: Endpoint) -> None:
        message = self._swim.state_sync(self._clock.now())
        answer = self._client.request(peer, message, _SYNC_TIMEOUT)
        answer.addCallbacks(self._merge, _ignore, callbackArgs=(str(peer),))

    def _merge(self, message: StateSync, peer: str) -> None:
        self._swim.merge_sync(message, peer, self._clock.now())
        self._settle()

    def _notify(self, change: MemberChange) -> None:
        member = change.member
        _CHANGES.add(1, {'state': member.state.name.lower()})
        _LIVE.set(len(self._swim.table.live) + 1)
        _HEALTH.set(self._swim.health_score)
        log_state_change(
            'member_changed',
            member=member.name,
            state='forgotten' if change.removed else member.state.name.lower(),
            incarnation=member.incarnation,
        )
        for listener in self._listeners:
            listener(change)

    def _plan(self) -> None:
        wait = max(0, self._swim.wakeup - self._clock.now())
        seconds = wait / _MILLISECONDS_PER_SECOND
        if self._timer is not None and self._timer.active():
            self._timer.reset(seconds)
        elif self._joining.running:
            self._timer = self._reactor.callLater(seconds, self._advance)


def _ignore(failure: Failure) -> None:
    """Leave it to the next exchange; the wire counts the failure."""
