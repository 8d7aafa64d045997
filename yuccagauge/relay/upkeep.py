"""The periodic duty that keeps a router's view of the fleet up to date."""

from collections.abc import Callable, Iterable
from typing import Any

from yuccagauge.clock import Clock, Millis
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange.service import ExchangeService
from yuccagauge.selection.selector import Selector
from yuccagauge.tasks import run_each
from yuccagauge.telemetry.journal import log_state_change


class Upkeep:
    """Runs steps that do not depend on each other.

    Parameters
    ----------
    directory, selector, exchange
        Hold the view of the fleet.
    clock
        The source of time.
    heartbeat
        Time between two heartbeats of a server.
    more_steps
        Further steps, which come last.
    """

    def __init__(
        self,
        directory: Directory,
        selector: Selector,
        exchange: ExchangeService,
        clock: Clock,
        heartbeat: Millis,
        more_steps: Iterable[Callable[[], Any]],
    ) -> None:
        """Create an upkeep that has not run."""
        self._directory = directory
        self._selector = selector
        self._exchange = exchange
        self._clock = clock
        self._heartbeat = heartbeat
        self._steps = (
            self._remove_lapsed_servers,
            self._forget_limits,
            self._record_confirmation,
            *more_steps,
        )

    def run(self) -> None:
        """Run all steps, whichever of them fail."""
        run_each('upkeep', self._steps)

    def _remove_lapsed_servers(self) -> None:
        lapsed = self._directory.remove_lapsed_servers(self._clock.now())
        if lapsed:
            log_state_change('servers_lapsed', servers=lapsed)

    def _forget_limits(self) -> None:
        now = self._clock.now()
        for limits in (self._selector.limits, self._selector.brittle.stated):
            limits.remove_gone(self._directory.servers, now)

    def _record_confirmation(self) -> None:
        self._directory.settled_entries.record_confirmation(
            self._exchange.confirmed_at(Topic.SERVERS), self._heartbeat
        )
