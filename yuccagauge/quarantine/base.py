"""Crash counts of requests, with bounded memory.

A run that ends without a complete answer counts as a crash of its engine from
that moment on, at all routers. It stops counting when something later than the
run shows that the engine lived on, or when the request completes. The reverse,
to count a crash only once the engine's restart is seen, fails open: an engine
may never return, or nothing may tell of it.

Crashes and cleared crashes only grow until they expire. Routers merge them by
union, which may be repeated and done in any order.
"""

import enum
from collections import OrderedDict
from collections.abc import Iterable, Set
from itertools import chain

from yuccagauge.clock import Millis
from yuccagauge.quarantine.entry import (
    CrashEntry,
    CrashSuspicion,
    Evidence,
    WatchedRun,
    crash_id,
)
from yuccagauge.quarantine.events import QuarantineEvent, log_quarantine
from yuccagauge.quarantine.listener import CrashListener
from yuccagauge.quarantine.running import RunningRequests
from yuccagauge.settings.options import Endpoint

#: Crashes after which a request is a suspect, which shares no engine with other
#: suspects.
SUSPECT_CRASHES = 2

#: Crashes after which a request is refused.
REFUSED_CRASHES = 3

#: How long after its last crash a request is refused, and its crashes are kept.
QUARANTINE_DURATION = Millis(600_000)

#: Requests that are tracked. The one without a recent change is dropped first.
MAXIMUM_REQUESTS = 10_000

#: Time after a run in which its crash may still be dismissed. An engine that
#: lives reports its incarnation well within it.
WATCH_DURATION = Millis(20_000)

#: An engine that has ended cannot be back and have loaded weights within this
#: time, so one that reports new weights has reset its runs and lives.
LOAD_EVIDENCE_TIME = Millis(2000)


