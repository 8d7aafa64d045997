"""The choice of a plain server."""

from collections.abc import Iterable

from yuccagauge.clock import Millis
from yuccagauge.selection.base import Candidate

#: Service time before the first answer was measured, in ms.
ASSUMED_SERVICE_MS = 20.0

#: Cost of a call that fails, in ms of waiting.
FAILURE_COST_MS = 1500.0

#: Cost of leaving the data centre: the way there and back, and the bytes.
DISTANCE_COST_MS = 3.0


def expected_ms(candidate: Candidate, now: Millis) -> float:
    """Return the expected time to the answer on one server, in ms."""
    load = candidate.load
    service = load.service_ms or ASSUMED_SERVICE_MS
    slots = max(1, candidate.server.slots)
    batches = load.active_calls(now) / slots
    return service * max(1.0, batches + 1 / slots)


def cost_ms(candidate: Candidate, now: Millis) -> float:
    """Return the cost by which plain servers are compared, in ms.

    Load pattern: several routers send to few servers with few slots. Equal
    servers are told apart by their calls in flight, so that a burst fills
    all of them, and a server that fails is left after a few calls.
    """
    load = candidate.load
    slots = max(1, candidate.server.slots)
    service = load.service_ms or ASSUMED_SERVICE_MS
    cost = expected_ms(candidate, now)
    cost += service * load.active_calls(now) / slots
    cost += FAILURE_COST_MS * load.failure_rate(now)
    return cost if candidate.is_local else cost + DISTANCE_COST_MS


def cheapest(candidates: Iterable[Candidate], now: Millis) -> Candidate | None:
    """Return the candidate with the least cost, or ``None``."""
    return min(
        candidates,
        key=lambda candidate: (
            cost_ms(candidate, now),
            candidate.server.server_id,
        ),
        default=None,
    )
