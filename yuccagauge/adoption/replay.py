"""The pure fold from a configuration stream to the version in force.

A reader is *anchored* when it knows the state after every record that it
has read; otherwise records were trimmed before it could read them, and it
keeps the publications that it has until a checkpoint or a peer tells it the
state at one of them. Two anchored readers at the same offset have the same
version in force. A reader's version never falls.
"""

import dataclasses
from dataclasses import dataclass

from yuccagauge.adoption.records import (
    NO_VERSION,
    Checkpoint,
    Publication,
    RecordError,
    RecordFormatError,
    decode_record,
)
from yuccagauge.errors import SettingsError
from yuccagauge.logstream.base import BEFORE_FIRST, LogRecord
from yuccagauge.settings.document import (
    ServiceDocument,
    apply_change,
    build_document,
    digest_sections,
)
from yuccagauge.settings.reader import RawSections

#: Outcomes that are kept for publishers that read them back.
_KEPT_OUTCOMES = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """A version in force, known to hold after the record ``as_of``."""

    version: int = NO_VERSION
    as_of: int = BEFORE_FIRST
    #: Empty without a version.
    sections: RawSections = dataclasses.field(default_factory=dict)


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The publication is in force as this version."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """Another version was in force at the publication's place."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """The publication cannot be put in force."""

    reason: str


Outcome = Accepted | Conflict | Invalid


@dataclass(frozen=True, slots=True, kw_only=True)
class PublicationOutcome:
    """What the fold decided on one record."""

    publication_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigState:
    """What a reader knows of one configuration stream."""

    service: str
    #: The first record from which on the reader has everything.
    covered_from: int = 0
    #: The next record to read.
    position: int = 0
    #: The state after ``position - 1``; ``None`` while not anchored.
    current: Snapshot | None = Snapshot()
    #: The highest version that is known to have been in force.
    highest: Snapshot = Snapshot()
    #: Records since ``covered_from``, kept only while not anchored.
    pending: tuple[tuple[int, Publication], ...] = ()
    #: How many checkpoints were read.
    checkpoints: int = 0
    #: The last outcomes, newest last.
    outcomes: tuple[PublicationOutcome, ...] = ()

    def outcome(self, publication_id: str) -> Outcome | None:
        """Return the outcome of a publication, if it was decided.

        A publication that was appended twice is accepted at most once, and
        its second copy loses to its first.
        """
        found = [
            entry.outcome
            for entry in self.outcomes
            if entry.publication_id == publication_id
        ]
        accepted = [entry for entry in found if isinstance(entry, Accepted)]
        return next(iter(accepted + found), None)


def replaces_in_force(publication: Publication, base: Snapshot) -> bool:
    """Return whether a publication was made from the version in force."""
    return publication.replaces == base.version


def matches_digest(sections: RawSections, publication: Publication) -> bool:
    """Return whether a publication gives the document that was meant."""
    return digest_sections(sections) == publication.digest


def has_records_since(state: ConfigState, snapshot: Snapshot) -> bool:
    """Return whether the reader has every record after a snapshot.

    Otherwise a publication after the snapshot may have been trimmed.
    """
    return snapshot.as_of >= state.covered_from - 1


def is_ahead(state: ConfigState, snapshot: Snapshot) -> bool:
    """Return whether a snapshot is of a record that was not read yet."""
    return snapshot.as_of >= state.position


def is_higher(state: ConfigState, snapshot: Snapshot) -> bool:
    """Return whether a snapshot raises the version in force."""
    return snapshot.version > state.highest.version


def skip_trimmed_records(state: ConfigState, first_offset: int) -> ConfigState:
    """Return the state after records below an offset were trimmed unread."""
    if first_offset <= state.position:
        return state
    return dataclasses.replace(
        state,
        covered_from=first_offset,
        position=first_offset,
        current=None,
        pending=(),
    )


def apply_record(state: ConfigState, record: LogRecord) -> ConfigState:
    """Return the state after the next record.

    A record that was read before, because a peer's offer had skipped it,
    changes nothing.
    """
    if record.offset < state.position:
        return state
    if record.offset > state.position:
        state = skip_trimmed_records(state, record.offset)
    try:
        found = decode_record(record.payload)
    except RecordFormatError:
        # The record may change the version in a way unknown here.
        return skip_trimmed_records(state, record.offset + 1)
    except RecordError:
        return _step(state)
    if isinstance(found, Checkpoint):
        return _read_checkpoint(_step(state), found, record.offset)
    if state.current is None:
        held = (*state.pending, (record.offset, found))
        return dataclasses.replace(_step(state), pending=held)
    return _publish(state, record.offset, found)


