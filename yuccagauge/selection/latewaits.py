"""How long late calls have waited lately. Pure state."""

from yuccagauge.clock import Millis

#: Weight of one wait in the mean.
WAIT_WEIGHT = 0.25

#: Half-life of the mean while no wait ends, in ms, so that a call tries
#: again soon after an overload.
WAIT_HALF_LIFE = 1200.0

#: A wait that ended in a refusal counts this much longer than it was.
REFUSED_FACTOR = 1.5


class LateQueue:
    """Expects the wait of a late call from those before it.

    Load pattern: under lasting overload, calls wait until their callers
    would give up, and are refused then. A call that can expect this is
    refused when it arrives, while its caller has time to come back.
    """

    def __init__(self) -> None:
        """Expect no wait."""
        self._mean = float(0)
        self._noted_at = Millis(0)

    def expected_wait(self, now: Millis) -> float:
        """Return the expected wait of a call that arrives now, in ms."""
        age = max(0, now - self._noted_at)
        return self._mean * 0.5 ** (age / WAIT_HALF_LIFE)

    def note(self, waited: Millis, now: Millis, *, refused: bool) -> None:
        """Count a wait that ended with a send or a refusal."""
        mean = self.expected_wait(now)
        sample = waited * REFUSED_FACTOR if refused else waited
        self._mean = mean + WAIT_WEIGHT * (sample - mean)
        self._noted_at = now
