"""The refusals of the relay, each with its status and verdict."""

from yuccagauge.clock import Millis
from yuccagauge.verdict import Refusal, Verdict

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
HEAD_TOO_LARGE = 431
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


def malformed(message: str, status: int = BAD_REQUEST) -> Refusal:
    """Refuse a request that cannot be understood."""
    return Refusal(
        status=status,
        code='malformed_request',
        message=message,
        verdict=Verdict.NOT_RUN,
    )


def too_large(status: int) -> Refusal:
    """Refuse a head or body over its limit."""
    return Refusal(
        status=status,
        code='too_large',
        message='the request is over the limit of its size',
        verdict=Verdict.NOT_RUN,
    )


def slow_request() -> Refusal:
    """Refuse a request that did not arrive in time."""
    return Refusal(
        status=REQUEST_TIMEOUT,
        code='request_timeout',
        message='the request did not arrive in time',
        verdict=Verdict.NOT_RUN,
    )


def no_route() -> Refusal:
    """Refuse a request that no route matches."""
    return Refusal(
        status=NOT_FOUND,
        code='no_route',
        message='no route matches host and path',
        verdict=Verdict.NOT_RUN,
    )


def unknown_key() -> Refusal:
    """Refuse a request without a customer's key."""
    return Refusal(
        status=UNAUTHORIZED,
        code='unknown_key',
        message='the request carries no key of a customer',
        verdict=Verdict.NOT_RUN,
    )


def not_ready(retry_after: Millis) -> Refusal:
    """Refuse while no configuration is known."""
    return Refusal(
        status=UNAVAILABLE,
        code='no_configuration',
        message='the router has no configuration yet',
        verdict=Verdict.NOT_RUN,
        retry_after=retry_after,
    )


def not_run(code: str, retry_after: Millis | None) -> Refusal:
    """Refuse a call that no server has run."""
    return Refusal(
        status=UNAVAILABLE,
        code=code,
        message='no backend server has run the request',
        verdict=Verdict.NOT_RUN,
        retry_after=retry_after,
    )


def failed(code: str) -> Refusal:
    """Report an attempt that broke and may have run."""
    return Refusal(
        status=BAD_GATEWAY,
        code=code,
        message='the backend server gave no whole answer',
        verdict=Verdict.MAY_HAVE_RUN,
    )


def out_of_time() -> Refusal:
    """Report a call that may run and has no answer in time."""
    return Refusal(
        status=GATEWAY_TIMEOUT,
        code='out_of_time',
        message='the request has no answer in time',
        verdict=Verdict.MAY_HAVE_RUN,
    )