def merge_snapshot(state: ConfigState, snapshot: Snapshot) -> ConfigState:
    """Return the state after a peer or an image offered a version.

    The offer anchors the reader if the reader has every record after
    ``as_of``. Otherwise it counts only as a version that was in force.
    """
    if snapshot.version == NO_VERSION or not _is_valid(state, snapshot):
        return state
    if state.current is None and has_records_since(state, snapshot):
        return _anchor(state, snapshot)
    if is_ahead(state, snapshot):
        return _anchor(state, snapshot)
    return _raise_highest(state, snapshot)


def evaluate(
    service: str,
    base: Snapshot,
    publication: Publication,
) -> tuple[RawSections, Outcome | None]:
    """Return the sections after a publication, or why it does not hold.

    The outcome is ``None`` if the publication takes effect.
    """
    if not replaces_in_force(publication, base):
        return base.sections, Conflict(version=base.version)
    sections = apply_change(base.sections, publication.change)
    if not matches_digest(sections, publication):
        return base.sections, Invalid(reason='the digest does not match')
    try:
        check_document(service, sections)
    except SettingsError as error:
        return base.sections, Invalid(reason=str(error))
    return sections, None


def check_document(service: str, sections: RawSections) -> ServiceDocument:
    """Build the document and compare its service name.

    Raises
    ------
    SettingsError
        If the document is invalid or is that of another service.
    """
    document = build_document(sections, service)
    if document.service.name != service:
        raise SettingsError(
            service,
            'service',
            'name',
            document.service.name,
            service,
        )
    return document


def _step(state: ConfigState) -> ConfigState:
    current = state.current
    if current is not None:
        current = dataclasses.replace(current, as_of=state.position)
    return dataclasses.replace(
        state,
        position=state.position + 1,
        current=current,
    )


def _publish(
    state: ConfigState,
    offset: int,
    publication: Publication,
) -> ConfigState:
    sections, failure = evaluate(state.service, state.current, publication)
    stepped = _step(state)
    if failure is None:
        snapshot = Snapshot(version=offset, as_of=offset, sections=sections)
        stepped = dataclasses.replace(stepped, current=snapshot)
        stepped = _raise_highest(stepped, snapshot)
        failure = Accepted(version=offset)
    entry = PublicationOutcome(
        publication_id=publication.publication_id,
        outcome=failure,
    )
    outcomes = (*stepped.outcomes, entry)[-_KEPT_OUTCOMES:]
    return dataclasses.replace(stepped, outcomes=outcomes)


def _read_checkpoint(
    state: ConfigState,
    checkpoint: Checkpoint,
    offset: int,
) -> ConfigState:
    if checkpoint.as_of >= offset:
        return state
    state = dataclasses.replace(state, checkpoints=state.checkpoints + 1)
    if state.current is not None:
        return state
    snapshot = Snapshot(
        version=checkpoint.version,
        as_of=checkpoint.as_of,
        sections=checkpoint.sections,
    )
    # A trimmed publication may have replaced the version of a checkpoint
    # that is not covered, so a starting reader must not serve by it.
    return (
        merge_snapshot(state, snapshot)
        if has_records_since(state, snapshot)
        else state
    )


def _anchor(state: ConfigState, snapshot: Snapshot) -> ConfigState:
    later = [entry for entry in state.pending if entry[0] > snapshot.as_of]
    end = state.position
    state = dataclasses.replace(
        state,
        current=snapshot,
        pending=(),
        position=snapshot.as_of + 1,
    )
    state = _raise_highest(state, snapshot)
    for offset, publication in later:
        at_offset = dataclasses.replace(state, position=offset)
        state = _publish(at_offset, offset, publication)
    while state.position < end:
        state = _step(state)
    return state


def _raise_highest(state: ConfigState, snapshot: Snapshot) -> ConfigState:
    if not is_higher(state, snapshot):
        return state
    return dataclasses.replace(state, highest=snapshot)


def _is_valid(state: ConfigState, snapshot: Snapshot) -> bool:
    try:
        check_document(state.service, snapshot.sections)
    except SettingsError:
        return False
    return snapshot.as_of >= snapshot.version
