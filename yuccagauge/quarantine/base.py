"""Suspicions against requests. Pure state, bounded in memory.

A suspicion names the incarnation that crashed, so that the same crash seen
by several routers counts once. Crashes and cleared crashes are sets that
only grow until the entry expires; merging two routers' sets is a union and
may be repeated in any order.
"""

import enum
import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint

#: Crashes after which a request runs beside no other suspect.
SUSPECT_CRASHES = 2

#: Crashes after which a request is refused.
REFUSED_CRASHES = 3

#: How long a request is refused, and how long a suspicion is kept.
QUARANTINE_TIME = Millis(600_000)

#: Requests that are remembered; the least recently suspected go first.
MAXIMUM_ENTRIES = 10_000

#: Crashes that are remembered for one request.
_MAXIMUM_CRASHES = 16

#: Size of a crash's name; peers exchange at most 48 characters.
_CRASH_BYTES = 8


@enum.unique
class QuarantineStatus(enum.Enum):
    """How a request may be run."""

    CLEAR = 'clear'
    #: Only where no other suspect runs.
    SUSPECT = 'suspect'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashSuspicion:
    """What routers tell each other about one request."""

    fingerprint: bytes
    #: Names of the crashes while it ran; see ``crash_id``.
    crashes: frozenset[str]
    #: Those of them that no longer count, because the request completed.
    cleared: frozenset[str]
    #: Time since the last crash, in ms.
    age: Millis


@dataclass(slots=True)
class _Entry:
    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    #: Engines and incarnations that may have crashed, and when.
    pending: dict[tuple[Endpoint, str], Millis] = field(default_factory=dict)
    crashed_at: Millis = Millis(0)

    @property
    def weight(self) -> int:
        return len(self.crashes - self.cleared) + len(self.pending)