@enum.unique
class QuarantineStatus(enum.Enum):
    """How a request may be run."""

    CLEAR = 'clear'
    #: The request may run only where no other suspect runs.
    SUSPECT = 'suspect'
    REFUSED = 'refused'


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
        #: The latest change is last.
        self._entries: OrderedDict[bytes, CrashEntry] = OrderedDict()
        #: Requests that are suspects or refused; the latest change is last.
        self._suspects: OrderedDict[bytes, None] = OrderedDict()
        self._watched: dict[Endpoint, set[bytes]] = {}
        self._running = RunningRequests()
        self.listeners: list[CrashListener] = []

    def __len__(self) -> int:
        """Return the number of tracked requests."""
        return len(self._entries)

    def status(self, fingerprint: bytes, now: Millis) -> QuarantineStatus:
        """Return how a request may be run."""
        entry = self._current_entry(fingerprint, now)
        if entry is None or len(entry.crashes) < SUSPECT_CRASHES:
            return QuarantineStatus.CLEAR
        if len(entry.crashes) < REFUSED_CRASHES:
            return QuarantineStatus.SUSPECT
        return QuarantineStatus.REFUSED

    def must_be_stored(self, fingerprint: bytes, now: Millis) -> bool:
        """Return whether routers that start need the crashes of a request."""
        return self.status(fingerprint, now) is not QuarantineStatus.CLEAR

    def remaining_time(self, fingerprint: bytes, now: Millis) -> Millis:
        """Return for how long the crashes of a request are still kept."""
        entry = self._current_entry(fingerprint, now)
        if entry is None:
            return Millis(0)
        return Millis(entry.crashed_at + QUARANTINE_DURATION - now)

    def awaits_evidence(
        self, delay: Millis, now: Millis, duration: Millis = WATCH_DURATION
    ) -> bool:
        """Return whether an engine's incarnation may dismiss a crash now.

        Parameters
        ----------
        delay
            Time after a run before which no incarnation is evidence.
        duration
            Time after that for which it is looked for.
        """
        is_awaited = False
        for engine in tuple(self._watched):
            self._prune_watched(engine)
            for fingerprint, crash, run in self._watched_runs(engine):
                age = now - run.ended_at
                if age >= WATCH_DURATION:
                    self._entries[fingerprint].watched.pop(crash)
                elif run.evidence is Evidence.INCARNATION:
                    is_awaited |= delay <= age < delay + duration
        return is_awaited

    def engines_with_other_suspects(
        self, fingerprint: bytes, now: Millis
    ) -> frozenset[Endpoint]:
        """Return the engines on which another suspect runs."""
        return self._running.engines_of(
            lambda other: (
                other != fingerprint
                and self.status(other, now) is not QuarantineStatus.CLEAR
            )
        )

    def record_start(
        self, fingerprint: bytes, engine: Endpoint
    ) -> frozenset[str]:
        """Record that an engine runs a request; return its known crashes."""
        self._running.add(fingerprint, engine)
        entry = self._entries.get(fingerprint)
        return frozenset() if entry is None else entry.known

    def record_end(self, fingerprint: bytes, engine: Endpoint) -> None:
        """Record that an engine no longer runs a request."""
        self._running.remove(fingerprint, engine)

    def record_broken_connection(
        self,
        fingerprint: bytes,
        engine: Endpoint,
        incarnation: str,
        now: Millis,
        *,
        known: Set[str] = frozenset(),
        evidence: Evidence = Evidence.INCARNATION,
    ) -> None:
        """Record a run that ended without a complete answer.

        Parameters
        ----------
        incarnation
            The engine's incarnation, as known when the run was sent.
        known
            What ``record_start`` returned for the run.
        evidence
            What may show that the engine did not crash.
        """
        crash = crash_id(engine, incarnation, known)
        entry = self._add_crash(fingerprint, crash, now)
        if entry is None:
            return
        entry.watched[crash] = WatchedRun(
            engine=engine,
            incarnation=incarnation,
            ended_at=now,
            evidence=evidence,
        )
        self._watched.setdefault(engine, set()).add(fingerprint)
        log_quarantine(
            QuarantineEvent.SUSPECTED,
            fingerprint,
            len(entry.crashes),
            server=engine,
            incarnation=incarnation,
            evidence=evidence.value,
        )

    def record_crash(self, fingerprint: bytes, crash: str, now: Millis) -> None:
        """Record a crash that nothing but a completion dismisses."""
        self._add_crash(fingerprint, crash, now)

    def record_incarnation(
        self,
        engine: Endpoint,
        incarnation: str,
        measured_at: Millis,
    ) -> None:
        """Confirm or dismiss the crashes of an engine by its incarnation.

        Parameters
        ----------
        measured_at
            A time at which the engine certainly had the incarnation. Crashes
            that were noticed later stay as they are.
        """
        self._prune_watched(engine)
        for fingerprint, crash, run in self._watched_runs(engine):
            is_later = measured_at > run.ended_at
            if is_later and run.evidence is Evidence.INCARNATION:
                self._resolve(
                    fingerprint,
                    crash,
                    is_dismissed=run.incarnation == incarnation,
                    evidence_after_ms=measured_at - run.ended_at,
                )

    def record_load(self, engine: Endpoint, now: Millis) -> None:
        """Dismiss the crashes of an engine that has loaded weights since."""
        for fingerprint, crash, run in self._watched_runs(engine):
            age = now - run.ended_at
            is_recent = age <= LOAD_EVIDENCE_TIME
            if is_recent and run.evidence is Evidence.WEIGHTS:
                self._resolve(
                    fingerprint, crash, is_dismissed=True, evidence_after_ms=age
                )

    def record_completion(self, fingerprint: bytes) -> None:
        """Clear the crashes of a request whose answer is complete."""
        entry = self._entries.get(fingerprint)
        if entry is not None and entry.crashes:
            self._clear_crashes(fingerprint, entry, entry.crashes)
            log_quarantine(QuarantineEvent.CLEARED, fingerprint, 0)

    def recent_suspicions(
        self, limit: int, now: Millis
    ) -> tuple[CrashSuspicion, ...]:
        """Return suspicions to be sent to peers, the most important first.

        Load pattern: one reset of many connections makes hundreds of requests
        crash once. The few that are suspects are sent before them.
        """
        suspicions: list[CrashSuspicion] = []
        others = (
            fingerprint
            for fingerprint in reversed(self._entries)
            if fingerprint not in self._suspects
        )
        expired: list[bytes] = []
        for fingerprint in chain(reversed(self._suspects), others):
            if len(suspicions) == limit:
                break
            entry = self._entries[fingerprint]
            if now - entry.crashed_at < QUARANTINE_DURATION:
                suspicions.append(entry.suspicion(fingerprint, now))
            else:
                expired.append(fingerprint)
        for fingerprint in expired:
            self._drop(fingerprint)
        return tuple(suspicions)

    def merge_suspicions(
        self, suspicions: Iterable[CrashSuspicion], now: Millis
    ) -> None:
        """Add the suspicions that a peer sent."""
        for suspicion in suspicions:
            if not 0 <= suspicion.age < QUARANTINE_DURATION:
                continue
            fingerprint = suspicion.fingerprint
            entry = self._entries.get(fingerprint, CrashEntry())
            previous_count = len(entry.crashes)
            crashed_at = Millis(now - suspicion.age)
            # An entry without crashes that count expires as others do.
            entry.crashed_at = entry.crashed_at or crashed_at
            self._clear_crashes(fingerprint, entry, suspicion.cleared)
            if entry.add(suspicion.crashes, crashed_at):
                self._store_change(fingerprint, entry)
            if len(entry.crashes) != previous_count:
                log_quarantine(
                    QuarantineEvent.MERGED,
                    fingerprint,
                    len(entry.crashes),
                    age_ms=suspicion.age,
                )

    def _add_crash(
        self, fingerprint: bytes, crash: str, now: Millis
    ) -> CrashEntry | None:
        """Add a crash; return the entry unless the crash was known."""
        entry = self._entries.get(fingerprint, CrashEntry())
        if not entry.add((crash,), now):
            return None
        self._store_change(fingerprint, entry)
        for listener in self.listeners:
            listener.crash_added(fingerprint, crash)
        return entry

    def _clear_crashes(
        self, fingerprint: bytes, entry: CrashEntry, crashes: Iterable[str]
    ) -> None:
        cleared = entry.clear(crashes)
        if cleared:
            self._store_change(fingerprint, entry)
        for listener in self.listeners:
            listener.crashes_cleared(fingerprint, cleared)

    def _resolve(
        self,
        fingerprint: bytes,
        crash: str,
        *,
        is_dismissed: bool,
        evidence_after_ms: int,
    ) -> None:
        """Stop to watch a run; dismiss its crash, or keep it."""
        entry = self._entries[fingerprint]
        run = entry.watched.pop(crash)
        event = QuarantineEvent.CONFIRMED
        if is_dismissed:
            event = QuarantineEvent.DISMISSED
            self._clear_crashes(fingerprint, entry, (crash,))
        log_quarantine(
            event,
            fingerprint,
            len(entry.crashes),
            server=run.engine,
            incarnation=run.incarnation,
            evidence_after_ms=evidence_after_ms,
        )

    def _watched_runs(
        self, engine: Endpoint
    ) -> tuple[tuple[bytes, str, WatchedRun], ...]:
        """Return the watched runs of an engine, with request and crash id."""
        return tuple(
            (fingerprint, crash, run)
            for fingerprint in self._watched.get(engine, ())
            if fingerprint in self._entries
            for crash, run in self._entries[fingerprint].watched.items()
            if run.engine == engine
        )

    def _prune_watched(self, engine: Endpoint) -> None:
        """Forget requests of which no run on an engine is watched."""
        fingerprints = {each[0] for each in self._watched_runs(engine)}
        if fingerprints:
            self._watched[engine] = fingerprints
        else:
            self._watched.pop(engine, None)

    def _current_entry(
        self, fingerprint: bytes, now: Millis
    ) -> CrashEntry | None:
        entry = self._entries.get(fingerprint)
        if entry is None:
            return None
        if now - entry.crashed_at >= QUARANTINE_DURATION:
            self._drop(fingerprint)
            return None
        return entry

    def _store_change(self, fingerprint: bytes, entry: CrashEntry) -> None:
        """Store an entry as the latest one that changed."""
        self._entries[fingerprint] = entry
        self._entries.move_to_end(fingerprint)
        self._suspects.pop(fingerprint, None)
        if len(entry.crashes) >= SUSPECT_CRASHES:
            self._suspects[fingerprint] = None
        if len(self._entries) > self._maximum:
            self._drop(self._least_important())

    def _least_important(self) -> bytes:
        """Return the oldest request, if possible one that is no suspect."""
        for fingerprint in self._entries:
            if fingerprint not in self._suspects:
                return fingerprint
        return next(iter(self._suspects))

    def _drop(self, fingerprint: bytes) -> None:
        self._entries.pop(fingerprint)
        self._suspects.pop(fingerprint, None)
