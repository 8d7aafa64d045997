"""Crash counts of requests, with bounded memory and without I/O.

The id of a crash contains the incarnation that crashed, so that a crash seen
by several routers counts once. Crashes and cleared crashes are sets that only
grow until their entry expires. Routers merge them by union, which may be
repeated and done in any order.
"""

import enum
import hashlib
from collections import OrderedDict
from dataclasses import dataclass, field

from yuccagauge.clock import Millis
from yuccagauge.quarantine.events import QuarantineEvent, log_quarantine
from yuccagauge.settings.options import Endpoint

#: Crashes after which a request is a suspect, which shares no engine with other
#: suspects.
SUSPECT_CRASHES = 2

#: Crashes after which a request is refused.
REFUSED_CRASHES = 3

#: How long after its last crash a request is refused, and its crashes are kept.
QUARANTINE_DURATION = Millis(600_000)

#: Requests that are tracked. The least recently suspected one is dropped first.
MAXIMUM_REQUESTS = 10_000

#: Crashes that are tracked for one request.
_MAXIMUM_CRASHES_PER_REQUEST = 16

#: Size of the digest in a crash id. The id has two characters for each byte,
#: and peers exchange at most 48 characters.
_CRASH_ID_BYTES = 8


@enum.unique
class QuarantineStatus(enum.Enum):
    """How a request may be run."""

    CLEAR = 'clear'
    #: The request may run only where no other suspect runs.
    SUSPECT = 'suspect'
    REFUSED = 'refused'


@dataclass(frozen=True, slots=True, kw_only=True)
class CrashSuspicion:
    """The crashes of one request, as routers exchange them."""

    fingerprint: bytes
    #: Ids of the crashes while the request ran; see ``crash_id``.
    crashes: frozenset[str]
    #: Ids of those crashes that no longer count, since the request completed.
    cleared: frozenset[str]
    #: Time since the last crash, in ms.
    age: Millis


@dataclass(slots=True)
class _Entry:
    crashes: set[str] = field(default_factory=set)
    cleared: set[str] = field(default_factory=set)
    #: Engine and incarnation of each unconfirmed crash, with the time at which
    #: the connection broke.
    unconfirmed: dict[tuple[Endpoint, str], Millis] = field(
        default_factory=dict
    )
    crashed_at: Millis = Millis(0)

    @property
    def crash_count(self) -> int:
        return len(self.crashes - self.cleared) + len(self.unconfirmed)


