"""How far expected work falls short of what engines compute."""

#: Requests over which the bias is averaged.
BIAS_REQUESTS = 100

#: Bound on the factor by which expected work is raised.
LARGEST_FACTOR = 20.0

_KEPT = 1 - 1 / BIAS_REQUESTS


class WorkBias:
    """The ratio of computed tokens to those expected, at least 1.

    In an overload engines evict prefixes before the requests that count on
    them are served, so expectations fall short when queues are longest.
    """

    __slots__ = ('_answers', '_computed', '_expected')

    def __init__(self) -> None:
        """Start with expectations that are right."""
        self._answers = float(1)
        self._expected = float(BIAS_REQUESTS)
        self._computed = float(BIAS_REQUESTS)

    @property
    def factor(self) -> float:
        """The factor for expected work."""
        return min(max(1, self._computed / self._expected), LARGEST_FACTOR)

    @property
    def mean_tokens(self) -> float:
        """The mean of the computed tokens of recent answers."""
        return self._computed / self._answers

    def learn(self, expected_tokens: int, computed_tokens: int) -> None:
        """Take an answer."""
        self._answers = self._answers * _KEPT + 1
        self._expected = self._expected * _KEPT + max(1, expected_tokens)
        self._computed = self._computed * _KEPT + computed_tokens
