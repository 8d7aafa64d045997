"""What all calls of a router share."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.base import CallLater
from yuccagauge.dispatch.connection import ConnectionPool
from yuccagauge.quarantine.base import Quarantine
from yuccagauge.relay.base import BackendProtocol, CallDecoder
from yuccagauge.selection.budget import FleetRetryBudget
from yuccagauge.selection.selector import Selector


class RunningCall(Protocol):
    """A call that the router works on."""

    def cut(self) -> None:
        """End at once because the router stops."""


@dataclass(frozen=True, slots=True, kw_only=True)
class RetryRules:
    """The shared allowance of second sends."""

    ratio: float
    slack: float
    window: Millis


@dataclass(slots=True, kw_only=True)
class Surroundings:
    """What all calls of a router share."""

    clock: Clock
    call_later: CallLater
    pool: ConnectionPool
    decoder: CallDecoder
    protocol: BackendProtocol
    directory: Directory
    selector: Selector
    retries: RetryRules
    #: Draws a number from 0 to 1.
    draw: Callable[[], float]
    #: Number of routers that are believed to be alive.
    routers: Callable[[], int] = lambda: 1
    #: Told about a server that leaves a connection attempt unanswered.
    on_silent: Callable[[str], None] = lambda server_id: None
    quarantine: Quarantine = field(default_factory=Quarantine)
    #: Calls in work, by request id.
    running: dict[str, RunningCall] = field(default_factory=dict)
    _budgets: dict[str, FleetRetryBudget] = field(default_factory=dict)

    def record_request(self, service: str) -> None:
        """Count a first send, which earns a share of a second one."""
        self._budget(service).record_request(self.clock.now())

    def try_second_send(self, service: str) -> bool:
        """Take a second send from this router's part of the budget."""
        budget = self._budget(service)
        return budget.try_spend(self.routers(), self.clock.now())

    def _budget(self, service: str) -> FleetRetryBudget:
        found = self._budgets.get(service)
        if found is None:
            rules = self.retries
            found = FleetRetryBudget(rules.ratio, rules.slack, rules.window)
            self._budgets[service] = found
        return found
