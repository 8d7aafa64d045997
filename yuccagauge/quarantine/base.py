"""Crash counts of requests, with bounded memory.

A run that ends without a complete answer counts as a crash of its engine from
that moment on, at all routers. It stops counting when something later than the
run shows that the engine lived on, or when the request completes. The reverse,
to count a crash only once the engine's restart is seen, fails open: an engine
may never return, or nothing may tell of it.

Crashes and cleared crashes only grow until they expire. Routers merge them by
union, which may be repeated and done in any order.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Set
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
from yuccagauge.quarantine.status import (
    SUSPECT_CRASHES,
    QuarantineStatus,
    status_after,
)
from yuccagauge.settings.options import Endpoint

#: How long after its last crash a request is refused, and its crashes are kept.
QUARANTINE_DURATION = Millis(600_000)

#: Requests that are tracked. The one without a recent change is dropped first.
MAXIMUM_REQUESTS = 10_000

#: Time after a run in which its crash may still be dismissed. An engine that
#: lives reports its incarnation well within it.
WATCH_DURATION = Millis(20_000)


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
        return status_after(0 if entry is None else len(entry.crashes))

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
                elif self._entries[fingerprint].is_looked_for(run):
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
        sent_at: Millis = Millis(0),
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
        sent_at
            When the run was sent; of use to ``Evidence.SURVIVAL``.
        """
        crash = crash_id(engine, incarnation, known)
        entry = self._add_crash(fingerprint, crash, now)
        if entry is None:
            return
        entry.watched[crash] = WatchedRun(
            engine=engine,
            incarnation=incarnation,
            sent_at=sent_at,
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
        self._resolve_runs(
            engine,
            lambda _, run: run.lives_as(incarnation, measured_at),
            measured_at,
        )

    def record_survival(
        self,
        engine: Endpoint,
        incarnation: str,
        measured_at: Millis,
        started_before: Millis,
    ) -> None:
        """Dismiss the crashes of an engine whose process is older than the run.

        Parameters
        ----------
        incarnation
            The engine without a stated start.
        measured_at
            A time at which the process certainly ran.
        started_before
            A time before which it had started.
        """
        self._resolve_runs(
            engine,
            lambda entry, run: (
                run.is_survived_by(incarnation, started_before, measured_at)
                if entry.may_have_survivor
                else None
            ),
            measured_at,
        )

    def record_load(self, engine: Endpoint, now: Millis) -> None:
        """Dismiss the crashes of an engine that has loaded weights since."""
        self._resolve_runs(
            engine, lambda _, run: run.is_reset_by_load(now), now
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

    def _resolve_runs(
        self,
        engine: Endpoint,
        judge: Callable[[CrashEntry, WatchedRun], bool | None],
        evidence_at: Millis,
    ) -> None:
        """Stop to watch the runs that are judged; dismiss or keep their crashes.

        Parameters
        ----------
        judge
            Returns whether the engine has lived on, ``None`` if it is not known.
        """
        for fingerprint, crash, run in self._watched_runs(engine):
            entry = self._entries[fingerprint]
            has_lived = judge(entry, run)
            if has_lived is None:
                continue
            entry.watched.pop(crash)
            if has_lived:
                self._clear_crashes(fingerprint, entry, (crash,))
            log_quarantine(
                QuarantineEvent.DISMISSED
                if has_lived
                else QuarantineEvent.CONFIRMED,
                fingerprint,
                len(entry.crashes),
                server=run.engine,
                incarnation=run.incarnation,
                evidence=run.evidence.value,
                evidence_after_ms=evidence_at - run.ended_at,
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
