"""Publish changes all the time, and watch that no router goes back."""

from collections.abc import Mapping
from random import Random

from twisted.internet import defer, reactor, task

from yuccagauge.adoption.publish import (
    Accepted,
    NotPublishedError,
    PublicationUnknownError,
    publish,
)
from yuccagauge.clock import Millis
from yuccagauge.loadgen.base import Profile
from yuccagauge.loadgen.outcomes import Violation
from yuccagauge.logstream.client import LogClient
from yuccagauge.settings.reader import RawSections
from yuccagauge.soak.base import SoakFleet

_WATCH_SECONDS = 0.2
_PUBLISH_SECONDS = 4.0
_PATIENCE = Millis(3000)
#: The bound of P9 on a change being in force everywhere.
_IN_FORCE_SECONDS = 8.0
_HIGHEST_PRIORITY = 9


class VersionWatch:
    """Publishes and watches the documents of some users.

    Parameters
    ----------
    fleet
        The routers and the log.
    profiles
        The users.
    seed
        Decides what is changed.
    """

    def __init__(
        self,
        fleet: SoakFleet,
        profiles: tuple[Profile, ...],
        seed: int,
    ) -> None:
        """Start with the versions that the fleet has published."""
        self._fleet = fleet
        self._profiles = profiles
        self._random = Random(f'versions/{seed}')
        self._versions = dict(fleet.versions)
        self._seen: dict[tuple[str, str], int] = {}
        self._violations: list[Violation] = []
        self._accepted = 0
        self._is_publishing = False
        self._watching = task.LoopingCall(self._watch)
        self._publishing = task.LoopingCall(self._change)

    @property
    def violations(self) -> tuple[Violation, ...]:
        """Versions that went back or did not come."""
        return tuple(self._violations)

    @property
    def accepted(self) -> int:
        """How many publications have been accepted."""
        return self._accepted

    def start(self) -> None:
        """Start publishing and watching."""
        self._watching.start(_WATCH_SECONDS)
        self._publishing.start(_PUBLISH_SECONDS, now=False)

    @defer.inlineCallbacks
    def finish(self) -> defer.Deferred[None]:
        """Publish once more and wait until all routers have it in force."""
        self._publishing.stop()
        yield self._until(lambda: not self._is_publishing)
        for profile in self._profiles:
            yield self._publish(profile)
        is_adopted = yield self._until(self._is_everywhere)
        self._watching.stop()
        if not is_adopted:
            detail = f'published {self._versions}, in force {self._seen}'
            self._violate('not in force within 8 s', detail)

    @defer.inlineCallbacks
    def _change(self) -> defer.Deferred[None]:
        yield self._publish(self._random.choice(self._profiles))

    @defer.inlineCallbacks
    def _publish(self, profile: Profile) -> defer.Deferred[None]:
        if self._is_publishing:
            return
        self._is_publishing = True
        log = LogClient(self._fleet.platform['log'].endpoint, reactor)
        documents = self._fleet.documents(profile)
        try:
            for service, sections in documents.items():
                yield self._publish_one(log, service, sections)
        finally:
            self._is_publishing = False
            log.close()

    @defer.inlineCallbacks
    def _publish_one(
        self,
        log: LogClient,
        service: str,
        sections: RawSections,
    ) -> defer.Deferred[None]:
        priority = self._random.randint(0, _HIGHEST_PRIORITY)
        customers = [name for name in sections if name.startswith('customer ')]
        changed = self._random.choice(customers)
        keys = {**sections[changed], 'priority': str(priority)}
        document: Mapping[str, Mapping[str, str]] = {**sections, changed: keys}
        replaces = self._versions[service]
        try:
            outcome = yield publish(
                log,
                service,
                replaces,
                document,
                timeout=_PATIENCE,
            )
        except (NotPublishedError, PublicationUnknownError):
            return
        self._accepted += isinstance(outcome, Accepted)
        self._versions[service] = outcome.version

    @defer.inlineCallbacks
    def _watch(self) -> defer.Deferred[None]:
        found = yield defer.gatherResults(
            [
                self._fleet.documents_in_force(ports)
                for ports in self._fleet.ports
            ],
        )
        for ports, documents in zip(self._fleet.ports, found, strict=True):
            for service, version in documents.items():
                self._compare(ports.name, service, version)

    def _compare(self, router: str, service: str, version: int) -> None:
        before = self._seen.get((router, service), version)
        if version < before:
            detail = f'{service} on {router} from {before} to {version}'
            self._violate('version reverted', detail)
        self._seen[router, service] = version

    def _is_everywhere(self) -> bool:
        return all(
            self._seen.get((ports.name, service)) == version
            for ports in self._fleet.ports
            for service, version in self._versions.items()
        )

    @defer.inlineCallbacks
    def _until(self, condition: object) -> defer.Deferred[bool]:
        end = reactor.seconds() + _IN_FORCE_SECONDS
        while not condition():
            if reactor.seconds() > end:
                return False
            yield task.deferLater(reactor, _WATCH_SECONDS, lambda: None)
        return True

    def _violate(self, kind: str, detail: str) -> None:
        self._violations.append(Violation(kind=kind, detail=detail))
