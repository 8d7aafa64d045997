"""The newest record of each key of a topic, merged from several sources.

All routers read the same log, so the offsets order the records of a key within
an era of the store. Applying records is idempotent and commutative: a router
may receive them from the store and from peers, more than once and in any order.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from yuccagauge.directory.position import UNKNOWN_ERA, StorePosition

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

    The next offset is the one below which all records have been applied. All
    records that are applied are of the era that was begun last.
    """

    def __init__(self) -> None:
        """Create an empty topic."""
        self._records: dict[str, KeyedRecord] = {}
        self._positions: dict[str, StorePosition] = {}
        #: Position of the last record that changed the decoded value of a key.
        self._changes: dict[str, StorePosition] = {}
        self._next = StorePosition(UNKNOWN_ERA, 0)

    @property
    def next_offset(self) -> int:
        """The offset below which all records have been applied."""
        return self._next.offset

    @property
    def era(self) -> int:
        """The era of the next offset."""
        return self._next.era

    @property
    def records(self) -> tuple[KeyedRecord, ...]:
        """The newest record of each key."""
        return tuple(self._records.values())

    def begin_era(self, era: int) -> None:
        """Expect records of a later era, which follow all known ones."""
        self._next = max(self._next, StorePosition(era, 0))

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
        self._next = max(self._next, self._position(next_offset))
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
            and self._positions[key] < self._position(next_offset - 1)
            and record.value is not None
        )
        return self.apply_records((*listed, *removed), next_offset)

    def mark_changed(self, record: KeyedRecord) -> None:
        """Mark a record whose decoded value differs from the previous one."""
        position = self._position(record.offset)
        self._changes[record.key] = max(
            position, self._changes.get(record.key, position)
        )

    def changes_since(self, next_offset: int) -> tuple[KeyedRecord, ...]:
        """Return the records that changed from an offset on, oldest first.

        The offset is one of the era that was begun last.

        Load pattern: every server writes its entry each second, and nearly
        all entries repeat the values of the previous one. A receiver that has
        applied all records below the offset needs only the changed ones.
        """
        since = self._position(next_offset)
        found = [
            record
            for key, record in self._records.items()
            if self._changes.get(key, self._positions[key]) >= since
        ]
        return tuple(
            sorted(found, key=lambda record: self._positions[record.key])
        )

    def _position(self, offset: int) -> StorePosition:
        return StorePosition(self._next.era, offset)

    def _add(self, record: KeyedRecord) -> bool:
        position = self._position(record.offset)
        known = self._positions.get(record.key)
        if known is not None and known >= position:
            return False
        if known is not None and (
            known.era < position.era or self._records[record.key].value is None
        ):
            # A receiver may have a removal that precedes the record.
            self._changes[record.key] = position
        self._records[record.key] = record
        self._positions[record.key] = position
        return True

    def _drop_old_removals(self) -> None:
        removals = [
            record for record in self._records.values() if record.value is None
        ]
        if len(removals) <= MAXIMUM_REMOVALS:
            return
        removals.sort(key=lambda record: self._positions[record.key])
        for record in removals[:-MAXIMUM_REMOVALS]:
            self._records.pop(record.key)
            self._positions.pop(record.key)
            self._changes.pop(record.key, None)
