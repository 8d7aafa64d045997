"""Selection of a plain server by expected time and additional costs."""

from collections.abc import Iterable

from yuccagauge.clock import Millis
from yuccagauge.selection.base import Candidate

#: Service time of a server that has not answered yet.
DEFAULT_SERVICE_MS = 20.0

#: Cost of a failed call, as an equivalent waiting time.
FAILURE_COST_MS = 1500.0

#: Cost of a server in another data centre: the round trip and the traffic.
REMOTE_COST_MS = 3.0


def expected_ms(candidate: Candidate, now: Millis) -> float:
    """Return the expected time to the answer of one server, in ms."""
    load = candidate.load
    service_ms = load.service_ms or DEFAULT_SERVICE_MS
    slots = max(1, candidate.server.slots)
    batches = load.active_calls(now) / slots
    return service_ms * max(1.0, batches + 1 / slots)


def cost_ms(candidate: Candidate, now: Millis) -> float:
    """Return the cost by which plain servers are compared, in ms.

    Load pattern: several routers send calls to a few servers with few slots.
    Calls in flight raise the cost of a server even while it has free slots,
    so that a burst fills all servers evenly. Failures raise the cost, so that
    a failing server gets only a few calls.
    """
    load = candidate.load
    slots = max(1, candidate.server.slots)
    service_ms = load.service_ms or DEFAULT_SERVICE_MS
    cost = expected_ms(candidate, now)
    cost += service_ms * load.active_calls(now) / slots
    cost += FAILURE_COST_MS * load.failure_rate(now)
    return cost if candidate.is_local else cost + REMOTE_COST_MS


def cheapest_server(
    candidates: Iterable[Candidate], now: Millis
) -> Candidate | None:
    """Return the candidate with the lowest cost, or ``None``."""
    return min(
        candidates,
        key=lambda candidate: (
            cost_ms(candidate, now),
            candidate.server.server_id,
        ),
        default=None,
    )
