"""The crashes of one request."""

import enum
import hashlib
from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from yuccagauge.clock import Millis
from yuccagauge.quarantine.status import (
    REFUSED_CRASHES,
    QuarantineStatus,
    status_after,
)
from yuccagauge.settings.options import Endpoint

#: Crashes that count, and crashes that no longer count, which are stored for
#: one request.
MAXIMUM_CRASHES = 16

#: An engine that has ended cannot be back and have loaded weights within this
#: time, so one that reports new weights has reset its runs and lives.
LOAD_EVIDENCE_TIME = Millis(2000)

#: Size of the digest in a crash id. The id has two characters for each byte,
#: and peers exchange at most 48 characters.
_CRASH_ID_BYTES = 8


@enum.unique
class Evidence(enum.Enum):
    """What may show that the engine of a run lived on."""

    #: The incarnation that the engine reports later.
    INCARNATION = 'incarnation'
    #: That the process which runs later had started before the run was sent;
    #: the engine stated no incarnation.
    SURVIVAL = 'survival'
    #: New weights: the engine was loading, and may have reset the run.
    WEIGHTS = 'weights'


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchedRun:
    """A run that counts as a crash until its engine is shown to live on."""

    engine: Endpoint
    incarnation: str
    #: When this router sent the run, and noticed that it had ended.
    sent_at: Millis
    ended_at: Millis
    evidence: Evidence

    def lives_as(self, incarnation: str, measured_at: Millis) -> bool | None:
        """Return whether its engine has lived on, by a later incarnation.

        ``None`` if that is not evidence for the run.
        """
        is_later = measured_at > self.ended_at
        if is_later and self.evidence is Evidence.INCARNATION:
            return self.incarnation == incarnation
        return None

    def is_survived_by(
        self, incarnation: str, started_before: Millis, measured_at: Millis
    ) -> bool | None:
        """Return whether a process that ran later had got the run.

        ``None`` if that is not known: another process proves nothing, because
        its age is known as a lower bound only.
        """
        is_engine = (
            self.evidence is Evidence.SURVIVAL
            and self.incarnation == incarnation
        )
        if is_engine and started_before < self.sent_at:
            return True if measured_at > self.ended_at else None
        return None

    def is_reset_by_load(self, now: Millis) -> bool | None:
        """Return whether a load of weights that ends now has reset the run."""
        is_recent = now - self.ended_at <= LOAD_EVIDENCE_TIME
        if is_recent and self.evidence is Evidence.WEIGHTS:
            return True
        return None


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashSuspicion:
    """The crashes of one request, as routers exchange them."""

    fingerprint: bytes
    #: Ids of the crashes while the request ran; see ``crash_id``.
    crashes: frozenset[str]
    #: Ids of those crashes that no longer count.
    cleared: frozenset[str]
    #: Time since the last crash, in ms.
    age: Millis


@dataclass(slots=True)
class CrashEntry:
    """The crashes of one request, as one router knows them."""

    #: Ids of the crashes that count.
    crashes: set[str] = field(default_factory=set)
    #: Ids of the crashes that no longer count, the oldest first.
    cleared: dict[str, None] = field(default_factory=dict)
    #: Runs of this router, by the id of the crash that they may be.
    watched: dict[str, WatchedRun] = field(default_factory=dict)
    #: When the last crash was noticed.
    crashed_at: Millis = Millis(0)

    @property
    def known(self) -> frozenset[str]:
        """Ids of all crashes, whether they count or not."""
        return frozenset(self.crashes).union(self.cleared)

    @property
    def may_have_survivor(self) -> bool:
        """Whether an engine of unknown start that lived on ends the refusal.

        It rests on what engines need not state, so it counts once: if it is
        wrong, the request gets to three engines more.
        """
        return (
            status_after(len(self.crashes)) is QuarantineStatus.REFUSED
            and len(self.known) <= REFUSED_CRASHES
        )

    def is_looked_for(self, run: WatchedRun) -> bool:
        """Return whether the store is read for what shows that an engine lived.

        Load pattern: all connections of engines that state no incarnation break
        at once. A request that is not refused needs no such evidence.
        """
        return run.evidence is Evidence.INCARNATION or (
            run.evidence is Evidence.SURVIVAL and self.may_have_survivor
        )

    def suspicion(self, fingerprint: bytes, now: Millis) -> CrashSuspicion:
        """Return the crashes in the form in which peers get them."""
        return CrashSuspicion(
            fingerprint=fingerprint,
            crashes=self.known,
            cleared=frozenset(self.cleared),
            age=Millis(now - self.crashed_at),
        )

    def add(self, crashes: Iterable[str], crashed_at: Millis) -> bool:
        """Add crashes; return whether one of them was new."""
        new = sorted(set(crashes) - self.known)
        added = new[: MAXIMUM_CRASHES - len(self.crashes)]
        if added:
            self.crashes.update(added)
            self.crashed_at = max(self.crashed_at, crashed_at)
        return bool(added)

    def clear(self, crashes: Iterable[str]) -> tuple[str, ...]:
        """Stop counting crashes; return those for which this is new."""
        new = tuple(sorted(set(crashes).difference(self.cleared)))
        for crash in new:
            self.crashes.discard(crash)
            self.watched.pop(crash, None)
            self.cleared[crash] = None
        while len(self.cleared) > MAXIMUM_CRASHES:
            self.cleared.pop(next(iter(self.cleared)))
        return new


def crash_id(
    engine: Endpoint, incarnation: str, known: Set[str] = frozenset()
) -> str:
    """Return the id of a crash, which is the same on all routers.

    An engine may restart while no router learns of its new incarnation. The
    known crashes tell the crash of a run that was sent after the restart from
    the earlier one. Runs that were sent before both became known share one id,
    because the same crash may have ended them.

    Parameters
    ----------
    known
        Ids of the crashes that were known when the run was sent.
    """
    crash = _digest(f'{engine}/{incarnation}')
    number = 0
    while crash in known:
        number += 1
        crash = _digest(f'{engine}/{incarnation}/{number}')
    return crash


def _digest(text: str) -> str:
    return hashlib.blake2b(
        text.encode(), digest_size=_CRASH_ID_BYTES
    ).hexdigest()
