"""Decides which engines load new weights now, and in which mode. No I/O."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ServerState
from yuccagauge.rollout.base import SwapMode

#: Time after an order that failed or got no answer before the next order to
#: the same engine. The engine checks the order number, so an order that
#: arrives late has no effect after a newer one.
ORDER_RETRY_DELAY = Millis(600)

#: A load without a result for this long no longer occupies a load slot.
LOAD_TIMEOUT = Millis(6000)

#: The next engine begins to drain this long before the expected end of a
#: load.
DRAIN_OVERLAP = Millis(400)

#: An engine drains at least this long, so that every router receives the
#: announcement and reports the calls that it still has in flight there.
MINIMUM_DRAIN = Millis(200)

#: An engine that drains for this long gets its order even if a few
#: unmovable calls still run there.
ABORT_CALLS_AFTER = Millis(1200)

#: Largest number of unmovable calls that such an order may abort: to abort
#: them costs less than to keep the engine out of use.
MAXIMUM_ABORTED_CALLS = 2

#: An engine that drains for this long gets its order in any case, and
#: finishes its calls before the swap.
MAXIMUM_DRAIN = Millis(2500)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineWeights:
    """An engine, the weights that it runs and the state of its swap."""

    server: BackendServer
    model: str
    version: int
    #: Calls in flight at the engine; in large fleets those of peers are an
    #: estimate. Unmovable calls are those that no other engine may continue.
    active_calls: float = 0
    unmovable_calls: int = 0
    #: Since when routers send the engine no new calls; ``None`` if it does not
    #: drain.
    draining_since: Millis | None = None
    #: When the last order was sent; ``None`` before the first one and once
    #: the engine has the weights.
    ordered_at: Millis | None = None
    #: Whether the engine is known to carry out an order.
    is_loading: bool = False
    #: Whether a status request or an order to the engine is under way.
    is_ordering: bool = False
    #: Whether calls may begin on the weights of the engine.
    is_usable: bool = True
    #: False while this router pauses its calls to the engine, unless the
    #: engine answered a status request lately.
    is_reachable: bool = True

    @property
    def is_ready(self) -> bool:
        """Whether the engine does not leave."""
        return self.server.state is ServerState.READY

    @property
    def is_available(self) -> bool:
        """Whether the engine is ready and reachable, so that it can load."""
        return self.is_ready and self.is_reachable


def maximum_loads(engines: int, load_share: float) -> int:
    """Return how many engines of a service may load at the same time.

    Parameters
    ----------
    load_share
        Share of the engines that can load at the same time without slowing
        each other down.
    """
    return max(1, math.floor(engines * load_share))


def engines_to_drain(
    engines: Iterable[EngineWeights],
    targets: Mapping[str, int],
    load_share: float,
    expected_load_ms: float,
    now: Millis,
) -> tuple[EngineWeights, ...]:
    """Return the engines of one service that should begin to drain now.

    Load pattern: the target version changes every few seconds under full
    load. Engines load the newest version and skip those in between. Engines
    with the oldest weights come first, because answers from old weights are
    worth the least, and among these the engines with the fewest calls in
    flight. The next engines drain while the previous ones finish loading, so
    that no load slot stays empty; all other engines keep serving.

    Parameters
    ----------
    expected_load_ms
        Expected duration of a load, in ms.
    """
    ready = [engine for engine in engines if engine.is_ready]
    available = [engine for engine in ready if engine.is_reachable]
    occupied = sum(
        _occupies_slot(engine, expected_load_ms, now) for engine in available
    )
    due = [
        engine
        for engine in available
        if engine.version < targets.get(engine.model, 0)
        and not engine.is_loading
        and engine.draining_since is None
        and (
            engine.ordered_at is None
            or now - engine.ordered_at > ORDER_RETRY_DELAY
        )
    ]
    due.sort(
        key=lambda engine: (
            engine.version,
            engine.active_calls,
            engine.server.server_id,
        ),
    )
    free_slots = maximum_loads(len(ready), load_share) - occupied
    return tuple(due[: max(0, free_slots)])


def has_load_slot(
    engines: Iterable[EngineWeights],
    load_share: float,
    now: Millis,
) -> bool:
    """Return whether one more engine of a service may load now."""
    ready = [engine for engine in engines if engine.is_ready]
    loading = sum(
        engine.is_ordering or _has_running_load(engine, now)
        for engine in ready
        if engine.is_reachable
    )
    return loading < maximum_loads(len(ready), load_share)


def needs_probe(engine: EngineWeights, targets: Mapping[str, int]) -> bool:
    """Return whether to ask an engine without calls if it can load.

    Load pattern: more calls come than an engine takes, so it resets
    connections. This router pauses its calls again after each that it tries,
    and the engine would get no order, though it answers status requests. An
    engine that answers none is not drained, as other routers may reach it.
    """
    is_paused = engine.is_ready and not engine.is_reachable
    is_behind = engine.version < targets.get(engine.model, 0)
    return is_paused and is_behind and not engine.is_loading


def due_swap_mode(engine: EngineWeights, now: Millis) -> SwapMode | None:
    """Return the swap mode for a draining engine, or ``None`` to wait.

    Load pattern: long streams run beside short calls. Once only movable
    streams are left, a reset moves them to other engines; waiting for their
    end would delay the load by seconds.

    Load pattern: routers restart again and again, and weights are superseded
    so long ago that no call may begin on them. A drain keeps no more calls
    away, so the engine is ordered at once. It finishes calls that no other
    engine may continue: until they end, its slot serves nobody else.
    """
    if engine.draining_since is None or engine.is_ordering:
        return None
    if not engine.is_usable:
        is_movable = engine.active_calls and not engine.unmovable_calls
        return SwapMode.RESET_RUNS if is_movable else SwapMode.FINISH_RUNS
    drained_ms = now - engine.draining_since
    if drained_ms < MINIMUM_DRAIN:
        return None
    if not engine.active_calls:
        return SwapMode.FINISH_RUNS
    if not engine.unmovable_calls:
        return SwapMode.RESET_RUNS
    if (
        drained_ms >= ABORT_CALLS_AFTER
        and engine.unmovable_calls <= MAXIMUM_ABORTED_CALLS
    ):
        return SwapMode.RESET_RUNS
    return SwapMode.FINISH_RUNS if drained_ms >= MAXIMUM_DRAIN else None


def _has_running_load(engine: EngineWeights, now: Millis) -> bool:
    if not engine.is_loading or engine.ordered_at is None:
        return False
    return now - engine.ordered_at < LOAD_TIMEOUT


def _occupies_slot(
    engine: EngineWeights, expected_load_ms: float, now: Millis
) -> bool:
    """Return whether an engine prevents another one from draining."""
    if engine.draining_since is not None:
        return True
    if not _has_running_load(engine, now):
        return False
    return now - engine.ordered_at < expected_load_ms - DRAIN_OVERLAP
