"""Tasks that run in the background until they are closed."""

from collections.abc import Callable, Iterable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.telemetry.meter import counter

_FAILED_DUTIES = counter(
    'yuccagauge.duties.failed',
    'Calls of periodic duties that raised an error, by duty.',
    '{call}',
)


def run_each(duty: str, steps: Iterable[Callable[[], Any]]) -> None:
    """Call the independent steps of a duty, whichever of them fail.

    A step that fails again and again would otherwise end those behind it for
    good.
    """
    for step in steps:
        try:
            step()
        except Exception as error:  # noqa: BLE001
            _record_failure(duty, error)


def _record_failure(duty: str, error: BaseException) -> None:
    _FAILED_DUTIES.add(1, {'duty': duty})
    log_state_change(
        'duty_failed',
        duty=duty,
        kind=type(error).__name__,
        reason=str(error),
    )


class PeriodicTask:
    """Calls a function at a fixed interval, and logs its errors.

    A plain ``LoopingCall`` stops at the first error of its function. The
    router would then keep running without that task.

    Parameters
    ----------
    name
        Name of the task in the log.
    function
        Is called at each interval. If it returns a Deferred, the next call
        waits until the Deferred fires.
    reactor
        Schedules the calls.
    """

    def __init__(
        self,
        name: str,
        function: Callable[[], Any],
        reactor: Any,
    ) -> None:
        """Create a stopped task."""
        self._name = name
        self._function = function
        self._loop = LoopingCall(self._call_function)
        self._loop.clock = reactor

    @property
    def is_running(self) -> bool:
        """Whether the task is started."""
        return self._loop.running

    def start(self, period_s: float, *, now: bool = True) -> None:
        """Start calling the function; ``now`` makes the first call at once."""
        self._loop.start(period_s, now=now)

    def close(self) -> None:
        """Stop calling the function."""
        if self._loop.running:
            self._loop.stop()

    def _call_function(self) -> Deferred[Any]:
        return maybeDeferred(self._function).addErrback(self._log_failure)

    def _log_failure(self, failure: Failure) -> None:
        _record_failure(self._name, failure.value)


class BackgroundTask:
    """Runs an asynchronous function until it ends or the task is closed.

    Parameters
    ----------
    function
        Returns a Deferred; closing the task cancels it.
    """

    def __init__(self, function: Callable[[], Deferred[Any]]) -> None:
        """Create a stopped task."""
        self._function = function
        self._running: Deferred[Any] | None = None

    def start(self) -> None:
        """Call the function."""
        self._running = self._function()
        self._running.addErrback(lambda failure: failure.trap(CancelledError))

    def close(self) -> None:
        """Cancel the Deferred of the function."""
        if self._running is not None:
            self._running.cancel()
