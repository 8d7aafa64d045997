"""Stores the crashes of requests outside of the routers.

Routers exchange their crashes directly. The store carries them to routers that
no peer reaches, and to routers that start when no other one runs.

Load pattern: one reset of many connections makes hundreds of requests crash
once. A router that hears its peers writes only the crashes of suspects.
"""

from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import islice
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.erawatch import EraWatch
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.quarantine.base import (
    QUARANTINE_DURATION,
    CrashSuspicion,
)
from yuccagauge.quarantine.listener import CrashListener
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Time between two calls to the store, if there is anything to write or read.
PERIOD = Millis(500)

#: Time between two readings while no peer is heard.
ISOLATED_READ_PERIOD = Millis(1000)

#: How long a router that starts waits for the crashes before it is ready.
LOAD_TIMEOUT = Millis(1000)

#: Changes that wait to be written, and crashes that are known to be stored. The
#: oldest are dropped first.
MAXIMUM_CHANGES = 2000

#: Changes that one call writes.
CHANGES_PER_CALL = 200


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredCrash:
    """A crash of one request in the store."""

    fingerprint: bytes
    crash: str
    #: Wall time at which it was noticed, in ms; ``None`` removes the crash.
    crashed_at: Millis | None


class CrashStore(Protocol):
    """Keeps crashes until they are removed."""

    def write_crashes(self, crashes: tuple[StoredCrash, ...]) -> Deferred[None]:
        """Add or remove crashes, all or none of them.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """

    def list_crashes(self) -> Deferred[tuple[StoredCrash, ...]]:
        """Return all crashes.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """


class KnownCrashes(Protocol):
    """The crashes that a router knows."""

    listeners: list[CrashListener]

    def must_be_stored(self, fingerprint: bytes, now: Millis) -> bool:
        """Return whether routers that start need the crashes of a request."""

    def merge_suspicions(
        self, suspicions: Iterable[CrashSuspicion], now: Millis
    ) -> None:
        """Add the crashes that the store has."""


