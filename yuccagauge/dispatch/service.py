"""What a router knows about one service, shared by its requests."""

import zlib
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, Protocol

import numpy as np

from yuccagauge.admission import AdmissionPolicy, RetryBudget
from yuccagauge.admission.base import AdmissionRequest, admission_policies
from yuccagauge.burn.base import RequestSample
from yuccagauge.cacheview.view import CacheView
from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.dispatch import metrics
from yuccagauge.dispatch.base import Call, CallLater
from yuccagauge.dispatch.hedging import LatencyWindow
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.servers import PlainServers
from yuccagauge.errors import NotFoundError
from yuccagauge.explain.base import DecisionLog
from yuccagauge.load.base import EngineReport
from yuccagauge.load.table import EngineTable
from yuccagauge.placement.base import (
    Candidate,
    Decision,
    PlacementPolicy,
    PlacementRequest,
    placement_policies,
)
from yuccagauge.prefixes.base import PrefixScheme, prefix_schemes
from yuccagauge.quarantine.base import Quarantine, QuarantineStatus
from yuccagauge.registry import Registry
from yuccagauge.settings.document import BackendSection, ServiceDocument
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.verdict import Refusal

#: Time without work for a server that is said to leave, in ms.
REST_TIME = Millis(10_000)


@dataclass(slots=True, kw_only=True)
class Surroundings:
    """What all services of a router share."""

    clock: Clock
    call_later: CallLater
    pool: ConnectionPool
    decisions: DecisionLog
    #: The data centre of this router.
    data_centre: str
    #: Name of this router; seeds its random stream.
    router: str
    quarantine: Quarantine = field(default_factory=Quarantine)
    #: Claims non-idempotent calls; ``None`` refuses them.
    claims: Any = None
    #: Takes the sample of each ended call, for the service objectives.
    record_sample: Callable[[RequestSample], None] = lambda sample: None
    #: A running stream without an event for this long is taken for broken;
    #: the objective for the time between tokens is 60 ms.
    stall_time: Millis = Millis(2000)


class InForceDocument(Protocol):
    """A document in force with its version, as ``adoption`` has it."""

    @property
    def service(self) -> str:
        """Name of the service."""

    @property
    def version(self) -> int:
        """Version of the document."""

    @property
    def document(self) -> ServiceDocument:
        """The document."""


