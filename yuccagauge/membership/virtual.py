"""A virtual network of members, for property tests and measurements.

Time is virtual; datagrams are real messages whose encoded length counts.
Every choice comes from one seed.
"""

import heapq
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.membership.base import Member, MemberState
from yuccagauge.membership.options import SwimOptions
from yuccagauge.membership.swim import Swim
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import DATAGRAM_OVERHEAD, Message, Received
from yuccagauge.wire.codec import encode
from yuccagauge.wire.messages import Item

_DATA_CENTRES = 9
_DATA_CENTRES_PER_REGION = 3
_PORT = 7100
_OCTET = 250

# One way between data centres, in milliseconds: within a region, and
# between regions.
_NEAR_DELAY = (1, 2)
_FAR_DELAY = (40, 80)

# Bytes that a TCP connection adds to one exchange of states.
_CONNECTION_OVERHEAD = 400


@dataclass(slots=True)
class VirtualRouter:
    """One member of the virtual network."""

    name: str
    peer: Endpoint
    data_centre: str
    region: str
    swim: Swim
    #: Whether the process runs.
    is_up: bool = True
    #: Until when the process is paused, in milliseconds.
    paused_until: Millis = Millis(0)
    bytes_sent: int = 0
    bytes_received: int = 0
    #: Time of the wake-up that is scheduled, in milliseconds.
    scheduled: Millis | None = None
    waiting: list[Callable[[], None]] = field(default_factory=list)


