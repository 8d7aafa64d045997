"""Duties of a router that go on until they are closed."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred, maybeDeferred
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from yuccagauge.telemetry.journal import log_state_change


class PeriodicTask:
    """Calls a function again and again, whatever it raises.

    A ``LoopingCall`` ends with the first error of its function, and a router
    would then go on without one of its duties.

    Parameters
    ----------
    name
        What it does, for the log.
    function
        Returns a value or a Deferred, which is waited for.
    reactor
        Keeps time.
    """

    def __init__(
        self,
        name: str,
        function: Callable[[], Any],
        reactor: Any,
    ) -> None:
        """Prepare without calling."""
        self._name = name
        self._function = function
        self._loop = LoopingCall(self._call)
        self._loop.clock = reactor

    @property
    def is_running(self) -> bool:
        """Whether the function is called."""
        return self._loop.running

    def start(self, period_s: float, *, now: bool = True) -> None:
        """Begin to call the function."""
        self._loop.start(period_s, now=now)

    def close(self) -> None:
        """Stop calling the function."""
        if self._loop.running:
            self._loop.stop()

    def _call(self) -> Deferred[Any]:
        return maybeDeferred(self._function).addErrback(self._note)

    def _note(self, failure: Failure) -> None:
        log_state_change(
            'duty_failed',
            duty=self._name,
            kind=failure.type.__name__,
            reason=failure.getErrorMessage(),
        )


class BackgroundTask:
    """Runs a function until it ends or is closed.

    Parameters
    ----------
    function
        Returns a Deferred that can be cancelled.
    """

    def __init__(self, function: Callable[[], Deferred[Any]]) -> None:
        """Prepare without calling."""
        self._function = function
        self._running: Deferred[Any] | None = None

    def start(self) -> None:
        """Call the function."""
        self._running = self._function()
        self._running.addErrback(lambda failure: failure.trap(CancelledError))

    def close(self) -> None:
        """Cancel what the function waits for."""
        if self._running is not None:
            self._running.cancel()
