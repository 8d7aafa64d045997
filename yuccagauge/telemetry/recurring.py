"""Log lines about a fault that lasts, at a bounded rate."""

from typing import Any

from yuccagauge.clock import Clock, Millis
from yuccagauge.telemetry.journal import log_state_change

#: Subjects whose last line is remembered; all are forgotten beyond it.
_MAXIMUM_SUBJECTS = 1000


class RecurringLog:
    """Writes one line for each subject in an interval.

    Parameters
    ----------
    clock
        The source of time.
    interval
        Time between two lines about a subject, in ms.
    """

    def __init__(self, clock: Clock, interval: Millis) -> None:
        """Start without a line."""
        self._clock = clock
        self._interval = interval
        #: Time of the last line, and the lines left out since then.
        self._subjects: dict[str, tuple[Millis, int]] = {}

    def write(self, event: str, subject: str, **fields: Any) -> None:
        """Write a line, or count it for the next one.

        Parameters
        ----------
        event, fields
            As for ``log_state_change``.
        subject
            What the line is about.
        """
        now = self._clock.now()
        written_at, left_out = self._subjects.get(subject, (None, 0))
        if written_at is not None and now - written_at < self._interval:
            self._subjects[subject] = (written_at, left_out + 1)
            return
        if len(self._subjects) >= _MAXIMUM_SUBJECTS:
            self._subjects.clear()
        self._subjects[subject] = (now, 0)
        log_state_change(event, subject=subject, repeated=left_out, **fields)
