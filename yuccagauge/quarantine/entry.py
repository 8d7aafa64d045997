"""The crashes of one request."""

import enum
import hashlib
from collections.abc import Iterable, Set
from dataclasses import dataclass, field

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint

#: Crashes that count, and crashes that no longer count, which are stored for
#: one request.
MAXIMUM_CRASHES = 16

#: Size of the digest in a crash id. The id has two characters for each byte,
#: and peers exchange at most 48 characters.
_CRASH_ID_BYTES = 8


@enum.unique
class Evidence(enum.Enum):
    """What may show that the engine of a run lived on."""

    #: Nothing but the completion of the request.
    COMPLETION = 'completion'
    #: The incarnation that the engine reports later.
    INCARNATION = 'incarnation'
    #: New weights: the engine was loading, and may have reset the run.
    WEIGHTS = 'weights'


@dataclass(frozen=True, slots=True, kw_only=True)
class WatchedRun:
    """A run that counts as a crash until its engine is shown to live on."""

    engine: Endpoint
    incarnation: str
    #: When this router noticed that the run had ended.
    ended_at: Millis
    evidence: Evidence


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
