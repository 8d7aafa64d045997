"""Drive the reactor from the steps of a scenario."""

from collections.abc import Callable
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred, maybeDeferred
from twisted.python.failure import Failure

# A scenario that hangs is ended after this time, in seconds.
_HANG_SECONDS = 20.0
_ITERATION_SECONDS = 0.005


def wait_until(condition: Callable[[], bool]) -> None:
    """Run the reactor until a condition holds."""
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    end = reactor.seconds() + _HANG_SECONDS
    while not condition():
        if reactor.seconds() > end:
            raise AssertionError('the condition never became true')
        reactor.iterate(_ITERATION_SECONDS)


def wait_for(deferred: Deferred[Any]) -> Any:
    """Run the reactor until a Deferred fires; return or raise its result."""
    results: list[Any] = []
    deferred.addBoth(results.append)
    wait_until(lambda: bool(results))
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


def wait_for_call(function: Callable[..., Any], *arguments: Any) -> Any:
    """Call a function that returns a value or a Deferred, and wait."""
    return wait_for(maybeDeferred(function, *arguments))
