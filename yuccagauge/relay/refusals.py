"""The refusals of the relay, each with its status and verdict."""

from yuccagauge.clock import Millis
from yuccagauge.verdict import Refusal, Verdict, not_run_refusal

BAD_REQUEST = 400
UNAUTHORIZED = 401
NOT_FOUND = 404
REQUEST_TIMEOUT = 408
TOO_LARGE = 413
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


def malformed(message: str, status: int = BAD_REQUEST) -> Refusal:
    """Refuse a request that cannot be understood."""
    return not_run_refusal(status, 'malformed_request', message)


def too_large(status: int) -> Refusal:
    """Refuse a head or body over its limit."""
    message = 'the request is over the limit of its size'
    return not_run_refusal(status, 'too_large', message)


def slow_request() -> Refusal:
    """Refuse a request that did not arrive in time."""
    message = 'the request did not arrive in time'
    return not_run_refusal(REQUEST_TIMEOUT, 'request_timeout', message)


def no_route() -> Refusal:
    """Refuse a request that no route matches."""
    return not_run_refusal(
        NOT_FOUND, 'no_route', 'no route matches host and path'
    )


def unknown_key() -> Refusal:
    """Refuse a request without a customer's key."""
    message = 'the request carries no key of a customer'
    return not_run_refusal(UNAUTHORIZED, 'unknown_key', message)


def not_ready(retry_after: Millis) -> Refusal:
    """Refuse while no configuration is known."""
    message = 'the router has no configuration yet'
    return not_run_refusal(
        UNAVAILABLE, 'no_configuration', message, retry_after
    )


def not_run(code: str, retry_after: Millis | None) -> Refusal:
    """Refuse a call that no server has run."""
    message = 'no backend server has run the request'
    return not_run_refusal(UNAVAILABLE, code, message, retry_after)


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
