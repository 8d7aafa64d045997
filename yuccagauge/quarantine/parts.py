"""Finds the parts of prompts that crash engines, by evidence of all routers.

A crash breaks all runs of an engine, and innocent prompts share parts with the
one that caused it. The cause is found as in fault localization:

- A run that breaks before or just after the first output is evidence against
  each shared part of its prompt. A run that is answered for a while, or to the
  end, is evidence for them, and settles the crashes noticed before.
- A crash has one cause. What a stronger suspect explains does not count
  against a weaker one. A part that was never answered is the stronger one.

Routers exchange evidence and no conclusions, so that evidence from elsewhere
also reverses a conclusion.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Set
from itertools import chain

from yuccagauge.clock import Millis
from yuccagauge.quarantine.evidence import (
    PartCrash,
    PartEvidence,
    PartRecord,
    independent_crashes,
    is_valid_age,
)
from yuccagauge.quarantine.listener import PartCrashListener
from yuccagauge.quarantine.partevents import (
    BLAMED_PARTS,
    log_blamed,
    log_probed,
    log_released,
)

#: Independent crashes after which requests with a part are refused.
BLAMED_CRASHES = 3

#: The same for a part that was answered before.
BLAMED_CRASHES_OF_SOUND_PART = 5

#: How long a crash is evidence.
EVIDENCE_DURATION = Millis(600_000)

#: Time between two looks for evidence that has expired.
EXPIRY_PERIOD = Millis(1000)

#: Parts with crashes, and sound parts, that are tracked. The one without a
#: recent change is dropped first.
MAXIMUM_PARTS = 10_000

#: Time after the first output from which on an engine has outlived the
#: beginning of the answer.
SOUND_OUTPUT_TIME = Millis(500)

#: Longest time that a message from a peer is under way. A proof that a part is
#: sound is taken to be older by it, so that a late one settles no later crash.
MESSAGE_DELAY = Millis(1000)

#: How long peers are told of a part with a single open crash, or none.
RECENT_CHANGE_TIME = Millis(5000)

#: Time after the last crash before one request with a blamed part is let
#: through, and the factor by which each probe that crashed an engine extends
#: it. The evidence expires before a fourth probe is due.
PROBE_DELAY = Millis(30_000)
PROBE_DELAY_FACTOR = 4

#: The same for a request that is likely to be sound: its blamed part was
#: answered before, or it lacks another part that explains the crashes as well.
LIKELY_SOUND_PROBE_DELAY = Millis(3000)

#: Time between the probes of two routers, within which the second one learns
#: how the first ended.
PROBE_STAGGER = Millis(1000)

#: Time after the blame in which further crashes are of requests that were
#: already under way.
BLAME_SETTLING_TIME = Millis(2000)


class PartQuarantine:
    """Tracks which parts of prompts may crash engines.

    Parameters
    ----------
    maximum
        Largest number of parts that are tracked.
    """

    def __init__(self, maximum: int = MAXIMUM_PARTS) -> None:
        """Create a quarantine without evidence."""
        self._maximum = maximum
        #: Parts with crashes; the latest change is last.
        self._records: OrderedDict[str, PartRecord] = OrderedDict()
        #: Parts with several open crashes; the latest change is last.
        self._suspects: OrderedDict[str, None] = OrderedDict()
        #: When the latest run with the part began to be answered that its
        #: engine outlived; the latest is last.
        self._sound_at: OrderedDict[str, Millis] = OrderedDict()
        #: Blamed parts, with their independent crashes.
        self._blamed: dict[str, int] = {}
        #: Returns how many other routers may probe a part before this one.
        self.probe_rank: Callable[[str], int] = lambda part_id: 0
        self.listeners: list[PartCrashListener] = []
        #: When crashes are next looked at that may have expired.
        self._expires_at = Millis(0)

    def __len__(self) -> int:
        """Return the number of parts with crashes."""
        return len(self._records)

    @property
    def blamed(self) -> frozenset[str]:
        """The parts that are blamed for crashes."""
        return frozenset(self._blamed)

    def blamed_part(self, part_ids: Iterable[str], now: Millis) -> str | None:
        """Return the first of these parts that is blamed, or ``None``."""
        for part_id in part_ids:
            if part_id in self._blamed:
                self._update_blame(now)
                if part_id in self._blamed:
                    return part_id
        return None

    def try_probe(self, part_ids: Iterable[str], now: Millis) -> bool:
        """Return whether a request is let through to test its blamed parts.

        If so, the next one is due only some time later.
        """
        requested = frozenset(part_ids)
        blamed = requested.intersection(self._blamed)
        if not all(self._is_probe_due(part, requested, now) for part in blamed):
            return False
        for part_id in blamed:
            self._records[part_id].probed_at = now
            log_probed(part_id, now - self._records[part_id].crashed_at)
        return True

    def known_crashes(self, part_ids: Iterable[str]) -> frozenset[str]:
        """Return the ids of the crashes of any of these parts."""
        return frozenset(
            crash
            for part_id in part_ids
            if part_id in self._records
            for crash in self._records[part_id].crashes
        )

    def record_crash(
        self, part_ids: tuple[str, ...], crash: PartCrash, now: Millis
    ) -> None:
        """Record a run that broke before its answer had begun for long."""
        for part_id in part_ids:
            self._add_crash(part_id, crash, now)
            for listener in self.listeners:
                listener.part_crash_added(part_id, crash)
        self._update_blame_of(part_ids, now)

    def record_sound(
        self, part_ids: Iterable[str], began_at: Millis, now: Millis
    ) -> None:
        """Record a run that its engine outlived.

        Parameters
        ----------
        began_at
            When the run began to be answered.
        """
        for part_id in part_ids:
            self._record_sound_part(part_id, began_at, now)

    def evidence(self, limit: int, now: Millis) -> tuple[PartEvidence, ...]:
        """Return the evidence to be sent to peers, the strongest first."""
        self._drop_expired(now)
        others = (
            part_id
            for part_id in reversed(self._records)
            if part_id not in self._suspects
        )
        found: list[PartEvidence] = []
        for part_id in chain(reversed(self._suspects), others):
            record = self._records[part_id]
            is_recent = now - record.changed_at < RECENT_CHANGE_TIME
            if len(found) == limit or not (
                is_recent or part_id in self._suspects
            ):
                break
            found.append(self._evidence_of(part_id, record, now))
        return tuple(found)

    def merge(self, evidence: Iterable[PartEvidence], now: Millis) -> None:
        """Add the evidence that a peer sent."""
        changed: list[str] = []
        for reported in evidence:
            part_id = reported.part_id
            changed.append(part_id)
            if reported.sound_age is not None:
                began_at = Millis(now - reported.sound_age - MESSAGE_DELAY)
                self._record_sound_part(part_id, began_at, now)
            for crash in reported.crashes:
                if is_valid_age(crash, EVIDENCE_DURATION):
                    self._add_crash(part_id, _by_age(crash, now), now)
        self._update_blame_of(changed, now)

    def _record_sound_part(
        self, part_id: str, began_at: Millis, now: Millis
    ) -> None:
        known = self._sound_at.get(part_id)
        if known is not None and known >= began_at:
            return
        self._sound_at[part_id] = began_at
        self._sound_at.move_to_end(part_id)
        if len(self._sound_at) > self._maximum:
            self._forget_oldest_answer()
        record = self._records.get(part_id)
        if record is None:
            return
        settled = tuple(
            crash
            for crash in record.open_crashes(known)
            if crash.noticed_at <= began_at
        )
        if settled:
            self._store_change(part_id, record, now)
            if part_id in self._blamed:
                self._update_blame(now)
            for listener in self.listeners:
                listener.part_crashes_settled(part_id, settled)

    def _forget_oldest_answer(self) -> None:
        """Forget when a part was answered, and the crashes that this settled."""
        part_id, sound_at = self._sound_at.popitem(last=False)
        record = self._records.get(part_id)
        if record is not None:
            record.drop_until(sound_at)

    def _add_crash(self, part_id: str, crash: PartCrash, now: Millis) -> None:
        record = self._records.get(part_id, PartRecord())
        if record.add(crash):
            self._store_change(part_id, record, now)

    def _store_change(
        self, part_id: str, record: PartRecord, now: Millis
    ) -> None:
        """Store a record as the latest one that changed."""
        record.changed_at = now
        self._records[part_id] = record
        self._records.move_to_end(part_id)
        self._suspects.pop(part_id, None)
        if len(record.open_crashes(self._sound_at.get(part_id))) > 1:
            self._suspects[part_id] = None
        if len(self._records) > self._maximum:
            self._drop(self._least_important())

    def _update_blame_of(self, part_ids: Iterable[str], now: Millis) -> None:
        """Update the blame if one of these parts has enough crashes for it.

        Load pattern: a fault of the network breaks thousands of runs at once,
        of which each changes the evidence on a few parts.
        """
        if any(
            len(self._records[part_id].crashes) >= BLAMED_CRASHES
            for part_id in part_ids
            if part_id in self._records
        ):
            self._update_blame(now)

    def _update_blame(self, now: Millis) -> None:
        """Blame the parts that explain the crashes best."""
        self._drop_expired(now)
        blamed = self._find_blamed()
        for part_id in self._blamed.keys() - blamed.keys():
            log_released(part_id, is_sound=part_id in self._sound_at)
        for part_id in blamed.keys() - self._blamed.keys():
            self._records[part_id].blamed_at = now
            log_blamed(
                part_id,
                self._records[part_id].open_crashes(
                    self._sound_at.get(part_id)
                ),
                was_sound=part_id in self._sound_at,
                now=now,
            )
        if blamed.keys() != self._blamed.keys():
            BLAMED_PARTS.set(len(blamed))
        self._blamed = blamed

    def _find_blamed(self) -> dict[str, int]:
        """Return the parts to blame, with their independent crashes."""
        suspects = {
            part_id: self._records[part_id].open_crashes(
                self._sound_at.get(part_id)
            )
            for part_id in self._suspects
            if len(self._records[part_id].crashes) >= BLAMED_CRASHES
        }
        blamed: dict[str, int] = {}
        explained: set[str] = set()
        while True:
            counts = {
                part_id: independent_crashes(crashes, explained)
                for part_id, crashes in suspects.items()
                if part_id not in blamed
            }
            ranks = {
                part_id: (part_id not in self._sound_at, count)
                for part_id, count in counts.items()
                if count >= self._crashes_to_blame(part_id)
            }
            if not ranks:
                return blamed
            strongest = max(ranks.values())
            # Nothing tells parts of the same rank apart.
            for part_id, rank in ranks.items():
                if rank == strongest:
                    blamed[part_id] = counts[part_id]
                    explained.update(crash.crash for crash in suspects[part_id])

    def _crashes_to_blame(self, part_id: str) -> int:
        if part_id in self._sound_at:
            return BLAMED_CRASHES_OF_SOUND_PART
        return BLAMED_CRASHES

    def _is_probe_due(
        self, part_id: str, requested: Set[str], now: Millis
    ) -> bool:
        """Return whether a request with these parts may test a blamed one."""
        record = self._records[part_id]
        is_likely_sound = part_id in self._sound_at or any(
            self._explains(rival, part_id)
            for rival in self._blamed.keys() - requested
        )
        delay = LIKELY_SOUND_PROBE_DELAY if is_likely_sound else PROBE_DELAY
        failed_probes = sum(
            crash.noticed_at > record.blamed_at + BLAME_SETTLING_TIME
            for crash in record.crashes.values()
        )
        stagger = PROBE_STAGGER * self.probe_rank(part_id)
        since = max(record.crashed_at, record.probed_at)
        return (
            now - since >= delay * PROBE_DELAY_FACTOR**failed_probes + stagger
        )

    def _explains(self, rival: str, part_id: str) -> bool:
        """Return whether a part was there at each open crash of another one."""
        return self._open_ids(rival) >= self._open_ids(part_id)

    def _open_ids(self, part_id: str) -> frozenset[str]:
        crashes = self._records[part_id].open_crashes(
            self._sound_at.get(part_id)
        )
        return frozenset(crash.crash for crash in crashes)

    def _evidence_of(
        self, part_id: str, record: PartRecord, now: Millis
    ) -> PartEvidence:
        sound_at = self._sound_at.get(part_id)
        return PartEvidence(
            part_id=part_id,
            crashes=tuple(
                _by_age(crash, now) for crash in record.open_crashes(sound_at)
            ),
            sound_age=None if sound_at is None else Millis(now - sound_at),
        )

    def _drop_expired(self, now: Millis) -> None:
        """Drop the crashes of suspects that are no evidence any longer."""
        if now < self._expires_at:
            return
        self._expires_at = Millis(now + EXPIRY_PERIOD)
        for part_id in tuple(self._suspects):
            record = self._records[part_id]
            record.drop_until(Millis(now - EVIDENCE_DURATION))
            if not record.crashes:
                self._drop(part_id)

    def _least_important(self) -> str:
        """Return the oldest part, if possible one that is no suspect."""
        for part_id in self._records:
            if part_id not in self._suspects:
                return part_id
        return next(iter(self._suspects))

    def _drop(self, part_id: str) -> None:
        self._records.pop(part_id)
        self._suspects.pop(part_id, None)
        if self._blamed.pop(part_id, None) is not None:
            log_released(part_id, is_sound=False)


def _by_age(crash: PartCrash, now: Millis) -> PartCrash:
    """Return a crash with its times as ages, or the reverse."""
    return PartCrash(
        crash=crash.crash,
        request=crash.request,
        sent_at=Millis(now - crash.sent_at),
        noticed_at=Millis(now - crash.noticed_at),
    )
