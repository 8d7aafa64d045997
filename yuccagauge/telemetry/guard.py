"""Keep a fault in one listener or round from stopping the others."""

import functools
import traceback
from collections.abc import Callable
from typing import Any

from yuccagauge.telemetry.journal import log_decision, log_state_change
from yuccagauge.telemetry.meter import counter

_FAULTS = counter(
    'yuccagauge.internal.faults',
    'Exceptions that no code expected, by place.',
    '{fault}',
)


def guarded(function: Callable[..., Any], place: str) -> Callable[..., Any]:
    """Return a function that counts and logs exceptions instead of raising.

    The log line has the type and the line of code, but not the message,
    which could hold what a caller sent.
    """

    @functools.wraps(function)
    def call(*arguments: Any) -> Any:
        try:
            return function(*arguments)
        except Exception as error:  # noqa: BLE001
            log_state_change('internal_fault', **_count_fault(place, error))
            return None

    return call


def record_call_fault(place: str, request_id: str, error: Exception) -> None:
    """Count and log an exception that the handling of a request raised."""
    log_decision('call_failed', request_id, **_count_fault(place, error))


def _count_fault(place: str, error: Exception) -> dict[str, str]:
    frame = traceback.extract_tb(error.__traceback__)[-1]
    _FAULTS.add(1, {'place': place})
    return {
        'place': place,
        'error': type(error).__name__,
        'source': f'{frame.name}:{frame.lineno}',
    }
