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
    #: Era of the log in which the offsets hold; -1 if it is not known.
    era: int = -1
    #: When the log took the version; 0 if it is not known.
    published_at_ms: int = 0


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


@register(40)
@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted(Message):
    """Confirm a request that asks for no data."""


@register(41)
@dataclass(frozen=True, slots=True, kw_only=True)
class Failed(Message):
    """Report that a request could not be handled."""

    reason: str
