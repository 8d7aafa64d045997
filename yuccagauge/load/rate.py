"""The prefill rate, learned from answers."""

#: Prefill rate that is assumed at first, in tokens/ms.
DEFAULT_PREFILL_RATE = 10.0

#: Prompts with less to compute are dominated by fixed costs.
LEAST_TOKENS = 512

# An answer that waited in a queue shows too low a rate, never too high a
# one, so samples above the estimate count more (an expectile of 0.9).
_WEIGHT_ABOVE = 0.18
_WEIGHT_BELOW = 0.02


class PrefillRate:
    """A high expectile of the rates that answers show.

    Parameters
    ----------
    initial
        Rate that is assumed without samples, in tokens/ms.
    """

    __slots__ = ('_is_learned', '_rate')

    def __init__(self, initial: float) -> None:
        """Start with the assumption."""
        self._rate = initial
        self._is_learned = False

    @property
    def tokens_per_ms(self) -> float:
        """The estimate, in tokens/ms."""
        return self._rate

    def learn(self, computed_tokens: int, first_token_ms: float) -> None:
        """Take an answer.

        Parameters
        ----------
        computed_tokens
            Prompt tokens that the engine did not find in its cache.
        first_token_ms
            Time from the send to the first token, without network delay.
        """
        if computed_tokens < LEAST_TOKENS or first_token_ms <= 0:
            return
        sample = computed_tokens / first_token_ms
        if not self._is_learned:
            self._rate = sample
            self._is_learned = True
            return
        above = sample > self._rate
        weight = _WEIGHT_ABOVE if above else _WEIGHT_BELOW
        self._rate += weight * (sample - self._rate)
