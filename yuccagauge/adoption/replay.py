"""Replays a configuration stream to find the version in force. Pure functions.

A reader has a *current* snapshot if it knows the state after the last record
that it has read. If records were trimmed before the reader could read them, it
has none. It then stores the publications that it reads until a checkpoint or a
peer provides a snapshot after which the reader has every record.

Two readers at the same offset that have a current snapshot have the same
version in force. The version of a reader never decreases.

If the log comes back from a copy, the last versions are lost and their numbers
are given out again. Readers begin anew with what is left, and their versions go
by the time of publication, so that a lost version stays in force until another
one is published.
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
from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.errors import SettingsError
from yuccagauge.logstream.base import BEFORE_FIRST, LogPage, LogRecord
from yuccagauge.settings.document import (
    ServiceDocument,
    apply_change,
    build_document,
    digest_sections,
)
from yuccagauge.settings.reader import RawSections

#: Outcomes that are stored for publishers, which read them back.
_RETAINED_OUTCOMES = 64


@dataclass(frozen=True, slots=True, kw_only=True)
class Snapshot:
    """The version that is in force after the record ``as_of``."""

    version: int = NO_VERSION
    as_of: int = BEFORE_FIRST
    #: Empty if there is no version.
    sections: RawSections = dataclasses.field(default_factory=dict)
    #: When the log took the publication of the version; 0 if it is not known.
    published_at: Millis = Millis(0)
    #: The era of the log in which ``version`` and ``as_of`` hold.
    era: int = UNKNOWN_ERA


@dataclass(frozen=True, slots=True, kw_only=True)
class Accepted:
    """The publication took effect as this version."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Conflict:
    """The version in force, ``version``, is not the one to be replaced."""

    version: int


@dataclass(frozen=True, slots=True, kw_only=True)
class Invalid:
    """The publication has a wrong digest or gives an invalid document."""

    reason: str


Outcome = Accepted | Conflict | Invalid


@dataclass(frozen=True, slots=True, kw_only=True)
class PublicationRecord:
    """A publication as the log has it."""

    offset: int
    time: Millis
    publication: Publication


@dataclass(frozen=True, slots=True, kw_only=True)
class PublicationOutcome:
    """The outcome of one publication."""

    publication_id: str
    outcome: Outcome


@dataclass(frozen=True, slots=True, kw_only=True)
class ConfigState:
    """The state of a reader of one configuration stream."""

    service: str
    #: The era of the log that offsets belong to.
    era: int = UNKNOWN_ERA
    #: The reader has read every record from this offset to ``position``.
    complete_from: int = 0
    #: Offset of the next record to read.
    position: int = 0
    #: The state after ``position - 1``; ``None`` while it is unknown.
    current: Snapshot | None = Snapshot()
    #: The highest version that is known to be or to have been in force.
    highest: Snapshot = Snapshot()
    #: Publications since ``complete_from``, while ``current`` is unknown.
    pending: tuple['PublicationRecord', ...] = ()
    #: Number of valid checkpoints that were read.
    checkpoints: int = 0
    #: The latest outcomes, newest last.
    outcomes: tuple[PublicationOutcome, ...] = ()

    def find_outcome(self, publication_id: str) -> Outcome | None:
        """Return the outcome of a publication, or ``None`` if it has none yet.

        A publication that was appended twice is accepted at most once: its
        second copy conflicts with the first.
        """
        found = [
            entry.outcome
            for entry in self.outcomes
            if entry.publication_id == publication_id
        ]
        accepted = [entry for entry in found if isinstance(entry, Accepted)]
        return next(iter(accepted + found), None)


def replaces_in_force(publication: Publication, base: Snapshot) -> bool:
    """Return whether a publication replaces the version in force."""
    return publication.replaces == base.version


def matches_digest(sections: RawSections, publication: Publication) -> bool:
    """Return whether sections have the digest that a publication states.

    They differ if the change was made from another document.
    """
    return digest_sections(sections) == publication.digest


def has_records_since(state: ConfigState, snapshot: Snapshot) -> bool:
    """Return whether the reader has all records that follow a snapshot.

    Otherwise a publication that follows it may have been trimmed.
    """
    return snapshot.as_of >= state.complete_from - 1


def is_ahead(state: ConfigState, snapshot: Snapshot) -> bool:
    """Return whether a snapshot is newer than the last record read."""
    return snapshot.as_of >= state.position


def is_higher(state: ConfigState, snapshot: Snapshot) -> bool:
    """Return whether a snapshot has a higher version than any known one.

    The order of times of publication is that of the versions of an era, and
    holds between eras as well.
    """
    known = state.highest
    if snapshot.published_at and known.published_at:
        found = (snapshot.published_at, snapshot.version)
        return found > (known.published_at, known.version)
    return snapshot.version > known.version


def begin_era(state: ConfigState, era: int) -> ConfigState:
    """Return the state of a reader that begins anew after records were lost.

    The highest version stays.
    """
    return ConfigState(
        service=state.service,
        era=era,
        highest=state.highest,
        checkpoints=state.checkpoints,
    )


