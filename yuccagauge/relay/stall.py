"""Limits after which a call counts as stalled, and the check for them."""

from collections.abc import Callable

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.base import Route, RouteKind
from yuccagauge.dispatch.endpoints import ACCEPT_LIMIT
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.dispatch.timers import Timers
from yuccagauge.relay.attempt import AttemptTracker
from yuccagauge.relay.repeats import CallRepeats
from yuccagauge.verdict import Verdict

#: A retryable call moves to another server if its server sends nothing for
#: this long. Streams and plain calls have separate limits.
STREAM_STALL_LIMIT = Millis(900)
PLAIN_STALL_LIMIT = Millis(250)

#: A call leaves a server that has not accepted its connection after this time.
CONNECT_STALL_LIMIT = ACCEPT_LIMIT

#: A call whose first output is expected late may wait for this multiple of the
#: expected time.
EXPECTED_TIME_FACTOR = 2

#: Time between two checks whether a call has stalled.
_CHECK_INTERVAL = Millis(100)

#: A check that is later than this shows that the router was paused: for as long
#: it has not read what servers sent.
_LATE_CHECK_TIME = Millis(100)

_TIMER = 'stall'


class StallMonitor:
    """Notices that the server of a call is unresponsive.

    A call that may run only once counts as stalled only while its connection is
    not established.

    Load pattern: a router is paused for a second. Its timers are the first to
    run, and all servers would count as silent whose answers wait to be read.

    Parameters
    ----------
    clock
        The source of time.
    repeats
        Tells whether the call may run again.
    timers
        Timers of the call.
    on_connect_stall, on_stall
        Called once if the server does not accept the connection, or sends
        nothing on it.
    """

    def __init__(
        self,
        clock: Clock,
        repeats: CallRepeats,
        timers: Timers,
        *,
        on_connect_stall: Callable[[], None],
        on_stall: Callable[[], None],
    ) -> None:
        """Create a monitor that checks nothing yet."""
        self._clock = clock
        self._repeats = repeats
        self._timers = timers
        self._on_connect_stall = on_connect_stall
        self._on_stall = on_stall

    def start(self, exchange: Exchange, attempt: AttemptTracker) -> None:
        """Check an attempt, instead of an earlier one, until ``stop``."""
        due_at = Millis(self._clock.now() + _CHECK_INTERVAL)
        self._timers.start(
            _TIMER, _CHECK_INTERVAL, self._check, exchange, attempt, due_at
        )

    def stop(self) -> None:
        """Check no longer."""
        self._timers.stop(_TIMER)

    def _check(
        self, exchange: Exchange, attempt: AttemptTracker, due_at: Millis
    ) -> None:
        lateness = Millis(self._clock.now() - due_at)
        if lateness >= _LATE_CHECK_TIME:
            attempt.discount_silence(lateness)
        if exchange.verdict is Verdict.NOT_RUN:
            if attempt.time_without_response >= CONNECT_STALL_LIMIT:
                self._on_connect_stall()
                return
        elif not self._repeats.is_retryable:
            return
        elif self._has_stalled(attempt):
            self._on_stall()
            return
        self.start(exchange, attempt)

    def _has_stalled(self, attempt: AttemptTracker) -> bool:
        expected = attempt.placement.expected_first_output_ms
        limit = stall_limit(self._repeats.route, expected)
        return (
            attempt.time_without_response >= limit
            and self._repeats.allows_another_run
        )


def stall_limit(route: Route, expected_first_output_ms: float) -> Millis:
    """Return how long a server may send nothing before the call moves.

    Load pattern: a server stops responding without closing its connections,
    while calls on other servers take longer than usual because the servers
    are full. The limit grows with the expected time, so that calls on the
    full servers are not moved without need.

    Parameters
    ----------
    expected_first_output_ms
        Expected time to the first output, in milliseconds.
    """
    is_stream = route.kind is RouteKind.STREAMING
    minimum = STREAM_STALL_LIMIT if is_stream else PLAIN_STALL_LIMIT
    return max(
        minimum, Millis(int(EXPECTED_TIME_FACTOR * expected_first_output_ms))
    )
