"""Stores when the latest weights versions were named.

Load pattern: all routers restart at the same moment, just after new weights
were named. None of them knows for how long these are named, so that they could
not use engines with the weights before, although they still may for some
seconds.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.base import TargetEvidence
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Time between two looks at what has to be read or written.
_PERIOD = Millis(250)

#: By how much both estimates of an age may fall short in common.
AGE_MARGIN = Millis(1000)


@dataclass(frozen=True, slots=True, kw_only=True)
class StoredTarget:
    """``TargetEvidence`` on one model, with the time of day."""

    version: int
    previous: int
    #: Unix time.
    named_after: Millis
    #: Servers, and entries that had been written to the store in all by then.
    servers: int
    entries: int


class TargetStore(Protocol):
    """Keeps for each model when its latest versions were named."""

    def list_targets(self) -> Deferred[Mapping[str, Sequence[StoredTarget]]]:
        """Return what is stored on each model.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """

    def write_targets(
        self, model: str, targets: Sequence[StoredTarget]
    ) -> Deferred[None]:
        """Replace what is stored on a model.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """


class TargetArchive:
    """Reads the times at the start, and writes those of new versions.

    The time since a record is estimated by the time of day and by the number
    of entries that servers have written since. Clocks may step, and servers
    may be silent, so the larger estimate counts.

    Parameters
    ----------
    directory
        Knows when versions were named, and learns it.
    store
        Keeps the times for all routers.
    reactor, clock
        Schedule the calls and tell the time.
    heartbeat
        Time between two entries of a server.
    is_writer
        Returns whether this router writes. A few do, so that hundreds do not
        write the same.
    """

    def __init__(
        self,
        directory: Directory,
        store: TargetStore,
        reactor: Any,
        clock: Clock,
        *,
        heartbeat: Millis,
        is_writer: Callable[[], bool],
    ) -> None:
        """Create an archive that makes no call before ``start``."""
        self._directory = directory
        self._store = store
        self._clock = clock
        self._heartbeat = heartbeat
        self._is_writer = is_writer
        self._task = PeriodicTask('target_archive', self._update, reactor)
        self._is_updating = False
        self._has_read = False
        #: Model, version and previous version of what is stored.
        self._stored: set[tuple[str, int, int]] = set()
        self._is_reachable: bool | None = None

    def start(self) -> None:
        """Read the times, and write those of new versions from now on."""
        self._directory.listeners.append(self._update_soon)
        self._task.start(in_seconds(_PERIOD))

    def close(self) -> None:
        """Stop calling the store."""
        self._task.close()

    def _update_soon(self) -> None:
        """Read or write at once: all routers may end before the next look."""
        if self._task.is_running:
            self._update()

    @inlineCallbacks
    def _update(self) -> Any:
        if self._is_updating or not self._directory.is_ready:
            return
        self._is_updating = True
        try:
            if not self._has_read:
                stored = yield self._store.list_targets()
                self._has_read = True
                self._merge(stored)
            for model, evidence in self._unstored().items():
                yield self._store.write_targets(
                    model, tuple(map(self._as_stored, evidence))
                )
                self._stored.update(map(_key, evidence))
                log_state_change(
                    'targets_stored',
                    model=model,
                    versions=[each.version for each in evidence],
                )
        except StoreUnavailableError as error:
            self._record_reachable(is_reachable=False, reason=str(error))
            return
        finally:
            self._is_updating = False
        self._record_reachable(is_reachable=True)

    def _merge(self, stored: Mapping[str, Sequence[StoredTarget]]) -> None:
        now = self._clock.now()
        evidence = tuple(
            TargetEvidence(
                model=model,
                version=target.version,
                previous=target.previous,
                named_after=Millis(now - self._age_of(target)),
            )
            for model, targets in stored.items()
            for target in targets
            if target.entries <= self._directory.next_offset(Topic.SERVERS)
        )
        self._stored.update(map(_key, evidence))
        self._directory.merge_target_evidence(evidence)

    def _age_of(self, target: StoredTarget) -> Millis:
        """Return the longest time since a version was named."""
        by_clock = self._clock.wall_time() - target.named_after
        directory = self._directory
        entries = directory.next_offset(Topic.SERVERS) - target.entries
        servers = max(1, min(target.servers, len(directory.servers)))
        by_entries = self._heartbeat * entries // servers
        return Millis(max(0, by_clock, by_entries) + AGE_MARGIN)

    def _unstored(self) -> dict[str, list[TargetEvidence]]:
        """Return all evidence on the models with something new."""
        evidence = self._directory.target_evidence(self._clock.now())
        changed = {
            each.model for each in evidence if _key(each) not in self._stored
        }
        if not changed or not self._is_writer():
            return {}
        return {
            model: [each for each in evidence if each.model == model]
            for model in changed
        }

    def _as_stored(self, evidence: TargetEvidence) -> StoredTarget:
        age = self._clock.now() - evidence.named_after
        servers = len(self._directory.servers)
        # The record may be written long after the naming.
        written_since = -(-servers * age // self._heartbeat)
        entries = self._directory.next_offset(Topic.SERVERS) - written_since
        return StoredTarget(
            version=evidence.version,
            previous=evidence.previous,
            named_after=Millis(max(0, self._clock.wall_time() - age)),
            servers=servers,
            entries=max(0, entries),
        )

    def _record_reachable(
        self, *, is_reachable: bool, reason: str = ''
    ) -> None:
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            log_state_change(
                'target_store_reached' if is_reachable else 'target_store_lost',
                reason=reason,
            )


def _key(evidence: TargetEvidence) -> tuple[str, int, int]:
    return evidence.model, evidence.version, evidence.previous
