"""The software versions that each service had lately. No I/O."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.origins.base import ORIGIN_LIFETIME


@dataclass(frozen=True, slots=True, kw_only=True)
class VersionSighting:
    """A software version of a service, and when a server last had it."""

    service: str
    software_version: str
    age: Millis


class VersionHistory:
    """Tells which versions can have begun a stream that nobody knows."""

    def __init__(self) -> None:
        """Create a history that begins with the first servers."""
        #: By service and version, when a server was last listed with it.
        self._seen_at: dict[str, dict[str, Millis]] = defaultdict(dict)
        self._known_from: Millis | None = None
        #: Servers that are listed, by service and version.
        self._listed: Counter[tuple[str, str]] = Counter()

    @property
    def mixed_services(self) -> frozenset[str]:
        """The services that had more than one version lately."""
        return frozenset(filter(self.is_mixed, self._seen_at))

    def observe(self, servers: Iterable[BackendServer], now: Millis) -> None:
        """Record the versions of the servers that are listed."""
        if self._known_from is None:
            self._known_from = now
        self._listed.clear()
        for server in servers:
            self._seen_at[server.service][server.software_version] = now
            self._listed[server.service, server.software_version] += 1
        for versions in self._seen_at.values():
            for version in tuple(versions):
                if now - versions[version] >= ORIGIN_LIFETIME:
                    versions.pop(version)

    def has_several_servers(self, server: BackendServer) -> bool:
        """Return whether another server has the version of this one."""
        return self._listed[server.service, server.software_version] > 1

    def age_of(self, service: str, version: str, now: Millis) -> Millis:
        """Return the time since a server was last listed with a version."""
        seen_at = self._seen_at.get(service, {}).get(version)
        return ORIGIN_LIFETIME if seen_at is None else Millis(now - seen_at)

    def known_age(self, now: Millis) -> Millis:
        """Return how far the history reaches back, up to the lifetime."""
        if self._known_from is None:
            return Millis(0)
        return Millis(min(ORIGIN_LIFETIME, now - self._known_from))

    def versions_of(self, service: str) -> frozenset[str]:
        """Return the versions that a service had lately."""
        return frozenset(self._seen_at.get(service, ()))

    def is_mixed(self, service: str) -> bool:
        """Return whether a service had more than one version lately."""
        return len(self._seen_at.get(service, ())) > 1

    def only_version(self, service: str, now: Millis) -> str | None:
        """Return the version that began each stream that may be taken up.

        ``None`` if there were several, or if the history is too short.
        """
        if self.known_age(now) < ORIGIN_LIFETIME:
            return None
        versions = self.versions_of(service)
        return next(iter(versions)) if len(versions) == 1 else None

    def sightings(self, now: Millis) -> tuple[VersionSighting, ...]:
        """Return the versions of the services that had several."""
        return tuple(
            VersionSighting(
                service=service,
                software_version=version,
                age=Millis(now - seen_at),
            )
            for service, versions in self._seen_at.items()
            if len(versions) > 1
            for version, seen_at in versions.items()
        )

    def merge(
        self,
        sightings: Iterable[VersionSighting],
        known_age: Millis,
        now: Millis,
    ) -> None:
        """Add what a peer or the store knows.

        Parameters
        ----------
        known_age
            How far back it reaches: services without sightings had one version.
        """
        for sighting in sightings:
            if sighting.age >= ORIGIN_LIFETIME:
                continue
            seen_at = Millis(now - sighting.age)
            versions = self._seen_at[sighting.service]
            version = sighting.software_version
            versions[version] = max(versions.get(version, seen_at), seen_at)
        known_from = Millis(now - min(known_age, ORIGIN_LIFETIME))
        if self._known_from is None or known_from < self._known_from:
            self._known_from = known_from
