"""Which engines load new weights now. Pure decisions."""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ServerState

#: Time after an order without an answer, or a failed one, before the next
#: order to the same engine. The engine's order number keeps a late order
#: from being carried out after a newer one.
ORDER_PAUSE = Millis(600)

#: A load that shows no result for this long no longer takes a place.
LOAD_PATIENCE = Millis(6000)


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineWeights:
    """One engine with the weights that it runs."""

    server: BackendServer
    model: str
    version: int
    #: Calls in flight there.
    active: int
    #: When an order was last given, or ``None``.
    ordered_at: Millis | None = None
    #: Whether an order is in work there, as far as is known.
    is_loading: bool = False
    #: Whether it answers at all.
    is_reachable: bool = True


def loads_at_once(engines: int, share: float) -> int:
    """Return how many engines of a service load at the same time.

    Parameters
    ----------
    share
        Share of the engines up to which loads do not slow each other down.
    """
    return max(1, math.floor(engines * share))


def next_loads(
    engines: Iterable[EngineWeights],
    targets: Mapping[str, int],
    share: float,
    now: Millis,
) -> tuple[EngineWeights, ...]:
    """Return the engines of one service that should get an order now.

    Load pattern: new weights are named every few seconds under full load.
    Engines load the newest version and skip the ones between. The oldest
    weights go first, since answers on them lose the most, and among these
    the engines with the fewest calls in flight, which wait for their calls
    the shortest time. The others keep serving.
    """
    present = [
        engine
        for engine in engines
        if engine.server.state is ServerState.READY and engine.is_reachable
    ]
    loading = [
        engine
        for engine in present
        if engine.is_loading
        and engine.ordered_at is not None
        and now - engine.ordered_at < LOAD_PATIENCE
    ]
    room = loads_at_once(len(present), share) - len(loading)
    due = [
        engine
        for engine in present
        if engine.version < targets.get(engine.model, 0)
        and not engine.is_loading
        and (engine.ordered_at is None or now - engine.ordered_at > ORDER_PAUSE)
    ]
    due.sort(
        key=lambda engine: (
            engine.version,
            engine.active,
            engine.server.server_id,
        ),
    )
    return tuple(due[: max(0, room)])
