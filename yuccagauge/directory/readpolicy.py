"""Decides which routers read the store, and how often. Pure functions.

Load pattern: nearly a hundred routers would each read the entries of all
servers and the operator's records every second. Instead, a few routers of each
data centre read the store and send the records to the others.
"""

from collections.abc import Sequence

from yuccagauge.clock import Millis
from yuccagauge.directory.state import Topic
from yuccagauge.rendezvous import rendezvous_rank

#: Routers of each data centre that always read the store. With two, the others
#: still receive changes soon if one of them fails.
READERS_PER_DATA_CENTRE = 2

#: A data centre with fewer routers than this does not share the reads of the
#: operator's records: one long poll by each router costs less than the short
#: polls of the readers.
MINIMUM_ROUTERS_TO_SHARE_READS = 9

#: A router reads the store itself if the records from its peers were confirmed
#: longer ago than this. Routers have to know of a draining server and of a
#: change by the operator within two seconds.
MAXIMUM_CONFIRMATION_AGE = Millis(1500)

#: How long one read waits at the store for records. A connection that stopped
#: responding is detected after this time.
READ_WAIT = Millis(2000)

#: The same for routers that read for others. A long wait delays the answers
#: that confirm the records, and the other routers need recent confirmations.
SHARED_READ_WAIT = Millis(250)


def is_reader(name: str, others: Sequence[str]) -> bool:
    """Return whether a router reads for its data centre.

    Parameters
    ----------
    others
        The other live routers of its data centre.
    """
    return (
        name
        in rendezvous_rank({name, *others}, 'reader')[:READERS_PER_DATA_CENTRE]
    )


def read_delay(
    topic: Topic,
    name: str,
    others: Sequence[str],
    age: Millis,
) -> Millis:
    """Return the time until a router has to read the store itself.

    Parameters
    ----------
    topic
        The topic to read.
    name, others
        The router, and the other live routers of its data centre.
    age
        Time since the store last confirmed the records of this router,
        directly or to a peer.
    """
    remaining = max(0, MAXIMUM_CONFIRMATION_AGE - age)
    if (
        topic is Topic.OPERATIONS
        and len(others) + 1 < MINIMUM_ROUTERS_TO_SHARE_READS
    ):
        return Millis(0)
    return Millis(0 if remaining and is_reader(name, others) else remaining)


def read_wait(topic: Topic, others: Sequence[str]) -> Millis:
    """Return how long a read waits at the store for records."""
    if (
        topic is Topic.OPERATIONS
        and len(others) + 1 >= MINIMUM_ROUTERS_TO_SHARE_READS
    ):
        return SHARED_READ_WAIT
    return READ_WAIT
