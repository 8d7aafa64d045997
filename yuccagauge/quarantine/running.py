"""The requests that run on each engine."""

from collections import Counter
from collections.abc import Callable

from yuccagauge.settings.options import Endpoint


class RunningRequests:
    """Counts the runs of each request on each engine."""

    def __init__(self) -> None:
        """Start without runs."""
        self._runs: dict[Endpoint, Counter[bytes]] = {}

    def add(self, fingerprint: bytes, engine: Endpoint) -> None:
        """Add a run."""
        self._runs.setdefault(engine, Counter())[fingerprint] += 1

    def remove(self, fingerprint: bytes, engine: Endpoint) -> None:
        """Remove a run; has no effect if there is none."""
        # Subtraction drops the counts that are no longer positive.
        left = self._runs.get(engine, Counter()) - Counter((fingerprint,))
        if left:
            self._runs[engine] = left
        else:
            self._runs.pop(engine, None)

    def engines_of(
        self, is_meant: Callable[[bytes], bool]
    ) -> frozenset[Endpoint]:
        """Return the engines that run a request for which this is true."""
        return frozenset(
            engine
            for engine, runs in self._runs.items()
            if any(map(is_meant, runs))
        )
