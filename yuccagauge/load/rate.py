"""Estimate of the prefill speed from the answers of the engines."""

#: Initial prefill rate in tokens/ms, that of a model with 70 B parameters on 8
#: accelerators. If it is too low, routers refuse requests after a restart; if
#: it is too high, they spread load unevenly until the first answers.
DEFAULT_PREFILL_RATE = 20.0

#: Computed tokens from which an answer is a sample of the rate. Below this
#: the fixed time dominates, and the answer is a sample of the fixed time.
MINIMUM_RATE_SAMPLE_TOKENS = 512

#: Upper limit of the fixed time, in ms. Time spent in queues would otherwise
#: raise the estimate.
MAXIMUM_FIXED_MS = 50.0

# A wait in a queue makes the rate look lower and the fixed time longer, never
# the reverse, so samples that are faster than the estimate count more.
_FAST_SAMPLE_WEIGHT = 0.18
_SLOW_SAMPLE_WEIGHT = 0.02


class PrefillSpeed:
    """Estimates the rate and the fixed time of a prefill on an idle engine.

    Parameters
    ----------
    initial_rate
        Rate before the first sample, in tokens/ms.
    """

    __slots__ = ('_fixed', '_rate')

    def __init__(self, initial_rate: float) -> None:
        """Start with the initial rate and no fixed time."""
        self._rate = initial_rate
        self._fixed: float = 0

    @property
    def tokens_per_ms(self) -> float:
        """The prefill rate, in tokens/ms."""
        return self._rate

    @property
    def fixed_ms(self) -> float:
        """The part of the prefill time that is independent of tokens, in ms."""
        return self._fixed

    def record_answer(
        self,
        computed_tokens: int,
        first_token_ms: float,
        *,
        is_wait_expected: bool = False,
    ) -> None:
        """Update the estimate from the time to the first token.

        Parameters
        ----------
        computed_tokens
            Prompt tokens that the engine computed, since it had not cached
            them.
        first_token_ms
            Time from the send to the first token, without network delay.
        is_wait_expected
            Whether the request was expected to wait in a queue. Such an
            answer can only raise the estimated speed. Otherwise engines would
            look slow in an overload, and the router would refuse requests
            that it could serve.
        """
        if first_token_ms <= 0:
            return
        if computed_tokens < MINIMUM_RATE_SAMPLE_TOKENS:
            sample = max(0, first_token_ms - computed_tokens / self._rate)
            sample = min(sample, MAXIMUM_FIXED_MS)
            is_fast = sample < self._fixed
            if is_fast or not is_wait_expected:
                self._fixed = _update_expectile(
                    self._fixed, sample, is_fast=is_fast
                )
            return
        # At least half of the time counts as dependent on the tokens, so that
        # a wrong fixed time cannot lead to an implausible rate.
        time = max(first_token_ms - self._fixed, first_token_ms / 2)
        sample = computed_tokens / time
        is_fast = sample > self._rate
        if is_fast or not is_wait_expected:
            self._rate = _update_expectile(self._rate, sample, is_fast=is_fast)


def _update_expectile(known: float, sample: float, *, is_fast: bool) -> float:
    """Move an estimate towards a sample, further if the sample is fast."""
    weight = _FAST_SAMPLE_WEIGHT if is_fast else _SLOW_SAMPLE_WEIGHT
    return known + weight * (sample - known)