def apply_page(state: ConfigState, page: LogPage) -> ConfigState:
    """Return the state after a page of the era that the state has."""
    if state.era == UNKNOWN_ERA:
        state = dataclasses.replace(state, era=page.era)
    for record in page.records:
        state = apply_record(state, record)
    return state


def skip_trimmed_records(state: ConfigState, first_offset: int) -> ConfigState:
    """Return the state after unread records below an offset were trimmed."""
    if first_offset <= state.position:
        return state
    return dataclasses.replace(
        state,
        complete_from=first_offset,
        position=first_offset,
        current=None,
        pending=(),
    )


def apply_record(state: ConfigState, record: LogRecord) -> ConfigState:
    """Return the state after the next record.

    A record below ``position`` changes nothing. There are such records if a
    snapshot from a peer moved the reader past them.
    """
    if record.offset < state.position:
        return state
    if record.offset > state.position:
        state = skip_trimmed_records(state, record.offset)
    try:
        found = decode_record(record.payload)
    except RecordFormatError:
        # The record may change the version in a way that is unknown here.
        return skip_trimmed_records(state, record.offset + 1)
    except RecordError:
        return _advance(state)
    if isinstance(found, Checkpoint):
        return _apply_checkpoint(_advance(state), found, record.offset)
    published = PublicationRecord(
        offset=record.offset, time=record.time, publication=found
    )
    if state.current is None:
        pending = (*state.pending, published)
        return dataclasses.replace(_advance(state), pending=pending)
    return _apply_publication(state, published)


def merge_snapshot(state: ConfigState, snapshot: Snapshot) -> ConfigState:
    """Return the state after a snapshot from a peer or the bootstrap file.

    The snapshot sets the current state if it is ahead of the reader, or if
    the reader has no current state but every record after ``as_of``. In other
    cases it can only raise the highest known version; so does one of another
    era, whose offsets say nothing here.
    """
    if snapshot.version == NO_VERSION or not _is_valid(state, snapshot):
        return state
    eras = {state.era, snapshot.era} - {UNKNOWN_ERA}
    if len(eras) > 1:
        return _raise_highest(state, snapshot)
    if state.current is None and has_records_since(state, snapshot):
        return _set_current(state, snapshot)
    if is_ahead(state, snapshot):
        return _set_current(state, snapshot)
    return _raise_highest(state, snapshot)


def evaluate_publication(
    service: str,
    base: Snapshot,
    publication: Publication,
) -> tuple[RawSections, Outcome | None]:
    """Return the sections after a publication, and why it is rejected.

    The outcome is ``None`` if the publication takes effect.
    """
    if not replaces_in_force(publication, base):
        return base.sections, Conflict(version=base.version)
    sections = apply_change(base.sections, publication.change)
    if not matches_digest(sections, publication):
        return base.sections, Invalid(
            reason='the digest does not match the resulting document'
        )
    try:
        check_document(service, sections)
    except SettingsError as error:
        return base.sections, Invalid(reason=str(error))
    return sections, None


def check_document(service: str, sections: RawSections) -> ServiceDocument:
    """Build the document and check its service name.

    Raises
    ------
    SettingsError
        If the document is invalid or belongs to another service.
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


def _advance(state: ConfigState) -> ConfigState:
    current = state.current
    if current is not None:
        current = dataclasses.replace(current, as_of=state.position)
    return dataclasses.replace(
        state,
        position=state.position + 1,
        current=current,
    )


def _apply_publication(
    state: ConfigState, record: PublicationRecord
) -> ConfigState:
    offset = record.offset
    publication = record.publication
    sections, outcome = evaluate_publication(
        state.service, state.current, publication
    )
    advanced = _advance(state)
    if outcome is None:
        snapshot = Snapshot(
            version=offset,
            as_of=offset,
            sections=sections,
            published_at=record.time,
            era=state.era,
        )
        advanced = dataclasses.replace(advanced, current=snapshot)
        advanced = _raise_highest(advanced, snapshot)
        outcome = Accepted(version=offset)
    entry = PublicationOutcome(
        publication_id=publication.publication_id,
        outcome=outcome,
    )
    outcomes = (*advanced.outcomes, entry)[-_RETAINED_OUTCOMES:]
    return dataclasses.replace(advanced, outcomes=outcomes)


def _apply_checkpoint(
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
        published_at=checkpoint.published_at,
        era=state.era,
    )
    # If records after the checkpoint were trimmed, one of them may have
    # replaced its version, so a reader that starts must not use it.
    return (
        merge_snapshot(state, snapshot)
        if has_records_since(state, snapshot)
        else state
    )


def _set_current(state: ConfigState, snapshot: Snapshot) -> ConfigState:
    later = [each for each in state.pending if each.offset > snapshot.as_of]
    end = state.position
    state = dataclasses.replace(
        state,
        current=snapshot,
        pending=(),
        position=snapshot.as_of + 1,
    )
    state = _raise_highest(state, snapshot)
    for record in later:
        at_offset = dataclasses.replace(state, position=record.offset)
        state = _apply_publication(at_offset, record)
    while state.position < end:
        state = _advance(state)
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
