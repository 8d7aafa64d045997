"""Counts of heartbeats in the entries of servers, as a measure of time.

A server counts its heartbeats from its start on and writes them at a known
interval, whatever the clocks of routers show. One that stops for some time
counts too few, never too many, so the server with the largest count decides.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.rendezvous import rendezvous_rank

#: Servers whose counts are stored with a naming. One of them has to write its
#: heartbeats until the next start of the routers.
SAMPLE_SIZE = 16

#: Largest error of the time of an entry in a sample.
_SAMPLE_PRECISION = Millis(1500)

#: Heartbeats after which an entry is too old for a sample.
_FRESH_BEATS = 2


@dataclass(frozen=True, slots=True, kw_only=True)
class Heartbeat:
    """The newest count of a server, and when its entry was written."""

    #: Unix time of the start of the server, in ms, since ids are reused; 0 if
    #: the entry does not state it.
    started_at: int
    count: int
    #: ``None`` if the entry may be of any age.
    written_after: Millis | None
    written_before: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class SampledHeartbeat:
    """The count of a server at a time after some event."""

    server_id: str
    started_at: int
    count: int
    #: Time from the event until the count was written at the latest; negative
    #: if it was written before.
    elapsed: Millis


def sample(
    heartbeats: Mapping[str, Heartbeat],
    event_at: Millis,
    now: Millis,
    interval: Millis,
) -> tuple[SampledHeartbeat, ...]:
    """Return the counts of some servers, relative to an event.

    Empty if this router has read no entries lately.
    """
    fresh = [
        server_id
        for server_id, heartbeat in heartbeats.items()
        if _is_fresh(heartbeat, now, interval)
    ]
    return tuple(
        SampledHeartbeat(
            server_id=server_id,
            started_at=heartbeats[server_id].started_at,
            count=heartbeats[server_id].count,
            elapsed=Millis(heartbeats[server_id].written_before - event_at),
        )
        for server_id in rendezvous_rank(fresh, 'sample')[:SAMPLE_SIZE]
    )


def event_times(
    sampled: Iterable[SampledHeartbeat],
    heartbeats: Mapping[str, Heartbeat],
    listed_at: Millis,
    interval: Millis,
) -> list[Millis]:
    """Return a time before which an event was, by the count of each server.

    The counts of a server that has started again since, and does not state it,
    differ by too little. The event was before the time that they give too.

    Parameters
    ----------
    listed_at
        When this router listed the entries. Those that were listed only are
        taken to be written within the interval before.
    """
    found: list[Millis] = []
    for then in sampled:
        newest = heartbeats.get(then.server_id)
        if newest is None or newest.started_at != then.started_at:
            continue
        written_after = newest.written_after
        if written_after is None:
            written_after = Millis(listed_at - interval)
        beats = max(0, newest.count - then.count)
        found.append(Millis(written_after - beats * interval - then.elapsed))
    return found


def has_survivor(
    sampled: Iterable[SampledHeartbeat], heartbeats: Mapping[str, Heartbeat]
) -> bool:
    """Return whether a server is known to have counted since some event.

    A server that does not state its start may have started again under its id,
    and counted only since then.
    """
    return any(
        then.started_at
        and newest.started_at == then.started_at
        and newest.count >= then.count
        for then in sampled
        if (newest := heartbeats.get(then.server_id)) is not None
    )


def _is_fresh(heartbeat: Heartbeat, now: Millis, interval: Millis) -> bool:
    written_after = heartbeat.written_after
    return (
        written_after is not None
        and heartbeat.written_before - written_after <= _SAMPLE_PRECISION
        and now - written_after <= _FRESH_BEATS * interval
    )
