"""Steps for leases and fenced orders on a simulated log."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from features.memory_log import MemoryLog
from features.simulation import new_reactor, pass_time
from yuccagauge.clock import Millis
from yuccagauge.leases.client import LeaseClient
from yuccagauge.leases.engineport import EngineState, OrderAnswer
from yuccagauge.leases.orders import EngineTarget, OrderDriver
from yuccagauge.settings.options import Endpoint
from yuccagauge.standins.engineorders import EngineOrders

_ENGINE = Endpoint('127.0.0.1', 9101)
_TTL = Millis(10_000)


class SimulatedClock:
    """Real time, which goes on while a holder is paused."""

    def __init__(self, reactor: Clock) -> None:
        self._reactor = reactor

    def now(self) -> Millis:
        return Millis(int(self._reactor.seconds() * 1000))

    wall = now


class StartingState:
    """What the engine has loaded before any order."""

    models = ('m',)
    adapters = ()
    weights_version = 'w0'
    role = 'any'


class Engine:
    """An engine by the stand-in's rules, with orders that may be delayed."""

    def __init__(self, *, checks_fence: bool) -> None:
        self.checks_fence = checks_fence
        self.orders = EngineOrders(StartingState())
        self.delays = False
        self.delayed: list[dict[str, Any]] = []
        self.fences: list[tuple[str, int]] = []

    def state(self, engine: Endpoint) -> Deferred:
        version = self.orders.weights_version
        return succeed(EngineState(incarnation='i', weights_version=version))

    def load_version(
        self, engine: Endpoint, version: str, fence: int
    ) -> Deferred:
        order = {'kind': 'load-version', 'version': version, 'fence': fence}
        self.fences.append((version, fence))
        if self.delays:
            self.delayed.append(order)
            return succeed(OrderAnswer.UNKNOWN)
        return succeed(self.take(order))

    def take(self, order: dict[str, Any]) -> OrderAnswer:
        if not self.orders.accept(order, self.checks_fence):
            return OrderAnswer.FENCED_OFF
        self.orders.apply(order)
        return OrderAnswer.ACCEPTED


class Holder:
    """A process whose own timers stop while it is paused."""

    def __init__(self, name: str, world: 'World') -> None:
        self.reactor = new_reactor()
        self.clock = SimulatedClock(world.reactor)
        self.leases = LeaseClient(world.log, name, self.reactor, self.clock)
        self.leases.start()
        self.holding: Any = None
        self.driver: OrderDriver | None = None
        self.version = ''


class World:
    """Holders with one log."""

    def __init__(self, names: list[str]) -> None:
        self.reactor = new_reactor()
        self.log = MemoryLog(self.reactor)
        self.engine: Engine | None = None
        self.holders = {name: Holder(name, self) for name in names}

    def run(self, seconds: float, *, paused: str = '') -> None:
        """Let time pass; a paused holder catches up at once afterwards."""
        end = self.reactor.seconds() + seconds
        while self.reactor.seconds() < end:
            pass_time(self.reactor, 0.05)
            for name, holder in self.holders.items():
                if name != paused:
                    self._catch_up(holder)

    def settle(self, deferred: Deferred) -> Any:
        results: list[Any] = []
        deferred.addBoth(results.append)
        while not results:
            self.run(0.1)
        return results[0]

    def order(self, name: str, version: str) -> None:
        holder = self.holders[name]
        holder.version = version
        if holder.driver is None:
            holder.driver = OrderDriver(
                holder.leases,
                'orders',
                lambda: (
                    EngineTarget(
                        engine=_ENGINE,
                        checks_fence=self.engine.checks_fence,
                        weights_version=holder.version,
                    ),
                ),
                self.engine,
                holder.reactor,
                holder.clock,
            )
            holder.driver.start()

    def _catch_up(self, holder: Holder) -> None:
        behind = self.reactor.seconds() - holder.reactor.seconds()
        if behind > 0:
            holder.reactor.advance(behind)


@given('lease holders "{names}" on a simulated log')
def given_holders(context: Context, names: str) -> None:
    context.lease_world = World(names.split(', '))
    context.lease_world.run(1)


@given('a lease engine that {kind} fences')
def given_engine(context: Context, kind: str) -> None:
    context.lease_world.engine = Engine(checks_fence=kind == 'checks')


