"""Drive simulated time until something happens."""

import uuid
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.python.failure import Failure

#: Start of simulated time, in seconds; keys need a time well after 0.
START_SECONDS = 1_000_000.0
_STEP_SECONDS = 0.01


def new_reactor() -> Clock:
    """Return simulated time at its start."""
    reactor = Clock()
    reactor.advance(START_SECONDS)
    return reactor


def pass_time(reactor: Clock, seconds: float) -> None:
    """Advance in small steps, so that chains of timers run."""
    end = reactor.seconds() + seconds
    while reactor.seconds() < end:
        reactor.advance(_STEP_SECONDS)


def settle(reactor: Clock, deferred: Deferred, seconds: float = 60) -> Any:
    """Advance until a Deferred fires; return or raise its result."""
    results: list[Any] = []
    deferred.addBoth(results.append)
    end = reactor.seconds() + seconds
    while not results and reactor.seconds() < end:
        reactor.advance(_STEP_SECONDS)
    assert results, f'no result within {seconds} s'
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


def key_at(seconds: float, number: int = 0) -> str:
    """Return a UUID of version 7 with a creation time."""
    high = int(seconds * 1000) << 80
    return str(uuid.UUID(int=high | (7 << 76) | (2 << 62) | number))
