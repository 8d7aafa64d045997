"""Configuration: racing operators, checkpoints, trimming, restarts, peers.

Publications and checkpoints travel in a network that delays, loses and
doubles them. Readers restart without memory, read whatever the log still
has, and take offers of peers that may be old. An operator may also send a
change that was not made from the version it names. A fold over the whole
log, which nobody has, tells what is true. Fold and encoding are those of
``yuccagauge.adoption``.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from yuccagauge.adoption.records import (
    NO_VERSION,
    Checkpoint,
    Publication,
    decode_record,
    encode_record,
)
from yuccagauge.adoption.replay import (
    Accepted,
    ConfigState,
    Snapshot,
    apply_record,
    merge_snapshot,
    skip_trimmed_records,
)
from yuccagauge.clock import Millis
from yuccagauge.logstream.base import LogRecord
from yuccagauge.modelcheck.adoptionmutants import ADOPTION_MUTANTS
from yuccagauge.modelcheck.base import SPECIFICATIONS
from yuccagauge.modelcheck.values import Value, intern
from yuccagauge.settings.document import compare_sections, digest_sections
from yuccagauge.settings.reader import RawSections

_SERVICE = 'svc'
_BASE = {
    'service': {'name': _SERVICE, 'kind': 'model', 'owner': 'team'},
    'model m': {'weights_version': 'w0'},
}


@dataclass(frozen=True, slots=True, kw_only=True)
class AdoptionBounds:
    """How far the exploration goes."""

    #: Publications, each by an operator of its own.
    operators: int = 2
    #: Whether operators may name a version other than their base.
    careless: bool = False
    #: Times a publication may land.
    copies: int = 2
    readers: int = 2
    #: Records of the log, with the first version.
    log_records: int = 5
    checkpoints: int = 1
    trims: int = 2
    restarts: int = 1
    #: Offers from reader to reader.
    offers: int = 1


class World(NamedTuple):
    """The whole state."""

    first: int
    #: The retained records.
    log: tuple[bytes, ...]
    network: frozenset[tuple[bytes, int]]
    readers: tuple[Value[ConfigState], ...]
    #: The fold over the whole log.
    truth: Value[ConfigState]
    #: The version in force after each record, and the document's digest.
    history: tuple[tuple[int, str], ...]
    #: Offers on their way.
    offered: frozenset[Value[Snapshot]]
    operators: int
    checkpoints: int
    trims: int
    restarts: int
    offers: int
    #: Whether a reader went back to a lower version.
    reverted: bool

    @property
    def end(self) -> int:
        """The offset that the next record gets."""
        return self.first + len(self.log)


@SPECIFICATIONS.register
class AdoptionSpecification:
    """Configuration in force; see the module's text."""

    name = 'adoption'
    aliases = ()
    properties = (
        'a version in force was accepted by the whole log',
        'a reader that knows its place agrees with the whole log',
        'the version in force never falls',
        'a publication is accepted at most once',
        'a document in force is what its publisher meant',
    )
    #: Races; careless operators; trimming and checkpoints; old offers.
    bounds = (
        AdoptionBounds(operators=3, checkpoints=0, trims=0, offers=0),
        AdoptionBounds(careless=True, checkpoints=0, trims=0, offers=0),
        AdoptionBounds(copies=1, log_records=6, trims=3, offers=0),
        AdoptionBounds(copies=1, log_records=4, checkpoints=0, offers=2),
    )
    mutants = ADOPTION_MUTANTS
    #: Bounds of the run in the features.
    short_bounds = (
        AdoptionBounds(careless=True, copies=1, restarts=0, offers=0),
        AdoptionBounds(operators=1, copies=1, log_records=3),
    )

    def __init__(self, bounds: AdoptionBounds) -> None:
        """Explore within these bounds."""
        self._bounds = bounds

    def initial(self) -> Iterator[World]:
        """Start with one version in the log that every reader has."""
        payload = _publication(NO_VERSION, {}, _BASE, 'first')
        truth = _read(intern(ConfigState(service=_SERVICE)), 0, payload)
        yield World(
            first=0,
            log=(payload,),
            network=frozenset(),
            readers=(truth,) * self._bounds.readers,
            truth=truth,
            history=(_in_force(truth),),
            offered=frozenset(),
            operators=self._bounds.operators,
            checkpoints=self._bounds.checkpoints,
            trims=self._bounds.trims,
            restarts=self._bounds.restarts,
            offers=self._bounds.offers,
            reverted=False,
        )

    def violation(self, world: World) -> str | None:
        """Check the properties."""
        for reader in world.readers:
            highest = reader.wrapped.highest
            is_real = _described(highest) in world.history
            if highest.version != NO_VERSION and not is_real:
                return self.properties[0]
            current = reader.wrapped.current
            if current is not None and current.as_of >= 0:
                if _described(current) != world.history[current.as_of]:
                    return self.properties[1]
        if world.reverted:
            return self.properties[2]
        return self._check_truth(world)

    def successors(self, world: World) -> Iterator[tuple[str, World]]:
        """Return all next worlds."""
        for number in range(len(world.readers)):
            yield from self._reader_steps(world, number)
        if world.operators:
            yield from self._publications(world)
        if world.end < self._bounds.log_records:
            for payload, copies in sorted(world.network):
                label = type(decode_record(payload)).__name__.lower()
                yield f'a {label} lands', _land(world, payload, copies)
        if world.trims and world.log:
            trimmed = world._replace(
                first=world.first + 1,
                log=world.log[1:],
                trims=world.trims - 1,
            )
            yield 'the log is trimmed', trimmed

    def _check_truth(self, world: World) -> str | None:
        accepted = [
            entry.publication_id
            for entry in world.truth.wrapped.outcomes
            if isinstance(entry.outcome, Accepted)
        ]
        if len(accepted) > len(set(accepted)):
            return self.properties[3]
        for offset, payload in enumerate(world.log, world.first):
            version, digest = world.history[offset]
            found = decode_record(payload)
            if version == offset and found.digest != digest:
                return self.properties[4]
        return None

    def _reader_steps(
        self,
        world: World,
        number: int,
    ) -> Iterator[tuple[str, World]]:
        reader = world.readers[number]
        label = f'reader {number}'
        state = reader.wrapped
        if state.position < world.end:
            yield f'{label} reads', _catch_up(world, number)
        if world.restarts:
            restarted = _put(world, number, _new_reader())
            yield (
                f'{label} restarts',
                restarted._replace(restarts=world.restarts - 1),
            )
        for snapshot in sorted(world.offered, key=_offer_order):
            taken = reader.mapped(_offer, snapshot)
            yield (
                f'{label} takes an offer',
                _advance(world, number, taken),
            )
        if world.offers and state.highest.version != NO_VERSION:
            yield f'{label} makes an offer', _make_offer(world, state)
        if world.checkpoints and _has_anchor(state):
            yield f'{label} writes a checkpoint', _checkpoint(world, state)

    def _publications(self, world: World) -> Iterator[tuple[str, World]]:
        """Publish from what any reader has, named by what any one has."""
        anchors = {
            number: reader.wrapped.current
            for number, reader in enumerate(world.readers)
            if _has_anchor(reader.wrapped)
        }
        for number, base in anchors.items():
            for other, named in anchors.items():
                if number != other and not self._bounds.careless:
                    continue
                yield (
                    f'an operator publishes from reader {number}, '
                    f'naming the version of reader {other}',
                    self._publish(world, base, named),
                )

    def _publish(self, world: World, base: Snapshot, named: Snapshot) -> World:
        operator = world.operators
        target = {
            **base.sections,
            f'customer c{operator}': {
                'credential_sha256': f'{operator:064x}',
            },
        }
        payload = _publication(
            named.version,
            named.sections,
            target,
            f'publication {operator}',
            meant_from=base.sections,
        )
        return world._replace(
            network=world.network | {(payload, self._bounds.copies)},
            operators=operator - 1,
        )


