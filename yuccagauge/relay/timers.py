"""The timers of one call, which end with it."""

from collections.abc import Callable
from typing import Any

from yuccagauge.clock import Millis

_MILLISECONDS_PER_SECOND = 1000


class CallTimers:
    """Starts timers, and cancels those that are left.

    Parameters
    ----------
    call_later
        Calls a function after a time in seconds.
    """

    def __init__(self, call_later: Callable[..., Any]) -> None:
        """Start without timers."""
        self._call_later = call_later
        self._timers: list[Any] = []

    def start(self, delay: Millis, call: Any, *arguments: Any) -> None:
        """Call a function later, unless the timers are cancelled before."""
        seconds = delay / _MILLISECONDS_PER_SECOND
        timer = self._call_later(seconds, call, *arguments)
        self._timers = [each for each in self._timers if each.active()]
        self._timers.append(timer)

    def cancel(self) -> None:
        """Cancel the timers that have not ended."""
        for timer in self._timers:
            if timer.active():
                timer.cancel()
        self._timers.clear()
