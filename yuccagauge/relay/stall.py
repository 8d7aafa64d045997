"""When a call counts as stalled."""

from yuccagauge.clock import Millis
from yuccagauge.directory.base import Route, RouteKind

#: A repeatable call without a sign of life for this long moves to another
#: server: a stream, and a plain call.
STREAM_STALL = Millis(900)
PLAIN_STALL = Millis(250)

#: A server that accepts no connection for this long is left: the system of a
#: busy server accepts them at once, so it is down or cut off.
CONNECT_STALL = Millis(250)

#: A call that was expected to take long is given this multiple of it.
EXPECTED_FACTOR = 2


def stall_limit(route: Route, expected_first_output_ms: float) -> Millis:
    """Return the longest silence before a call moves.

    Load pattern: a server falls silent without closing its connections,
    while others wait longer than usual because they are full.

    Parameters
    ----------
    expected_first_output_ms
        Expected time to the first output, in ms.
    """
    is_stream = route.kind is RouteKind.STREAMING
    least = STREAM_STALL if is_stream else PLAIN_STALL
    return max(least, Millis(int(EXPECTED_FACTOR * expected_first_output_ms)))
