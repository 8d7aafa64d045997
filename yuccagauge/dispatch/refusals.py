"""The final answers to calls that got no complete answer."""

from yuccagauge.clock import Millis
from yuccagauge.verdict import Refusal, Verdict

#: When to come back after a fault that a retry elsewhere may avoid, in ms.
RETRY_SOON = Millis(1000)

_STATUS_BY_VERDICT = {Verdict.NOT_RUN: 503, Verdict.MAY_HAVE_RUN: 502}


def given_up(code: str, message: str, verdict: Verdict) -> Refusal:
    """Return the answer to a call that no further attempt is made for."""
    return Refusal(
        status=_STATUS_BY_VERDICT[verdict],
        code=code,
        message=message,
        verdict=verdict,
        retry_after=RETRY_SOON,
    )


def deadline_passed(verdict: Verdict) -> Refusal:
    """Return the answer to a call whose deadline passed."""
    return Refusal(
        status=504,
        code='deadline_exceeded',
        message='the deadline passed before the answer was there',
        verdict=verdict,
        retry_after=RETRY_SOON,
    )


def no_server(verdict: Verdict) -> Refusal:
    """Return the answer when no backend server can take the call."""
    return given_up(
        'no_backend_server',
        'no backend server can take the call now',
        verdict,
    )


def quarantined(remaining: Millis, verdict: Verdict) -> Refusal:
    """Return the answer to a call that keeps crashing backend servers."""
    return Refusal(
        status=422,
        code='quarantined',
        message='backend servers crashed whenever they ran this request',
        verdict=verdict,
        retry_after=remaining,
    )


def claims_unavailable() -> Refusal:
    """Return the answer when a call cannot be claimed in the log."""
    return given_up(
        'claims_unavailable',
        'the call could not be claimed in the log',
        Verdict.NOT_RUN,
    )
