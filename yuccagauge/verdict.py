"""What a caller may conclude about the execution of its request."""

import enum
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.errors import YuccagaugeError

#: The response header that carries the verdict.
VERDICT_HEADER = 'Yuccagauge-Verdict'


@enum.unique
class Verdict(enum.Enum):
    """Whether a request may have run on a backend server."""

    NOT_RUN = 'not-run'
    MAY_HAVE_RUN = 'may-have-run'
    ANSWERED = 'answered'

    def combine(self, later: 'Verdict') -> 'Verdict':
        """Return the verdict over this attempt and a later one.

        Once an attempt may have run, no later refusal can take that back.
        """
        if Verdict.ANSWERED in {self, later}:
            return Verdict.ANSWERED
        if Verdict.MAY_HAVE_RUN in {self, later}:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The final answer to a request that got no complete answer."""

    #: The HTTP status towards the caller.
    status: int
    #: A stable, machine-readable reason such as ``rate_limited``.
    code: str
    #: One sentence for a person.
    message: str
    #: Whether the request may have run.
    verdict: Verdict
    #: When to come back, in milliseconds; ``None`` if a retry cannot help.
    retry_after: Millis | None = None


def not_run_refusal(
    status: int,
    code: str,
    message: str,
    retry_after: Millis | None = None,
) -> Refusal:
    """Return the refusal of a request that no backend server has run.

    Parameters
    ----------
    retry_after
        When to come back; ``None`` if a retry cannot help.
    """
    return Refusal(
        status=status,
        code=code,
        message=message,
        verdict=Verdict.NOT_RUN,
        retry_after=retry_after,
    )


class RefusedError(YuccagaugeError):
    """Carries a refusal up to the place that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        """Keep the refusal beside its message."""
        super().__init__(refusal.message)
        self._refusal = refusal

    @property
    def refusal(self) -> Refusal:
        """The answer to send."""
        return self._refusal
