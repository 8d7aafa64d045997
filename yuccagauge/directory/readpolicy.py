"""Which routers read the store, and how often. Pure functions.

Load pattern: nearly a hundred routers, each of which would read every second
what all servers and the operator write. A few read, and tell the others.
"""

from collections.abc import Sequence

from yuccagauge.clock import Millis
from yuccagauge.directory.state import Topic
from yuccagauge.rendezvous import rendezvous_rank

#: Routers of each data centre that always read: with two, the news still
#: comes soon when one of them fails.
READERS = 2

#: Fewer routers than this in a data centre all read what the operator writes:
#: one long read each costs less than the short ones of the readers.
LEAST_SHARING = 9

#: A router reads for itself once what its peers told it is older than this.
#: A leaving server, and a change by the operator, have to be known within
#: two seconds.
LONGEST_AGE = Millis(1500)

#: How long one read waits at the store for records. A connection that went
#: silent is noticed after this time.
READ_WAIT = Millis(2000)

#: The same for routers that read for others, who rely on fresh answers.
SHARED_READ_WAIT = Millis(250)


def is_reader(name: str, others: Sequence[str]) -> bool:
    """Return whether a router reads for its data centre.

    Parameters
    ----------
    others
        The other routers of its data centre that are alive.
    """
    return name in rendezvous_rank({name, *others}, 'reader')[:READERS]


def read_delay(
    topic: Topic,
    name: str,
    others: Sequence[str],
    age: Millis,
) -> Millis:
    """Return for how long a router can go without a read of its own.

    Parameters
    ----------
    topic
        What it would read.
    name, others
        The router, and the others of its data centre that are alive.
    age
        Time since the store confirmed what this router knows, as told by
        its peers.
    """
    left = max(0, LONGEST_AGE - age)
    if topic is Topic.OPERATIONS and len(others) + 1 < LEAST_SHARING:
        return Millis(0)
    return Millis(0 if left and is_reader(name, others) else left)


def read_wait(topic: Topic, others: Sequence[str]) -> Millis:
    """Return how long a read waits at the store for records."""
    if topic is Topic.OPERATIONS and len(others) + 1 >= LEAST_SHARING:
        return SHARED_READ_WAIT
    return READ_WAIT
