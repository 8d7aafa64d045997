"""What is counted for each objective."""

import enum
from dataclasses import dataclass

from yuccagauge.settings.document import ObjectiveSection


@enum.unique
class Indicator(enum.IntEnum):
    """What can miss its bound; the value is the place in the counts."""

    #: The request got no complete answer.
    AVAILABILITY = 1
    #: The first token came too late.
    FIRST_TOKEN = 2
    #: The tokens came too far apart.
    BETWEEN_TOKENS = 3
    #: Too many prompt tokens were recomputed.
    WASTE = 4


#: Counts of one bucket: requests, then misses of each indicator.
Counts = tuple[int, int, int, int, int]

#: Counts without any request.
NO_COUNTS: Counts = (0, 0, 0, 0, 0)


@dataclass(frozen=True, slots=True, kw_only=True, order=True)
class Series:
    """What is counted together."""

    service: str
    objective: str
    customer: str
    priority: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestSample:
    """The end of one request."""

    service: str
    customer: str
    priority: int
    #: Whether the caller got the complete answer.
    is_answered: bool
    #: Times in milliseconds; ``None`` if there was no such token.
    time_to_first_token: float | None = None
    time_between_tokens: float | None = None
    prompt_tokens: int = 0
    #: Prompt tokens that were recomputed although a live engine had them.
    wasted_tokens: int = 0


def judge(sample: RequestSample, objective: ObjectiveSection) -> Counts:
    """Return the counts of one request under an objective."""
    share = sample.wasted_tokens / max(1, sample.prompt_tokens)
    return (
        1,
        int(not sample.is_answered),
        _is_over(sample.time_to_first_token, objective.time_to_first_token_ms),
        _is_over(sample.time_between_tokens, objective.time_between_tokens_ms),
        int(share > objective.waste),
    )


def add_counts(one: Counts, other: Counts) -> Counts:
    """Return the sum."""
    return tuple(first + second for first, second in zip(one, other))


def highest_counts(one: Counts, other: Counts) -> Counts:
    """Return the higher value of each count."""
    return tuple(map(max, one, other))


def _is_over(measured: float | None, bound: float) -> int:
    return int(measured is not None and measured > bound)
