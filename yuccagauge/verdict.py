"""Whether a request was executed, as reported to the caller."""

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
        """Return the verdict of this attempt and a later one together.

        If one attempt may have run, the refusal of a later one does not make
        the whole request not-run.
        """
        if Verdict.ANSWERED in {self, later}:
            return Verdict.ANSWERED
        if Verdict.MAY_HAVE_RUN in {self, later}:
            return Verdict.MAY_HAVE_RUN
        return Verdict.NOT_RUN


@dataclass(frozen=True, slots=True, kw_only=True)
class Refusal:
    """The error response to a request that got no complete answer."""

    #: HTTP status of the response.
    status: int
    #: Stable, machine-readable reason such as ``rate_limited``.
    code: str
    #: Human-readable reason in one sentence.
    message: str
    #: Whether the request may have run.
    verdict: Verdict
    #: Delay before a retry, in milliseconds; ``None`` if none can succeed.
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
        Delay before a retry; ``None`` if no retry can succeed.
    """
    return Refusal(
        status=status,
        code=code,
        message=message,
        verdict=Verdict.NOT_RUN,
        retry_after=retry_after,
    )


class RefusedError(YuccagaugeError):
    """Raised where a request is refused; the refusal is sent to the caller."""

    def __init__(self, refusal: Refusal) -> None:
        """Use the message of the refusal as the message of the error."""
        super().__init__(refusal.message)
        self._refusal = refusal

    @property
    def refusal(self) -> Refusal:
        """The error response to send to the caller."""
        return self._refusal
