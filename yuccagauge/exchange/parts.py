"""Builds the parts of an exchange message from this router's state."""

from collections.abc import Iterable, Mapping
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.directory.base import TargetEvidence
from yuccagauge.directory.position import UNKNOWN_ERA, StorePosition
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange.members import Member
from yuccagauge.origins.versions import VersionHistory, VersionSighting
from yuccagauge.quarantine.base import CrashSuspicion
from yuccagauge.quarantine.evidence import PartCrash, PartEvidence
from yuccagauge.ratelimit.limits import LimitReport
from yuccagauge.selection.load import ServerLoad
from yuccagauge.selection.statements import LeavingNotice
from yuccagauge.wire.fleetmessages import (
    UNKNOWN_AGE,
    FleetLeaving,
    FleetLimit,
    FleetLoad,
    FleetMark,
    FleetMember,
    FleetPartCrash,
    FleetPartEvidence,
    FleetRecord,
    FleetSuspicion,
    FleetTarget,
    FleetVersion,
    PermitRequest,
)

#: Crash suspicions that one message carries, the latest first.
MAXIMUM_SUSPICIONS = 20

#: Parts of prompts whose evidence one message carries, the strongest first.
MAXIMUM_PARTS = 24

#: Rate limits that one message carries, the latest change first.
MAXIMUM_LIMITS = 64

#: Servers that leave in one message, the latest first.
MAXIMUM_LEAVING = 32

#: Thousandths in a call a second.
_MILLI = 1000

#: Largest number that messages can hold.
MAXIMUM_NUMBER = 2**32 - 1


def members(known: Iterable[Member], now: Millis) -> tuple[FleetMember, ...]:
    """Return other routers and the time since each was last seen."""
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
    peer_marks: Iterable[FleetMark] = (),
) -> tuple[FleetMark, ...]:
    """Return the next offset of each topic and the age of its confirmation.

    Parameters
    ----------
    peer_marks
        Marks of the peer that the message answers.
    """
    listed = _topics_to_list(directory, peer_marks)
    return tuple(
        FleetMark(
            topic=topic.value,
            mark=directory.next_offset(topic),
            age_ms=age,
            era=directory.era(topic),
            is_listing=topic in listed,
        )
        for topic, age in ages.items()
    )


def position(parts: Iterable[FleetMark], topic: Topic) -> StorePosition | None:
    """Return up to where the sender of a message has read a topic."""
    for part in parts:
        if part.topic == topic.value:
            return StorePosition(era=part.era, offset=part.mark)
    return None


def _topics_to_list(
    directory: Directory, peer_marks: Iterable[FleetMark]
) -> frozenset[Topic]:
    """Return the topics that a peer knows from an earlier era.

    A peer that names no era is of an older build, or has received nothing.
    """
    return frozenset(
        Topic(mark.topic)
        for mark in peer_marks
        if UNKNOWN_ERA < mark.era < directory.era(Topic(mark.topic))
    )


def targets(
    evidence: Iterable[TargetEvidence], now: Millis
) -> tuple[FleetTarget, ...]:
    """Return the longest time since each range of versions was named."""
    return tuple(
        FleetTarget(
            model=each.model,
            version=each.version,
            previous=each.previous,
            age_ms=now - each.named_after,
        )
        for each in evidence
        if each.version <= MAXIMUM_NUMBER
    )


def target_evidence(
    parts: Iterable[FleetTarget], asked_at: Millis
) -> tuple[TargetEvidence, ...]:
    """Return what an answer says of when versions were named."""
    return tuple(
        TargetEvidence(
            model=part.model,
            version=part.version,
            previous=part.previous,
            named_after=Millis(asked_at - part.age_ms),
        )
        for part in parts
    )


def loads(known: Mapping[str, ServerLoad]) -> tuple[FleetLoad, ...]:
    """Return this router's own calls in flight at each server."""
    return tuple(
        FleetLoad(
            server=server_id,
            active=len(load.own_calls),
            waiting_tokens=sum(
                call.prefill_tokens
                for call in load.own_calls.values()
                if not call.has_output
            ),
            fixed=sum(not call.is_movable for call in load.own_calls.values()),
            kv_tokens=sum(call.kv_tokens for call in load.own_calls.values()),
        )
        for server_id, load in known.items()
        if load.own_calls
    )