def _publication(
    replaces: int,
    named: RawSections,
    target: RawSections,
    publication_id: str,
    *,
    meant_from: RawSections | None = None,
) -> bytes:
    base = named if meant_from is None else meant_from
    record = Publication(
        publication_id=publication_id,
        replaces=replaces,
        change=compare_sections(base, target),
        digest=digest_sections(target),
    )
    return encode_record(record)


def _new_reader() -> Value[ConfigState]:
    return intern(ConfigState(service=_SERVICE))


def _has_anchor(state: ConfigState) -> bool:
    return state.current is not None and state.current.version != NO_VERSION


def _described(snapshot: Snapshot) -> tuple[int, str]:
    return snapshot.version, digest_sections(snapshot.sections)


def _in_force(truth: Value[ConfigState]) -> tuple[int, str]:
    return _described(truth.wrapped.current)


def _offer_order(snapshot: Value[Snapshot]) -> tuple[int, int]:
    return snapshot.wrapped.version, snapshot.wrapped.as_of


def _read(
    reader: Value[ConfigState],
    offset: int,
    payload: bytes,
) -> Value[ConfigState]:
    record = LogRecord(offset=offset, time=Millis(0), payload=payload)
    return reader.mapped(apply_record, record)


def _offer(state: ConfigState, snapshot: Value[Snapshot]) -> ConfigState:
    return merge_snapshot(state, snapshot.wrapped)


def _put(world: World, number: int, reader: Value[ConfigState]) -> World:
    readers = list(world.readers)
    readers[number] = reader
    return world._replace(readers=tuple(readers))


def _advance(
    world: World,
    number: int,
    reader: Value[ConfigState],
) -> World:
    """Put a reader's next state, watching its version."""
    before = world.readers[number].wrapped.highest.version
    fell = reader.wrapped.highest.version < before
    world = _put(world, number, reader)
    return world._replace(reverted=world.reverted or fell)


def _catch_up(world: World, number: int) -> World:
    """Let a reader read up to the end of the log."""
    reader = world.readers[number].mapped(skip_trimmed_records, world.first)
    for offset, payload in enumerate(world.log, world.first):
        reader = _read(reader, offset, payload)
    return _advance(world, number, reader)


def _land(world: World, payload: bytes, copies: int) -> World:
    network = world.network - {(payload, copies)}
    if copies > 1:
        network |= {(payload, copies - 1)}
    truth = _read(world.truth, world.end, payload)
    return world._replace(
        network=network,
        log=(*world.log, payload),
        truth=truth,
        history=(*world.history, _in_force(truth)),
    )


def _make_offer(world: World, state: ConfigState) -> World:
    snapshot = state.highest if state.current is None else state.current
    return world._replace(
        offered=world.offered | {intern(snapshot)},
        offers=world.offers - 1,
    )


def _checkpoint(world: World, state: ConfigState) -> World:
    record = Checkpoint(
        version=state.current.version,
        as_of=state.current.as_of,
        sections=state.current.sections,
    )
    return world._replace(
        network=world.network | {(encode_record(record), 1)},
        checkpoints=world.checkpoints - 1,
    )
