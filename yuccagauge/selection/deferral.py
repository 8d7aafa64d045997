"""The decision on a call that no server can take now. Pure functions."""

from yuccagauge.clock import Millis
from yuccagauge.selection.base import SelectionDecision, SelectionRequest

#: Calls wait this long at most before the choice is made again.
RECHECK = Millis(20)

#: Share of the time to the objective that a call waits without knowing
#: when a server will be free.
BLIND_WAIT_SHARE = 0.12

#: Bounds on the time after which a refused caller comes back.
SHORTEST_RETRY = Millis(120)
LONGEST_RETRY = Millis(1500)


def choose_later(
    free_at: Millis | None,
    request: SelectionRequest,
    now: Millis,
) -> SelectionDecision:
    """Return whether a call waits, or when its caller comes back.

    Load pattern: all engines load weights or all servers just failed. A
    call waits while a server is expected back before its objective, or
    shortly without such knowledge; else it is refused at once, with the
    time at which a server is expected.

    Parameters
    ----------
    free_at
        When the first server takes calls again; ``None`` without servers.
    """
    left = request.deadline - now
    if free_at is not None and free_at > now:
        if free_at < request.objective_at or free_at - now < left / 2:
            until = min(free_at, Millis(now + RECHECK))
            return SelectionDecision(wait_until=until, reason='server_soon')
        retry = Millis(free_at - now)
        return SelectionDecision(
            retry_after=_clamped(retry), reason='server_later'
        )
    whole = request.objective_at - request.received_at
    if now - request.received_at < BLIND_WAIT_SHARE * whole:
        until = Millis(now + RECHECK)
        return SelectionDecision(wait_until=until, reason='no_server_known')
    return SelectionDecision(
        retry_after=_clamped(Millis(left // 3)), reason='no_server'
    )


def _clamped(retry: Millis) -> Millis:
    return max(SHORTEST_RETRY, min(LONGEST_RETRY, retry))
