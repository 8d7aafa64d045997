"""Correction for prompt tokens that are unexpectedly not cached."""

#: Requests over which the ratio is averaged.
BIAS_WINDOW_REQUESTS = 100

#: Upper limit of the correction factor.
MAXIMUM_CORRECTION = 20.0

_DECAY = 1 - 1 / BIAS_WINDOW_REQUESTS


class PrefillBias:
    """Tracks the ratio of computed tokens to expected tokens.

    In an overload, engines evict prefixes before they serve the requests that
    would use them. Engines then compute more than expected, and most so when
    the queues are longest.
    """

    __slots__ = ('_answers', '_computed', '_expected')

    def __init__(self) -> None:
        """Start with a ratio of 1."""
        self._answers = float(1)
        self._expected = float(BIAS_WINDOW_REQUESTS)
        self._computed = float(BIAS_WINDOW_REQUESTS)

    @property
    def correction(self) -> float:
        """Factor by which to multiply expected tokens, at least 1."""
        return min(max(1, self._computed / self._expected), MAXIMUM_CORRECTION)

    @property
    def mean_tokens(self) -> float:
        """Mean number of computed tokens over recent answers."""
        return self._computed / self._answers

    def record_answer(self, expected_tokens: int, computed_tokens: int) -> None:
        """Update the ratio from the usage of an answer."""
        self._answers = self._answers * _DECAY + 1
        self._expected = self._expected * _DECAY + max(1, expected_tokens)
        self._computed = self._computed * _DECAY + computed_tokens
