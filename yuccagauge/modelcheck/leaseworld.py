"""The states of the lease specification."""

from dataclasses import dataclass
from typing import NamedTuple

from yuccagauge.clock import ManualClock, Millis
from yuccagauge.leases.holding import Holding
from yuccagauge.leases.reconcile import Reconciler
from yuccagauge.leases.records import MARGIN, MAXIMUM_TTL, LeaseRecord
from yuccagauge.leases.table import LeaseTable
from yuccagauge.modelcheck.values import Value

RESOURCE = 'engine'
TTL = MAXIMUM_TTL

#: Time lost by the slow clock in each unit; less than the margin.
_SLOWNESS = MARGIN - 100

IDLE = 'idle'
ASKING = 'asking'
HOLDING = 'holding'


@dataclass(frozen=True, slots=True, kw_only=True)
class LeaseBounds:
    """How far the exploration goes."""

    #: Steps of the clocks, each of one time to live.
    times: int
    log_records: int = 4
    #: Requests for the lease by each holder.
    asks: tuple[int, ...] = (1, 1)
    renewals: int = 0
    releases: int = 0
    trims: int = 0
    #: Times a record may land.
    copies: int = 1
    #: Orders by each holder.
    orders: int = 0


class Holder(NamedTuple):
    """One process that wants the lease."""

    table: Value[LeaseTable]
    position: int = 0
    phase: str = IDLE
    asks: int = 0
    #: Local time before the last append.
    sent_at: int = 0
    fence: int = -1
    until: int = 0
    reconciler: Value[Reconciler] | None = None
    orders: int = 0
    is_stable: bool = False


class Order(NamedTuple):
    """One order on its way; the version says whose it is."""

    version: int
    fence: int


class World(NamedTuple):
    """The whole state."""

    now: int
    first: int
    log: tuple[tuple[int, LeaseRecord], ...]
    network: tuple[tuple[LeaseRecord, int], ...]
    holders: tuple[Holder, ...]
    orders: frozenset[Order]
    engine_version: int
    #: Highest fence that the engine has seen.
    engine_fence: int
    renewals: int
    releases: int
    trims: int

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return self.first + len(self.log)


def local_time(world: World, number: int) -> Millis:
    """Return a holder's monotonic time; only the first one's is right."""
    unit = TTL - _SLOWNESS if number else TTL
    return Millis(world.now * unit)


def log_time(time: int) -> Millis:
    """Return the log's time after so many steps."""
    return Millis(time * TTL)


def wanted_version(number: int) -> int:
    """Return the weights version that a holder orders."""
    return number + 1


def is_held(world: World, number: int) -> bool:
    """Return whether a holder may act at this moment."""
    holder = world.holders[number]
    if holder.phase != HOLDING:
        return False
    clock = ManualClock(local_time(world, number))
    holding = Holding(RESOURCE, holder.fence, Millis(holder.until), clock)
    return holding.is_held


def is_taken(world: World, number: int) -> bool:
    """Return whether a holder knows better than to ask."""
    table = world.holders[number].table.wrapped
    now = log_time(world.now)
    if table.is_doubtful(RESOURCE, now):
        return True
    lease = table.lease(RESOURCE, now)
    return lease is not None and lease.holder != str(number)


def put_holder(world: World, number: int, holder: Holder) -> World:
    """Return the world with another state of a holder."""
    holders = list(world.holders)
    holders[number] = holder
    return world._replace(holders=tuple(holders))


def land(world: World, number: int) -> World:
    """Append one copy of a record of the network to the log."""
    record, copies = world.network[number]
    rest = ((record, copies - 1),) if copies > 1 else ()
    network = world.network[:number] + rest + world.network[number + 1 :]
    log = (*world.log, (world.now, record))
    return world._replace(network=network, log=log)


def disagree(world: World) -> bool:
    """Return whether two readers of all records see different leases."""
    now = log_time(world.now)
    seen = set()
    for holder in world.holders:
        table = holder.table.wrapped
        is_current = holder.position == world.end
        if is_current and not table.is_doubtful(RESOURCE, now):
            lease = table.lease(RESOURCE, now)
            seen.add(None if lease is None else lease.fence)
    return len(seen) > 1
