"""The pure ledger of one shard: the fold that decides who holds a key.

Safety rests on these rules, each of which is a function of this module that
the model checker replaces to see that it is needed:

- the first claim for a key wins (``is_free``);
- a call is sent only after its claim was read as the winner (``may_send``);
- only the winner releases or answers its key (``is_owner``);
- a claim id that was released never wins (``was_released``);
- a key that a trimmed claim may hold is never granted (``is_expired``);
- a key that a claim may hold which the log has lost is never granted
  (``is_lost``);
- a claim is not written, and does not count, while its key time lies more
  than ``SKEW`` after a log time that was seen (``is_early``). A release of
  it can then not be trimmed before its key has expired.
"""

import enum
import struct
from collections import deque
from collections.abc import Collection, MutableMapping

from yuccagauge.claims.base import SKEW, Claim, Outcome, Record, Release
from yuccagauge.clock import Millis
from yuccagauge.logstream.base import FIRST_ERA

#: Keys are dropped together, by the minute of their time.
_BUCKET_MS = 60_000

#: The times of some records are kept, this far apart, to find the floor.
_MARK_EVERY_MS = 30_000

#: Kind, claim id, fingerprint, offset of the outcome.
_ENTRY = struct.Struct('>B16s16sq')
_HELD = 0
_DONE = 1
_NO_OFFSET = -1


@enum.unique
class ClaimResult(enum.Enum):
    """What the ledger says of a claim."""

    #: The key is free.
    FREE = 'free'
    #: This very claim holds the key.
    WON = 'won'
    #: Another claim holds the key.
    HELD = 'held'
    #: The call was answered.
    DONE = 'done'
    #: The key belongs to a request with another fingerprint.
    MISMATCH = 'mismatch'
    #: The claim id was given up before.
    RELEASED = 'released'
    #: A claim for the key may have been trimmed or lost.
    EXPIRED = 'expired'
    #: The key time lies too far after the log's time.
    EARLY = 'early'


def is_free(entry: bytes | None) -> bool:
    """Return whether a claim may take a key with this entry."""
    return entry is None


def is_owner(entry: bytes, claim_id: bytes) -> bool:
    """Return whether an entry is held, unanswered, by a claim id."""
    kind, holder, _, _ = _ENTRY.unpack(entry)
    return kind == _HELD and holder == claim_id


def was_released(claim_id: bytes, released: Collection[bytes]) -> bool:
    """Return whether a claim id was given up."""
    return claim_id in released


def is_expired(key_time: Millis, floor: Millis | None) -> bool:
    """Return whether a claim for the key may have been trimmed.

    ``floor`` is the log time of the oldest record that the ledger was built
    from, or ``None`` if nothing was trimmed before it.
    """
    return floor is not None and key_time <= floor + SKEW


def is_lost(key_time: Millis, lost_until: Millis | None) -> bool:
    """Return whether the log may have lost a claim for the key.

    ``lost_until`` is the log time of the first record after the last loss, or
    ``None`` if none was seen.
    """
    return lost_until is not None and key_time <= lost_until + SKEW


def is_early(key_time: Millis, log_time: Millis | None) -> bool:
    """Return whether a key time lies too far after a log time."""
    return log_time is None or key_time > log_time + SKEW


def may_send(result: ClaimResult) -> bool:
    """Return whether the call of a claim may be sent.

    The claim has to be read back from the log as the winner; a free key in
    this router's view may be taken in the log already.
    """
    return result is ClaimResult.WON