class VirtualNetwork:
    """Deliver datagrams between members by a seeded simulation.

    Parameters
    ----------
    size
        Number of routers; all know the first one as their seed.
    seed
        Start of all random choices.
    options
        Times and numbers of the protocol.
    loss
        Share of datagrams that are lost.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        options: SwimOptions | None = None,
        loss: float = 0,
    ) -> None:
        """Start all routers at time 0."""
        self.now = Millis(0)
        self.loss = loss
        self.routers: dict[str, VirtualRouter] = {}
        #: Every change that any router saw: time, observer, member, state.
        self.changes: list[tuple[Millis, str, Member]] = []
        self._options = options or SwimOptions()
        self._source = random.Random(seed)
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._by_peer: dict[Endpoint, VirtualRouter] = {}
        self._inside: frozenset[str] = frozenset()
        for index in range(size):
            self.start(f'router-{index}', index)

    def start(self, name: str, index: int, incarnation: int = 1) -> None:
        """Start a process, new or again under its old address."""
        data_centre = index % _DATA_CENTRES
        peer = Endpoint(
            f'10.{data_centre}.{index // _OCTET}.{index % _OCTET}', _PORT
        )
        region = data_centre // _DATA_CENTRES_PER_REGION
        member = Member(
            name=name,
            peer=peer,
            data_centre=f'region-{region}-{data_centre}',
            region=f'region-{region}',
            incarnation=incarnation,
            state=MemberState.ALIVE,
        )
        source = random.Random(self._source.randrange(2**62))
        swim = Swim(member, self._options, source, self.now)
        router = VirtualRouter(
            name=name,
            peer=peer,
            data_centre=member.data_centre,
            region=member.region,
            swim=swim,
        )
        self.routers[name] = router
        self._by_peer[peer] = router
        seeds = [other.peer for other in self.routers.values()][:1]
        swim.join(seeds)
        self._settle(router)

    def crash(self, name: str) -> None:
        """End a process without a word."""
        self.routers[name].is_up = False

    def pause(self, name: str, duration: Millis) -> None:
        """Stop a process for a while; its datagrams wait."""
        self.routers[name].paused_until = Millis(self.now + duration)

    def cut(self, group: Iterable[str]) -> None:
        """Separate a group of routers from all others."""
        self._inside = frozenset(group)

    def heal(self) -> None:
        """End the partition."""
        self._inside = frozenset()

    def leave(self, name: str) -> None:
        """Let a router announce that it is leaving."""
        router = self.routers[name]
        router.swim.leave(self.now)
        self._settle(router)

    def spread(self, name: str, item: Item) -> None:
        """Let a router spread an item."""
        router = self.routers[name]
        router.swim.spread(item, self.now)
        self._settle(router)

    def run(self, duration: Millis) -> None:
        """Let virtual time pass, in milliseconds."""
        end = self.now + duration
        while self._events and self._events[0][0] <= end:
            time, _count, action = heapq.heappop(self._events)
            self.now = Millis(time)
            action()
        self.now = Millis(end)

    def run_until(
        self,
        condition: Callable[[], bool],
        limit: Millis,
        step: Millis = Millis(100),
    ) -> Millis | None:
        """Run until a condition holds; return the time that it took."""
        start = self.now
        while not condition():
            if self.now - start >= limit:
                return None
            self.run(step)
        return Millis(self.now - start)

    def view(self, observer: str, subject: str) -> MemberState | None:
        """Return the state of a member in the eyes of another one."""
        member = self.routers[observer].swim.table.get(subject)
        return member.state if member else None

    def views(self, subject: str) -> list[MemberState | None]:
        """Return the states of a member in the eyes of all that run."""
        return [
            self.view(router.name, subject)
            for router in self.routers.values()
            if router.is_up and router.name != subject
        ]

    def is_converged(self) -> bool:
        """Tell whether all that run see each other alive."""
        up = [router for router in self.routers.values() if router.is_up]
        names = {router.name for router in up}
        for router in up:
            alive = {
                member.name
                for member in router.swim.table.live
                if member.state is MemberState.ALIVE
            }
            if alive | {router.name} != names:
                return False
        return True

    def _at(self, time: int, action: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (time, self._count, action))

    def _settle(self, router: VirtualRouter) -> None:
        for outgoing in router.swim.take_outgoing():
            self._transmit(router, outgoing)
        for peer in router.swim.take_sync_peers():
            self._exchange(router, peer)
        for change in router.swim.take_changes():
            self.changes.append((self.now, router.name, change.member))
        router.swim.take_items()
        wakeup = router.swim.wakeup
        if router.scheduled is None or wakeup < router.scheduled:
            router.scheduled = wakeup
            self._at(max(self.now, wakeup), lambda: self._wake(router, wakeup))

    def _wake(self, router: VirtualRouter, wakeup: Millis) -> None:
        if router.scheduled != wakeup or not router.is_up:
            return
        if router.paused_until > self.now:
            self._at(router.paused_until, lambda: self._wake(router, wakeup))
            return
        router.scheduled = None
        router.swim.advance(self.now)
        self._settle(router)

    def _is_cut(self, one: VirtualRouter, other: VirtualRouter) -> bool:
        return (one.name in self._inside) != (other.name in self._inside)

    def _transmit(self, router: VirtualRouter, outgoing: Any) -> None:
        message = outgoing.message
        size = _length(message, router.name) + DATAGRAM_OVERHEAD
        router.bytes_sent += size
        target = self._by_peer.get(outgoing.peer)
        if target is None or self._is_cut(router, target):
            return
        if self._source.random() < self.loss:
            return
        received = Received(
            message=message,
            sender=router.name,
            sequence=outgoing.sequence,
            source=router.peer,
        )
        self._deliver(
            router,
            target,
            size,
            lambda: target.swim.handle(received, self.now),
        )

    def _deliver(
        self,
        sender: VirtualRouter,
        target: VirtualRouter,
        size: int,
        action: Callable[[], None],
    ) -> None:
        near = sender.region == target.region
        delay = self._source.randint(*(_NEAR_DELAY if near else _FAR_DELAY))
        self._at(
            self.now + delay,
            lambda: self._arrive(target, size, action),
        )

    def _arrive(
        self,
        target: VirtualRouter,
        size: int,
        action: Callable[[], None],
    ) -> None:
        if not target.is_up:
            return
        if target.paused_until > self.now:
            # Timers come first after a pause, then the waiting datagrams.
            self._at(
                target.paused_until + 1,
                lambda: self._arrive(target, size, action),
            )
            return
        target.bytes_received += size
        action()
        self._settle(target)

    def _exchange(self, router: VirtualRouter, peer: Endpoint) -> None:
        target = self._by_peer.get(peer)
        if target is None or self._is_cut(router, target):
            return
        request = router.swim.state_sync(self.now)

        def answer() -> None:
            reply = target.swim.state_sync(self.now)
            target.swim.merge_sync(request, router.name, self.now)
            length = _length(reply, target.name) + _CONNECTION_OVERHEAD
            target.bytes_sent += length
            self._deliver(
                target,
                router,
                length,
                lambda: router.swim.merge_sync(reply, target.name, self.now),
            )

        length = _length(request, router.name) + _CONNECTION_OVERHEAD
        router.bytes_sent += length
        self._deliver(router, target, length, answer)


def _length(message: Message, sender: str) -> int:
    return len(encode(message, sender, 2**31))
