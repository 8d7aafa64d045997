"""Withdraws calls from engines at which they would begin too late."""

from typing import Protocol

from yuccagauge.clock import Millis
from yuccagauge.dispatch.timers import Timers
from yuccagauge.relay.attempt import AttemptTracker
from yuccagauge.relay.takeover import Takeover

#: Time between two looks at an attempt on the newest weights: others may be
#: named while it waits.
_NEWEST_CHECK_INTERVAL = Millis(1000)

#: Time in which what has arrived, or is sent again, is read after a pause.
_READ_DELAY = Millis(100)

_TIMER = 'beginning'
_REASON = 'newer weights were named too long before'


class BeginningOwner(Protocol):
    """The call, whose attempts are watched."""

    def withdraw(self, reason: str) -> None:
        """Leave the server of the latest attempt."""


class BeginningMonitor:
    """Ends attempts that have not begun while their weights may be used.

    Load pattern: engines turn slow or silent, or lose their way to this router,
    while new weights wait for a leader. Calls that were sent in time then wait
    in the queues of engines until nothing may begin on the weights there.

    Parameters
    ----------
    owner
        The call.
    takeover
        Keeps the attempt of a silent server, if there is one.
    timers
        Timers of the call.
    """

    def __init__(
        self, owner: BeginningOwner, takeover: Takeover, timers: Timers
    ) -> None:
        """Watch no attempt yet."""
        self._owner = owner
        self._takeover = takeover
        self._timers = timers
        self._attempts = 0

    def watch(self, attempt: AttemptTracker) -> None:
        """Watch an attempt beside earlier ones, until it begins or ends."""
        if attempt.placement.weights_version is not None:
            self._attempts += 1
            self._start(attempt, f'{_TIMER} {self._attempts}')

    def _start(self, attempt: AttemptTracker, timer: str) -> None:
        left = attempt.time_to_begin
        if left is None:
            left = _NEWEST_CHECK_INTERVAL
        self._timers.start(timer, left, self._check, attempt, timer)

    def _check(self, attempt: AttemptTracker, timer: str) -> None:
        if attempt.has_begun or attempt.has_ended:
            return
        left = attempt.time_to_begin
        if left is None or left > 0:
            self._start(attempt, timer)
        else:
            # After a pause of the process, its answer may still be unread.
            self._timers.start(timer, _READ_DELAY, self._end, attempt)

    def _end(self, attempt: AttemptTracker) -> None:
        if attempt.has_begun or attempt.has_ended:
            return
        if self._takeover.keeps(attempt):
            self._takeover.withdraw(_REASON)
        else:
            self._owner.withdraw(_REASON)
