"""A virtual reactor for many thousands of scheduled calls."""

import heapq
import itertools
from collections.abc import Callable
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock as TaskClock


class VirtualReactor(TaskClock):
    """Twisted's test clock with a heap.

    The original sorts all scheduled calls for each new one. The connections of
    a hundred routers have thousands.
    """

    def __init__(self) -> None:
        """Start at time 0 without calls."""
        super().__init__()
        self._heap: list[tuple[float, int, DelayedCall]] = []
        #: Calls of the same time run in the order in which they were scheduled.
        self._numbers = itertools.count()

    def callLater(
        self, delay: float, action: Callable[..., Any], *args: Any, **named: Any
    ) -> DelayedCall:
        """Schedule a call."""
        call = DelayedCall(
            self.seconds() + delay,
            action,
            args,
            named,
            lambda _: None,
            self._push,
            self.seconds,
        )
        self._push(call)
        return call

    def getDelayedCalls(self) -> list[DelayedCall]:
        """Return the calls that are scheduled."""
        return list({call: None for _, _, call in self._heap if call.active()})

    def advance(self, amount: float) -> None:
        """Pass time, and run the calls that are due."""
        self.rightNow += amount
        while self._heap and self._heap[0][0] <= self.seconds():
            due_at, _, call = heapq.heappop(self._heap)
            if not call.active():
                continue
            if call.getTime() > due_at:
                # It was delayed after it had been scheduled.
                self._push(call)
                continue
            call.called = 1
            call.func(*call.args, **call.kw)

    def _push(self, call: DelayedCall) -> None:
        heapq.heappush(self._heap, (call.getTime(), next(self._numbers), call))
