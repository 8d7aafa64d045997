"""The parts of an exchange, from what this router knows."""

from collections.abc import Iterable, Mapping

from yuccagauge.clock import Millis
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange.members import Member
from yuccagauge.quarantine.base import CrashSuspicion
from yuccagauge.selection.load import ServerLoad
from yuccagauge.wire.messages import (
    FleetLoad,
    FleetMark,
    FleetMember,
    FleetRecord,
    FleetSuspicion,
)


def members(known: Iterable[Member], now: Millis) -> tuple[FleetMember, ...]:
    """Return other routers, with the time since they were heard."""
    return tuple(
        FleetMember(
            name=member.name,
            endpoint=member.endpoint,
            data_centre=member.data_centre,
            age_ms=now - member.last_seen_at,
        )
        for member in known
    )


def marks(
    directory: Directory,
    ages: Mapping[Topic, Millis],
) -> tuple[FleetMark, ...]:
    """Return how far each topic was followed, and when that was confirmed."""
    return tuple(
        FleetMark(
            topic=topic.value, mark=directory.next_offset(topic), age_ms=age
        )
        for topic, age in ages.items()
    )


def loads(known: Mapping[str, ServerLoad]) -> tuple[FleetLoad, ...]:
    """Return this router's own calls at each server."""
    return tuple(
        FleetLoad(
            server=server_id,
            active=len(load.calls),
            waiting_tokens=sum(
                call.prefill_tokens
                for call in load.calls.values()
                if not call.has_output
            ),
            fixed=sum(not call.is_movable for call in load.calls.values()),
            kv_tokens=sum(call.kv_tokens for call in load.calls.values()),
        )
        for server_id, load in known.items()
        if load.calls
    )


def suspicions(known: Iterable[CrashSuspicion]) -> tuple[FleetSuspicion, ...]:
    """Return requests that may crash servers."""
    return tuple(
        FleetSuspicion(
            fingerprint=suspicion.fingerprint,
            crashes=','.join(sorted(suspicion.crashes)),
            cleared=','.join(sorted(suspicion.cleared)),
            age_ms=suspicion.age,
        )
        for suspicion in known
    )


def records(
    directory: Directory,
    marks_of_asker: Mapping[int, int],
) -> tuple[FleetRecord, ...]:
    """Return the records that a router with these marks needs."""
    return tuple(
        FleetRecord(
            topic=topic.value,
            key=record.key,
            offset=record.offset,
            removes=record.value is None,
            value=record.value or b'',
        )
        for topic in Topic
        for record in directory.changes_since(
            topic,
            marks_of_asker.get(topic.value, 0),
        )
    )
