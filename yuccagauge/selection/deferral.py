"""Decision to delay or refuse a call that no server can take now."""

from yuccagauge.clock import Millis
from yuccagauge.origins.versions import VersionHistory
from yuccagauge.selection.base import SelectionDecision, SelectionRequest

#: Longest time before the router decides again about a waiting call.
RECHECK_INTERVAL = Millis(20)

#: The same for a call that is woken. Many calls wait for few slots, and to look
#: at each of them often would take the time that the others need.
WOKEN_RECHECK_INTERVAL = Millis(200)

#: Share of the time to the objective for which a call waits while the router
#: does not know when a server will be available.
UNKNOWN_WAIT_SHARE = 0.12

#: Bounds on the time after which a refused caller may retry.
MINIMUM_RETRY_AFTER = Millis(120)
MAXIMUM_RETRY_AFTER = Millis(1500)

#: An engine that crashed is back within this time.
RESTART_TIME = Millis(6000)


def wait_or_refuse(
    available_at: Millis | None,
    request: SelectionRequest,
    now: Millis,
    *,
    is_rate_limited: bool = False,
    is_stated: bool = False,
    is_woken: bool = False,
) -> SelectionDecision:
    """Return whether a call waits, or when its caller may retry.

    Load pattern: all engines are loading weights, or all servers have just
    failed. A call waits if a server will be available before the call's
    objective or within half of its remaining time. If the router does not
    know when, the call waits briefly. Otherwise it is refused at once, with
    the time after which a server will probably be available.

    Parameters
    ----------
    available_at
        When the first server will take calls again; ``None`` if there are no
        servers.
    is_rate_limited
        Whether the call waits for the rate limit of a server, so that the time
        is exact.
    is_stated
        Whether the server has stated the time.
    is_woken
        Whether the call is decided about once a server can take it.
    """
    remaining = request.deadline - now
    if available_at is not None and available_at > now:
        if (
            available_at < request.objective_at
            or available_at - now < remaining / 2
        ):
            wait_until = min(available_at, Millis(now + RECHECK_INTERVAL))
            if is_woken:
                wait_until = Millis(now + WOKEN_RECHECK_INTERVAL)
            return SelectionDecision(
                wait_until=wait_until,
                reason='rate_limit_soon' if is_rate_limited else 'server_soon',
            )
        retry_after = Millis(available_at - now)
        if is_rate_limited:
            return SelectionDecision(
                retry_after=max(MINIMUM_RETRY_AFTER, retry_after),
                reason='rate_limit_later',
            )
        if not is_stated:
            retry_after = _clamp(retry_after)
        return SelectionDecision(
            retry_after=max(MINIMUM_RETRY_AFTER, retry_after),
            reason='server_later',
        )
    objective = request.objective_at - request.received_at
    if now - request.received_at < UNKNOWN_WAIT_SHARE * objective:
        wait_until = Millis(now + RECHECK_INTERVAL)
        return SelectionDecision(
            wait_until=wait_until, reason='no_server_known'
        )
    return SelectionDecision(
        retry_after=_clamp(Millis(remaining // 3)), reason='no_server'
    )


def _clamp(retry_after: Millis) -> Millis:
    return max(MINIMUM_RETRY_AFTER, min(MAXIMUM_RETRY_AFTER, retry_after))


def refuse_without_version(
    history: VersionHistory, request: SelectionRequest, now: Millis
) -> SelectionDecision:
    """Refuse a stream whose software version no server has.

    Load pattern: the last engines of a version leave amid a roll-out. The
    stream cannot go on anywhere else, so that its caller is told at once. A
    version that was listed just now may come back with an engine that restarts.
    """
    version = request.software_version or ''
    age = history.age_of(request.service.name, version, now)
    may_return = age < RESTART_TIME
    return SelectionDecision(
        retry_after=MAXIMUM_RETRY_AFTER if may_return else None,
        reason='version_gone',
    )
