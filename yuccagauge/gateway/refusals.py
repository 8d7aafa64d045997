"""Refusals of calls that never reach a backend server."""

from yuccagauge.clock import Millis
from yuccagauge.dispatch.withheld import (
    VERSION_CODE,
    VERSION_MESSAGE,
    VERSION_NOT_SUPPORTED,
)
from yuccagauge.verdict import Refusal, RefusedError, Verdict, not_run_refusal

#: When to come back to a router that has no document yet, in ms.
_NO_DOCUMENT_RETRY = Millis(1000)


def reject(status: int, code: str, message: str) -> RefusedError:
    """Return the error that ends a call as ``not run``."""
    return RefusedError(not_run_refusal(status, code, message))


def needs_chunks() -> RefusedError:
    """Return the error for a stream whose end the caller cannot tell."""
    return reject(VERSION_NOT_SUPPORTED, VERSION_CODE, VERSION_MESSAGE)


def no_document(service: str) -> RefusedError:
    """Return the error while no document of a service is known."""
    return RefusedError(
        not_run_refusal(
            503,
            'no_document',
            f'no document of {service} is in force on this router',
            _NO_DOCUMENT_RETRY,
        ),
    )


def unknown_customer(service: str) -> RefusedError:
    """Return the error for a credential that the service does not know."""
    return reject(
        403,
        'unknown_customer',
        f'the credential belongs to no customer of {service}',
    )


def unexpected() -> Refusal:
    """Return the answer to a call that met a fault of the router itself."""
    return Refusal(
        status=500,
        code='router_fault',
        message='the router met a fault of its own',
        verdict=Verdict.MAY_HAVE_RUN,
    )