def suspicions(known: Iterable[CrashSuspicion]) -> tuple[FleetSuspicion, ...]:
    """Return the requests that are suspected of crashing servers."""
    return tuple(
        FleetSuspicion(
            fingerprint=suspicion.fingerprint,
            crashes=','.join(sorted(suspicion.crashes)),
            cleared=','.join(sorted(suspicion.cleared)),
            age_ms=suspicion.age,
        )
        for suspicion in known
    )


def leaving(
    known: Iterable[LeavingNotice], now: Millis
) -> tuple[FleetLeaving, ...]:
    """Return the servers that leave, with their start times."""
    return tuple(
        FleetLeaving(
            server=notice.server_id,
            started_at=notice.started_at,
            age_ms=min(now - notice.known_at, UNKNOWN_AGE - 1),
        )
        for notice in known
    )


def part_evidence(
    known: Iterable[PartEvidence],
) -> tuple[FleetPartEvidence, ...]:
    """Return the evidence on parts of prompts."""
    return tuple(
        FleetPartEvidence(
            part_id=evidence.part_id,
            crashes=tuple(
                FleetPartCrash(
                    crash=crash.crash,
                    request=crash.request,
                    sent_age_ms=crash.sent_at,
                    noticed_age_ms=crash.noticed_at,
                )
                for crash in evidence.crashes
            ),
            is_sound=evidence.sound_age is not None,
            sound_age_ms=min(evidence.sound_age or 0, MAXIMUM_NUMBER),
        )
        for evidence in known
    )


def parse_part_evidence(
    parts: Iterable[FleetPartEvidence],
) -> tuple[PartEvidence, ...]:
    """Return the evidence that a message reports."""
    return tuple(
        PartEvidence(
            part_id=part.part_id,
            crashes=tuple(
                PartCrash(
                    crash=crash.crash,
                    request=crash.request,
                    sent_at=Millis(crash.sent_age_ms),
                    noticed_at=Millis(crash.noticed_age_ms),
                )
                for crash in part.crashes
            ),
            sound_age=Millis(part.sound_age_ms) if part.is_sound else None,
        )
        for part in parts
    )


def limits(known: Iterable[LimitReport]) -> tuple[FleetLimit, ...]:
    """Return the rate limits that servers name, or have ended."""
    return tuple(
        FleetLimit(
            server=report.server_id,
            rate_milli=rate_milli(report.per_second),
            age_ms=report.age,
        )
        for report in known
    )


def rate_milli(per_second: float | None) -> int:
    """Return a rate limit in thousandths, and 0 without a limit."""
    if per_second is None:
        return 0
    return round(per_second * _MILLI)


def limit_report(part: FleetLimit | PermitRequest) -> LimitReport:
    """Return what a part of a message reports of a rate limit."""
    return LimitReport(
        server_id=part.server,
        per_second=part.rate_milli / _MILLI if part.rate_milli else None,
        age=Millis(part.age_ms),
    )


def records(
    directory: Directory, peer_marks: Iterable[FleetMark]
) -> tuple[FleetRecord, ...]:
    """Return the records that a peer lacks."""
    next_offsets = {
        Topic(mark.topic): mark.mark
        for mark in peer_marks
        if mark.era <= directory.era(Topic(mark.topic))
    }
    listed = _topics_to_list(directory, peer_marks)
    return tuple(
        FleetRecord(
            topic=topic.value,
            key=record.key,
            offset=record.offset,
            removes=record.value is None,
            value=record.value or b'',
        )
        for topic, next_offset in next_offsets.items()
        for record in (
            directory.records(topic)
            if topic in listed
            else directory.changes_since(topic, next_offset)
        )
    )


def versions(history: VersionHistory, now: Millis) -> dict[str, Any]:
    """Return the parts with the software versions of mixed services."""
    return {
        'versions': tuple(
            FleetVersion(
                service=sighting.service,
                software_version=sighting.software_version,
                age_ms=sighting.age,
            )
            for sighting in history.sightings(now)
        ),
        'versions_known_ms': history.known_age(now),
    }


def version_sightings(
    parts: Iterable[FleetVersion],
) -> tuple[VersionSighting, ...]:
    """Return the versions that a message lists."""
    return tuple(
        VersionSighting(
            service=part.service,
            software_version=part.software_version,
            age=Millis(part.age_ms),
        )
        for part in parts
    )
