"""The virtual clock: a heap of events."""

import heapq
import itertools
from collections.abc import Callable

from yuccagauge.clock import Millis


class EventLoop:
    """Runs actions in order of time, and of scheduling at equal times."""

    def __init__(self) -> None:
        """Start at time zero."""
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._time: float = 0

    @property
    def time(self) -> float:
        """The time of the current action, in ms."""
        return self._time

    @property
    def now(self) -> Millis:
        """The time in whole milliseconds, as decision code sees it."""
        return Millis(int(self._time))

    def after(self, delay: float, action: Callable[[], None]) -> None:
        """Run an action ``delay`` ms from now."""
        self.at(self._time + delay, action)

    def at(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a time that is not in the past."""
        heapq.heappush(self._heap, (time, next(self._order), action))

    def run(self, until: float) -> None:
        """Run all actions up to a time."""
        while self._heap and self._heap[0][0] <= until:
            self._time, _, action = heapq.heappop(self._heap)
            action()
