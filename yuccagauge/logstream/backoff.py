"""Delays between attempts, growing and spread by seeded jitter."""

import random

from yuccagauge.clock import Millis


class Backoff:
    """Exponential delays; each is drawn from the upper half of its step.

    Parameters
    ----------
    seed
        Seed of the jitter; routers use different ones, so that they do not
        retry at the same moments after an outage.
    initial, maximum
        The first and the largest step, in milliseconds.
    """

    def __init__(
        self,
        seed: int | str,
        *,
        initial: Millis = Millis(50),
        maximum: Millis = Millis(5000),
    ) -> None:
        """Start at the first step."""
        self._random = random.Random(seed)
        self._initial = initial
        self._maximum = maximum
        self._step = initial

    def next_delay(self) -> Millis:
        """Return the next delay, in milliseconds."""
        half = self._step // 2
        delay = Millis(half + self._random.randint(0, self._step - half))
        self._step = Millis(min(self._maximum, self._step * 2))
        return delay

    def reset(self) -> None:
        """Return to the first step after a success."""
        self._step = self._initial
