"""What one model call tells the service-level objectives."""

from yuccagauge.burn.base import RequestSample
from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import Call
from yuccagauge.placement.base import Decision
from yuccagauge.verdict import Verdict


class SampleBuilder:
    """Collects times and tokens of a call until it ends.

    Parameters
    ----------
    call
        The call.
    """

    def __init__(self, call: Call) -> None:
        """Start without a token."""
        self._call = call
        self._first_at: Millis | None = None
        self._ended_at: Millis | None = None
        self._expected = 0
        self._prompt = 0
        self._cached = 0
        self._completion = 0

    def placed(self, decision: Decision) -> None:
        """Note what the engine with the longest prefix should hold."""
        for candidate in decision.candidates:
            self._expected = max(self._expected, candidate.expected_tokens)

    def begun(self, now: Millis) -> None:
        """Note the time of the first token."""
        if self._first_at is None:
            self._first_at = now

    def finished(self, now: Millis) -> None:
        """Note the time of the last token."""
        self._ended_at = now

    def used(self, prompt: int, cached: int, completion: int) -> None:
        """Note the tokens that an engine reports."""
        self._prompt = prompt
        self._cached = cached
        self._completion = completion

    def build(self, verdict: Verdict) -> RequestSample:
        """Return the sample of the ended call.

        Waste is what some engine was expected to hold, by the router's
        estimate, and the engine that ran the call had to compute.
        """
        return RequestSample(
            service=self._call.service,
            customer=self._call.customer,
            priority=self._call.priority,
            is_answered=verdict is Verdict.ANSWERED,
            time_to_first_token=self._time_to_first_token(),
            time_between_tokens=self._time_between_tokens(),
            prompt_tokens=self._prompt,
            wasted_tokens=max(
                0,
                min(self._expected, self._prompt) - self._cached,
            ),
        )

    def _time_to_first_token(self) -> float | None:
        if self._first_at is None:
            return None
        return self._first_at - self._call.received_at

    def _time_between_tokens(self) -> float | None:
        is_measured = self._first_at is not None and self._ended_at is not None
        if not is_measured or self._completion < 2:
            return None
        return (self._ended_at - self._first_at) / (self._completion - 1)
