"""Orders engines to load weights while this router leads."""

from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from typing import Any

from twisted.internet.defer import inlineCallbacks

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.base import BackendServer, ServiceSpec
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.ratelimit.schedule import interval_ms
from yuccagauge.rollout.backlog import BacklogReporter
from yuccagauge.rollout.base import (
    EngineStatus,
    OrderAnswer,
    SwapMode,
    WeightsOrder,
    WeightsOrderClient,
)
from yuccagauge.rollout.leaderlease import LeaderLease
from yuccagauge.rollout.plan import (
    EngineWeights,
    due_swap_mode,
    engines_to_drain,
    has_load_slot,
    needs_probe,
)
from yuccagauge.rollout.progress import EngineProgress
from yuccagauge.selection.selector import Selector
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Time between two checks of the engines while this router leads.
CHECK_PERIOD = Millis(100)

#: How long all routers send no calls to an engine after an order, unless they
#: are notified sooner that it has loaded the weights.
LOAD_PAUSE = Millis(1600)

#: Time between two requests for the status of an engine that loads.
STATUS_POLL_PERIOD = Millis(200)

#: Time for which this router has paused its calls to an engine before it asks
#: for its status, and the time between two such requests.
PAUSED_STATUS_PERIOD = Millis(1000)

#: How long routers send no calls to an engine after one announcement of its
#: drain; the announcement is repeated while the drain lasts.
DRAIN_PAUSE = Millis(600)

#: Time after which the same drains are announced again.
DRAIN_ANNOUNCEMENT_PERIOD = Millis(300)

#: Expected duration of a load before the first one is complete, in ms, and
#: the weight of each load in the moving average.
INITIAL_LOAD_MS = 1500.0
LOAD_AVERAGE_WEIGHT = 0.3


