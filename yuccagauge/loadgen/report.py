"""Figures over the outcomes of a load."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from hdrh.histogram import HdrHistogram

from yuccagauge.loadgen.outcomes import CallOutcome, ChatOutcome

#: Times are kept in microseconds, up to ten minutes.
_HIGHEST_US = 600_000_000
_MICROSECONDS_PER_MILLISECOND = 1000
_SIGNIFICANT_DIGITS = 3


@dataclass(frozen=True, slots=True, kw_only=True)
class Latency:
    """Quantiles of one kind of time, in milliseconds."""

    p50: float
    p95: float
    p99: float


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadReport:
    """The figures of one user."""

    requests: int
    answered: int
    prompt_tokens: int
    cached_tokens: int
    first_token: Latency
    between_tokens: Latency
    #: How the other requests ended: status, code and verdict, with counts.
    refusals: dict[str, int]

    @property
    def hit_rate(self) -> float:
        """Cached tokens as a share of prompt tokens, from usage."""
        return self.cached_tokens / max(self.prompt_tokens, 1)


def latency(times_ms: Iterable[float]) -> Latency:
    """Return the quantiles of some times in milliseconds."""
    histogram = HdrHistogram(1, _HIGHEST_US, _SIGNIFICANT_DIGITS)
    for time_ms in times_ms:
        histogram.record_value(int(time_ms * _MICROSECONDS_PER_MILLISECOND))
    p50, p95, p99 = (
        histogram.get_value_at_percentile(share) / _MICROSECONDS_PER_MILLISECOND
        for share in (50, 95, 99)
    )
    return Latency(p50=p50, p95=p95, p99=p99)


def report_load(
    chats: list[ChatOutcome],
    calls: list[CallOutcome],
) -> LoadReport:
    """Sum up the outcomes."""
    answered = [one for one in chats if one.is_answered]
    usages = [one.answer.usage for one in answered if one.answer.usage]
    refused = [one for one in (*chats, *calls) if not one.is_answered]
    acknowledged = sum(1 for one in calls if one.is_answered)
    return LoadReport(
        requests=len(chats) + len(calls),
        answered=len(answered) + acknowledged,
        prompt_tokens=sum(one['prompt_tokens'] for one in usages),
        cached_tokens=sum(
            one['prompt_tokens_details']['cached_tokens'] for one in usages
        ),
        first_token=latency(
            one.first_token_ms
            for one in answered
            if one.first_token_ms is not None
        ),
        between_tokens=latency(
            time_ms for one in answered for time_ms in one.between_ms
        ),
        refusals=dict(Counter(_ending(one) for one in refused)),
    )


def _ending(one: ChatOutcome | CallOutcome) -> str:
    parts = (str(one.status), one.code, one.verdict, one.failure)
    return ' '.join(part for part in parts if part)
