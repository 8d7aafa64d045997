"""The newest record of each key of a topic, merged from several sources.

Routers read the same log, so the offset of a record orders all copies of a
key. Applying records is idempotent and commutative: a router may hear them
from the store and from peers, twice and in any order.
"""

from collections.abc import Iterable
from dataclasses import dataclass

#: Removed keys that are remembered; the oldest beyond this are forgotten.
#: A forgotten removal could only be undone by a peer that lags by as many.
MAXIMUM_REMOVALS = 2000


@dataclass(frozen=True, slots=True, kw_only=True)
class KeyedRecord:
    """One record of a keyed topic."""

    key: str
    offset: int
    #: ``None`` removes the key.
    value: bytes | None


class KeyedRecords:
    """The newest known record of each key.

    The mark is the offset below which every record has been applied.
    """

    def __init__(self) -> None:
        """Start without records."""
        self._records: dict[str, KeyedRecord] = {}
        #: Offsets at which the meaning of the keys changed last.
        self._changed_at: dict[str, int] = {}
        self._next_offset = 0

    @property
    def next_offset(self) -> int:
        """The offset below which every record has been applied."""
        return self._next_offset

    def apply_records(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
    ) -> tuple[KeyedRecord, ...]:
        """Add records and return those that were new.

        Parameters
        ----------
        records
            In any order.
        next_offset
            The offset below which the sender has applied everything; used
            only if the sender sent all records from our mark on.
        """
        changed = tuple(record for record in records if self._add(record))
        self._next_offset = max(self._next_offset, next_offset)
        self._forget_removals()
        return changed

    def apply_listing(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
    ) -> tuple[KeyedRecord, ...]:
        """Take a complete listing that was begun at ``next_offset``.

        Keys that it lacks are removed, unless their record is newer.
        """
        listed = tuple(records)
        keys = {record.key for record in listed}
        removed = tuple(
            KeyedRecord(key=key, offset=next_offset - 1, value=None)
            for key, record in self._records.items()
            if key not in keys
            and record.offset < next_offset - 1
            and record.value is not None
        )
        return self.apply_records((*listed, *removed), next_offset)

    def note_change(self, record: KeyedRecord) -> None:
        """Note that a record means something else than the one before it."""
        self._changed_at[record.key] = record.offset

    def changes_since(self, next_offset: int) -> tuple[KeyedRecord, ...]:
        """Return what changed from an offset on, oldest first.

        Load pattern: every server writes its entry each second, and nearly
        all entries say what the one before said. A reader that has applied
        everything below the mark needs only those that changed since.
        """
        found = [
            record
            for record in self._records.values()
            if self._changed_at.get(record.key, record.offset) >= next_offset
        ]
        return tuple(sorted(found, key=lambda record: record.offset))

    def _add(self, record: KeyedRecord) -> bool:
        known = self._records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self._records[record.key] = record
        return True

    def _forget_removals(self) -> None:
        removals = [
            record for record in self._records.values() if record.value is None
        ]
        if len(removals) <= MAXIMUM_REMOVALS:
            return
        removals.sort(key=lambda record: record.offset)
        for record in removals[:-MAXIMUM_REMOVALS]:
            self._records.pop(record.key)
            self._changed_at.pop(record.key, None)
