"""The lead and its orders, with late orders and members that lapse.

Two routers renew their membership of the group. The store passes the lead
on once the leader's membership has lapsed. Answers of the store may be
lost, announcements may be missed, and an order may reach the engine at any
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
from yuccagauge.rollout.lead import Lead

#: Time to live of a membership, and a step of the clock.
_LEASE = Millis(2000)
_STEP = Millis(1000)

_ROUTERS = (0, 1)


@dataclass(frozen=True, slots=True, kw_only=True)
class LeadBounds:
    """How far the exploration goes."""

    #: Steps of the clock.
    times: int = 5
    #: Orders that are sent in all.
    orders: int = 2
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
    #: The member that leads, by the store, and the group's generation.
    owner: int
    generation: int
    #: When the store heard each router last.
    heard: tuple[int, int]
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
    bounds = (LeadBounds(), LeadBounds(times=6, orders=1, checks_fences=False))
    short_bounds = (LeadBounds(times=4, orders=2),)

    def __init__(self, bounds: LeadBounds) -> None:
        """Explore within these bounds."""
        self._bounds = bounds

    def initial(self) -> Iterator[World]:
        """Start with the first router as the leader."""
        lead = Lead(
            _LEASE,
            Millis(-_LEASE),
            trusts_fences=self._bounds.checks_fences,
        )
        yield World(
            now=0,
            target=2,
            owner=0,
            generation=1,
            heard=(0, 0),
            leads=(intern(lead), intern(lead)),
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
            yield from self._renewals(world, router)
            yield from self._orders(world, router)
        for order in world.on_way:
            yield (
                'an order arrives',
                _arrive(
                    world,
                    order,
                    checks_fences=self._bounds.checks_fences,
                ),
            )

    def _renewals(self, world: World, router: int) -> Iterator:
        asked = _ask_store(world, router)
        yield f'answer to {router} is lost', asked
        change = (
            asked.generation,
            asked.owner == router,
            Millis(world.now * _STEP),
        )
        lead, _ = world.leads[router].after(_renewed, *change)
        yield f'{router} renews', _with_lead(asked, router, lead)

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


def _renewed(lead: Lead, generation: int, leads: bool, now: Millis) -> None:
    lead.renewed(generation, leads=leads, sent_at=now, now=now)


def _with_lead(world: World, router: int, lead: Value[Lead]) -> World:
    leads = list(world.leads)
    leads[router] = lead
    return world._replace(leads=tuple(leads))


def _ask_store(world: World, router: int) -> World:
    """Let the store hear a router, and pass the lead on if it lapsed."""
    heard = list(world.heard)
    heard[router] = world.now
    world = world._replace(heard=tuple(heard))
    silence = (world.now - world.heard[world.owner]) * _STEP
    if router == world.owner or silence <= _LEASE:
        return world
    return world._replace(owner=router, generation=world.generation + 1)


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
    return lead.generation if lead.is_candidate else None


def _without_wait(
    lead: Lead,
    generation: int,
    *,
    leads: bool,
    sent_at: Millis,
    now: Millis,
) -> None:
    """Count the lease from the answer that was understood last."""
    lead._generation = generation
    lead._renewed_at = Millis(sent_at + _LEASE)
    lead._leads_since = now if leads else None


LeadSpecification.mutants = (
    Mutant(
        name='a lead that does not lapse',
        guard='yuccagauge.rollout.lead:Lead.fence',
        replacement=_without_lapse,
    ),
    Mutant(
        name='a lease that counts longer than at the store',
        guard='yuccagauge.rollout.lead:Lead.renewed',
        replacement=_without_wait,
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
