"""Whom a router tells what it knows, and when. Pure functions."""

from collections.abc import Callable, Sequence

from yuccagauge.clock import Millis
from yuccagauge.exchange.members import Member
from yuccagauge.settings.options import Endpoint

#: Routers of the own data centre, and of all, that one exchange goes to.
#: What one router knows reaches a fleet of 450 within about five periods.
LOCAL_FANOUT = 2
FANOUT = 1

#: Time for which news of servers wait for more of them.
NEWS_DELAY = Millis(20)

#: The same for engines that have loaded weights, in large fleets.
LARGE_WEIGHTS_DELAY = Millis(200)

#: Routers from which on a router exchanges only in every second period.
LARGE_FLEET = 24


def is_turn(period: int, routers: int) -> bool:
    """Return whether a router exchanges in a period.

    Load pattern: a hundred routers on small machines, for which exchanges
    are most of the work. What few routers read still reaches all in time.

    Parameters
    ----------
    period
        Number of the period.
    routers
        Routers that are alive.
    """
    return routers < LARGE_FLEET or period % 2 == 0


def weights_delay(routers: int) -> Millis:
    """Return how long the news that an engine has loaded waits for more.

    Load pattern: tens of engines load weights one after the other before a
    hundred routers, each of which would get a message for each engine. The
    link of the router that tells it carries a few megabits. A few engines
    are missed sooner.

    Parameters
    ----------
    routers
        Routers that are alive.
    """
    return NEWS_DELAY if routers < LARGE_FLEET else LARGE_WEIGHTS_DELAY


def draw_partners(
    peers: Sequence[Member],
    data_centre: str,
    draw: Callable[[], float],
) -> set[Endpoint]:
    """Return a few routers by chance, most of them near.

    Load pattern: a hundred routers that pass on what a few of them read.
    Bytes between data centres cost, so most partners are near; one of any
    data centre brings what is read only there.

    Parameters
    ----------
    peers
        The other routers that are alive.
    data_centre
        The router's own data centre.
    draw
        Draws a number from 0 to 1.
    """
    near = [peer for peer in peers if peer.data_centre == data_centre]
    chosen = _draw_some(near or peers, LOCAL_FANOUT, draw)
    return chosen | _draw_some(peers, FANOUT, draw)


def _draw_some(
    peers: Sequence[Member],
    count: int,
    draw: Callable[[], float],
) -> set[Endpoint]:
    if not peers:
        return set()
    return {peers[int(draw() * len(peers))].endpoint for _ in range(count)}