class RolloutDriver:
    """Drains engines and sends them orders while this router leads.

    Parameters
    ----------
    leader_lease
        Provides the fencing token while this router may give orders.
    order_client
        Calls the engines.
    directory, selector
        Provide the servers, target versions and calls in flight.
    reactor, clock
        Schedule the checks and tell the time.
    load_share
        Share of a service's engines that may load at the same time.
    """

    def __init__(
        self,
        leader_lease: LeaderLease,
        order_client: WeightsOrderClient,
        directory: Directory,
        selector: Selector,
        reactor: Any,
        clock: Clock,
        *,
        load_share: float,
    ) -> None:
        """Does not check any engine yet."""
        self._order_client = order_client
        self._directory = directory
        self._selector = selector
        self._clock = clock
        self._load_share = load_share
        self._leader_lease = leader_lease
        self._progress: dict[str, EngineProgress] = {}
        self._mean_load_ms = INITIAL_LOAD_MS
        self._is_started = False
        #: Engines in the last announcement of drains, and when it was sent.
        self._announced_drains: tuple[str, ...] = ()
        self._announced_at = Millis(0)
        self._backlog = BacklogReporter()
        self._check_task = PeriodicTask('rollout', self._check_engines, reactor)
        #: Called with engine ids and the duration for which all routers send
        #: these engines no calls; 0 ends the pause.
        self.on_engines_paused: Callable[[tuple[str, ...], Millis], None] = (
            lambda server_ids, duration: None
        )
        #: Called with engine id, model and version once an engine has loaded.
        self.on_weights_loaded: Callable[[str, str, int], None] = (
            lambda server_id, model, version: None
        )
        #: Called with an engine that has not answered, and when it was asked.
        self.on_engine_unanswered: Callable[[BackendServer, Millis], None] = (
            lambda server, asked_at: None
        )

    def start(self) -> None:
        """Allow checks; they begin when this router leads."""
        self._is_started = True

    def close(self) -> None:
        """Stop checking engines and giving orders."""
        self._is_started = False
        self._check_task.close()

    def set_leading(self, is_leader: bool) -> None:
        """Start the checks when this router begins to lead, or stop them."""
        if is_leader and self._is_started:
            self._check_task.start(in_seconds(CHECK_PERIOD))
        else:
            self._check_task.close()

    def _check_engines(self) -> None:
        """Check the engines of all model services."""
        configuration = self._directory.configuration
        now = self._clock.now()
        if (
            configuration is None
            or self._leader_lease.fencing_token(now) is None
        ):
            return
        for service in configuration.services.values():
            if service.is_model:
                self._check_service(service, now)

    def _check_service(self, service: ServiceSpec, now: Millis) -> None:
        """Poll loading engines, begin due drains and send due orders."""
        engines = [
            self._engine_weights(server, model, now)
            for server in self._directory.servers.values()
            if server.service == service.name
            for model in server.weights
        ]
        targets = self._directory.targets
        for engine in engines:
            if self._is_status_due(engine, targets, now):
                self._poll_status(engine)
        for chosen in engines_to_drain(
            engines, targets, self._load_share, self._mean_load_ms, now
        ):
            self._progress_of(chosen.server).draining_since = now
            engines[engines.index(chosen)] = replace(chosen, draining_since=now)
        draining = tuple(
            each.server.server_id
            for each in engines
            if each.draining_since is not None
        )
        self._announce_drains(draining, now)
        self._backlog.report(service.name, engines, targets, now)
        for index, engine in enumerate(engines):
            swap_mode = due_swap_mode(engine, now)
            if swap_mode is not None and has_load_slot(
                engines, self._load_share, now
            ):
                engines[index] = replace(engine, is_ordering=True)
                self._start_load(engine, targets[engine.model], swap_mode)

    def _is_status_due(
        self, engine: EngineWeights, targets: Mapping[str, int], now: Millis
    ) -> bool:
        """Return whether to ask a loading or paused engine for its status."""
        progress = self._progress_of(engine.server)
        period = self._status_poll_period(engine.server)
        last = progress.status_requested_at
        if not progress.is_loading:
            if not needs_probe(engine, targets):
                return False
            period = max(period, PAUSED_STATUS_PERIOD)
            last = max(last, progress.unpaused_at)
        return now - last > period and not progress.has_pending_request

    def _status_poll_period(self, server: BackendServer) -> Millis:
        """Return the time between two status requests to a loading engine.

        The requests count for a rate limit, and take the place of the calls
        that the engine gets otherwise.
        """
        limit = self._selector.limits.limit_of(server.server_id)
        if limit is None:
            return STATUS_POLL_PERIOD
        return max(STATUS_POLL_PERIOD, Millis(int(interval_ms(limit))))

    def _announce_drains(self, draining: tuple[str, ...], now: Millis) -> None:
        """Announce drains when they change, and repeatedly while they last.

        Load pattern: in a large fleet each announcement costs a message to
        every router, so an unchanged one is repeated at a limited rate.
        """
        is_due = now - self._announced_at >= DRAIN_ANNOUNCEMENT_PERIOD
        if draining and (is_due or draining != self._announced_drains):
            self._announced_at = now
            self.on_engines_paused(draining, DRAIN_PAUSE)
        self._announced_drains = draining

    def _engine_weights(
        self, server: BackendServer, model: str, now: Millis
    ) -> EngineWeights:
        """Return an engine's state; record its load if that is complete."""
        progress = self._progress_of(server)
        load = self._selector.load_of(server.server_id)
        version = self._selector.weights.version_of(server, model)
        if progress.is_loading and version >= progress.ordered_version:
            self._record_loaded(server, model, version)
        if now >= load.paused_until and not load.unreachable_count:
            progress.unpaused_at = now
        return EngineWeights(
            server=server,
            model=model,
            version=version,
            active_calls=load.active_calls(now),
            unmovable_calls=load.unmovable_calls(now),
            draining_since=progress.draining_since,
            ordered_at=progress.ordered_at,
            is_loading=progress.is_loading,
            is_ordering=(
                progress.has_pending_request
                and progress.draining_since is not None
            ),
            is_usable=self._selector.weights.may_serve(server, model, now),
            is_reachable=progress.is_reachable(now),
        )

    @inlineCallbacks
    def _start_load(
        self, engine: EngineWeights, version: int, swap_mode: SwapMode
    ) -> Any:
        """Read the engine's status and send the order that is due."""
        progress = self._progress_of(engine.server)
        if progress.has_pending_request:
            return
        progress.has_pending_request = True
        asked_at = self._clock.now()
        try:
            status = yield self._order_client.read_status(engine.server)
            asked_at = self._clock.now()
            yield self._send_load_order(engine, version, swap_mode, status)
        except FetchError as error:
            progress.ordered_at = self._clock.now()
            log_state_change(
                'order_unanswered',
                server=engine.server.server_id,
                reason=str(error),
                verdict=error.verdict.value,
            )
            self.on_engine_unanswered(engine.server, asked_at)
        finally:
            progress.has_pending_request = False
            progress.draining_since = None

    @inlineCallbacks
    def _send_load_order(
        self,
        engine: EngineWeights,
        version: int,
        swap_mode: SwapMode,
        status: EngineStatus,
    ) -> Any:
        progress = self._progress_of(engine.server)
        if status.weights.get(engine.model, 0) >= version:
            self._record_loaded(engine.server, engine.model, version)
            return
        if status.is_busy:
            progress.is_loading = True
            progress.ordered_version = version
            progress.ordered_at = self._clock.now()
            return
        fencing_token = self._leader_lease.fencing_token(self._clock.now())
        if fencing_token is None:
            return
        progress.ordered_at = self._clock.now()
        progress.ordered_version = version
        answer = yield self._order_client.send_order(
            WeightsOrder(
                server=engine.server,
                model=engine.model,
                version=version,
                swap_mode=swap_mode,
                fencing_token=fencing_token,
                expected_order_number=status.last_order_number,
            ),
            partial(self._begin_order, engine.server, fencing_token),
        )
        self._handle_answer(engine, version, swap_mode, fencing_token, answer)

    def _begin_order(self, server: BackendServer, fencing_token: int) -> bool:
        """Announce an order as it goes out, unless it no longer may."""
        if not self._leader_lease.may_send(fencing_token, self._clock.now()):
            return False
        # The next leader counts from the announcement.
        self.on_engines_paused((server.server_id,), LOAD_PAUSE)
        return True

    def _handle_answer(
        self,
        engine: EngineWeights,
        version: int,
        swap_mode: SwapMode,
        fencing_token: int,
        answer: OrderAnswer,
    ) -> None:
        progress = self._progress_of(engine.server)
        log_state_change(
            'weights_ordered',
            server=engine.server.server_id,
            model=engine.model,
            version=version,
            fence=fencing_token,
            mode=swap_mode.value,
            active=round(engine.active_calls, 1),
            fixed=engine.unmovable_calls,
            outcome=answer.value,
        )
        if answer in {OrderAnswer.ACCEPTED, OrderAnswer.ALREADY_LOADED}:
            # A status alone may be anybody's; the report names the weights.
            progress.is_loading = True
            progress.status_requested_at = self._clock.now()
            return
        if answer is OrderAnswer.FENCED:
            self._leader_lease.reject_token(fencing_token)
        self.on_engines_paused((engine.server.server_id,), Millis(0))

    @inlineCallbacks
    def _poll_status(self, engine: EngineWeights) -> Any:
        """Request an engine's status to see whether its load is complete."""
        progress = self._progress_of(engine.server)
        progress.has_pending_request = True
        progress.status_requested_at = self._clock.now()
        try:
            status = yield self._order_client.read_status(engine.server)
        except FetchError:
            # The next check requests the status again.
            return
        finally:
            progress.has_pending_request = False
        progress.answered_at = self._clock.now()
        if not progress.is_loading:
            return
        version = status.weights.get(engine.model, 0)
        if version >= progress.ordered_version:
            self._record_loaded(engine.server, engine.model, version)
        elif not status.is_busy:
            progress.is_loading = False
        else:
            self._extend_pause(engine.server.server_id)

    def _extend_pause(self, server_id: str) -> None:
        """Extend the pause of an engine that loads longer than expected."""
        remaining = (
            self._selector.load_of(server_id).loading_until - self._clock.now()
        )
        if remaining < STATUS_POLL_PERIOD:
            self.on_engines_paused((server_id,), Millis(3 * STATUS_POLL_PERIOD))

    def _record_loaded(
        self, server: BackendServer, model: str, version: int
    ) -> None:
        progress = self._progress_of(server)
        if progress.is_loading:
            duration = self._clock.now() - progress.ordered_at
            self._mean_load_ms += LOAD_AVERAGE_WEIGHT * (
                duration - self._mean_load_ms
            )
            log_state_change(
                'weights_loaded',
                server=server.server_id,
                model=model,
                version=version,
                took_ms=duration,
            )
        progress.is_loading = False
        progress.ordered_at = None
        self.on_weights_loaded(server.server_id, model, version)

    def _progress_of(self, server: BackendServer) -> EngineProgress:
        return self._progress.setdefault(server.incarnation, EngineProgress())