def _acquire(context: Context, name: str) -> Any:
    world = context.lease_world
    holder = world.holders[name]
    holder.holding = world.settle(holder.leases.acquire('r', _TTL))
    return holder.holding


@when('lease holder "{name}" takes the lease')
def when_takes(context: Context, name: str) -> None:
    assert _acquire(context, name) is not None


@when('lease holder "{name}" releases the lease')
def when_releases(context: Context, name: str) -> None:
    holder = context.lease_world.holders[name]
    context.lease_world.settle(holder.leases.release(holder.holding))
    context.lease_world.run(1)


@when('lease holder "{name}" takes {wanted:d} of {slots:d} slots')
def when_takes_slots(
    context: Context, name: str, wanted: int, slots: int
) -> None:
    world = context.lease_world
    leases = world.holders[name].leases
    found = [
        world.settle(leases.acquire_slot('slot', slots, _TTL))
        for _ in range(wanted)
    ]
    context.lease_slots = [slot for slot in found if slot is not None]


@when('{seconds:d} s pass at the lease holders')
def when_time_passes(context: Context, seconds: int) -> None:
    context.lease_world.run(seconds)


@when('lease holder "{name}" is paused for {seconds:d} s')
def when_paused(context: Context, name: str, seconds: int) -> None:
    context.lease_world.run(seconds, paused=name)


@when('the lease log goes down for {seconds:d} s')
def when_log_down(context: Context, seconds: int) -> None:
    context.lease_world.log.outage = True
    context.lease_world.run(seconds)


@when('holder "{name}" orders version "{version}"')
def when_orders(context: Context, name: str, version: str) -> None:
    context.lease_world.order(name, version)
    context.lease_world.run(60)


@when(
    'holder "{name}" orders version "{version}" and an order of it is delayed'
)
def when_order_delayed(context: Context, name: str, version: str) -> None:
    world = context.lease_world
    world.order(name, version)
    world.engine.delays = True
    while not world.engine.delayed:
        world.run(1)
    world.engine.delays = False


@when(
    'lease holder "{name}" is paused for {seconds:d} s '
    'while "{other}" orders version "{version}"',
)
def when_paused_while(
    context: Context, name: str, seconds: int, other: str, version: str
) -> None:
    world = context.lease_world
    # The document has changed for both; the paused one does not know yet.
    world.order(other, version)
    world.run(seconds, paused=name)
    assert world.engine.orders.weights_version == version
    world.holders[name].version = version


@when('the delayed lease order arrives')
def when_arrives(context: Context) -> None:
    engine = context.lease_world.engine
    context.late_answer = engine.take(engine.delayed[0])
    context.late_version = engine.orders.weights_version


@then('lease holder "{name}" can take the lease')
def then_can(context: Context, name: str) -> None:
    assert _acquire(context, name) is not None


@then('lease holder "{name}" cannot take the lease')
def then_cannot(context: Context, name: str) -> None:
    assert _acquire(context, name) is None


@then('lease holder "{name}" holds the lease')
def then_holds(context: Context, name: str) -> None:
    assert context.lease_world.holders[name].holding.is_held


@then('lease holder "{name}" does not hold the lease')
def then_holds_not(context: Context, name: str) -> None:
    assert not context.lease_world.holders[name].holding.is_held


@then('the lease engine runs version "{version}"')
def then_version(context: Context, version: str) -> None:
    found = context.lease_world.engine.orders.weights_version
    assert found == version, found


@then('the lease engine was last "{version}" right after the late order')
def then_late_version(context: Context, version: str) -> None:
    assert context.late_version == version, context.late_version


@then('the fences of the lease orders rise with each version')
def then_fences(context: Context) -> None:
    highest: dict[str, int] = {}
    lowest: dict[str, int] = {}
    for version, fence in context.lease_world.engine.fences:
        highest[version] = max(fence, highest.get(version, fence))
        lowest[version] = min(fence, lowest.get(version, fence))
    assert highest['w1'] < lowest['w2'], context.lease_world.engine.fences


@then('{count:d} lease slots were taken')
def then_slots(context: Context, count: int) -> None:
    slots = context.lease_slots
    assert len({slot.resource for slot in slots}) == len(slots) == count
