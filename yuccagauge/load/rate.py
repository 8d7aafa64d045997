"""The speed of prefills, learned from answers."""

#: Prefill rate that is assumed at first, in tokens/ms: that of a model of
#: 70 B parameters on 8 accelerators. Too low a value refuses requests after
#: a restart; too high a value costs balance until the first answers.
DEFAULT_PREFILL_RATE = 20.0

#: Prompts with less to compute are dominated by fixed costs.
LEAST_TOKENS = 512

# An answer that waited in a queue shows too low a rate and too high a fixed
# time, never the reverse, so samples on the fast side count more.
_WEIGHT_FAST = 0.18
_WEIGHT_SLOW = 0.02


class PrefillSpeed:
    """Rate and fixed time of a prefill on an engine that is idle.

    Parameters
    ----------
    initial
        Rate that is assumed without samples, in tokens/ms.
    """

    __slots__ = ('_fixed', '_is_fixed_learned', '_is_rate_learned', '_rate')

    def __init__(self, initial: float) -> None:
        """Start with the assumption."""
        self._rate = initial
        self._fixed: float = 0
        self._is_rate_learned = False
        self._is_fixed_learned = False

    @property
    def tokens_per_ms(self) -> float:
        """The rate, in tokens/ms."""
        return self._rate

    @property
    def fixed_ms(self) -> float:
        """The time of a prefill that computes next to nothing, in ms."""
        return self._fixed

    def learn(self, computed_tokens: int, first_token_ms: float) -> None:
        """Take an answer.

        Parameters
        ----------
        computed_tokens
            Prompt tokens that the engine did not find in its cache.
        first_token_ms
            Time from the send to the first token, without network delay.
        """
        if computed_tokens < LEAST_TOKENS:
            self._learn_fixed(computed_tokens, first_token_ms)
        elif first_token_ms > self._fixed:
            self._learn_rate(computed_tokens / (first_token_ms - self._fixed))

    def _learn_fixed(self, tokens: int, first_token_ms: float) -> None:
        sample = max(0, first_token_ms - tokens / self._rate)
        if not self._is_fixed_learned:
            self._fixed = sample
            self._is_fixed_learned = True
            return
        is_fast = sample < self._fixed
        weight = _WEIGHT_FAST if is_fast else _WEIGHT_SLOW
        self._fixed += weight * (sample - self._fixed)

    def _learn_rate(self, sample: float) -> None:
        if not self._is_rate_learned:
            self._rate = max(sample, self._rate)
            self._is_rate_learned = True
            return
        is_fast = sample > self._rate
        weight = _WEIGHT_FAST if is_fast else _WEIGHT_SLOW
        self._rate += weight * (sample - self._rate)