class Quarantine:
    """Suspicions, and where suspects run.

    Parameters
    ----------
    maximum
        Requests that are remembered.
    """

    def __init__(self, maximum: int = MAXIMUM_ENTRIES) -> None:
        """Start without suspicions."""
        self._maximum = maximum
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()
        self._pending: dict[Endpoint, set[bytes]] = {}
        self._running: dict[Endpoint, dict[bytes, int]] = {}

    def __len__(self) -> int:
        """Return the number of remembered requests."""
        return len(self._entries)

    @property
    def has_unconfirmed_crashes(self) -> bool:
        """Whether a sign of life of some engine would settle a case."""
        return bool(self._pending)

    def status(self, fingerprint: bytes, now: Millis) -> QuarantineStatus:
        """Return how a request may be run."""
        entry = self._live_entry(fingerprint, now)
        if entry is None or entry.weight < SUSPECT_CRASHES:
            return QuarantineStatus.CLEAR
        if entry.weight < REFUSED_CRASHES:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.REFUSED

    def remaining_time(self, fingerprint: bytes, now: Millis) -> Millis:
        """Return for how long a suspicion is still kept, in ms."""
        entry = self._live_entry(fingerprint, now)
        if entry is None:
            return Millis(0)
        return Millis(entry.crashed_at + QUARANTINE_TIME - now)

    def engines_with_other_suspects(
        self, fingerprint: bytes, now: Millis
    ) -> frozenset[Endpoint]:
        """Return the engines where another suspect runs."""
        return frozenset(
            engine
            for engine, running in self._running.items()
            if any(
                other != fingerprint
                and self.status(other, now) is not QuarantineStatus.CLEAR
                for other in running
            )
        )

    def record_start(self, fingerprint: bytes, engine: Endpoint) -> None:
        """Note that an engine runs a request."""
        running = self._running.setdefault(engine, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def record_end(self, fingerprint: bytes, engine: Endpoint) -> None:
        """Note that an engine no longer runs a request."""
        running = self._running.get(engine, {})
        count = running.pop(fingerprint, 0) - 1
        if count > 0:
            running[fingerprint] = count
        if not running:
            self._running.pop(engine, None)

    def record_broken_connection(
        self,
        fingerprint: bytes,
        engine: Endpoint,
        incarnation: str,
        now: Millis,
    ) -> None:
        """Note a connection that broke while a request ran.

        It counts as a crash until the engine shows the same incarnation.
        """
        entry = self._touch(fingerprint)
        if len(entry.pending) < _MAXIMUM_CRASHES:
            entry.pending[engine, incarnation] = now
        entry.crashed_at = max(entry.crashed_at, now)
        waiting = self._pending.setdefault(engine, set())
        if len(waiting) < self._maximum:
            waiting.add(fingerprint)

    def record_crash(self, fingerprint: bytes, crash: str, now: Millis) -> None:
        """Note a crash that needs no confirmation."""
        entry = self._touch(fingerprint)
        _add(entry.crashes, frozenset((crash,)))
        entry.crashed_at = max(entry.crashed_at, now)

    def record_incarnation(
        self,
        engine: Endpoint,
        incarnation: str,
        measured_at: Millis,
    ) -> None:
        """Settle open cases by the incarnation that an engine shows.

        Load reports lag, so one that was measured before a connection broke
        says nothing about that case.
        """
        open_cases = self._pending.pop(engine, set())
        for fingerprint in open_cases:
            entry = self._entries.get(fingerprint)
            if entry is None:
                continue
            if _settle(entry, engine, incarnation, measured_at):
                self._pending.setdefault(engine, set()).add(fingerprint)

    def record_completion(self, fingerprint: bytes) -> None:
        """Clear a request whose answer is complete."""
        entry = self._entries.get(fingerprint)
        if entry is not None:
            entry.cleared |= entry.crashes
            entry.pending.clear()

    def recent_suspicions(
        self, limit: int, now: Millis
    ) -> tuple[CrashSuspicion, ...]:
        """Return the latest suspicions, to tell peers."""
        found: list[CrashSuspicion] = []
        for fingerprint, entry in reversed(self._entries.items()):
            if len(found) == limit:
                break
            if entry.crashes and now - entry.crashed_at < QUARANTINE_TIME:
                found.append(
                    CrashSuspicion(
                        fingerprint=fingerprint,
                        crashes=frozenset(entry.crashes),
                        cleared=frozenset(entry.cleared),
                        age=Millis(now - entry.crashed_at),
                    ),
                )
        return tuple(found)

    def merge_suspicions(
        self, suspicions: tuple[CrashSuspicion, ...], now: Millis
    ) -> None:
        """Take the suspicions of a peer."""
        for suspicion in suspicions:
            if not 0 <= suspicion.age < QUARANTINE_TIME:
                continue
            entry = self._touch(suspicion.fingerprint)
            _add(entry.crashes, suspicion.crashes)
            _add(entry.cleared, suspicion.cleared)
            crashed_at = Millis(now - suspicion.age)
            entry.crashed_at = max(entry.crashed_at, crashed_at)

    def _live_entry(self, fingerprint: bytes, now: Millis) -> _Entry | None:
        entry = self._entries.get(fingerprint)
        if entry is None:
            return None
        if now - entry.crashed_at >= QUARANTINE_TIME:
            del self._entries[fingerprint]
            return None
        return entry

    def _touch(self, fingerprint: bytes) -> _Entry:
        entry = self._entries.setdefault(fingerprint, _Entry())
        self._entries.move_to_end(fingerprint)
        if len(self._entries) > self._maximum:
            self._entries.popitem(last=False)
        return entry


def crash_id(engine: Endpoint, incarnation: str) -> str:
    """Return the same short name for a crash on all routers."""
    named = f'{engine}/{incarnation}'.encode()
    return hashlib.blake2b(named, digest_size=_CRASH_BYTES).hexdigest()


def _settle(
    entry: _Entry,
    engine: Endpoint,
    incarnation: str,
    measured_at: Millis,
) -> bool:
    """Settle the cases of one engine; return whether any stays open."""
    stays_open = False
    for case, broke_at in tuple(entry.pending.items()):
        if case[0] != engine:
            continue
        if measured_at <= broke_at:
            stays_open = True
            continue
        del entry.pending[case]
        if case[1] != incarnation:
            crash = crash_id(engine, case[1])
            _add(entry.crashes, frozenset((crash,)))
    return stays_open


def _add(known: set[str], more: frozenset[str]) -> None:
    room = _MAXIMUM_CRASHES - len(known)
    known.update(sorted(more - known)[:room])
