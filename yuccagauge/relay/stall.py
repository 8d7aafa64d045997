"""Limits after which a call counts as stalled."""

from yuccagauge.clock import Millis
from yuccagauge.directory.base import Route, RouteKind
from yuccagauge.dispatch.endcheck import ACCEPT_LIMIT

#: A retryable call moves to another server if its server sends nothing for
#: this long. Streams and plain calls have separate limits.
STREAM_STALL_LIMIT = Millis(900)
PLAIN_STALL_LIMIT = Millis(250)

#: A call leaves a server that has not accepted its connection after this time.
CONNECT_STALL_LIMIT = ACCEPT_LIMIT

#: A call whose first output is expected late may wait for this multiple of the
#: expected time.
EXPECTED_TIME_FACTOR = 2


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
