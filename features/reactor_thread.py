"""One reactor in a thread of its own, for steps that block."""

import threading
from collections.abc import Callable
from typing import Any

from twisted.internet import reactor, threads

_START_SECONDS = 10
_lock = threading.Lock()


def call_on_reactor(function: Callable[..., Any], *arguments: Any) -> Any:
    """Call a function on the reactor; wait for its value or Deferred."""
    with _lock:
        if not reactor.running:
            _start()
    return threads.blockingCallFromThread(reactor, function, *arguments)


def _start() -> None:
    started = threading.Event()
    reactor.callWhenRunning(started.set)
    thread = threading.Thread(
        target=reactor.run,
        kwargs={'installSignalHandlers': False},
        daemon=True,
    )
    thread.start()
    if not started.wait(_START_SECONDS):
        raise RuntimeError('the reactor did not start')
