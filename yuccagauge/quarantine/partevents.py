"""Log lines and metrics of the parts that are blamed for crashes."""

from yuccagauge.clock import Millis
from yuccagauge.quarantine.evidence import PartCrash
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.telemetry.meter import counter, gauge

_CHANGES = counter(
    'yuccagauge.quarantine.part.changes',
    'Parts of prompts that were blamed for crashes, probed or released.',
    '{change}',
)

BLAMED_PARTS = gauge(
    'yuccagauge.quarantine.part.blamed',
    'Parts of prompts that are blamed for crashes now.',
    '{part}',
)


def log_blamed(
    part_id: str,
    crashes: tuple[PartCrash, ...],
    *,
    was_sound: bool,
    now: Millis,
) -> None:
    """Log and count that requests with a part are refused from now on.

    Parameters
    ----------
    crashes
        The crashes that count, in the order in which they were noticed.
    was_sound
        Whether an answer on the part is known.
    """
    _CHANGES.add(1, {'kind': 'blamed'})
    log_state_change(
        'part_blamed',
        part=part_id,
        crashes=[crash.crash for crash in crashes],
        crash_ages_ms=[now - crash.noticed_at for crash in crashes],
        was_sound=was_sound,
    )


def log_released(part_id: str, *, is_sound: bool) -> None:
    """Log and count that requests with a part are served again."""
    _CHANGES.add(1, {'kind': 'released'})
    log_state_change('part_released', part=part_id, is_sound=is_sound)


def log_probed(part_id: str, crash_age: int) -> None:
    """Log and count that a request tests a blamed part.

    Parameters
    ----------
    crash_age
        Time since the last crash, in ms.
    """
    _CHANGES.add(1, {'kind': 'probed'})
    log_state_change('part_probed', part=part_id, crash_age_ms=crash_age)
