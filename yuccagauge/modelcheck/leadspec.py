"""The lead and its orders, with late orders and members that lapse.

Two routers read and write the records of the lead. Answers of the store
may be lost, a record may be written at any later time while its condition
holds, a leader may give the lead up, announcements may be missed, and an order may reach the engine at any
later time, after newer ones. The engine keeps its order number and the
highest fencing token.

The rules are those of ``yuccagauge.rollout.lead`` and of the engine's
order number, which ``yuccagauge.rollout.driver`` passes on.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from yuccagauge.clock import Millis
from yuccagauge.modelcheck.base import SPECIFICATIONS
from yuccagauge.modelcheck.mutants import Mutant
from yuccagauge.modelcheck.values import Value, intern
from yuccagauge.rollout.base import LeadView
from yuccagauge.rollout.lead import Lead

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
    #: Whether engines refuse old fencing tokens.
    checks_fences: bool = True


class Order(NamedTuple):
    """An order on its way."""

    version: int
    fence: int
    expected: int


class Engine(NamedTuple):
    """What the engine keeps."""

    version: int = 1
    number: int = 0
    fence: int = 0


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
    leads: tuple[Value[Lead], Value[Lead]]
    engine: Engine
    on_way: frozenset[Order]
    sent: int
    #: Whether the engine went back to an older version.
    went_back: bool


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
    )
    short_bounds = (LeadBounds(times=3, orders=1),)

    def __init__(self, bounds: LeadBounds) -> None:
        """Explore within these bounds."""
        self._bounds = bounds

    def initial(self) -> Iterator[World]:
        """Start without a record of the lead."""
        leads = tuple(
            intern(
                Lead(
                    name,
                    _LEASE,
                    Millis(-_LEASE),
                    trusts_fences=self._bounds.checks_fences,
                ),
            )
            for name in _NAMES
        )
        yield World(
            now=0,
            target=2,
            holder='',
            end=0,
            late=frozenset(),
            leads=leads,
            engine=Engine(),
            on_way=frozenset(),
            sent=0,
            went_back=False,
        )

    def violation(self, world: World) -> str | None:
        """Check both properties."""
        now = Millis(world.now * _STEP)
        allowed = [lead.wrapped.fence(now) is not None for lead in world.leads]
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

    def _writes(self, world: World, router: int) -> Iterator:
        now = Millis(world.now * _STEP)
        lead = world.leads[router]
        if not lead.wrapped.is_leader:
            view = LeadView(end=world.end, holder=world.holder)
            lead, _ = lead.after(Lead.seen, view, now)
            world = _with_lead(world, router, lead)
            yield f'{router} reads', world
            if not lead.wrapped.may_take(now):
                return
        end = lead.wrapped.end
        if end != world.end:
            lost, _ = lead.after(Lead.lost)
            yield f'{router} is refused', _with_lead(world, router, lost)
            return
        if world.end >= self._bounds.records:
            return
        written = world._replace(holder=_NAMES[router], end=world.end + 1)
        yield f'answer to {router} is lost', written
        if not world.late:
            late = frozenset(((_NAMES[router], end),))
            yield f'record of {router} is late', world._replace(late=late)
        if lead.wrapped.is_leader:
            given_up = written._replace(holder='')
            former, _ = lead.after(Lead.lost)
            yield f'{router} gives up', _with_lead(given_up, router, former)
        lead, _ = lead.after(Lead.wrote, end, now, now)
        yield f'{router} writes', _with_lead(written, router, lead)

    def _orders(self, world: World, router: int) -> Iterator:
        now = Millis(world.now * _STEP)
        fence = world.leads[router].wrapped.fence(now)
        if fence is None or world.sent >= self._bounds.orders:
            return
        order = Order(
            version=world.target,
            fence=fence,
            expected=world.engine.number,
        )
        sent = world._replace(
            on_way=world.on_way | {order},
            sent=world.sent + 1,
        )
        yield f'{router} orders unheard', sent
        other = 1 - router
        lead, _ = world.leads[other].after(Lead.heard_order, now)
        yield f'{router} orders', _with_lead(sent, other, lead)


def _with_lead(world: World, router: int, lead: Value[Lead]) -> World:
    leads = list(world.leads)
    leads[router] = lead
    return world._replace(leads=tuple(leads))


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
    is_old = checks_fences and order.fence < engine.fence
    if is_old or order.expected != engine.number:
        return world
    return world._replace(
        engine=Engine(
            version=order.version,
            number=engine.number + 1,
            fence=max(engine.fence, order.fence),
        ),
        went_back=world.went_back or order.version < engine.version,
    )


def _without_lapse(lead: Lead, now: Millis) -> int | None:
    return lead.end if lead.is_leader else None


def _without_lease(lead: Lead, now: Millis) -> bool:
    return lead._view is not None and not lead.is_leader


def _without_sight(lead: Lead, view: LeadView, now: Millis) -> None:
    """Count the lease of others from the router's start."""
    lead._view = view
    lead._leads_since = None


LeadSpecification.mutants = (
    Mutant(
        name='a lead that does not lapse',
        guard='yuccagauge.rollout.lead:Lead.fence',
        replacement=_without_lapse,
    ),
    Mutant(
        name='a lead that is taken before a lease is over',
        guard='yuccagauge.rollout.lead:Lead.may_take',
        replacement=_without_lease,
    ),
    Mutant(
        name='a lease that is not counted anew from each record',
        guard='yuccagauge.rollout.lead:Lead.seen',
        replacement=_without_sight,
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