class ServiceState:
    """Load, cache view, policies and limits of one service.

    Parameters
    ----------
    name
        Name of the service.
    around
        What all services of the router share.
    """

    def __init__(self, name: str, around: Surroundings) -> None:
        """Start without a document."""
        self._name = name
        self.around = around
        self.view = CacheView()
        self.latency = LatencyWindow()
        self.budget = RetryBudget(0)
        self.servers = PlainServers(around.data_centre)
        # Engines elsewhere get work only while none here is usable, so
        # each of the two groups has its own table and ring.
        self._tables = (EngineTable(), EngineTable())
        self._random = np.random.default_rng(zlib.crc32(around.router.encode()))
        self._policies: tuple[PlacementPolicy, ...] = ()
        self._admission: AdmissionPolicy | None = None
        self._scheme: PrefixScheme | None = None
        self._in_force: InForceDocument | None = None
        self._resting: dict[Endpoint, Millis] = {}
        self._leaving: frozenset[Endpoint] = frozenset()
        #: Called with a server that refused work.
        self.leaving_listeners: list[Callable[[Endpoint], None]] = []

    @property
    def name(self) -> str:
        """Name of the service."""
        return self._name

    @property
    def quarantine(self) -> Quarantine:
        """Requests that crash backend servers, of all services."""
        return self.around.quarantine

    @property
    def in_force(self) -> InForceDocument | None:
        """The document in force; ``None`` while none is known."""
        return self._in_force

    @property
    def admission(self) -> AdmissionPolicy:
        """The admission policy of the document in force."""
        return self._admission

    @property
    def scheme(self) -> PrefixScheme:
        """The prefix scheme of the document in force."""
        return self._scheme

    @property
    def leaving(self) -> frozenset[Endpoint]:
        """Backend servers that get no new work."""
        return self._leaving.union(self._resting)

    def configure(self, in_force: InForceDocument) -> None:
        """Take a document that came into force."""
        previous = self._in_force
        self._in_force = in_force
        routing = in_force.document.routing
        old = previous.document.routing if previous else None
        if old is None or old.placement != routing.placement:
            policy = _member(placement_policies, routing.placement, 'cost')
            self._policies = tuple(
                policy(table, self.view, self._random) for table in self._tables
            )
        if old is None or old.admission != routing.admission:
            kind = _member(admission_policies, routing.admission, 'deadline')
            self._admission = kind()
        if old is None or old.retry_budget != routing.retry_budget:
            self.budget = RetryBudget(routing.retry_budget)
        scheme = _member(prefix_schemes, routing.prefix_scheme, 'messages')
        self._scheme = scheme()
        self._admission.configure(in_force.document, self.around.clock.now())
        self._take_backends(in_force.document.backends)

    def set_fleet_demand(
        self,
        live_routers: int,
        demand: Mapping[str, float],
    ) -> None:
        """Take the number of live routers and the fleet's demand."""
        if self._admission is not None:
            self._admission.set_fleet_demand(live_routers, demand)

    def table_of(self, engine: Endpoint) -> EngineTable:
        """Return the table that an engine is in."""
        return self._tables[0 if self.is_here(engine) else 1]

    def is_here(self, engine: Endpoint) -> bool:
        """Return whether an engine is in the data centre of this router."""
        section = self._backend(engine)
        return section is None or (
            section.data_centre == self.around.data_centre
        )

    def has_engine_here(self, now: Millis) -> bool:
        """Return whether any engine of this data centre can get work."""
        models = self._in_force.document.models.values()
        return any(
            self._tables[0].usable_engines(model.weights_version, now)
            for model in models
        )

    def update(self, report: EngineReport, now: Millis) -> None:
        """Take a load report of an engine of the document."""
        if self._backend(report.engine) is None:
            return
        self.table_of(report.engine).update_report(report, now)
        self.quarantine.record_incarnation(
            report.engine,
            report.incarnation,
            report.measured_at,
        )

    def set_leaving(self, servers: frozenset[Endpoint]) -> None:
        """Take all servers that the VM list or peers call leaving."""
        changed = servers ^ self._leaving
        self._leaving = servers
        for server in changed:
            self._apply_leaving(server, leaving=server in self.leaving)

    def rest(self, server: Endpoint, *, spread: bool = False) -> None:
        """Give no work to a server that leaves, until that is old news.

        The VM list and peers repeat that a server leaves; a server that
        refused a call only once gets work again.

        Parameters
        ----------
        spread
            Whether the listeners hear of it.
        """
        until = self.around.clock.now() + REST_TIME
        if server not in self._resting:
            self._apply_leaving(server, leaving=True)
            log_state_change('backend_resting', backend_server=server)
        self._resting[server] = Millis(until)
        seconds = in_seconds(REST_TIME)
        self.around.call_later(seconds, self._end_rest, server)
        if spread:
            for listener in self.leaving_listeners:
                listener(server)

    def place(
        self,
        call: Call,
        exclude: frozenset[Endpoint],
        now: Millis,
    ) -> Decision:
        """Return candidates of this data centre, else of others."""
        request = PlacementRequest(
            prefix=call.chat.prefix,
            priority=call.priority,
            deadline=call.deadline,
            excluded_engines=exclude,
        )
        decision = Decision(())
        for policy in self._policies:
            decision = policy.place_request(request, now)
            if decision.candidates:
                break
        return decision

    def is_usable(
        self,
        candidate: Candidate,
        version: str,
        now: Millis,
    ) -> bool:
        """Return whether an engine of an earlier decision may get work."""
        table = self.table_of(candidate.engine)
        return candidate.engine in table.usable_engines(version, now)

    def admit_request(
        self,
        call: Call,
        best_cost_ms: float,
        now: Millis,
    ) -> Refusal | None:
        """Return ``None`` and count the call, or why it is refused."""
        tokens = 0 if call.chat is None else call.chat.prefix.prompt_tokens
        return self._admission.admit_request(
            AdmissionRequest(
                customer=call.customer,
                priority=call.priority,
                prompt_tokens=tokens,
                deadline=call.deadline,
                best_cost_ms=best_cost_ms,
            ),
            now,
        )

    def spend_retry(self, now: Millis) -> bool:
        """Take one retry if the budget has it."""
        allowed = self.budget.try_spend(now)
        metrics.RETRIES.add(1, {'service': self._name, 'allowed': allowed})
        return allowed

    def is_quarantined(self, call: Call, now: Millis) -> bool:
        """Return whether a request crashed too many backend servers."""
        status = self.quarantine.status(call.fingerprint, now)
        return status is QuarantineStatus.REFUSED

    def has_backend(self, server: Endpoint) -> bool:
        """Return whether the document in force names a server."""
        return self._backend(server) is not None

    def is_truthful(self, server: Endpoint) -> bool:
        """Return whether a server's word that it ran nothing is trusted."""
        section = self._backend(server)
        return section is not None and section.truthful_not_run

    def explain_server(self, server: Endpoint, now: Millis) -> str:
        """Say in one sentence whether a backend server gets work."""
        if self._in_force is None:
            return 'gets no work: no document of the service is in force'
        if self._backend(server) is None:
            return 'gets no work: the document in force does not name it'
        if self._in_force.document.service.kind == 'plain':
            return self.servers.explain(server, now)
        reason = self.table_of(server).explain(server, now)
        report = self.table_of(server).last_report(server)
        wanted = {
            model.weights_version
            for model in self._in_force.document.models.values()
        }
        if report is not None and report.weights_version not in wanted:
            return (
                f'gets no work: it holds weights version '
                f'{report.weights_version}, the document asks for '
                f'{", ".join(sorted(wanted))}'
            )
        return reason

    def _end_rest(self, server: Endpoint) -> None:
        until = self._resting.get(server)
        if until is not None and self.around.clock.now() >= until:
            del self._resting[server]
            self._apply_leaving(server, leaving=server in self._leaving)

    def _apply_leaving(self, server: Endpoint, *, leaving: bool) -> None:
        self.servers.set_leaving(server, leaving)
        if self._backend(server) is not None:
            self.table_of(server).set_leaving(server, leaving)

    def _backend(self, server: Endpoint) -> BackendSection | None:
        if self._in_force is None:
            return None
        return self._in_force.document.backends.get(server)

    def _take_backends(
        self,
        backends: Mapping[Endpoint, BackendSection],
    ) -> None:
        centre = self.around.data_centre
        for index, table in enumerate(self._tables):
            for engine in table.engines:
                section = backends.get(engine)
                is_here = section is not None and section.data_centre == centre
                if section is None or is_here != (index == 0):
                    table.remove_engine(engine)
                    self.view.remove_engine(engine)
        self.servers.configure(backends)
        for server in self.leaving & set(backends):
            self._apply_leaving(server, leaving=True)


def _member(registry: Registry, name: str, default: str) -> Any:
    """Return a registered class; a document may name one of a later release."""
    try:
        return registry.get(name)
    except NotFoundError as error:
        log_state_change('unknown_policy', reason=str(error), used=default)
        return registry.get(default)
