"""State and components that all calls of a router share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from yuccagauge.clock import Clock, Millis, in_millis
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.base import CallLater
from yuccagauge.dispatch.pool import ConnectionPool, ProbePool
from yuccagauge.dispatch.witness import Witnesses
from yuccagauge.quarantine.base import Quarantine, QuarantineStatus
from yuccagauge.quarantine.parts import PartQuarantine
from yuccagauge.relay.base import BackendProtocol, CallDecoder, RelayCall
from yuccagauge.relay.identity import ProcessNameSource
from yuccagauge.relay.incarnations import Incarnations
from yuccagauge.relay.origins import NoOrigins, OriginStore, StreamOrigins
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.selection.budget import FleetRetryBudget
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.relay import RetrySection


class RunningCall(Protocol):
    """A call that is not answered yet."""

    def abort_call(self) -> None:
        """End the call at once, because the router stops."""

    def select_again(self) -> bool:
        """Select a server now if the call waits; return whether one took it."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryBudgetSettings:
    """Limits of the retry budget of each service.

    See ``FleetRetryBudget`` for the meaning of the fields.
    """

    ratio: float
    slack: float
    window: Millis


def retry_budget_settings(section: RetrySection) -> RetryBudgetSettings:
    """Return the limits that the process settings state."""
    return RetryBudgetSettings(
        ratio=section.ratio,
        slack=section.slack,
        window=in_millis(section.window_s),
    )


@dataclass(slots=True, kw_only=True)
class RelayContext:
    """State and components that all calls of a router share."""

    clock: Clock
    call_later: CallLater
    pool: ConnectionPool
    call_decoder: CallDecoder
    backend_protocol: BackendProtocol
    directory: Directory
    selector: Selector
    retry_settings: RetryBudgetSettings
    #: Returns a random number from 0 to 1.
    random_fraction: Callable[[], float]
    #: Returns the number of routers that may spend retries, this one included.
    #: One that is not heard may run all the same.
    router_count: Callable[[], int] = lambda: 1
    #: Called with the id of a server that does not answer a connection attempt.
    on_unresponsive: Callable[[str], None] = lambda server_id: None
    #: Called with the address of a server on which a call broke or hung.
    on_broken: Callable[[Endpoint], None] = lambda server: None
    quarantine: Quarantine = field(default_factory=Quarantine)
    #: The shared parts of prompts that may crash servers.
    part_quarantine: PartQuarantine = field(default_factory=PartQuarantine)
    #: Calls that are not answered yet, by request id.
    running_calls: dict[str, RunningCall] = field(default_factory=dict)
    #: Finds the software versions that began streams.
    origins: StreamOrigins = field(init=False)
    #: Tells which servers are the ones that their entries describe.
    incarnations: Incarnations = field(init=False)
    #: Connections that are older than the calls whose ends they prove.
    witnesses: Witnesses = field(init=False)
    #: Asks servers who they are; ``None`` if they cannot be asked.
    identities: ProcessNameSource | None = None
    _budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Begin without a store for the origins of streams."""
        self.incarnations = Incarnations(self.directory, self.clock)
        self.witnesses = Witnesses(self.pool)
        self.use_origin_store(NoOrigins())

    def use_origin_store(self, store: OriginStore) -> None:
        """Keep the origins of streams in a store."""
        self.origins = StreamOrigins(store, self.selector.versions, self.clock)

    def use_process_names(self, source: ProcessNameSource | None) -> None:
        """Ask servers which process they run, if they can be asked."""
        self.incarnations = Incarnations(
            self.directory, self.clock, source, self.pool, self.call_later
        )

    def use_identities(self, source: ProcessNameSource | None) -> None:
        """Ask servers who they are, on connections that carry no call."""
        self.identities = source and source.through(ProbePool(self.pool))

    def is_quarantined(self, call: RelayCall, now: Millis) -> bool:
        """Return whether a call may crash servers and is not to be sent."""
        status = self.quarantine.status(call.fingerprint, now)
        return status is QuarantineStatus.REFUSED or (
            not call.is_probe
            and self.part_quarantine.blamed_part(call.shared_part_ids, now)
            is not None
        )

    def choose_server(
        self, call: RelayCall, request: SelectionRequest
    ) -> SelectionDecision:
        """Return the selector's decision, unless the call is quarantined.

        Servers may crash at other routers while the call waits or runs.
        """
        now = self.clock.now()
        if self.is_quarantined(call, now):
            return SelectionDecision(reason='crashes_servers')
        configuration = self.directory.configuration
        request = request.for_customer(call.customer, configuration)
        stores = configuration.kv_cache_stores
        return self.incarnations.choose(
            request,
            lambda bound: self.selector.choose(bound, stores, now),
        )

    def select_for_waiting_calls(self, server_id: str) -> None:
        """Select servers for calls that wait, since one can take a call."""
        server = self.selector.view.servers.get(server_id)
        if server is None:
            return
        for call_id in self.selector.waiting.ordered(server.service):
            call = self.running_calls.get(call_id)
            if call is not None and not call.select_again():
                return

    def add_jitter(
        self, retry_after: Millis | None, *, share: float = 0.5
    ) -> Millis | None:
        """Add jitter, so that refused callers do not all retry at once.

        Parameters
        ----------
        share
            Most that is added, as a share of the time.
        """
        if retry_after is None:
            return None
        return Millis(int(retry_after * (1 + share * self.random_fraction())))

    def record_request(self, service: str) -> None:
        """Count a new request, which raises the retry budget of its service."""
        self._budget(service).record_request(self.clock.now())

    def try_spend_retry(self, service: str) -> bool:
        """Spend one retry; return whether this router's budget allowed it."""
        budget = self._budget(service)
        return budget.try_spend(self.router_count(), self.clock.now())

    def return_retry(self, service: str) -> None:
        """Return a retry that was spent, and not used."""
        self._budget(service).return_retry()

    def _budget(self, service: str) -> FleetRetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self.retry_settings
            budget = FleetRetryBudget(
                settings.ratio, settings.slack, settings.window
            )
            self._budgets[service] = budget
        return budget
