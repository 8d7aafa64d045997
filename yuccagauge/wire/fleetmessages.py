"""Messages between the routers of a relay fleet."""

from dataclasses import dataclass

from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import Message, register

#: What stands for an age that the sender does not know.
UNKNOWN_AGE = 2**32 - 1


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetMember(Message):
    """A router that the sender knows."""

    name: str
    endpoint: Endpoint
    data_centre: str
    #: Time since it was heard, in ms.
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetMark(Message):
    """How far the sender has followed a topic of the store."""

    topic: int
    mark: int
    #: Time since the store confirmed the mark, in ms.
    age_ms: int
    #: Era of the store that gave out the offsets of the topic in this message;
    #: -1 if the sender knows none.
    era: int = -1
    #: Whether the records are all of the topic, because the asker knows an
    #: earlier era.
    is_listing: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetRecord(Message):
    """A record of a keyed topic of the store."""

    topic: int
    key: str
    offset: int
    removes: bool
    value: bytes = b''


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetLoad(Message):
    """What the sender has in flight at one backend server."""

    server: str
    active: int
    waiting_tokens: int
    #: Calls that no other server may continue.
    fixed: int
    #: KV memory that the calls may take, in tokens.
    kv_tokens: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPause(Message):
    """A backend server that gets no calls for a while."""

    server: str
    #: 0 ends a pause.
    remaining_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetWeights(Message):
    """The weights that a backend server has shown."""

    server: str
    model: str
    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSilence(Message):
    """A backend server that leaves connection attempts unanswered."""

    server: str


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSuspicion(Message):
    """A request that may crash the servers that run it."""

    fingerprint: bytes
    #: Names of crashes, separated by commas.
    crashes: str
    cleared: str
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetLeaving(Message):
    """A server that has stated that it leaves."""

    server: str
    #: Unix time of its start in ms; 0 if it is not known.
    started_at: int
    #: Time since it last said so, in ms; ``UNKNOWN_AGE`` from older builds.
    age_ms: int = UNKNOWN_AGE


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPartCrash(Message):
    """A crash of a server under a run whose prompt has a part."""

    crash: str
    #: Short digest of the request.
    request: str
    #: Time since the run was sent, and since its end was noticed, in ms.
    sent_age_ms: int
    noticed_age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPartEvidence(Message):
    """Evidence on a part of prompts that may crash servers."""

    part_id: str
    crashes: tuple[FleetPartCrash, ...] = ()
    #: Whether a run with the part is known that its server outlived, and the
    #: time since it began to be answered, in ms.
    is_sound: bool = False
    sound_age_ms: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetLimit(Message):
    """The rate limit that a backend server names, or has ended."""

    server: str
    #: Calls a second from all routers together, in thousandths; 0 without a
    #: limit.
    rate_milli: int
    #: Time since the answer of the server that shows it, in ms.
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetVersion(Message):
    """A software version that a service had lately, besides others."""

    service: str
    software_version: str
    #: Time since a server was last listed with it, in ms.
    age_ms: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetTarget(Message):
    """Evidence on when weights versions of a model were named."""

    model: str
    #: The versions after ``previous``, up to ``version``.
    version: int
    previous: int
    #: Longest time since the first of them was named, in ms.
    age_ms: int


@register(50)
@dataclass(frozen=True, slots=True, kw_only=True)
class FleetExchange(Message):
    """What routers tell each other, in both directions of an exchange."""

    name: str
    endpoint: Endpoint
    data_centre: str
    leaves: bool = False
    #: Whether the sender wants the records above its marks.
    asks: bool = False
    #: Whether the records are all that the asker needs to reach the marks.
    answers: bool = False
    members: tuple[FleetMember, ...] = ()
    marks: tuple[FleetMark, ...] = ()
    records: tuple[FleetRecord, ...] = ()
    loads: tuple[FleetLoad, ...] = ()
    pauses: tuple[FleetPause, ...] = ()
    weights: tuple[FleetWeights, ...] = ()
    suspicions: tuple[FleetSuspicion, ...] = ()
    silences: tuple[FleetSilence, ...] = ()
    limits: tuple[FleetLimit, ...] = ()
    parts: tuple[FleetPartEvidence, ...] = ()
    leaving: tuple[FleetLeaving, ...] = ()
    versions: tuple[FleetVersion, ...] = ()
    #: How far back the sender knows the versions, in ms.
    versions_known_ms: int = 0
    #: Only answers have these. The asker counts the ages from when it asked, so
    #: that a message that waits while the asker is suspended is not too young.
    targets: tuple[FleetTarget, ...] = ()
    #: Whether the sender misses engines that others reach.
    cannot_lead: bool = False
    #: Whether the sender has just released the leader lease.
    released_lease: bool = False
    #: Servers that are brittle; the rate is that of the rejections they bear.
    brittle: tuple[FleetLimit, ...] = ()


@register(51)
@dataclass(frozen=True, slots=True, kw_only=True)
class PermitRequest(Message):
    """Ask for permits to send calls to a server with a rate limit."""

    server: str
    count: int
    #: Longest time until the first permit, in ms.
    within_ms: int
    #: The limit that the sender knows, as in ``FleetLimit``.
    rate_milli: int
    age_ms: int
    #: Whether slots of a brittle server are asked for, and the number that the
    #: sender occupies.
    is_for_slots: bool = False
    occupied: int = 0


@register(52)
@dataclass(frozen=True, slots=True, kw_only=True)
class PermitReply(Message):
    """Grant permits, or tell when the next one is to be had."""

    #: 0 if the first permit is too far ahead.
    count: int
    #: Time until the first permit, in ms.
    wait_ms: int
    #: Time between two permits, in us.
    interval_us: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamGroup(Message):
    """Streams that were begun by one software version of a service."""

    service: str
    software_version: str
    #: The keys of the streams, one after the other.
    keys: bytes


@register(53)
@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOriginReport(Message):
    """Tell a peer which versions began some streams."""

    groups: tuple[StreamGroup, ...]


@register(54)
@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOriginRequest(Message):
    """Ask which version began a stream."""

    key: bytes


@register(55)
@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOriginReply(Message):
    """The version that began a stream, if the sender knows it."""

    is_known: bool
    service: str = ''
    software_version: str = ''


@register(56)
@dataclass(frozen=True, slots=True, kw_only=True)
class StreamOriginPull(Message):
    """Ask for all streams that the sender should keep, after its start."""


@register(57)
@dataclass(frozen=True, slots=True, kw_only=True)
class PathOpen(Message):
    """Ask to carry the bytes of one connection to a backend server."""

    server: str
    target: Endpoint
    #: Whether it serves to see what is reached, and carries no call.
    is_probe: bool = False


@register(58)
@dataclass(frozen=True, slots=True, kw_only=True)
class PathOpened(Message):
    """Say that the server has accepted the connection."""


@register(59)
@dataclass(frozen=True, slots=True, kw_only=True)
class PathData(Message):
    """Carry bytes of the connection, in either direction."""

    payload: bytes


@register(60)
@dataclass(frozen=True, slots=True, kw_only=True)
class PathEnd(Message):
    """Say that the server has closed the connection regularly."""
