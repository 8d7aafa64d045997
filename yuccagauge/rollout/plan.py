"""Which engines load new weights now, and how. Pure decisions."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ServerState
from yuccagauge.rollout.base import SwapMode

#: Time after an order without an answer, or a failed one, before the next
#: order to the same engine. The engine's order number keeps a late order
#: from being carried out after a newer one.
ORDER_PAUSE = Millis(600)

#: A load that shows no result for this long no longer takes a place.
LOAD_PATIENCE = Millis(6000)

#: Time before the end of a load at which the next engine begins to drain.
DRAIN_LEAD = Millis(400)

#: An engine drains at least this long, so that every router has heard of it
#: and has told what it still has in flight there.
LEAST_DRAIN = Millis(200)

#: An engine that drains for longer gets its order though a few calls that
#: no other engine may continue still run there.
SLOW_DRAIN = Millis(1200)

#: The calls that are given up then: they cost less than an engine that
#: stays out of use.
FEW_FIXED = 2

#: After this time an engine gets its order in any case, and finishes its
#: calls first.
LONGEST_DRAIN = Millis(2500)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineWeights:
    """One engine with the weights that it runs."""

    server: BackendServer
    model: str
    version: int
    #: Calls in flight there, those of peers estimated in large fleets, and
    #: those that no other engine may continue.
    active: float = 0
    unmovable: int = 0
    #: Since when routers keep new calls away before an order.
    draining_since: Millis | None = None
    #: When an order was last given, or ``None``.
    ordered_at: Millis | None = None
    #: Whether an order is in work there, as far as is known.
    is_loading: bool = False
    #: Whether it answers at all.
    is_reachable: bool = True

    @property
    def is_present(self) -> bool:
        """Whether it counts among the engines that can load."""
        is_ready = self.server.state is ServerState.READY
        return is_ready and self.is_reachable


def loads_at_once(engines: int, load_share: float) -> int:
    """Return how many engines of a service load at the same time.

    Parameters
    ----------
    load_share
        Share of the engines up to which loads do not slow each other down.
    """
    return max(1, math.floor(engines * load_share))


def next_drains(
    engines: Iterable[EngineWeights],
    targets: Mapping[str, int],
    load_share: float,
    load_time: float,
    now: Millis,
) -> tuple[EngineWeights, ...]:
    """Return the engines of one service that should begin to drain now.

    Load pattern: new weights are named every few seconds under full load.
    Engines load the newest version and skip the ones between. The oldest
    weights go first, since answers on them lose the most, and among these
    the engines with the fewest calls in flight. The next engines drain
    while the ones before them finish loading, so that no place for a load
    stays empty; the others keep serving.

    Parameters
    ----------
    load_time
        Expected time of a load, in ms.
    """
    present = [engine for engine in engines if engine.is_present]
    busy = sum(_takes_place(engine, load_time, now) for engine in present)
    due = [
        engine
        for engine in present
        if engine.version < targets.get(engine.model, 0)
        and not engine.is_loading
        and engine.draining_since is None
        and (engine.ordered_at is None or now - engine.ordered_at > ORDER_PAUSE)
    ]
    due.sort(
        key=lambda engine: (
            engine.version,
            engine.active,
            engine.server.server_id,
        ),
    )
    room = loads_at_once(len(present), load_share) - busy
    return tuple(due[: max(0, room)])


def has_place(
    engines: Iterable[EngineWeights],
    load_share: float,
    now: Millis,
) -> bool:
    """Return whether one more engine of a service may load."""
    present = [engine for engine in engines if engine.is_present]
    loading = sum(_is_in_work(engine, now) for engine in present)
    return loading < loads_at_once(len(present), load_share)


def due_order(engine: EngineWeights, now: Millis) -> SwapMode | None:
    """Return how a draining engine swaps now, or ``None`` to wait.

    Load pattern: streams of many tokens run beside short calls. Once only
    streams are left that another engine may continue, they are moved by a
    reset instead of keeping the engine from its load for seconds.
    """
    if engine.draining_since is None:
        return None
    drained = now - engine.draining_since
    if drained < LEAST_DRAIN:
        return None
    if not engine.active:
        return SwapMode.FINISH_RUNS
    if not engine.unmovable:
        return SwapMode.RESET_RUNS
    if drained >= SLOW_DRAIN and engine.unmovable <= FEW_FIXED:
        return SwapMode.RESET_RUNS
    return SwapMode.FINISH_RUNS if drained >= LONGEST_DRAIN else None


def _is_in_work(engine: EngineWeights, now: Millis) -> bool:
    if not engine.is_loading or engine.ordered_at is None:
        return False
    return now - engine.ordered_at < LOAD_PATIENCE


def _takes_place(engine: EngineWeights, load_time: float, now: Millis) -> bool:
    """Return whether an engine keeps another one from draining."""
    if engine.draining_since is not None:
        return True
    if not _is_in_work(engine, now):
        return False
    return now - engine.ordered_at < load_time - DRAIN_LEAD
