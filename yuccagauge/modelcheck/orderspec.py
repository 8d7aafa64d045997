"""Orders to an engine that ignores fences, after a change.

Either the holder has changed, and the earlier one was paused, or the
document has, and the holder gave other orders before. Old orders may still
arrive until the lock delay after the change. That bound is the assumption
under which the state of such an engine can be trusted. Orders that come
still later are met by comparing the weights version of every answer, which
needs no assumption.

The rules are those of ``yuccagauge.leases.reconcile``.
"""

import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from yuccagauge.clock import Millis
from yuccagauge.leases.reconcile import (
    LOCK_DELAY_TTLS,
    Reconciler,
    Step,
    lock_delay,
)
from yuccagauge.modelcheck.base import SPECIFICATIONS
from yuccagauge.modelcheck.mutants import Mutant
from yuccagauge.modelcheck.values import Value, intern

_TTL = Millis(60_000)
_OLD = 'old'
_NEW = 'new'


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderBounds:
    """How far the exploration goes."""

    #: Steps of the clock, each of one time to live.
    times: int = 8
    old_orders: int = 2
    new_orders: int = 3


class World(NamedTuple):
    """The whole state; the holder keeps its lease throughout."""

    now: int
    is_new_holder: bool
    engine: str
    #: Orders from before the change that may still arrive.
    old_orders: int
    #: Orders from after it: sent, and on their way.
    sent: int
    on_way: int
    reconciler: Value[Reconciler]
    is_stable: bool
    #: Whether a new order took effect.
    was_new: bool
    #: Whether an old order took effect after that.
    went_back: bool


@SPECIFICATIONS.register
class OrderSpecification:
    """Orders without fences; see the module's text."""

    name = 'orders'
    aliases = ()
    properties = (
        'an engine in a stable state stays in it',
        'no order of an earlier holder follows one of a later holder',
    )
    bounds = (OrderBounds(),)
    short_bounds = bounds

    def __init__(self, bounds: OrderBounds) -> None:
        """Explore within these bounds."""
        self._bounds = bounds

    def initial(self) -> Iterator[World]:
        """Start at either kind of change, with either state."""
        for is_new, engine in itertools.product((True, False), (_OLD, _NEW)):
            held_since = 0 if is_new else -self._bounds.times * _TTL
            reconciler = Reconciler(
                checks_fence=False,
                delay=lock_delay(_TTL),
                held_since=Millis(held_since),
            )
            yield World(
                now=0,
                is_new_holder=is_new,
                engine=engine,
                old_orders=self._bounds.old_orders,
                sent=0,
                on_way=0,
                reconciler=intern(reconciler),
                is_stable=False,
                was_new=False,
                went_back=False,
            )

    def violation(self, world: World) -> str | None:
        """Check both properties."""
        if world.is_stable and world.engine != _NEW:
            return self.properties[0]
        return self.properties[1] if world.went_back else None

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Return all next worlds."""
        if world.now < self._bounds.times:
            yield 'time passes', world._replace(now=world.now + 1)
        if world.old_orders and world.now <= LOCK_DELAY_TTLS:
            yield (
                'an old order arrives',
                world._replace(
                    old_orders=world.old_orders - 1,
                    engine=_OLD,
                    went_back=world.was_new and world.is_new_holder,
                ),
            )
        if world.on_way:
            yield (
                'a new order arrives',
                world._replace(
                    on_way=world.on_way - 1,
                    engine=_NEW,
                    was_new=True,
                ),
            )
        yield 'the holder looks', self._look(world)

    def _look(self, world: World) -> World:
        now = Millis(world.now * _TTL)
        reconciler, step = world.reconciler.after(
            _observe, world.engine == _NEW, now
        )
        if step is Step.ORDER and world.sent < self._bounds.new_orders:
            reconciler, _ = reconciler.after(_ordered, now)
            world = world._replace(
                sent=world.sent + 1,
                on_way=world.on_way + 1,
            )
        return world._replace(
            reconciler=reconciler,
            is_stable=step is Step.STABLE,
        )


def _observe(reconciler: Reconciler, matches: bool, now: Millis) -> Step:
    return reconciler.observe(matches=matches, now=now)


def _ordered(reconciler: Reconciler, now: Millis) -> None:
    reconciler.ordered(now, accepted=True)


_RULES = 'yuccagauge.leases.reconcile'

OrderSpecification.mutants = (
    Mutant(
        name='a matching engine is trusted at once',
        guard=f'{_RULES}:has_matched_long',
        replacement=lambda since, now, delay: True,
    ),
    Mutant(
        name='no lock delay before the first order',
        guard=f'{_RULES}:has_waited',
        replacement=lambda since, now, delay: True,
    ),
)
