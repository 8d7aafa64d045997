"""The messages as data classes, one for each struct of the schema."""

from dataclasses import dataclass

from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import Message, register


@dataclass(frozen=True, slots=True, kw_only=True)
class MemberUpdate(Message):
    """What a router says about one member."""

    name: str
    peer: Endpoint
    data_centre: str
    region: str
    incarnation: int
    #: Value of a ``MemberState``.
    state: int
    #: Router that reports a suspicion; empty otherwise.
    reporter: str = ''


@dataclass(frozen=True, slots=True, kw_only=True)
class Item(Message):
    """A small keyed value with expiry; the highest version wins."""

    #: Value of an ``ItemTopic``.
    topic: int
    key: bytes
    version: int
    value: bytes = b''
    #: Remaining lifetime when it was sent, in milliseconds.
    lifetime_ms: int


@register(1)
@dataclass(frozen=True, slots=True, kw_only=True)
class Ping(Message):
    """Ask the named member for an ``Ack``."""

    target: str
    updates: tuple[MemberUpdate, ...] = ()
    items: tuple[Item, ...] = ()


@register(2)
@dataclass(frozen=True, slots=True, kw_only=True)
class IndirectPing(Message):
    """Ask the receiver to ping a third member."""

    target: str
    peer: Endpoint
    updates: tuple[MemberUpdate, ...] = ()
    items: tuple[Item, ...] = ()


@register(3)
@dataclass(frozen=True, slots=True, kw_only=True)
class Ack(Message):
    """Answer a ping, or report the answer of a third member."""

    updates: tuple[MemberUpdate, ...] = ()
    items: tuple[Item, ...] = ()


@register(4)
@dataclass(frozen=True, slots=True, kw_only=True)
class Nack(Message):
    """Say that the third member has not answered so far."""


@register(5)
@dataclass(frozen=True, slots=True, kw_only=True)
class Gossip(Message):
    """Carry updates that have to spread before the next ping."""

    updates: tuple[MemberUpdate, ...] = ()
    items: tuple[Item, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineIdentity(Message):
    """What changes rarely about an engine."""

    engine: Endpoint
    incarnation: str
    weights_version: str
    role: str
    total_blocks: int


@register(6)
@dataclass(frozen=True, slots=True, kw_only=True)
class LoadShare(Message):
    """Readings of the engines that the sender polls."""

    age_ms: int
    readings: bytes
    identities: tuple[EngineIdentity, ...] = ()


@register(7)
@dataclass(frozen=True, slots=True, kw_only=True)
class DemandShare(Message):
    """Demand of the largest customers."""

    scope: int
    data_centre: str
    demand: bytes


@register(20)
@dataclass(frozen=True, slots=True, kw_only=True)
class StateSync(Message):
    """The whole member table and all items; both sides send theirs."""

    updates: tuple[MemberUpdate, ...] = ()
    items: tuple[Item, ...] = ()


@register(21)
@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentRequest(Message):
    """Ask for the version in force if it is above a known one."""

    service: str
    #: Version that the sender holds, plus one; 0 if it holds none.
    above: int


@register(22)
@dataclass(frozen=True, slots=True, kw_only=True)
class DocumentReply(Message):
    """The version in force, or ``found`` false if none is newer."""

    found: bool
    service: str = ''
    version: int = 0
    #: Offset of the last record that the document takes into account.
    as_of: int = 0
    text: str = ''


@register(23)
@dataclass(frozen=True, slots=True, kw_only=True)
class HotPrefixRequest(Message):
    """Ask for the hottest prefixes of the receiver's cache view."""

    limit: int


@dataclass(frozen=True, slots=True, kw_only=True)
class HotPrefixPart(Message):
    """One engine that holds one prefix."""

    engine: Endpoint
    incarnation: str
    digest: bytes
    tokens: int
    #: Requests a second, in thousandths.
    rate_milli: int = 0


@register(24)
@dataclass(frozen=True, slots=True, kw_only=True)
class HotPrefixReply(Message):
    """The hottest prefixes, hottest first."""

    prefixes: tuple[HotPrefixPart, ...] = ()


@register(25)
@dataclass(frozen=True, slots=True, kw_only=True)
class EngineRequest(Message):
    """Ask for all engine readings, after a start."""


@register(26)
@dataclass(frozen=True, slots=True, kw_only=True)
class EngineReply(Message):
    """Identities and readings of all engines that the sender knows."""

    age_ms: int
    readings: bytes
    identities: tuple[EngineIdentity, ...] = ()


@register(27)
@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimForward(Message):
    """Pass a claim on to the router preferred for its shard."""

    payload: bytes


@register(28)
@dataclass(frozen=True, slots=True, kw_only=True)
class ClaimReply(Message):
    """The decision on a forwarded claim."""

    payload: bytes


@register(30)
@dataclass(frozen=True, slots=True, kw_only=True)
class BurnPush(Message):
    """Objective counts of one origin, for safekeeping."""

    origin: str
    buckets: bytes


@register(31)
@dataclass(frozen=True, slots=True, kw_only=True)
class BurnRequest(Message):
    """Ask for the counts that the receiver keeps for an origin."""

    origin: str


@register(32)
@dataclass(frozen=True, slots=True, kw_only=True)
class BurnReply(Message):
    """The kept counts, or ``found`` false."""

    found: bool
    buckets: bytes = b''


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


@register(40)
@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted(Message):
    """Confirm a request that asks for no data."""


@register(41)
@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(Message):
    """Report that a request could not be handled."""

    reason: str
