"""Decides which routers read the store, and how often. Pure functions.

Load pattern: hundreds of routers would each read the entries of all servers
and the operator's records every second. Instead, two routers of the fleet read
the store and send the records to the others. One or two of each data centre
replace them as the records become old, and all others do so later. In a small
fleet, the readers of each data centre always read.
"""

from collections.abc import Mapping, Set
from dataclasses import dataclass
from functools import lru_cache

from yuccagauge.clock import Millis
from yuccagauge.directory.state import Topic
from yuccagauge.rendezvous import kept_rank

#: Routers of the fleet that always read the store. With two, the others still
#: receive changes soon if one of them fails.
READERS_PER_FLEET = 2

#: Routers of each data centre that read the store for it, if the records of
#: the fleet's readers come late.
READERS_PER_DATA_CENTRE = 2

#: The same for a large data centre. When its reader fails, each of the others
#: reads once its records are too old, and passes on what it read.
READERS_PER_LARGE_DATA_CENTRE = 1

#: Number of routers from which on a data centre is large.
LARGE_DATA_CENTRE_ROUTERS = 9

#: Number of routers from which on a fleet shares all reads. In a smaller one
#: without a large data centre, most routers are readers of their data centre,
#: and what they read comes sooner than by an exchange.
MINIMUM_ROUTERS_TO_SHARE_READS = 12

#: Share of the age at which a router reads the store itself from which the
#: readers of its data centre do: so much earlier that what they have read
#: reaches it before.
DATA_CENTRE_READER_SHARE = 0.6

#: Share of the time in which a change must be in force for which a router
#: relies on records that its peers have confirmed. Its own read and the
#: decision that it changes take the rest.
CONFIRMATION_SHARE = 0.75

#: How long one read waits at the store for records. A connection that stopped
#: responding is detected after this time.
READ_WAIT = Millis(2000)

#: The same for the operator's records. New weights count as named since the
#: start of the read that shows them, or nearly so.
OPERATIONS_READ_WAIT = Millis(1000)

#: Waits of routers that read for others, for each wait in which the others
#: would begin to read. Only the answer to a read confirms the records, and
#: takes some exchanges to reach all.
SHARED_WAITS_PER_AGE = 3

#: Reads of the servers' entries in the time for which other routers rely on
#: them. Every server writes its entry about once a second, and each read costs
#: a call to the store.
SERVER_READS_PER_AGE = 3.75

#: Time between two reads of the servers' entries by a router that looks for
#: evidence that a server lives. Two reads with a heartbeat between them show
#: it.
EVIDENCE_READ_INTERVAL = Millis(2500)

#: Time for which a router looks for evidence on one call: enough for two reads,
#: between which each server that lives has written its entry.
EVIDENCE_READ_TIME = Millis(4500)


@dataclass(frozen=True, slots=True, kw_only=True)
class ReadLimits:
    """How old the records may be on which a router relies."""

    servers: Millis
    operations: Millis

    @classmethod
    def from_bounds(
        cls, drain_bound: Millis, configuration_bound: Millis
    ) -> 'ReadLimits':
        """Return the limits that keep the bounds of the deployment.

        Parameters
        ----------
        drain_bound
            Time after which a server that leaves gets no more calls.
        configuration_bound
            Time after which a change by the operator is in force.
        """
        return cls(
            servers=Millis(int(CONFIRMATION_SHARE * drain_bound)),
            operations=Millis(int(CONFIRMATION_SHARE * configuration_bound)),
        )

    def maximum_age(self, topic: Topic) -> Millis:
        """Return the age of the confirmation from which a router reads."""
        if topic is Topic.SERVERS:
            return self.servers
        return self.operations

    @property
    def server_read_interval(self) -> Millis:
        """Time between two reads of the servers' entries."""
        return Millis(int(self.servers / SERVER_READS_PER_AGE))


def shares_reads(data_centres: Mapping[str, str]) -> bool:
    """Return whether a fleet shares all reads of the store.

    Parameters
    ----------
    data_centres
        The data centre of each live router, this one included.
    """
    return _plan(frozenset(data_centres.items())).is_shared


