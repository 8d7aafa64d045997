"""One attempt to connect to a backend server directly."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.dispatch.timers import Timers
from yuccagauge.peerpath.reach import DirectReach, Loss
from yuccagauge.settings.options import Endpoint

#: A server that has not accepted a connection after this time counts as not
#: reached: the operating system of a busy one still accepts at once.
DIRECT_LIMIT = Millis(60)

#: Time between the limit and the verdict. The loop may have been late itself:
#: it then reads the connections that were accepted meanwhile before the verdict.
_LATE_LOOP_TIME = Millis(2)

_SLOW = 'slow'
_END = 'end'


class DirectAttempt:
    """Connects, and records whether the server is reached directly.

    Parameters
    ----------
    server, endpoint
        The server, and the direct way to it.
    reach
        Remembers the outcome.
    reactor, clock
        Schedule the limits and tell the time.
    on_opened
        Called with the protocol of the connection.
    on_failed
        Called with the reason if no connection was opened.
    on_slow
        Called once if the attempt is not accepted in time; it goes on.
    """

    def __init__(
        self,
        server: Endpoint,
        endpoint: IStreamClientEndpoint,
        *,
        reach: DirectReach,
        reactor: Any,
        clock: Clock,
        on_opened: Callable[[Any], None],
        on_failed: Callable[[Failure], None],
        on_slow: Callable[[], None] = lambda: None,
    ) -> None:
        """Create an attempt that has not started."""
        self._server = server
        self._endpoint = endpoint
        self._reach = reach
        self._clock = clock
        self._on_opened = on_opened
        self._on_failed = on_failed
        self._on_slow = on_slow
        self._timers = Timers(reactor.callLater)
        self._opening: Deferred[Any] | None = None
        self._is_cancelled = False

    def start(self, factory: Any, limit: Millis | None = None) -> None:
        """Connect.

        Parameters
        ----------
        factory
            Builds the protocol.
        limit
            Time after which the attempt is given up, if any.
        """
        self._timers.start(
            _SLOW,
            DIRECT_LIMIT,
            self._timers.start,
            _SLOW,
            _LATE_LOOP_TIME,
            self._handle_slow,
        )
        if limit is not None:
            self._timers.start(_END, limit, self._give_up)
        self._opening = self._endpoint.connect(factory)
        self._opening.addCallbacks(self._handle_open, self._handle_failure)

    def cancel(self) -> None:
        """Give up; nothing is called any more."""
        self._is_cancelled = True
        self._timers.close()
        if self._opening is not None:
            self._opening.cancel()

    def _give_up(self) -> None:
        self._opening.cancel()

    def _handle_open(self, protocol: Any) -> None:
        self._timers.close()
        if self._is_cancelled:
            protocol.transport.abortConnection()
            return
        self._reach.record_open(self._server, self._clock.now())
        self._on_opened(protocol)

    def _handle_failure(self, failure: Failure) -> None:
        self._timers.close()
        if self._is_cancelled:
            return
        is_refused = failure.check(ConnectionRefusedError)
        self._record_loss(Loss.REFUSED if is_refused else Loss.TIMED_OUT)
        self._on_failed(failure)

    def _handle_slow(self) -> None:
        self._record_loss(Loss.TIMED_OUT)
        self._on_slow()

    def _record_loss(self, loss: Loss) -> None:
        self._reach.record_loss(self._server, loss, self._clock.now())
