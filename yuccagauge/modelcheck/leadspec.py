"""The lead and its orders, with late orders and members that lapse.

Two routers read and write the records of the lead. Answers of the store
may be lost, a record may be written at any later time while its condition
holds, a leader may give the lead up, and announcements may be missed. A
router may be killed and start again without what it knew. An order may reach
the engine at any later time, after newer ones. The engine keeps its order
number and the highest fencing token.

The rules are those of ``yuccagauge.rollout.leaderlease`` and of the engine's
order number, which ``yuccagauge.rollout.driver`` passes on.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from yuccagauge.clock import Millis
from yuccagauge.modelcheck.base import SPECIFICATIONS
from yuccagauge.modelcheck.mutants import Mutant
from yuccagauge.modelcheck.values import Value, intern
from yuccagauge.rollout.base import LeaseState
from yuccagauge.rollout.leaderlease import LeaderLease

#: Time to live of a membership, and a step of the clock.
_LEASE = Millis(2000)
_STEP = Millis(1000)

_ROUTERS = (0, 1)
_NAMES = ('r0', 'r1')


@dataclass(frozen=True, slots=True, kw_only=True)
class LeadBounds:
    """How far the exploration goes."""

    #: Steps of the clock.
    times: int = 5
    #: Orders that are sent in all.
    orders: int = 2
    #: Records of the lead that are written in all.
    records: int = 2
    #: Kills of a router in all, each with a start at the same moment.
    restarts: int = 0
    #: Whether engines refuse old fencing tokens.
    checks_fences: bool = True


class Order(NamedTuple):
    """An order on its way."""

    version: int
    fencing_token: int
    expected: int


class Engine(NamedTuple):
    """What the engine keeps."""

    version: int = 1
    number: int = 0
    fencing_token: int = 0


class World(NamedTuple):
    """The whole state."""

    now: int
    #: The newest named version.
    target: int
    #: Who wrote the last record, and how many there are.
    holder: str
    end: int
    #: Records whose writers heard no answer, with their conditions.
    late: frozenset[tuple[str, int]]
    leader_leases: tuple[Value[LeaderLease], Value[LeaderLease]]
    engine: Engine
    on_way: frozenset[Order]
    sent: int
    #: Whether the engine went back to an older version.
    went_back: bool
    restarts: int = 0


@SPECIFICATIONS.register
class LeadSpecification:
    """One leader at a time; see the module's text."""

    name = 'lead'
    aliases = ()
    properties = (
        'two routers are never allowed to order at the same time',
        'an engine never goes back to older weights',
    )
    bounds = (
        LeadBounds(),
        LeadBounds(times=6, orders=1, records=3, checks_fences=False),
        LeadBounds(times=3, orders=1, restarts=1),
        LeadBounds(times=2, orders=2, restarts=1),
    )
    short_bounds = (
        LeadBounds(times=3, orders=1),
        LeadBounds(times=3, orders=0, restarts=1),
    )

    def __init__(self, bounds: LeadBounds) -> None:
        """Explore within these bounds."""
        self._bounds = bounds

    def initial(self) -> Iterator[World]:
        """Start without a record of the lead."""
        leader_leases = tuple(
            self._started_lease(router, Millis(-_LEASE)) for router in _ROUTERS
        )
        yield World(
            now=0,
            target=2,
            holder='',
            end=0,
            late=frozenset(),
            leader_leases=leader_leases,
            engine=Engine(),
            on_way=frozenset(),
            sent=0,
            went_back=False,
        )

    def violation(self, world: World) -> str | None:
        """Check both properties."""
        now = Millis(world.now * _STEP)
        allowed = [
            leader_lease.wrapped.fencing_token(now) is not None
            for leader_lease in world.leader_leases
        ]
        if all(allowed):
            return self.properties[0]
        return self.properties[1] if world.went_back else None

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Return all next worlds."""
        if world.now < self._bounds.times:
            yield 'time passes', world._replace(now=world.now + 1)
        if world.target == 2 and world.sent:
            yield 'version 3 is named', world._replace(target=3)
        for router in _ROUTERS:
            yield from self._writes(world, router)
            yield from self._orders(world, router)
            yield from self._restarts(world, router)
        for record in world.late:
            yield 'a late record arrives', _take_late(world, record)
        for order in world.on_way:
            yield (
                'an order arrives',
                _arrive(
                    world,
                    order,
                    checks_fences=self._bounds.checks_fences,
                ),
            )

    def _started_lease(self, router: int, now: Millis) -> Value[LeaderLease]:
        return intern(
            LeaderLease(
                _NAMES[router],
                _LEASE,
                now,
                engines_check_fences=self._bounds.checks_fences,
            ),
        )

    def _restarts(self, world: World, router: int) -> Iterator:
        if world.restarts >= self._bounds.restarts:
            return
        started = self._started_lease(router, Millis(world.now * _STEP))
        world = world._replace(restarts=world.restarts + 1)
        yield f'{router} restarts', _with_lease(world, router, started)

    def _writes(self, world: World, router: int) -> Iterator:
        now = Millis(world.now * _STEP)
        leader_lease = world.leader_leases[router]
        if not leader_lease.wrapped.is_leader:
            state = LeaseState(record_count=world.end, holder=world.holder)
            leader_lease, _ = leader_lease.after(
                LeaderLease.observe_state, state, now
            )
            world = _with_lease(world, router, leader_lease)
            yield f'{router} reads', world
            if not leader_lease.wrapped.can_acquire(now):
                return
        record_count = leader_lease.wrapped.record_count
        if record_count != world.end:
            lost, _ = leader_lease.after(LeaderLease.step_down)
            yield f'{router} is refused', _with_lease(world, router, lost)
            return
        if world.end >= self._bounds.records:
            return
        written = world._replace(holder=_NAMES[router], end=world.end + 1)
        yield f'answer to {router} is lost', written
        if not world.late:
            late = frozenset(((_NAMES[router], record_count),))
            yield f'record of {router} is late', world._replace(late=late)
        if leader_lease.wrapped.is_leader:
            given_up = written._replace(holder='')
            former, _ = leader_lease.after(LeaderLease.step_down)
            yield f'{router} gives up', _with_lease(given_up, router, former)
        leader_lease, _ = leader_lease.after(
            LeaderLease.confirm_append, record_count, now, now
        )
        yield f'{router} writes', _with_lease(written, router, leader_lease)

    def _orders(self, world: World, router: int) -> Iterator:
        now = Millis(world.now * _STEP)
        fencing_token = world.leader_leases[router].wrapped.fencing_token(now)
        if fencing_token is None or world.sent >= self._bounds.orders:
            return
        order = Order(
            version=world.target,
            fencing_token=fencing_token,
            expected=world.engine.number,
        )
        sent = world._replace(
            on_way=world.on_way | {order},
            sent=world.sent + 1,
        )
        yield f'{router} orders unheard', sent
        other = 1 - router
        leader_lease, _ = world.leader_leases[other].after(
            LeaderLease.observe_peer_order, now
        )
        yield f'{router} orders', _with_lease(sent, other, leader_lease)


def _with_lease(
    world: World, router: int, leader_lease: Value[LeaderLease]
) -> World:
    leader_leases = list(world.leader_leases)
    leader_leases[router] = leader_lease
    return world._replace(leader_leases=tuple(leader_leases))


def _take_late(world: World, record: tuple[str, int]) -> World:
    """Let the store write a late record if its condition still holds."""
    holder, end = record
    world = world._replace(late=world.late - {record})
    if end != world.end:
        return world
    return world._replace(holder=holder, end=end + 1)


def _arrive(world: World, order: Order, *, checks_fences: bool) -> World:
    """Let the engine take or refuse an order."""
    engine = world.engine
    world = world._replace(on_way=world.on_way - {order})
    is_old = checks_fences and order.fencing_token < engine.fencing_token
    if is_old or order.expected != engine.number:
        return world
    return world._replace(
        engine=Engine(
            version=order.version,
            number=engine.number + 1,
            fencing_token=max(engine.fencing_token, order.fencing_token),
        ),
        went_back=world.went_back or order.version < engine.version,
    )


def _without_lapse(leader_lease: LeaderLease, now: Millis) -> int | None:
    return leader_lease.record_count if leader_lease.is_leader else None


def _without_lease(leader_lease: LeaderLease, now: Millis) -> bool:
    return leader_lease._state is not None and not leader_lease.is_leader


def _without_sight(
    leader_lease: LeaderLease, state: LeaseState, now: Millis
) -> None:
    """Count the lease of others from the router's start."""
    leader_lease._state = state
    leader_lease._leader_since = None