def is_reader(name: str, data_centres: Mapping[str, str]) -> bool:
    """Return whether a router reads for its data centre.

    Parameters
    ----------
    data_centres
        The data centre of each live router, this one included.
    """
    return name in _plan(frozenset(data_centres.items())).readers


def is_fleet_reader(name: str, data_centres: Mapping[str, str]) -> bool:
    """Return whether a router always reads, for the whole fleet."""
    plan = _plan(frozenset(data_centres.items()))
    return name in plan.recorders[:READERS_PER_FLEET] and name in plan.readers


def is_recorder(name: str, data_centres: Mapping[str, str], count: int) -> bool:
    """Return whether a router is one of those that record events in the store.

    Routers that read know best what was written lately, so they come first.

    Parameters
    ----------
    data_centres
        The data centre of each live router, this one included.
    count
        How many of them there are.
    """
    return name in _plan(frozenset(data_centres.items())).recorders[:count]


@dataclass(frozen=True, slots=True, kw_only=True)
class _ReadPlan:
    """Which routers read and record."""

    #: The readers of all data centres.
    readers: frozenset[str]
    #: All routers, in the order in which they record.
    recorders: tuple[str, ...]
    #: Whether the fleet shares all reads.
    is_shared: bool


@lru_cache(maxsize=4)
def _plan(data_centres: frozenset[tuple[str, str]]) -> _ReadPlan:
    """Return the plan for live routers, kept until others are alive."""
    names_by_centre: dict[str, set[str]] = {}
    for router, data_centre in data_centres:
        names_by_centre.setdefault(data_centre, set()).add(router)
    readers = frozenset(
        reader
        for names in names_by_centre.values()
        for reader in _readers(names)
    )
    others = frozenset(dict(data_centres)) - readers
    largest = max(map(len, names_by_centre.values()), default=0)
    return _ReadPlan(
        readers=readers,
        recorders=(
            *kept_rank(readers, 'recorder'),
            *kept_rank(others, 'recorder'),
        ),
        is_shared=(
            len(data_centres) >= MINIMUM_ROUTERS_TO_SHARE_READS
            or largest >= LARGE_DATA_CENTRE_ROUTERS
        ),
    )


def _readers(names: Set[str]) -> tuple[str, ...]:
    """Return the readers among the routers of a data centre."""
    count = (
        READERS_PER_DATA_CENTRE
        if len(names) < LARGE_DATA_CENTRE_ROUTERS
        else READERS_PER_LARGE_DATA_CENTRE
    )
    return kept_rank(frozenset(names), 'reader')[:count]


def read_delay(
    topic: Topic,
    name: str,
    data_centres: Mapping[str, str],
    age: Millis,
    limits: ReadLimits,
) -> Millis:
    """Return the time until a router has to read the store itself.

    Parameters
    ----------
    topic
        The topic to read.
    name
        The router.
    data_centres
        The data centre of each live router, this one included.
    age
        Time since the store last confirmed the records of this router,
        directly or to a peer.
    limits
        How old the records may be.
    """
    is_shared = shares_reads(data_centres)
    if topic is Topic.OPERATIONS and not is_shared:
        return Millis(0)
    maximum_age = limits.maximum_age(topic)
    if is_reader(name, data_centres):
        if not is_shared or is_fleet_reader(name, data_centres):
            return Millis(0)
        maximum_age = Millis(int(DATA_CENTRE_READER_SHARE * maximum_age))
    return Millis(max(0, maximum_age - age))


def evidence_read_delay(own_age: Millis) -> Millis:
    """Return the time until the next read for evidence that a server lives.

    Load pattern: many connections break at once, and each of many routers
    looks for 10 s for what shows that its servers have not crashed.

    Parameters
    ----------
    own_age
        Time since the store last confirmed the records to this router itself.
    """
    return Millis(max(0, EVIDENCE_READ_INTERVAL - own_age))


def read_wait(
    topic: Topic, data_centres: Mapping[str, str], limits: ReadLimits
) -> Millis:
    """Return how long a read waits at the store for records.

    Parameters
    ----------
    data_centres
        The data centre of each live router, this one included.
    """
    if topic is not Topic.OPERATIONS:
        return READ_WAIT
    if not shares_reads(data_centres):
        return OPERATIONS_READ_WAIT
    return Millis(int(limits.operations / SHARED_WAITS_PER_AGE))
