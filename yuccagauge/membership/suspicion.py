"""Timeout of one suspicion, which independent reports shorten."""

import math

from yuccagauge.clock import Millis


class Suspicion:
    """A member that is suspected at one incarnation.

    Parameters
    ----------
    now
        When the suspicion began, in milliseconds.
    reporter
        The router that raised it.
    shortest, longest
        Bounds of the timeout, in milliseconds.
    needed
        Number of further reports that bring the timeout to the shortest.
    """

    __slots__ = ('_longest', '_needed', '_reporters', '_shortest', '_start')

    def __init__(
        self,
        now: Millis,
        reporter: str,
        shortest: Millis,
        longest: Millis,
        needed: int,
    ) -> None:
        """Start with one report."""
        self._start = now
        self._shortest = shortest
        self._longest = longest
        self._needed = needed
        self._reporters = {reporter}

    @property
    def deadline(self) -> Millis:
        """When the member is declared dead, in milliseconds."""
        if self._needed < 1:
            return Millis(self._start + self._shortest)
        reports = len(self._reporters) - 1
        progress = math.log(reports + 1) / math.log(self._needed + 1)
        spread = self._longest - self._shortest
        timeout = max(self._shortest, round(self._longest - spread * progress))
        return Millis(self._start + timeout)

    def confirm(self, reporter: str) -> bool:
        """Count a report and return whether it has to be passed on."""
        is_new = reporter not in self._reporters
        if not is_new or len(self._reporters) > self._needed:
            return False
        self._reporters.add(reporter)
        return True

    def postpone(self, duration: Millis) -> None:
        """Move the deadline after a pause of this process."""
        self._start = Millis(self._start + duration)
