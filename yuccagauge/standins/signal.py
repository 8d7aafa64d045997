"""Wake handlers that wait for something new."""

from twisted.internet import defer, reactor

from yuccagauge.clock import Millis

_MILLISECONDS_PER_SECOND = 1000


class Signal:
    """Deferreds that fire together, or each at its own timeout."""

    def __init__(self) -> None:
        """Start without waiters."""
        self._waiting: set[defer.Deferred[None]] = set()

    def wait(self, timeout: Millis) -> defer.Deferred[None]:
        """Return a Deferred that fires at the next notice or the timeout."""
        waiter: defer.Deferred[None] = defer.Deferred()
        self._waiting.add(waiter)
        seconds = max(timeout, 0) / _MILLISECONDS_PER_SECOND
        timer = reactor.callLater(seconds, self._fire, waiter)

        def done(result: object) -> object:
            self._waiting.discard(waiter)
            if timer.active():
                timer.cancel()
            return result

        return waiter.addBoth(done)

    def notify(self) -> None:
        """Fire all waiting Deferreds."""
        for waiter in tuple(self._waiting):
            self._fire(waiter)

    def _fire(self, waiter: defer.Deferred[None]) -> None:
        self._waiting.discard(waiter)
        if not waiter.called:
            waiter.callback(None)
