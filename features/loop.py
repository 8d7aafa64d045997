"""Drive the reactor from the steps of a scenario."""

import threading
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


def run_blocking(function: Callable[..., Any], *arguments: Any) -> Any:
    """Run a blocking function in a thread while the reactor goes on.

    A call from another thread runs directly, since the reactor is driven
    by the main thread.
    """
    if threading.current_thread() is not threading.main_thread():
        return function(*arguments)
    results: list[Any] = []

    def run() -> None:
        try:
            results.append(function(*arguments))
        except Exception as error:
            results.append(Failure(error))

    join_thread(start_thread(run))
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


def start_thread(
    function: Callable[..., Any],
    *arguments: Any,
) -> threading.Thread:
    """Start a thread that does not keep the process from ending."""
    thread = threading.Thread(target=function, args=arguments, daemon=True)
    thread.start()
    return thread


def join_thread(thread: threading.Thread) -> None:
    """Run the reactor until a thread ends."""
    wait_until(lambda: not thread.is_alive())
