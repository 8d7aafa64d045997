"""A fleet of stand-ins and routers in two data centres on loopback."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import treq
from twisted.internet import defer, error, reactor, task
from twisted.python.failure import Failure
from twisted.web.client import RequestTransmissionFailed, ResponseFailed

from yuccagauge.adoption.publish import Accepted, publish
from yuccagauge.demo.ports import RouterPorts, choose_ports, data_centre_of
from yuccagauge.demo.processes import (
    ManagedProcess,
    StandinProcess,
    StartError,
)
from yuccagauge.loadgen.base import Profile
from yuccagauge.logstream.client import LogClient
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.reader import RawSections

_REGION = 'region-1'
_POLL_SECONDS = 0.1
_READY_SECONDS = 30
_NO_VERSION = -1

#: Keys of a router's settings and the kinds of stand-ins behind them.
_PLATFORM_KEYS = {
    'log': 'log',
    'vm_list': 'vm-list',
    'kept_kv': 'kept-kv',
    'weight_store': 'weight-store',
}

#: Version of the weights at the start.
WEIGHTS_VERSION = 'w1'

_UNREACHABLE = (
    error.ConnectError,
    error.ConnectionClosed,
    ResponseFailed,
    RequestTransmissionFailed,
    defer.TimeoutError,
    defer.CancelledError,
)


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetPlan:
    """How many processes of each kind there are."""

    routers: int = 3
    #: For each user.
    engines: int = 4
    servers: int = 2
    #: Sections of every engine.
    engine: Mapping[str, str] = field(default_factory=dict)


class Fleet:
    """All processes, and the documents of the users.

    Parameters
    ----------
    directory
        Where settings and output are kept.
    profiles
        The users.
    plan
        The numbers of processes.
    """

    def __init__(
        self,
        directory: Path,
        profiles: tuple[Profile, ...],
        plan: FleetPlan,
    ) -> None:
        """Choose ports without starting anything."""
        self._directory = directory
        self._profiles = profiles
        self._plan = plan
        self._platform: dict[str, StandinProcess] = {}
        #: Backend servers by service, then with their data centres.
        self._backends: dict[str, dict[StandinProcess, str]] = {}
        self._routers: dict[str, ManagedProcess] = {}
        self._ports = choose_ports(plan.routers)
        self._versions: dict[str, int] = {}

    @property
    def callers(self) -> tuple[Endpoint, ...]:
        """Where the routers listen for callers."""
        return tuple(ports.callers for ports in self._ports)

    @property
    def ports(self) -> tuple[RouterPorts, ...]:
        """Where the routers listen."""
        return self._ports

    @property
    def routers(self) -> Mapping[str, ManagedProcess]:
        """The routers by name."""
        return self._routers

    @property
    def platform(self) -> Mapping[str, StandinProcess]:
        """The stand-ins of the platform by kind."""
        return self._platform

    @property
    def versions(self) -> Mapping[str, int]:
        """The last accepted version of each service."""
        return self._versions

    @defer.inlineCallbacks
    def start(self) -> defer.Deferred[None]:
        """Start everything; fire when the routers serve.

        Raises
        ------
        StartError
            If a process ends, or is not ready in time.
        """
        # An interrupted run must not leave processes behind.
        reactor.addSystemEventTrigger('before', 'shutdown', self.close)
        for kind in _PLATFORM_KEYS.values():
            self._platform[kind] = self._standin(kind, kind, {})
        for profile in self._profiles:
            self._start_backends(profile)
        waiting = [one.when_ready() for one in self._standins()]
        yield _all(waiting)
        yield self._set_vm_list()
        for router in self._ports:
            self._start_router(router)
        for profile in self._profiles:
            yield self.publish_documents(profile, WEIGHTS_VERSION)
        yield _all([self.when_serving(ports) for ports in self._ports])

    @defer.inlineCallbacks
    def close(self) -> defer.Deferred[None]:
        """End the routers, then the stand-ins."""
        yield _all([router.close() for router in self._routers.values()])
        yield _all([standin.close() for standin in self._standins()])

    @defer.inlineCallbacks
    def publish_documents(
        self,
        profile: Profile,
        weights_version: str,
    ) -> defer.Deferred[None]:
        """Publish both documents of a user.

        Raises
        ------
        StartError
            If one was not accepted.
        """
        documents = self.documents(profile, weights_version)
        log = LogClient(self._platform['log'].endpoint, reactor)
        for service, sections in documents.items():
            replaces = self._versions.get(service, _NO_VERSION)
            outcome = yield publish(log, service, replaces, sections)
            if not isinstance(outcome, Accepted):
                raise StartError(f'{service} was not published: {outcome}')
            self._versions[service] = outcome.version
        yield log.close()

    def documents(
        self,
        profile: Profile,
        weights_version: str = WEIGHTS_VERSION,
    ) -> dict[str, RawSections]:
        """Return both documents of a user by service."""
        return profile.documents(
            self._endpoints(profile.model_service),
            self._endpoints(profile.plain_service),
            weights_version,
        )

    def platform_endpoint(self, kind: str, ports: RouterPorts) -> Endpoint:
        """Return where a router finds one stand-in of the platform."""
        return self._platform[kind].endpoint

    def part(self, name: str) -> tuple[StandinProcess, ...]:
        """Return the ``engines``, the ``servers`` or one platform kind."""
        if name in self._platform:
            return (self._platform[name],)
        found: list[StandinProcess] = []
        for profile in self._profiles:
            services = {
                'engines': profile.model_service,
                'servers': profile.plain_service,
            }
            found.extend(self._backends[services[name]])
        return tuple(found)

    @defer.inlineCallbacks
    def when_serving(self, ports: RouterPorts) -> defer.Deferred[None]:
        """Wait until a router has all documents in force.

        Raises
        ------
        StartError
            If it has not in time.
        """
        end = reactor.seconds() + _READY_SECONDS
        router = self._routers[ports.name]
        while router.is_running and reactor.seconds() < end:
            documents = yield self.documents_in_force(ports)
            if documents == self._versions:
                return
            yield task.deferLater(reactor, _POLL_SECONDS, lambda: None)
        state = 'does not serve' if router.is_running else 'has ended'
        raise StartError(f'{ports.name} {state}: {router.last_errors}')

    @defer.inlineCallbacks
    def documents_in_force(
        self,
        ports: RouterPorts,
    ) -> defer.Deferred[dict[str, int]]:
        """Return the versions in force on a router; empty if it is down."""
        url = f'http://{ports.admin}/status'
        try:
            response = yield treq.get(url, timeout=2, persistent=False)
            status = yield treq.json_content(response)
        except _UNREACHABLE:
            return {}
        return {
            service: document['version']
            for service, document in status['documents'].items()
        }

    @defer.inlineCallbacks
    def records(
        self,
        services: Iterable[str],
    ) -> defer.Deferred[list[dict[str, Any]]]:
        """Return the records of all backend servers of some services."""
        found: list[dict[str, Any]] = []
        for service in services:
            for standin in self._backends[service]:
                url = f'http://{standin.endpoint}/_records'
                response = yield treq.get(url, persistent=False)
                answer = yield treq.json_content(response)
                found.extend(answer['records'])
        return found

    @defer.inlineCallbacks
    def set_faults(
        self,
        standin: StandinProcess,
        **knobs: Any,
    ) -> defer.Deferred[bool]:
        """Set knobs of a stand-in; return whether it could be reached."""
        url = f'http://{standin.endpoint}/_faults'
        try:
            yield treq.put(url, json=knobs, timeout=2, persistent=False)
        except _UNREACHABLE:
            return False
        return True

    def _start_backends(self, profile: Profile) -> None:
        engine = {
            'models': profile.model,
            'weights_version': WEIGHTS_VERSION,
            **self._plan.engine,
        }
        self._backends[profile.model_service] = {
            self._standin(
                f'{profile.model_service}-{index}',
                'engine',
                {
                    'engine': engine,
                    'standin': {'seed': str(index)},
                },
            ): data_centre_of(index)
            for index in range(self._plan.engines)
        }
        self._backends[profile.plain_service] = {
            self._standin(
                f'{profile.plain_service}-{index}',
                'plain',
                {
                    'standin': {'seed': str(index)},
                },
            ): data_centre_of(index)
            for index in range(self._plan.servers)
        }

    def _standin(
        self,
        name: str,
        kind: str,
        sections: RawSections,
    ) -> StandinProcess:
        standin = StandinProcess(name, self._directory, kind, sections)
        standin.start()
        return standin

    def _standins(self) -> list[StandinProcess]:
        found = list(self._platform.values())
        for servers in self._backends.values():
            found.extend(servers)
        return found

    def _endpoints(self, service: str) -> dict[Endpoint, str]:
        servers = self._backends[service].items()
        return {standin.endpoint: centre for standin, centre in servers}

    @defer.inlineCallbacks
    def _set_vm_list(self) -> defer.Deferred[None]:
        vms = [
            _vm(endpoint, centre, service)
            for service in self._backends
            for endpoint, centre in self._endpoints(service).items()
        ]
        vms.extend(
            _vm(ports.peers, ports.data_centre, 'router')
            for ports in self._ports
        )
        url = f'http://{self._platform["vm-list"].endpoint}/vms'
        yield treq.put(url, json={'vms': vms}, persistent=False)

    def _start_router(self, ports: RouterPorts) -> None:
        others = [one.peers for one in self._ports if one is not ports]
        settings = {
            'router': {
                'name': ports.name,
                'region': _REGION,
                'data_centre': ports.data_centre,
                'listen': str(ports.callers),
                'peer_listen': str(ports.peers),
                'admin_listen': str(ports.admin),
                'services': ', '.join(self._backends),
                'drain_grace_ms': '300',
            },
            'peers': {'seeds': ', '.join(map(str, others))},
            'platform': {
                key: str(self.platform_endpoint(kind, ports))
                for key, kind in _PLATFORM_KEYS.items()
            },
        }
        router = ManagedProcess(
            ports.name,
            self._directory,
            ('router',),
            settings,
        )
        router.start()
        self._routers[ports.name] = router


def _vm(endpoint: Endpoint, data_centre: str, service: str) -> dict[str, str]:
    return {
        'address': str(endpoint),
        'data_centre': data_centre,
        'service': service,
        'state': 'live',
    }


def _all(waiting: list[defer.Deferred[Any]]) -> defer.Deferred[list[Any]]:
    gathered = defer.gatherResults(waiting, consumeErrors=True)
    return gathered.addErrback(_first_failure)


def _first_failure(failure: Failure) -> Failure:
    failure.trap(defer.FirstError)
    return failure.value.subFailure
