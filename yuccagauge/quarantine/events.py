"""Log lines and the counter of changes of the quarantine."""

import enum

from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.telemetry.meter import counter

#: Characters of a fingerprint in a log line.
FINGERPRINT_CHARACTERS = 12

_CRASHES = counter(
    'yuccagauge.quarantine.changes',
    'Changes of the crash counts of requests, by kind.',
    '{change}',
)


@enum.unique
class QuarantineEvent(enum.Enum):
    """A change of what a router believes about the crashes of a request."""

    #: A connection broke while an engine ran the request.
    SUSPECTED = 'crash_suspected'
    #: The engine has restarted since.
    CONFIRMED = 'crash_confirmed'
    #: The engine has not restarted since.
    DISMISSED = 'crash_dismissed'
    #: The request was answered, so its crashes no longer count.
    CLEARED = 'crashes_cleared'
    #: A peer knew other crashes.
    MERGED = 'crashes_merged'


def short_fingerprint(fingerprint: bytes) -> str:
    """Return the form of a fingerprint in log lines."""
    return fingerprint.hex()[:FINGERPRINT_CHARACTERS]


def log_quarantine(
    event: QuarantineEvent, fingerprint: bytes, crashes: int, **fields: object
) -> None:
    """Log and count a change.

    Parameters
    ----------
    crashes
        Crashes that count after the change.
    fields
        The inputs of the change, with their age.
    """
    _CRASHES.add(1, {'kind': event.value})
    log_state_change(
        event.value,
        fingerprint=short_fingerprint(fingerprint),
        crashes=crashes,
        **fields,
    )