class Quarantine:
    """Tracks which requests may crash engines, and where requests run.

    Parameters
    ----------
    maximum
        Largest number of requests that are tracked.
    """

    def __init__(self, maximum: int = MAXIMUM_REQUESTS) -> None:
        """Create an empty quarantine."""
        self._maximum = maximum
        self._entries: OrderedDict[bytes, _Entry] = OrderedDict()
        self._unconfirmed: dict[Endpoint, set[bytes]] = {}
        self._running: dict[Endpoint, dict[bytes, int]] = {}

    def __len__(self) -> int:
        """Return the number of tracked requests."""
        return len(self._entries)

    @property
    def has_unconfirmed_crashes(self) -> bool:
        """Whether a crash waits to be confirmed by the engine's incarnation."""
        return bool(self._unconfirmed)

    def status(self, fingerprint: bytes, now: Millis) -> QuarantineStatus:
        """Return how a request may be run."""
        entry = self._current_entry(fingerprint, now)
        if entry is None or entry.crash_count < SUSPECT_CRASHES:
            return QuarantineStatus.CLEAR
        if entry.crash_count < REFUSED_CRASHES:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.REFUSED

    def remaining_time(self, fingerprint: bytes, now: Millis) -> Millis:
        """Return for how long the crashes of a request are still kept."""
        entry = self._current_entry(fingerprint, now)
        if entry is None:
            return Millis(0)
        return Millis(entry.crashed_at + QUARANTINE_DURATION - now)

    def engines_with_other_suspects(
        self, fingerprint: bytes, now: Millis
    ) -> frozenset[Endpoint]:
        """Return the engines on which another suspect runs."""
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
        """Record that an engine runs a request."""
        running = self._running.setdefault(engine, {})
        running[fingerprint] = running.get(fingerprint, 0) + 1

    def record_end(self, fingerprint: bytes, engine: Endpoint) -> None:
        """Record that an engine no longer runs a request."""
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
        """Record a connection that broke while a request ran.

        It counts as a crash until the engine reports the same incarnation
        again.
        """
        entry = self._refresh_entry(fingerprint)
        if len(entry.unconfirmed) < _MAXIMUM_CRASHES_PER_REQUEST:
            entry.unconfirmed[engine, incarnation] = now
        entry.crashed_at = max(entry.crashed_at, now)
        fingerprints = self._unconfirmed.setdefault(engine, set())
        if len(fingerprints) < self._maximum:
            fingerprints.add(fingerprint)
        log_quarantine(
            QuarantineEvent.SUSPECTED,
            fingerprint,
            entry.crash_count,
            server=engine,
            incarnation=incarnation,
        )

    def record_crash(self, fingerprint: bytes, crash: str, now: Millis) -> None:
        """Record a crash that needs no confirmation."""
        entry = self._refresh_entry(fingerprint)
        _add_bounded(entry.crashes, frozenset((crash,)))
        entry.crashed_at = max(entry.crashed_at, now)

    def record_incarnation(
        self,
        engine: Endpoint,
        incarnation: str,
        measured_at: Millis,
    ) -> None:
        """Confirm or dismiss unconfirmed crashes by an engine's incarnation.

        Load reports lag. A report that was measured before a connection broke
        says nothing about that crash.
        """
        fingerprints = self._unconfirmed.pop(engine, set())
        for fingerprint in fingerprints:
            entry = self._entries.get(fingerprint)
            if entry is None:
                continue
            if _confirm_or_dismiss(
                fingerprint, entry, engine, incarnation, measured_at
            ):
                self._unconfirmed.setdefault(engine, set()).add(fingerprint)

    def record_completion(self, fingerprint: bytes) -> None:
        """Clear the crashes of a request whose answer is complete."""
        entry = self._entries.get(fingerprint)
        if entry is None:
            return
        had_crashes = entry.crash_count
        entry.cleared |= entry.crashes
        entry.unconfirmed.clear()
        if had_crashes:
            log_quarantine(QuarantineEvent.CLEARED, fingerprint, 0)

    def recent_suspicions(
        self, limit: int, now: Millis
    ) -> tuple[CrashSuspicion, ...]:
        """Return the latest suspicions, to be sent to peers."""
        suspicions: list[CrashSuspicion] = []
        for fingerprint, entry in reversed(self._entries.items()):
            if len(suspicions) == limit:
                break
            if entry.crashes and now - entry.crashed_at < QUARANTINE_DURATION:
                suspicions.append(
                    CrashSuspicion(
                        fingerprint=fingerprint,
                        crashes=frozenset(entry.crashes),
                        cleared=frozenset(entry.cleared),
                        age=Millis(now - entry.crashed_at),
                    ),
                )
        return tuple(suspicions)

    def merge_suspicions(
        self, suspicions: tuple[CrashSuspicion, ...], now: Millis
    ) -> None:
        """Add the suspicions that a peer sent."""
        for suspicion in suspicions:
            if not 0 <= suspicion.age < QUARANTINE_DURATION:
                continue
            entry = self._refresh_entry(suspicion.fingerprint)
            previous_count = entry.crash_count
            _add_bounded(entry.crashes, suspicion.crashes)
            _add_bounded(entry.cleared, suspicion.cleared)
            crashed_at = Millis(now - suspicion.age)
            entry.crashed_at = max(entry.crashed_at, crashed_at)
            if entry.crash_count != previous_count:
                log_quarantine(
                    QuarantineEvent.MERGED,
                    suspicion.fingerprint,
                    entry.crash_count,
                    age_ms=suspicion.age,
                )

    def _current_entry(self, fingerprint: bytes, now: Millis) -> _Entry | None:
        entry = self._entries.get(fingerprint)
        if entry is None:
            return None
        if now - entry.crashed_at >= QUARANTINE_DURATION:
            del self._entries[fingerprint]
            return None
        return entry

    def _refresh_entry(self, fingerprint: bytes) -> _Entry:
        entry = self._entries.setdefault(fingerprint, _Entry())
        self._entries.move_to_end(fingerprint)
        if len(self._entries) > self._maximum:
            self._entries.popitem(last=False)
        return entry


def crash_id(engine: Endpoint, incarnation: str) -> str:
    """Return the id of a crash, which is the same on all routers."""
    text = f'{engine}/{incarnation}'.encode()
    return hashlib.blake2b(text, digest_size=_CRASH_ID_BYTES).hexdigest()


def _confirm_or_dismiss(
    fingerprint: bytes,
    entry: _Entry,
    engine: Endpoint,
    incarnation: str,
    measured_at: Millis,
) -> bool:
    """Confirm or dismiss the unconfirmed crashes of one engine.

    Returns whether any of them stays unconfirmed.
    """
    has_unconfirmed = False
    for unconfirmed_crash, broke_at in tuple(entry.unconfirmed.items()):
        if unconfirmed_crash[0] != engine:
            continue
        if measured_at <= broke_at:
            has_unconfirmed = True
            continue
        del entry.unconfirmed[unconfirmed_crash]
        is_confirmed = unconfirmed_crash[1] != incarnation
        if is_confirmed:
            crash = crash_id(engine, unconfirmed_crash[1])
            _add_bounded(entry.crashes, frozenset((crash,)))
        log_quarantine(
            QuarantineEvent.CONFIRMED
            if is_confirmed
            else QuarantineEvent.DISMISSED,
            fingerprint,
            entry.crash_count,
            server=engine,
            incarnation=incarnation,
            evidence_after_ms=measured_at - broke_at,
        )
    return has_unconfirmed


def _add_bounded(crashes: set[str], added: frozenset[str]) -> None:
    free_slots = _MAXIMUM_CRASHES_PER_REQUEST - len(crashes)
    crashes.update(sorted(added - crashes)[:free_slots])
