"""Leases and fenced orders: two holders that may pause, one engine.

Records and orders travel in a network that delays and loses them, and
doubles records; a paused holder is one whose next step comes late. One
holder's clock runs slow by less than ``MARGIN`` in a lease. Table, holding
and rules for orders are those of ``yuccagauge.leases``.

The engine checks fences; ``orders`` is about engines that ignore them.
"""

from collections.abc import Iterator

from yuccagauge.clock import Millis
from yuccagauge.leases.holding import usable_until
from yuccagauge.leases.reconcile import (
    Reconciler,
    Step,
    lock_delay,
)
from yuccagauge.leases.records import Acquire, GiveBack, LeaseRecord, Renew
from yuccagauge.leases.table import LeaseResult, LeaseTable
from yuccagauge.modelcheck.base import SPECIFICATIONS
from yuccagauge.modelcheck.leaseworld import (
    ASKING,
    HOLDING,
    IDLE,
    RESOURCE,
    TTL,
    Holder,
    LeaseBounds,
    Order,
    World,
    disagree,
    is_held,
    is_taken,
    land,
    local_time,
    log_time,
    put_holder,
    wanted_version,
)
from yuccagauge.modelcheck.mutants import Mutant
from yuccagauge.modelcheck.values import intern


@SPECIFICATIONS.register
class LeaseSpecification:
    """Leases and fenced orders; see the module's text."""

    name = 'leases'
    aliases = ()
    properties = (
        'at most one holder acts on a lease',
        'readers of the same records see the same holder',
        'an engine in a stable state stays in it',
    )
    #: Races with copies; renewals; trimming; orders.
    bounds = (
        LeaseBounds(times=2, copies=2, log_records=3),
        LeaseBounds(times=2, renewals=1, releases=1, log_records=3),
        LeaseBounds(times=2, renewals=1, trims=1),
        LeaseBounds(times=2, orders=2, asks=(2, 1)),
    )
    #: Bounds of the run in the features.
    short_bounds = (
        LeaseBounds(times=1, log_records=3, trims=1),
        LeaseBounds(times=2, orders=1, log_records=2),
    )

    def __init__(self, bounds: LeaseBounds) -> None:
        """Explore within these bounds."""
        self._bounds = bounds

    def initial(self) -> Iterator[World]:
        """Start with an engine in the state that the second holder wants."""
        holder = Holder(table=intern(LeaseTable()))
        yield World(
            now=0,
            first=0,
            log=(),
            network=(),
            holders=tuple(
                holder._replace(asks=asks) for asks in self._bounds.asks
            ),
            orders=frozenset(),
            engine_version=len(self._bounds.asks),
            engine_fence=-1,
            renewals=self._bounds.renewals,
            releases=self._bounds.releases,
            trims=self._bounds.trims,
        )

    def violation(self, world: World) -> str | None:
        """Check the properties."""
        held = [
            number
            for number in range(len(world.holders))
            if is_held(world, number)
        ]
        if len(held) > 1:
            return self.properties[0]
        if disagree(world):
            return self.properties[1]
        for number in held:
            is_stable = world.holders[number].is_stable
            if is_stable and world.engine_version != wanted_version(number):
                return self.properties[2]
        return None

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Return all next worlds."""
        for number, holder in enumerate(world.holders):
            if holder.position < world.end:
                yield f'holder {number} reads', self._read(world, number)
            yield from self._holder_steps(world, number)
        yield from self._log_steps(world)
        for order in sorted(world.orders):
            label = f'the order of holder {order.version - 1} arrives'
            yield label, self._deliver(world, order)

    def _holder_steps(
        self,
        world: World,
        number: int,
    ) -> Iterator[tuple[str, World]]:
        holder = world.holders[number]
        label = f'holder {number}'
        if holder.phase == IDLE and holder.asks:
            if not is_taken(world, number):
                yield f'{label} asks', self._ask(world, number)
        is_late = local_time(world, number) >= holder.until
        if holder.phase != IDLE and is_late:
            stopped = holder._replace(phase=IDLE, is_stable=False)
            yield f'{label} stops', put_holder(world, number, stopped)
        if holder.phase != HOLDING or not is_held(world, number):
            return
        if world.renewals:
            yield f'{label} renews', self._renew(world, number)
        if world.releases:
            yield f'{label} releases', self._release(world, number)
        if self._bounds.orders:
            yield f'{label} looks at the engine', self._look(world, number)

    def _log_steps(self, world: World) -> Iterator[tuple[str, World]]:
        if world.end < self._bounds.log_records:
            for number, (record, _) in enumerate(world.network):
                kind = type(record).__name__
                yield f'{kind} {record.nonce} lands', land(world, number)
        if world.now < self._bounds.times:
            yield 'time passes', world._replace(now=world.now + 1)
        if world.trims and world.log:
            trimmed = world._replace(
                first=world.first + 1,
                log=world.log[1:],
                trims=world.trims - 1,
            )
            yield 'the log is trimmed', trimmed

    def _ask(self, world: World, number: int) -> World:
        holder = world.holders[number]
        record = Acquire(
            resource=RESOURCE,
            holder=str(number),
            nonce=f'{number}.{holder.asks}',
            ttl=TTL,
        )
        sent_at = local_time(world, number)
        asking = holder._replace(
            phase=ASKING,
            asks=holder.asks - 1,
            sent_at=sent_at,
            until=usable_until(sent_at, TTL),
        )
        return self._post(put_holder(world, number, asking), record)

    def _renew(self, world: World, number: int) -> World:
        holder = world.holders[number]
        record = Renew(
            resource=RESOURCE,
            fence=holder.fence,
            nonce=f'{number}.renew',
            ttl=TTL,
        )
        renewing = holder._replace(sent_at=local_time(world, number))
        world = put_holder(world, number, renewing)
        world = world._replace(renewals=world.renewals - 1)
        return self._post(world, record)

    def _release(self, world: World, number: int) -> World:
        holder = world.holders[number]
        record = GiveBack(
            resource=RESOURCE,
            fence=holder.fence,
            nonce=f'{number}.release',
        )
        idle = holder._replace(phase=IDLE, is_stable=False)
        world = put_holder(world, number, idle)
        world = world._replace(releases=world.releases - 1)
        return self._post(world, record)

    def _post(self, world: World, record: LeaseRecord) -> World:
        posted = (record, self._bounds.copies)
        return world._replace(network=(*world.network, posted))

    def _look(self, world: World, number: int) -> World:
        """Let a holder look at the engine and give the order that is due."""
        holder = world.holders[number]
        version = wanted_version(number)
        now = local_time(world, number)
        reconciler, step = holder.reconciler.after(
            _observe, world.engine_version == version, now
        )
        holder = holder._replace(
            reconciler=reconciler,
            is_stable=step is Step.STABLE,
        )
        if step is Step.ORDER and holder.orders < self._bounds.orders:
            reconciler, _ = reconciler.after(_ordered, now, False)  # noqa: FBT003
            holder = holder._replace(
                reconciler=reconciler,
                orders=holder.orders + 1,
            )
            order = Order(version=version, fence=holder.fence)
            world = world._replace(orders=world.orders | {order})
        return put_holder(world, number, holder)

    def _deliver(self, world: World, order: Order) -> World:
        """Let an order arrive at the engine."""
        number = order.version - 1
        world = world._replace(orders=world.orders - {order})
        holder = world.holders[number]
        if order.fence < world.engine_fence:
            if holder.fence == order.fence:
                lost = holder._replace(phase=IDLE, is_stable=False)
                world = put_holder(world, number, lost)
            return world
        if holder.fence == order.fence and holder.phase == HOLDING:
            now = local_time(world, number)
            reconciler, _ = holder.reconciler.after(_ordered, now, True)  # noqa: FBT003
            holder = holder._replace(reconciler=reconciler)
            world = put_holder(world, number, holder)
        return world._replace(
            engine_version=order.version,
            engine_fence=order.fence,
        )

    def _read(self, world: World, number: int) -> World:
        """Let a holder read up to the end of the log."""
        holder = world.holders[number]
        table = holder.table
        position = holder.position
        if position < world.first:
            table, _ = table.after(LeaseTable.read_gap)
            position = world.first
        unread = world.log[position - world.first :]
        for offset, (time, record) in enumerate(unread, position):
            table, result = table.after(
                LeaseTable.apply, offset, log_time(time), record
            )
            granted = result is LeaseResult.GRANTED
            if record.nonce == f'{number}.{holder.asks + 1}':
                holder = self._asked(world, number, holder, granted, offset)
            if record.nonce == f'{number}.renew':
                holder = self._renewed(world, number, holder, granted)
        holder = holder._replace(table=table, position=world.end)
        return put_holder(world, number, holder)

    def _asked(
        self,
        world: World,
        number: int,
        holder: Holder,
        granted: bool,
        offset: int,
    ) -> Holder:
        if holder.phase != ASKING:
            return holder
        if not granted:
            return holder._replace(phase=IDLE)
        now = local_time(world, number)
        reconciler = Reconciler(
            checks_fence=True,
            delay=lock_delay(TTL),
            held_since=now,
        )
        return holder._replace(
            phase=HOLDING,
            fence=offset,
            reconciler=intern(reconciler),
        )

    def _renewed(
        self,
        world: World,
        number: int,
        holder: Holder,
        granted: bool,
    ) -> Holder:
        if holder.phase != HOLDING:
            return holder
        if not granted:
            return holder._replace(phase=IDLE, is_stable=False)
        if not is_held(put_holder(world, number, holder), number):
            return holder
        until = usable_until(Millis(holder.sent_at), TTL)
        return holder._replace(until=max(holder.until, until))


def _observe(reconciler: Reconciler, matches: bool, now: Millis) -> Step:
    return reconciler.observe(matches=matches, now=now)


def _ordered(reconciler: Reconciler, now: Millis, accepted: bool) -> None:
    reconciler.ordered(now, accepted=accepted)


_TABLE = 'yuccagauge.leases.table'
_RULES = 'yuccagauge.leases.reconcile'

LeaseSpecification.mutants = (
    Mutant(
        name='a lease is taken while another one runs',
        guard=f'{_TABLE}:may_acquire',
        replacement=lambda lease, record, time: True,
    ),
    Mutant(
        name='a lease is renewed after its end',
        guard=f'{_TABLE}:may_renew',
        replacement=lambda lease, fence, time: lease is not None,
        bounds=2,
    ),
    Mutant(
        name='no doubt after trimming',
        guard=f'{_TABLE}:doubt_end',
        replacement=lambda time: time,
        bounds=2,
    ),
    Mutant(
        name='trimmed records go unnoticed',
        guard=f'{_TABLE}:LeaseTable.read_gap',
        replacement=lambda table: None,
        bounds=2,
    ),
    Mutant(
        name='a holder leaves no margin',
        guard=f'{__name__}:usable_until',
        replacement=lambda sent_at, ttl: sent_at + ttl,
    ),
    Mutant(
        name='a holder does not look at the time',
        guard='yuccagauge.leases.holding:Holding.is_held',
        replacement=property(lambda holding: True),
    ),
    Mutant(
        name='a fencing engine is trusted before it saw the fence',
        guard=f'{_RULES}:is_trusted',
        replacement=lambda is_fenced, matches: matches,
        bounds=3,
    ),
)
