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
from yuccagauge.directory.erawatch import EraWatch
from yuccagauge.directory.heartbeats import (
    SampledHeartbeat,
    event_times,
    has_survivor,
    sample,
)
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Time between two looks at what has to be read or written.
_PERIOD = Millis(250)

#: By how much all estimates of an age may fall short in common.
AGE_MARGIN = Millis(1000)

#: Heartbeats after the start in which the ages become more precise: entries
#: that are read then are newer than those that were listed.
_PRECISION_BEATS = 3


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
    #: Counts of some servers, since the time in ``named_after``.
    heartbeats: tuple[SampledHeartbeat, ...] = ()


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

    The time since a record is estimated by the time of day, and by the count of
    each of some servers. Clocks may step, and servers may be silent, so the
    largest estimate counts. If none of these servers is known to live on, the
    number of entries that all servers have written since is a further one.

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
    servers_known_until
        Returns the time before which servers wrote no entry that this router
        does not know; ``None`` if it has not listed them.
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
        servers_known_until: Callable[[], Millis | None],
    ) -> None:
        """Create an archive that makes no call before ``start``."""
        self._directory = directory
        self._store = store
        self._clock = clock
        self._heartbeat = heartbeat
        self._is_writer = is_writer
        self._servers_known_until = servers_known_until
        self._task = PeriodicTask('target_archive', self._update, reactor)
        self._is_updating = False
        self._has_read = False
        self._restored: list[_RestoredTarget] = []
        self._listed_at = Millis(0)
        #: Model, version and previous version of what is stored, and of what is
        #: stored with counts of heartbeats.
        self._stored: set[_Key] = set()
        self._sampled: set[_Key] = set()
        self._is_reachable: bool | None = None
        self._era_watch = EraWatch(lambda: directory.era(Topic.SERVERS))

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
        known_until = self._servers_known_until()
        is_ready = self._directory.is_ready and known_until is not None
        if self._is_updating or not is_ready:
            return
        self._is_updating = True
        if self._era_watch.take_rise():
            self._stored.clear()
            self._sampled.clear()
        try:
            if not self._has_read:
                stored = yield self._store.list_targets()
                self._has_read = True
                self._listed_at = known_until
                self._restore(stored)
            self._merge_restored()
            for model, evidence in self._unstored().items():
                targets = tuple(map(self._as_stored, evidence))
                yield self._store.write_targets(model, targets)
                self._record_stored(model, targets)
                log_state_change(
                    'targets_stored',
                    model=model,
                    versions=[each.version for each in evidence],
                    servers=[len(each.heartbeats) for each in targets],
                )
        except StoreUnavailableError as error:
            self._record_reachable(is_reachable=False, reason=str(error))
            return
        finally:
            self._is_updating = False
        self._record_reachable(is_reachable=True)

    def _restore(self, stored: Mapping[str, Sequence[StoredTarget]]) -> None:
        """Estimate the ages of what is stored."""
        offset = self._directory.next_offset(Topic.SERVERS)
        for model, targets in stored.items():
            # Offsets that are lower now were given out again.
            known = [each for each in targets if each.entries <= offset]
            self._record_stored(model, known)
            self._restored += [
                _RestoredTarget(
                    model=model,
                    target=target,
                    named_after=Millis(
                        self._clock.now() - self._age_of(target)
                    ),
                )
                for target in known
            ]

    def _merge_restored(self) -> None:
        """Estimate the ages again, with the newest counts of heartbeats."""
        if not self._restored:
            return
        self._directory.merge_target_evidence(
            TargetEvidence(
                model=restored.model,
                version=restored.target.version,
                previous=restored.target.previous,
                named_after=min(
                    [restored.named_after, *self._times_of(restored.target)]
                ),
            )
            for restored in self._restored
        )
        precise_at = self._listed_at + _PRECISION_BEATS * self._heartbeat
        if self._clock.now() >= precise_at:
            self._restored.clear()

    def _times_of(self, target: StoredTarget) -> list[Millis]:
        """Return the time of a naming by the count of each server."""
        times = event_times(
            target.heartbeats,
            self._directory.heartbeats,
            self._listed_at,
            self._heartbeat,
        )
        return [Millis(time - AGE_MARGIN) for time in times]

    def _age_of(self, target: StoredTarget) -> Millis:
        """Return the longest time since a naming, without single servers."""
        ages = [0, self._clock.wall_time() - target.named_after]
        if not has_survivor(target.heartbeats, self._directory.heartbeats):
            offset = self._directory.next_offset(Topic.SERVERS)
            listed = len(self._directory.servers)
            servers = max(1, min(target.servers, listed))
            entries = offset - target.entries
            ages.append(self._heartbeat * entries // servers)
        return Millis(max(ages) + AGE_MARGIN)

    def _unstored(self) -> dict[str, list[TargetEvidence]]:
        """Return all evidence on the models with something new."""
        now = self._clock.now()
        evidence = self._directory.target_evidence(now)
        missing = {
            _key(each) for each in evidence if _key(each) not in self._sampled
        }
        if not missing or not self._is_writer():
            return {}
        if not self._sample(now, now):
            missing -= self._stored
        changed = {key[0] for key in missing}
        return {
            model: [each for each in evidence if each.model == model]
            for model in changed
        }

    def _as_stored(self, evidence: TargetEvidence) -> StoredTarget:
        now = self._clock.now()
        age = now - evidence.named_after
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
            heartbeats=self._sample(evidence.named_after, now),
        )

    def _sample(
        self, event_at: Millis, now: Millis
    ) -> tuple[SampledHeartbeat, ...]:
        heartbeats = self._directory.heartbeats
        return sample(heartbeats, event_at, now, self._heartbeat)

    def _record_stored(
        self, model: str, targets: Sequence[StoredTarget]
    ) -> None:
        for target in targets:
            key = (model, target.version, target.previous)
            self._stored.add(key)
            if target.heartbeats:
                self._sampled.add(key)

    def _record_reachable(
        self, *, is_reachable: bool, reason: str = ''
    ) -> None:
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            log_state_change(
                'target_store_reached' if is_reachable else 'target_store_lost',
                reason=reason,
            )


@dataclass(frozen=True, slots=True, kw_only=True)
class _RestoredTarget:
    """What was stored on a naming, and a time before it."""

    model: str
    target: StoredTarget
    named_after: Millis


#: Model, version and previous version of a range.
_Key = tuple[str, int, int]


def _key(evidence: TargetEvidence) -> _Key:
    return evidence.model, evidence.version, evidence.previous
