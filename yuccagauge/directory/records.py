"""The newest record of each key of a topic, merged from several sources.

All routers read the same log, so the offsets order the records of a key.
Applying records is idempotent and commutative: a router may receive them from
the store and from peers, more than once and in any order.
"""

from collections.abc import Iterable
from dataclasses import dataclass

#: Removals that are stored; older ones are dropped. Only a peer that lags by
#: this many removals could restore a key whose removal was dropped.
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

    The next offset is the one below which all records have been applied.
    """

    def __init__(self) -> None:
        """Create an empty topic."""
        self._records: dict[str, KeyedRecord] = {}
        #: Offset of the last record that changed the decoded value of a key.
        self._change_offsets: dict[str, int] = {}
        self._next_offset = 0

    @property
    def next_offset(self) -> int:
        """The offset below which all records have been applied."""
        return self._next_offset

    def apply_records(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
    ) -> tuple[KeyedRecord, ...]:
        """Merge records and return those that were new.

        Parameters
        ----------
        records
            In any order.
        next_offset
            The offset below which the sender has applied all records. Pass
            it only if ``records`` has all changes from the receiver's next
            offset on.
        """
        changed = tuple(record for record in records if self._add(record))
        self._next_offset = max(self._next_offset, next_offset)
        self._drop_old_removals()
        return changed

    def apply_listing(
        self,
        records: Iterable[KeyedRecord],
        next_offset: int,
    ) -> tuple[KeyedRecord, ...]:
        """Merge a complete listing that was begun at ``next_offset``.

        Known keys that are not listed are removed, unless their record is
        newer than the listing.
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

    def mark_changed(self, record: KeyedRecord) -> None:
        """Mark a record whose decoded value differs from the previous one."""
        self._change_offsets[record.key] = record.offset

    def changes_since(self, next_offset: int) -> tuple[KeyedRecord, ...]:
        """Return the records that changed from an offset on, oldest first.

        Load pattern: every server writes its entry each second, and nearly
        all entries repeat the values of the previous one. A receiver that has
        applied all records below the offset needs only the changed ones.
        """
        found = [
            record
            for record in self._records.values()
            if self._change_offsets.get(record.key, record.offset)
            >= next_offset
        ]
        return tuple(sorted(found, key=lambda record: record.offset))

    def _add(self, record: KeyedRecord) -> bool:
        known = self._records.get(record.key)
        if known is not None and known.offset >= record.offset:
            return False
        self._records[record.key] = record
        return True

    def _drop_old_removals(self) -> None:
        removals = [
            record for record in self._records.values() if record.value is None
        ]
        if len(removals) <= MAXIMUM_REMOVALS:
            return
        removals.sort(key=lambda record: record.offset)
        for record in removals[:-MAXIMUM_REMOVALS]:
            self._records.pop(record.key)
            self._change_offsets.pop(record.key, None)