class Ledger:
    """Fold over one claim stream, in offset order."""

    def __init__(self) -> None:
        """Start at the beginning of an untrimmed stream."""
        self._entries: dict[int, dict[bytes, bytes]] = {}
        self._released: dict[int, set[bytes]] = {}
        self._floor: Millis | None = None
        self._floor_unknown = False
        self._log_time: Millis | None = None
        self._marks: deque[tuple[int, Millis]] = deque()
        #: The newest era that a record names.
        self._era = FIRST_ERA
        self._lost_until: Millis | None = None

    def __len__(self) -> int:
        """Return the number of keys that are held or answered."""
        return sum(map(len, self._entries.values()))

    @property
    def floor(self) -> Millis | None:
        """Keys up to ``SKEW`` after this time expire; ``None`` for none."""
        return self._floor

    @property
    def log_time(self) -> Millis | None:
        """The time of the last record that was read."""
        return self._log_time

    @property
    def released_ids(self) -> int:
        """The number of released claim ids that are remembered."""
        return sum(map(len, self._released.values()))

    def read_gap(self) -> None:
        """Forget everything: records before the next one were trimmed.

        Every key that a trimmed claim may hold expires by the floor that
        the next record sets.
        """
        self._entries.clear()
        self._released.clear()
        self._marks.clear()
        self._floor_unknown = True

    def read_restored(self) -> None:
        """Keep what is known although the log has lost records.

        The calls of lost claims may have run. Offsets begin anew.
        """
        self._marks.clear()

    def raise_floor(self, floor: Millis) -> None:
        """Drop what belongs to keys that expire by a floor."""
        if self._floor is not None and floor <= self._floor:
            return
        self._floor = floor
        last = (floor + SKEW) // _BUCKET_MS
        _drop_below(self._entries, last)
        _drop_below(self._released, last)

    def trim(self, first_offset: int) -> None:
        """Take note of the oldest record that the log still has.

        The floor becomes the time of a record at or before it. A floor that
        is too low only keeps entries longer.
        """
        while len(self._marks) > 1 and self._marks[1][0] <= first_offset:
            self._marks.popleft()
        if self._marks and 0 < self._marks[0][0] <= first_offset:
            self.raise_floor(self._marks[0][1])

    def observe(self, offset: int, time: Millis) -> None:
        """Take offset and time of the next record, before its contents."""
        self._log_time = time
        if not self._marks or time >= self._marks[-1][1] + _MARK_EVERY_MS:
            self._marks.append((offset, time))
        if self._floor_unknown:
            self._floor_unknown = False
            self.raise_floor(time)

    def observe_era(self, era: int, time: Millis) -> None:
        """Take the era that the next record names, before its contents.

        Between the last record of an older era and the first one of a newer
        era, claims may have been lost. Records of older builds name none.
        """
        if era > self._era:
            self._lost_until = time
        self._era = max(self._era, era)

    def is_early(self, claim: Claim) -> bool:
        """Return whether the claim must not be written yet."""
        return is_early(claim.key_time, self._log_time)

    def look(self, claim: Claim) -> ClaimResult:
        """Return what would become of a claim; nothing changes."""
        if self._floor_unknown or is_expired(claim.key_time, self._floor):
            return ClaimResult.EXPIRED
        bucket = _bucket(claim)
        if was_released(claim.claim_id, self._released.get(bucket, ())):
            return ClaimResult.RELEASED
        entry = self._entry(claim)
        if is_free(entry):
            may_be_lost = is_lost(claim.key_time, self._lost_until)
            return ClaimResult.EXPIRED if may_be_lost else ClaimResult.FREE
        kind, holder, fingerprint, _ = _ENTRY.unpack(entry)
        if fingerprint != claim.fingerprint:
            return ClaimResult.MISMATCH
        if kind == _DONE:
            return ClaimResult.DONE
        if holder == claim.claim_id:
            return ClaimResult.WON
        return ClaimResult.HELD

    def outcome_offset(self, claim: Claim) -> int | None:
        """Return the offset of the log record with a key's outcome."""
        entry = self._entry(claim)
        if entry is None:
            return None
        offset = _ENTRY.unpack(entry)[-1]
        return None if offset == _NO_OFFSET else offset

    def apply(self, offset: int, record: Record) -> ClaimResult | None:
        """Fold one record; return the result if it is a claim.

        ``observe`` comes before the first record of each offset.
        """
        if isinstance(record, Claim):
            return self._apply_claim(record)
        if isinstance(record, Release):
            self._apply_release(record)
        else:
            self._apply_outcome(offset, record)
        return None

    def _entry(self, record: Record) -> bytes | None:
        return self._entries.get(_bucket(record), {}).get(record.key)

    def _enter(self, record: Record, entry: bytes) -> None:
        self._entries.setdefault(_bucket(record), {})[record.key] = entry

    def _apply_claim(self, claim: Claim) -> ClaimResult:
        result = self.look(claim)
        if result is not ClaimResult.FREE:
            return result
        if self.is_early(claim):
            return ClaimResult.EARLY
        entry = (_HELD, claim.claim_id, claim.fingerprint, _NO_OFFSET)
        self._enter(claim, _ENTRY.pack(*entry))
        return ClaimResult.WON

    def _apply_release(self, release: Release) -> None:
        entry = self._entry(release)
        if entry is not None and is_owner(entry, release.claim_id):
            self._entries[_bucket(release)].pop(release.key)
        if not is_expired(release.key_time, self._floor):
            bucket = _bucket(release)
            self._released.setdefault(bucket, set()).add(release.claim_id)

    def _apply_outcome(self, offset: int, outcome: Outcome) -> None:
        entry = self._entry(outcome)
        if entry is None or not is_owner(entry, outcome.claim_id):
            return
        _, holder, fingerprint, _ = _ENTRY.unpack(entry)
        done = (_DONE, holder, fingerprint, offset)
        self._enter(outcome, _ENTRY.pack(*done))


def _bucket(record: Record) -> int:
    # A key has one time, since its digest covers it; so it has one bucket.
    return record.key_time // _BUCKET_MS


def _drop_below(buckets: MutableMapping[int, object], last: int) -> None:
    old = [number for number in buckets if number < last]
    for number in old:
        buckets.pop(number)
