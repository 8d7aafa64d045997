"""Bring the engines of a service to the wanted weights version."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Protocol

from twisted.internet.defer import Deferred, inlineCallbacks
from twisted.internet.interfaces import IReactorTime
from twisted.internet.task import LoopingCall
from twisted.logger import Logger

from yuccagauge.clock import Clock, Millis
from yuccagauge.leases.client import LeaseClient
from yuccagauge.leases.engineport import (
    EngineState,
    EngineUnavailableError,
    OrderAnswer,
)
from yuccagauge.leases.holding import Holding
from yuccagauge.leases.reconcile import Reconciler, Step, lock_delay
from yuccagauge.settings.options import Endpoint

#: Resource names of the leases that spread the loads of weights.
WEIGHTS_SLOT = 'weights-slot'

_LOGGER = Logger()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineTarget:
    """What an engine has to be brought to."""

    engine: Endpoint
    checks_fence: bool
    weights_version: str


@dataclass(frozen=True, slots=True, kw_only=True)
class OrderOptions:
    """Times and shares of a driver."""

    #: Time to live of the driver's leases.
    ttl: Millis = Millis(10_000)
    #: Time between two looks at the engines, in seconds.
    period: float = 1
    #: How long one load of weights may keep its slot, in milliseconds.
    load_patience: Millis = Millis(300_000)
    #: Loads of weights at the same time in the whole fleet.
    weight_slots: int = 4


class Engines(Protocol):
    """The calls of ``EnginePort``."""

    def state(self, engine: Endpoint) -> Deferred[EngineState]:
        """Read the state of an engine."""

    def load_version(
        self,
        engine: Endpoint,
        version: str,
        fence: int,
    ) -> Deferred[OrderAnswer]:
        """Order an engine to load a weights version."""


class OrderDriver:
    """Hold the lease on a group of engines and give them orders.

    Every router may run one; only the holder of the lease acts.

    Parameters
    ----------
    leases
        The leases of this router.
    resource
        Name of the lease, such as ``orders-matcher-llm-khomas-a``.
    targets
        Returns what the engines have to be brought to at this moment.
    engines
        Reaches the engines.
    reactor
        Schedules the looks.
    clock
        The clock by which the lease is held.
    options
        Times and shares.
    """

    def __init__(
        self,
        leases: LeaseClient,
        resource: str,
        targets: Callable[[], tuple[EngineTarget, ...]],
        engines: Engines,
        reactor: IReactorTime,
        clock: Clock,
        *,
        options: OrderOptions = OrderOptions(),  # noqa: WPS404, B008
    ) -> None:
        """Hold no lease yet."""
        self._leases = leases
        self._resource = resource
        self._targets = targets
        self._engines = engines
        self._clock = clock
        self._options = options
        self._holding: Holding | None = None
        self._held_since = Millis(0)
        self._reconcilers: dict[EngineTarget, Reconciler] = {}
        self._slots: dict[EngineTarget, Holding] = {}
        self._slots_since: dict[EngineTarget, Millis] = {}
        self._stable: frozenset[Endpoint] = frozenset()
        self._counts: Counter[str] = Counter()
        self._looks = LoopingCall(self._look_safely)
        self._looks.clock = reactor

    @property
    def counters(self) -> Mapping[str, int]:
        """Orders by answer, and leases taken and lost."""
        return dict(self._counts)

    @property
    def stable(self) -> frozenset[Endpoint]:
        """The engines whose state can be trusted, while the lease is held."""
        return self._stable

    def start(self) -> None:
        """Begin to try for the lease."""
        self._looks.start(self._options.period)

    def close(self) -> Deferred[None] | None:
        """Stop giving orders and give the lease back."""
        if self._looks.running:
            self._looks.stop()
        holding, self._holding = self._holding, None
        return None if holding is None else self._leases.release(holding)

    @inlineCallbacks
    def look(self) -> Deferred[None]:
        """Look at every engine once and give the orders that are due."""
        targets = self._targets()
        yield self._hold()
        if self._holding is None:
            return
        is_changed = self._forget_others(targets)
        if is_changed:
            yield self._take_new_fence()
        stable = set()
        for target in targets if self._holding else ():
            is_stable = yield self._look_at(target)
            if is_stable:
                stable.add(target.engine)
        self._stable = frozenset(stable)

    @inlineCallbacks
    def _look_safely(self) -> Deferred[None]:
        try:
            yield self.look()
        except Exception:
            # A LoopingCall ends at the first failure of its function.
            _LOGGER.failure('a look at the engines failed')
            self._counts['failures'] += 1

    @inlineCallbacks
    def _hold(self) -> Deferred[None]:
        if self._holding is not None and self._holding.is_held:
            return
        if self._holding is not None:
            self._counts['lost'] += 1
            self._holding = None
            self._forget_others(())
            self._stable = frozenset()
        holding = yield self._leases.acquire(self._resource, self._options.ttl)
        if holding is not None:
            self._counts['held'] += 1
            self._holding = holding
            self._held_since = self._clock.now()

    @inlineCallbacks
    def _look_at(self, target: EngineTarget) -> Deferred[bool]:
        reconciler = self._reconciler(target)
        try:
            state = yield self._engines.state(target.engine)
        except EngineUnavailableError:
            matches = False
            self._counts['unreachable'] += 1
        else:
            matches = state.weights_version == target.weights_version
        step = reconciler.observe(matches=matches, now=self._clock.now())
        if matches:
            yield self._free_slot(target)
        if step is Step.ORDER:
            yield self._order(target, reconciler, loads=not matches)
        return step is Step.STABLE

    @inlineCallbacks
    def _order(
        self,
        target: EngineTarget,
        reconciler: Reconciler,
        *,
        loads: bool,
    ) -> Deferred[None]:
        if loads:
            has_slot = yield self._take_slot(target)
            if not has_slot:
                self._counts['slots_missing'] += 1
                return
        holding = self._holding
        # Nothing may be awaited between this check and the order.
        if holding is None or not holding.is_held:
            return
        sent_at = self._clock.now()
        answer = yield self._engines.load_version(
            target.engine,
            target.weights_version,
            holding.fence,
        )
        self._counts[f'orders_{answer.value}'] += 1
        if answer is OrderAnswer.FENCED_OFF:
            holding.lose()
            return
        accepted = answer is OrderAnswer.ACCEPTED
        reconciler.ordered(sent_at, accepted=accepted)

    def _reconciler(self, target: EngineTarget) -> Reconciler:
        found = self._reconcilers.get(target)
        if found is None:
            found = Reconciler(
                checks_fence=target.checks_fence,
                delay=lock_delay(self._options.ttl),
                held_since=self._held_since,
            )
            self._reconcilers[target] = found
        return found

    @inlineCallbacks
    def _take_slot(self, target: EngineTarget) -> Deferred[bool]:
        now = self._clock.now()
        slot = self._slots.get(target)
        if slot is not None and slot.is_held:
            if now - self._slots_since[target] < self._options.load_patience:
                return True
            # An engine that never comes up must not keep others waiting.
            yield self._free_slot(target)
            return False
        found = yield self._leases.acquire_slot(
            WEIGHTS_SLOT,
            self._options.weight_slots,
            self._options.ttl,
        )
        if found is not None:
            self._slots[target] = found
            self._slots_since[target] = now
        return found is not None

    @inlineCallbacks
    def _free_slot(self, target: EngineTarget) -> Deferred[None]:
        slot = self._slots.pop(target, None)
        if slot is not None:
            yield self._leases.release(slot)

    @inlineCallbacks
    def _take_new_fence(self) -> Deferred[None]:
        """Take the lease again, so that our own earlier orders are old.

        An order for the version before may still be on its way, and an
        engine takes any order whose fence is not below the last one.
        """
        earlier = self._holding
        holding = yield self._leases.acquire(self._resource, self._options.ttl)
        earlier.lose()
        self._holding = holding
        self._reconcilers.clear()

    def _forget_others(self, targets: tuple[EngineTarget, ...]) -> bool:
        """Drop old targets; return whether an engine has a new target."""
        engines = {target.engine for target in targets}
        others = set(self._reconcilers) - set(targets)
        for target in others:
            self._reconcilers.pop(target)
        for target in set(self._slots) - set(targets):
            self._leases.release(self._slots.pop(target))
        return any(other.engine in engines for other in others)