def _without_name(
    leader_lease: LeaderLease, state: LeaseState, now: Millis
) -> None:
    """Resume the lease that was read first, whoever held it."""
    leader_lease._resumable_count = state.record_count
    leader_lease._peer_ordered_at = Millis(now - _LEASE)


LeadSpecification.mutants = (
    Mutant(
        name='a lead that does not lapse',
        guard='yuccagauge.rollout.leaderlease:LeaderLease.fencing_token',
        replacement=_without_lapse,
    ),
    Mutant(
        name='a lead that is taken before a lease is over',
        guard='yuccagauge.rollout.leaderlease:LeaderLease.can_acquire',
        replacement=_without_lease,
    ),
    Mutant(
        name='a lease that is not counted anew from each record',
        guard='yuccagauge.rollout.leaderlease:LeaderLease.observe_state',
        replacement=_without_sight,
    ),
    Mutant(
        name='a start that resumes the lease of another router',
        guard='yuccagauge.rollout.leaderlease:LeaderLease._observe_first_state',
        replacement=_without_name,
    ),
    Mutant(
        name='orders without the number of the last one',
        guard='yuccagauge.modelcheck.leadspec:_arrive',
        replacement=lambda world, order, checks_fences: _arrive_unnumbered(
            world,
            order,
        ),
    ),
)


def _arrive_unnumbered(world: World, order: Order) -> World:
    engine = world.engine
    return world._replace(
        on_way=world.on_way - {order},
        engine=engine._replace(version=order.version, number=engine.number + 1),
        went_back=world.went_back or order.version < engine.version,
    )