class CrashArchive:
    """Writes what a router finds out about crashes, and reads it if needed.

    Parameters
    ----------
    crashes
        Has the crashes of this router.
    store
        Keeps the crashes of all routers.
    reactor, clock
        Schedule the calls and tell the time.
    is_isolated
        Returns whether this router hears no other one.
    era
        Returns the era of the store. When it rises, the crashes are written
        again.
    """

    def __init__(
        self,
        crashes: KnownCrashes,
        store: CrashStore,
        reactor: Any,
        clock: Clock,
        is_isolated: Callable[[], bool],
        era: Callable[[], int] = lambda: UNKNOWN_ERA,
    ) -> None:
        """Create an archive that makes no call before ``start``."""
        self._crashes = crashes
        self._store = store
        self._clock = clock
        self._is_isolated = is_isolated
        self._task = PeriodicTask('crash_archive', self._update, reactor)
        #: Crashes to be written, by request and id; the oldest first.
        self._changes: OrderedDict[tuple[bytes, str], StoredCrash] = (
            OrderedDict()
        )
        #: Crashes that this router has written or read, the oldest first.
        self._stored: OrderedDict[tuple[bytes, str], StoredCrash] = (
            OrderedDict()
        )
        self._started_at = Millis(0)
        self._read_at: Millis | None = None
        self._is_reachable: bool | None = None
        self._era_watch = EraWatch(era)

    @property
    def is_ready(self) -> bool:
        """Whether the crashes are known, or cannot be read in time."""
        return (
            self._read_at is not None
            or self._clock.now() - self._started_at >= LOAD_TIMEOUT
        )

    def start(self) -> None:
        """Read the crashes, and write changes from now on."""
        self._started_at = self._clock.now()
        self._crashes.listeners.append(self)
        self._task.start(in_seconds(PERIOD))

    def close(self) -> None:
        """Stop calling the store."""
        self._task.close()

    def crash_added(self, fingerprint: bytes, crash: str) -> None:
        """Write a crash once that is needed."""
        self._changes[fingerprint, crash] = StoredCrash(
            fingerprint=fingerprint,
            crash=crash,
            crashed_at=self._clock.wall_time(),
        )
        _drop_oldest(self._changes)

    def crashes_cleared(
        self, fingerprint: bytes, crashes: tuple[str, ...]
    ) -> None:
        """Remove crashes soon, unless they are not written yet."""
        for crash in crashes:
            self._changes.pop((fingerprint, crash), None)
            if (fingerprint, crash) in self._stored:
                self._changes[fingerprint, crash] = StoredCrash(
                    fingerprint=fingerprint, crash=crash, crashed_at=None
                )
        _drop_oldest(self._changes)

    @inlineCallbacks
    def _update(self) -> Any:
        if self._era_watch.take_rise():
            # A change that waits is newer than what was stored.
            self._changes = OrderedDict(self._stored | self._changes)
            _drop_oldest(self._changes)
        try:
            if self._must_read():
                stored = yield self._store.list_crashes()
                self._merge(stored)
                self._record_reachable(is_reachable=True)
            changes = self._due_changes()
            if changes:
                yield self._store.write_crashes(changes)
                self._record_written(changes)
                self._record_reachable(is_reachable=True)
        except StoreUnavailableError as error:
            self._record_reachable(is_reachable=False, reason=str(error))

    def _record_reachable(
        self, *, is_reachable: bool, reason: str = ''
    ) -> None:
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            log_state_change(
                'crash_store_reached' if is_reachable else 'crash_store_lost',
                reason=reason,
            )

    def _must_read(self) -> bool:
        if self._read_at is None:
            return True
        age = self._clock.now() - self._read_at
        return age >= ISOLATED_READ_PERIOD and self._is_isolated()

    def _due_changes(self) -> tuple[StoredCrash, ...]:
        """Return the changes that other routers may need, the oldest first."""
        is_isolated = self._is_isolated()
        now = self._clock.now()
        due = (
            change
            for change in self._changes.values()
            if is_isolated
            or change.crashed_at is None
            or self._crashes.must_be_stored(change.fingerprint, now)
        )
        return tuple(islice(due, CHANGES_PER_CALL))

    def _record_written(self, changes: tuple[StoredCrash, ...]) -> None:
        for change in changes:
            key = change.fingerprint, change.crash
            is_current = self._changes.get(key) is change
            if is_current:
                self._changes.pop(key)
            if change.crashed_at is None:
                self._stored.pop(key, None)
                continue
            self._stored[key] = change
            if not is_current:
                # The crash was cleared while it was written.
                self.crashes_cleared(change.fingerprint, (change.crash,))
        _drop_oldest(self._stored)

    def _merge(self, stored: Iterable[StoredCrash]) -> None:
        """Merge the crashes of the store, and remove those that are too old."""
        self._read_at = self._clock.now()
        ages: dict[bytes, dict[str, Millis]] = defaultdict(dict)
        for found in stored:
            self._stored[found.fingerprint, found.crash] = found
            # The clocks of routers differ, so an age may be negative.
            age = max(0, self._clock.wall_time() - found.crashed_at)
            if age < QUARANTINE_DURATION:
                ages[found.fingerprint][found.crash] = Millis(age)
            else:
                self.crashes_cleared(found.fingerprint, (found.crash,))
        _drop_oldest(self._stored)
        self._crashes.merge_suspicions(
            (
                CrashSuspicion(
                    fingerprint=fingerprint,
                    crashes=frozenset(crashes),
                    cleared=frozenset(),
                    age=min(crashes.values()),
                )
                for fingerprint, crashes in ages.items()
            ),
            self._clock.now(),
        )


def _drop_oldest(stored: OrderedDict[tuple[bytes, str], Any]) -> None:
    while len(stored) > MAXIMUM_CHANGES:
        stored.popitem(last=False)
