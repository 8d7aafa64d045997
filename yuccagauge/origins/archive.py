"""Stores which services have several software versions.

Routers that start when no other one runs learn from it which versions can have
begun the streams that callers take up. While a service has one version, nothing
is written.
"""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.erawatch import EraWatch
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.origins.base import ORIGIN_LIFETIME
from yuccagauge.origins.versions import VersionHistory, VersionSighting
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Time between two looks at what has to be read or written.
_PERIOD = Millis(250)

#: Sorted versions of each service that had several lately.
StoredVersions = Mapping[str, tuple[str, ...]]


class VersionStore(Protocol):
    """Keeps the versions of services until they are removed."""

    def list_versions(self) -> Deferred[StoredVersions]:
        """Return the versions of all services that are stored.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """

    def write_versions(
        self, service: str, versions: tuple[str, ...]
    ) -> Deferred[None]:
        """Store the versions of a service, or remove it if there are none.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """


class VersionArchive:
    """Reads the versions at the start, and writes those that change.

    Parameters
    ----------
    history
        What this router knows of versions.
    store
        Keeps them for all routers.
    reactor, clock
        Schedule the calls and tell the time.
    is_writer
        Returns whether this router writes. A few do, so that hundreds do not
        write the same.
    era
        Returns the era of the store. When it rises, the versions are read and
        written again.
    """

    def __init__(
        self,
        history: VersionHistory,
        store: VersionStore,
        reactor: Any,
        clock: Clock,
        is_writer: Callable[[], bool],
        era: Callable[[], int] = lambda: UNKNOWN_ERA,
    ) -> None:
        """Create an archive that makes no call before ``start``."""
        self._history = history
        self._store = store
        self._clock = clock
        self._is_writer = is_writer
        self._task = PeriodicTask('version_archive', self._update, reactor)
        self._stored: dict[str, tuple[str, ...]] | None = None
        self._is_reachable: bool | None = None
        self._era_watch = EraWatch(era)

    def start(self) -> None:
        """Read the versions, and write changes from now on."""
        self._task.start(in_seconds(_PERIOD))

    def close(self) -> None:
        """Stop calling the store."""
        self._task.close()

    @inlineCallbacks
    def _update(self) -> Any:
        if self._era_watch.take_rise():
            self._stored = None
        try:
            if self._stored is None:
                listed = yield self._store.list_versions()
                self._merge(listed)
            for service, versions in self._changes().items():
                yield self._store.write_versions(service, versions)
                self._record_written(service, versions)
        except StoreUnavailableError as error:
            self._record_reachable(is_reachable=False, reason=str(error))
            return
        self._record_reachable(is_reachable=True)

    def _merge(self, stored: StoredVersions) -> None:
        """Take the versions of the store for current, as their age is unknown."""
        self._stored = dict(stored)
        sightings = (
            VersionSighting(
                service=service, software_version=version, age=Millis(0)
            )
            for service, versions in stored.items()
            for version in versions
        )
        self._history.merge(sightings, ORIGIN_LIFETIME, self._clock.now())

    def _changes(self) -> dict[str, tuple[str, ...]]:
        """Return what has to be written, by service."""
        stored = self._stored or {}
        current = {
            service: tuple(sorted(self._history.versions_of(service)))
            for service in self._history.mixed_services
        }
        if current == stored or not self._is_writer():
            return {}
        return {
            service: current.get(service, ())
            for service in stored.keys() | current.keys()
            if current.get(service) != stored.get(service)
        }

    def _record_written(self, service: str, versions: tuple[str, ...]) -> None:
        if versions:
            self._stored[service] = versions
        else:
            self._stored.pop(service, None)
        log_state_change('versions_stored', service=service, versions=versions)

    def _record_reachable(
        self, *, is_reachable: bool, reason: str = ''
    ) -> None:
        if is_reachable is not self._is_reachable:
            self._is_reachable = is_reachable
            log_state_change(
                'version_store_reached'
                if is_reachable
                else 'version_store_lost',
                reason=reason,
            )
