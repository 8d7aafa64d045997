"""The speed of prefills, learned from answers."""

#: Prefill rate that is assumed at first, in tokens/ms: that of a model of
#: 70 B parameters on 8 accelerators. Too low a value refuses requests after
#: a restart; too high a value costs balance until the first answers.
DEFAULT_PREFILL_RATE = 20.0

#: Prompts with less to compute are dominated by fixed costs.
LEAST_TOKENS = 512

#: Bound on the fixed time, which queues would otherwise drive up, in ms.
LONGEST_FIXED_MS = 50.0

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

    __slots__ = ('_fixed', '_rate')

    def __init__(self, initial: float) -> None:
        """Start with the assumption."""
        self._rate = initial
        self._fixed: float = 0

    @property
    def tokens_per_ms(self) -> float:
        """The rate, in tokens/ms."""
        return self._rate

    @property
    def fixed_ms(self) -> float:
        """The time of a prefill that computes next to nothing, in ms."""
        return self._fixed

    def learn(
        self,
        computed_tokens: int,
        first_token_ms: float,
        *,
        has_waited: bool = False,
    ) -> None:
        """Take an answer.

        Parameters
        ----------
        computed_tokens
            Prompt tokens that the engine did not find in its cache.
        first_token_ms
            Time from the send to the first token, without network delay.
        has_waited
            Whether the request was expected to wait. Such an answer can only
            show that the engine is faster than was assumed; otherwise an
            overload would look like slow engines and refuse what it need not.
        """
        if first_token_ms <= 0:
            return
        if computed_tokens < LEAST_TOKENS:
            sample = max(0, first_token_ms - computed_tokens / self._rate)
            sample = min(sample, LONGEST_FIXED_MS)
            is_fast = sample < self._fixed
            if is_fast or not has_waited:
                self._fixed = _approach(self._fixed, sample, is_fast=is_fast)
            return
        # At least half of the time is taken to depend on the tokens, so that
        # a wrong fixed time cannot make the rate absurd.
        time = max(first_token_ms - self._fixed, first_token_ms / 2)
        sample = computed_tokens / time
        is_fast = sample > self._rate
        if is_fast or not has_waited:
            self._rate = _approach(self._rate, sample, is_fast=is_fast)


def _approach(known: float, sample: float, *, is_fast: bool) -> float:
    weight = _WEIGHT_FAST if is_fast else _WEIGHT_SLOW
    return known + weight * (sample - known)
