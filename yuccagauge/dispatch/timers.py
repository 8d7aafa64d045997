"""Named timers of one request."""

from collections.abc import Callable
from typing import Any

from yuccagauge.clock import in_seconds
from yuccagauge.dispatch.base import CallLater


class Timers:
    """At most one running timer for each name.

    Parameters
    ----------
    call_later
        The reactor's function.
    """

    def __init__(self, call_later: CallLater) -> None:
        """Start without timers."""
        self._call_later = call_later
        self._timers: dict[str, Any] = {}

    def start(
        self,
        name: str,
        delay: float,
        function: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Call a function after some ms, instead of an earlier plan."""
        self.stop(name)
        seconds = in_seconds(max(0, delay))
        self._timers[name] = self._call_later(seconds, function, *arguments)

    def start_limit(
        self,
        name: str,
        delay: float,
        function: Callable[..., None],
        *arguments: Any,
    ) -> None:
        """Call a function after some ms unless what arrives stops it.

        After a pause of the process, timers are due before the bytes that
        arrived meanwhile are read, so those are read first.
        """
        self.start(name, delay, self.start, name, 0, function, *arguments)

    def is_running(self, name: str) -> bool:
        """Return whether a timer has still to fire."""
        timer = self._timers.get(name)
        return timer is not None and bool(timer.active())

    def stop(self, name: str) -> None:
        """Forget a plan, if there is one."""
        timer = self._timers.pop(name, None)
        if timer is not None and timer.active():
            timer.cancel()

    def close(self) -> None:
        """Forget all plans."""
        for name in tuple(self._timers):
            self.stop(name)
