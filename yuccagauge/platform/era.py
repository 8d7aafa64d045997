"""The era of the store, which rises when it comes back from a copy."""

import re
from collections.abc import Callable

from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.platform import names
from yuccagauge.telemetry.journal import log_state_change

#: Shortest time between two log lines on answers without a usable era.
_LOG_PERIOD_S = 60.0

_WHOLE_NUMBER = re.compile('[0-9]{1,15}')


class EraTracker:
    """Reads the era of each answer, and never goes back.

    Parameters
    ----------
    seconds
        Returns a time that does not step, in s.
    """

    def __init__(self, seconds: Callable[[], float]) -> None:
        """Know no era."""
        self._seconds = seconds
        self._newest = UNKNOWN_ERA
        self._logged_at: float | None = None
        self._unusable = 0

    @property
    def newest(self) -> int:
        """The highest era that an answer has named."""
        return self._newest

    def observe(self, head: ResponseHead) -> bool:
        """Take the era of an answer; return whether it is the newest one.

        An answer that names none counts as one of the newest era.
        """
        value = head.get(names.STORE_ERA.lower())
        era = int(value) if _WHOLE_NUMBER.fullmatch(value) else None
        if era is None:
            self._log_unusable('malformed' if value else 'missing', value)
            return True
        if era < self._newest:
            self._log_unusable('fallen', value)
            return False
        self._newest = era
        return True

    def _log_unusable(self, reason: str, value: str) -> None:
        self._unusable += 1
        now = self._seconds()
        if self._logged_at is None or now - self._logged_at >= _LOG_PERIOD_S:
            log_state_change(
                'store_era_unusable',
                reason=reason,
                value=value[:20],
                known=self._newest,
                count=self._unusable,
            )
            self._logged_at = now
            self._unusable = 0
