"""Chooses the peers of an exchange and the delay of notifications. No I/O."""

from collections.abc import Callable, Sequence

from yuccagauge.clock import Millis
from yuccagauge.exchange.members import Member
from yuccagauge.settings.options import Endpoint

#: Routers of the own data centre, and of any data centre, that one exchange
#: goes to. State of one router reaches a fleet of 450 within about five
#: periods.
LOCAL_FANOUT = 2
GLOBAL_FANOUT = 1

#: How long a notification about a server waits for others, which are sent
#: in the same message.
NOTIFICATION_DELAY = Millis(20)

#: The same for notifications of loaded weights in a large fleet.
LARGE_FLEET_WEIGHTS_DELAY = Millis(200)

#: From this number of routers on, each exchanges in every second period.
LARGE_FLEET_ROUTERS = 24


def exchanges_in_period(period: int, routers: int) -> bool:
    """Return whether a router starts an exchange in a period.

    Load pattern: a hundred routers on small VMs, where exchanges are most of
    the work. An exchange in every second period is enough: the records that
    a few routers read still reach all in time.

    Parameters
    ----------
    period
        Number of the period.
    routers
        Number of live routers.
    """
    return routers < LARGE_FLEET_ROUTERS or period % 2 == 0


def weights_notification_delay(routers: int) -> Millis:
    """Return how long a notification of loaded weights waits for others.

    Load pattern: tens of engines load weights one after the other in a fleet
    of a hundred routers. Without a delay the sending router, whose link
    carries a few Mbit/s, would send each router a message for each engine.
    A small fleet has few engines, and each is a larger part of its capacity,
    so the notification waits less.

    Parameters
    ----------
    routers
        Number of live routers.
    """
    return (
        NOTIFICATION_DELAY
        if routers < LARGE_FLEET_ROUTERS
        else LARGE_FLEET_WEIGHTS_DELAY
    )


def choose_partners(
    peers: Sequence[Member],
    data_centre: str,
    random_fraction: Callable[[], float],
) -> set[Endpoint]:
    """Return a few random routers, most of the own data centre.

    Load pattern: a hundred routers forward the records that a few of them
    read. Traffic between data centres is costly, so most partners are in
    the own one. The partner from any data centre may have records that only
    routers there have read.

    Parameters
    ----------
    peers
        The other live routers.
    data_centre
        The data centre of this router.
    random_fraction
        Returns a random number from 0 to 1.
    """
    local_peers = [peer for peer in peers if peer.data_centre == data_centre]
    chosen = _choose_endpoints(
        local_peers or peers, LOCAL_FANOUT, random_fraction
    )
    return chosen | _choose_endpoints(peers, GLOBAL_FANOUT, random_fraction)


def _choose_endpoints(
    peers: Sequence[Member],
    count: int,
    random_fraction: Callable[[], float],
) -> set[Endpoint]:
    if not peers:
        return set()
    return {
        peers[int(random_fraction() * len(peers))].endpoint
        for _ in range(count)
    }


def choose_endpoints(
    peers: Sequence[Member],
    seeds: Sequence[Endpoint],
    data_centre: str,
    random_fraction: Callable[[], float],
) -> set[Endpoint]:
    """Return a few random routers, or the seeds while none is known.

    Parameters
    ----------
    peers
        The other live routers.
    data_centre
        That of the router that asks.
    random_fraction
        Returns a random number from 0 to 1.
    """
    if not peers:
        return set(seeds)
    chosen = choose_partners(peers, data_centre, random_fraction)
    # An occasional seed joins two parts of a fleet that no longer know each
    # other.
    if seeds and random_fraction() < 1 / len(peers):
        chosen.add(seeds[int(random_fraction() * len(seeds))])
    return chosen
