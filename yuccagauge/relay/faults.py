"""Ends a call at once when its handling raises an unexpected exception."""

import functools
from collections.abc import Callable
from typing import Any

from yuccagauge.dispatch.base import CallLater
from yuccagauge.relay import refusals
from yuccagauge.telemetry.guard import record_call_fault


class CallGuard:
    """Guards what runs later for one call, outside of the code that began it.

    Without it the caller would wait until the deadline.

    Parameters
    ----------
    request_id
        Id of the request, for the log.
    abort_call
        Ends the call with a refusal that has a code and says what has run.
    """

    def __init__(
        self, request_id: str, abort_call: Callable[[str], None]
    ) -> None:
        """Guard one call."""
        self._request_id = request_id
        self._abort_call = abort_call

    def guard(self, function: Callable[..., Any]) -> Callable[..., None]:
        """Return a function that ends the call instead of raising."""

        @functools.wraps(function)
        def run(*arguments: Any) -> None:
            try:
                function(*arguments)
            except Exception as error:  # noqa: BLE001
                record_call_fault('continue_call', self._request_id, error)
                self._abort_call(refusals.INTERNAL_ERROR)

        return run

    def guard_timers(self, call_later: CallLater) -> CallLater:
        """Return a function that calls guarded functions later."""

        def call_guarded(
            seconds: float, function: Callable[..., Any], *arguments: Any
        ) -> Any:
            return call_later(seconds, self.guard(function), *arguments)

        return call_guarded
