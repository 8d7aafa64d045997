"""Log lines and metrics of rate limits."""

import enum

from yuccagauge.clock import Millis
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.telemetry.meter import counter, gauge

_CHANGES = counter(
    'yuccagauge.ratelimit.changes',
    'Changes of the rate limits that servers name, by kind.',
    '{change}',
)
_LIMITED = gauge(
    'yuccagauge.ratelimit.limited_servers',
    'Servers that name a rate limit, as this router knows.',
    '{server}',
)


@enum.unique
class LimitEvent(enum.Enum):
    """A change of what a router knows of a server's limit."""

    BEGAN = 'began'
    CHANGED = 'changed'
    ENDED = 'ended'
    #: The server restarted, and has named nothing since.
    FORGOTTEN = 'forgotten'


def event_of(old: float | None, new: float | None) -> LimitEvent:
    """Return the kind of a change."""
    if new is None:
        return LimitEvent.ENDED
    return LimitEvent.BEGAN if old is None else LimitEvent.CHANGED


def log_limit(
    event: LimitEvent,
    server_id: str,
    old: float | None,
    new: float | None,
    *,
    source: str,
    age: Millis,
    subject: str,
) -> None:
    """Log and count a change.

    Parameters
    ----------
    old, new
        Calls, or rejections, a second; ``None`` without a limit.
    source
        ``answer``, ``restart``, or the router whose message tells the change.
    age
        Time since the answer that shows the change.
    subject
        What the server names, ``limit`` or ``brittle``.
    """
    name = f'server_{subject}_{event.value}'
    _CHANGES.add(1, {'kind': name})
    log_state_change(
        name,
        server=server_id,
        old_per_second=old,
        new_per_second=new,
        source=source,
        age_ms=age,
    )


def log_malformed_limit(subject: str, server_id: str, value: str) -> None:
    """Log a statement that is not a number in its bounds."""
    log_state_change(
        f'server_{subject}_malformed', server=server_id, value=value
    )


def record_limited_servers(subject: str, count: int) -> None:
    """Set the gauge of limited or brittle servers."""
    _LIMITED.set(count, {'kind': subject})
