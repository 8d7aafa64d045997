"""Load reports that show the past."""

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet import task

from yuccagauge.clock import Clock, Millis

#: Time between two samples of the load.
_SAMPLE_SECONDS = 0.05
#: Five minutes of samples.
_MAXIMUM_SAMPLES = 6000


class LoadReports:
    """Sample the load of an engine and serve it with a lag."""

    def __init__(
        self, clock: Clock, load: Callable[[], dict[str, Any]]
    ) -> None:
        """Prepare without sampling."""
        self._clock = clock
        self._load = load
        self._samples: deque[dict[str, Any]] = deque(maxlen=_MAXIMUM_SAMPLES)
        self._sampling = task.LoopingCall(self._sample)

    def start(self) -> None:
        """Start sampling."""
        self._sampling.start(_SAMPLE_SECONDS)

    def close(self) -> None:
        """Stop sampling."""
        if self._sampling.running:
            self._sampling.stop()

    def report(self, lag: Millis) -> dict[str, Any]:
        """Return the newest sample of at least this age, or the oldest."""
        if not lag or not self._samples:
            return self._load()
        newest = self._clock.wall_time() - lag
        for sample in reversed(self._samples):
            if sample['measured_ms'] <= newest:
                return sample
        return self._samples[0]

    def _sample(self) -> None:
        self._samples.append(self._load())
