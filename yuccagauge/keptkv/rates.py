"""Whether an import is expected to be faster than recomputing."""

from yuccagauge.clock import Millis

#: An import has to save at least this much, in milliseconds, because its
#: time varies more than that of a computation.
SMALLEST_SAVING_MS = 20

_SMOOTHING = 0.2


class ImportRate:
    """A smoothed estimate of import speed, in tokens per millisecond.

    Parameters
    ----------
    initial
        Tokens per millisecond before the first import.
    """

    def __init__(self, initial: float = 100) -> None:
        """Start from the assumed rate."""
        self._rate = initial

    @property
    def tokens_per_ms(self) -> float:
        """The present estimate."""
        return self._rate

    def observed(self, tokens: int, duration: Millis) -> None:
        """Learn from one finished import."""
        measured = tokens / max(1, duration)
        self._rate += _SMOOTHING * (measured - self._rate)

    def saving_ms(
        self,
        kept_tokens: int,
        expected_tokens: int,
        prefill_rate: float,
    ) -> float:
        """Return how much sooner an import is than recomputing.

        Parameters
        ----------
        kept_tokens
            Length of the kept level.
        expected_tokens
            What the engine is expected to hold without an import.
        prefill_rate
            Speed of computing, in tokens per millisecond.

        Returns
        -------
        float
            Milliseconds; zero or less if recomputing is as fast.
        """
        missing = max(0, kept_tokens - expected_tokens)
        recompute = missing / prefill_rate
        return recompute - kept_tokens / self._rate

    def is_worth_importing(
        self,
        kept_tokens: int,
        expected_tokens: int,
        prefill_rate: float,
    ) -> bool:
        """Say whether the saving exceeds the margin."""
        saving = self.saving_ms(kept_tokens, expected_tokens, prefill_rate)
        return saving > SMALLEST_SAVING_MS
