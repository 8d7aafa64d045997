"""Give the engines their orders to load weights."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import inlineCallbacks

from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.base import BackendServer, ServiceSpec
from yuccagauge.directory.state import Directory
from yuccagauge.dispatch.fetch import FetchError
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
    due_order,
    has_place,
    next_drains,
)
from yuccagauge.selection.selector import Selector
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Time between two looks at the engines while loads are due or in work.
LOOK_PERIOD = Millis(100)

#: How long other routers keep calls away from an engine that loads, unless
#: they hear earlier that it is done.
LOAD_TIME = Millis(1600)

#: Time between two reads of an engine's report while it loads.
REPORT_PERIOD = Millis(200)

#: How long an announced drain keeps calls away; it is announced again while
#: it lasts.
DRAIN_NOTICE = Millis(600)

#: Time after which an unchanged drain is announced again.
DRAIN_REPEAT = Millis(300)

#: Expected time of a load before the first one was seen, in ms, and the
#: weight of each load in the mean.
ASSUMED_LOAD_MS = 1500.0
LOAD_WEIGHT = 0.3


@dataclass(slots=True)
class _Progress:
    """What the leader knows about the orders to one engine."""

    draining_since: Millis | None = None
    ordered_at: Millis | None = None
    ordered_version: int = 0
    is_loading: bool = False
    is_asking: bool = False
    asked_at: Millis = Millis(0)


class RolloutDriver:
    """Gives the orders that are due while this router leads.

    Parameters
    ----------
    leader_lease
        Says whether this router may give orders.
    order_client
        The engines.
    directory, selector
        What is in force, and the load of the engines.
    reactor, clock
        Keep time.
    load_share
        Share of a service's engines that load at the same time.
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
        """Look at no engine yet."""
        self._order_client = order_client
        self._directory = directory
        self._selector = selector
        self._clock = clock
        self._load_share = load_share
        self._leader_lease = leader_lease
        self._progress: dict[str, _Progress] = {}
        self._load_ms = ASSUMED_LOAD_MS
        self._is_open = False
        #: The drains that were announced last.
        self._announced: tuple[str, ...] = ()
        self._announced_at = Millis(0)
        self._looks = PeriodicTask('rollout', self._look, reactor)
        #: Told when engines drain or load, with the time it may take.
        self.on_engines_paused: Callable[[tuple[str, ...], Millis], None] = (
            lambda servers, time: None
        )
        #: Told when an engine shows new weights.
        self.on_weights_loaded: Callable[[str, str, int], None] = (
            lambda server, model, version: None
        )

    def start(self) -> None:
        """Wait for the lead."""
        self._is_open = True

    def close(self) -> None:
        """Stop giving orders."""
        self._is_open = False
        self._looks.close()

    def set_leading(self, is_leader: bool) -> None:
        """Look at the engines while this router leads."""
        if is_leader and self._is_open:
            self._looks.start(in_seconds(LOOK_PERIOD))
        else:
            self._looks.close()

    def _look(self) -> None:
        """Give the orders that are due."""
        configuration = self._directory.configuration
        now = self._clock.now()
        if (
            configuration is None
            or self._leader_lease.fencing_token(now) is None
        ):
            return
        for service in configuration.services.values():
            if service.is_model:
                self._look_at(service, now)

    def _look_at(self, service: ServiceSpec, now: Millis) -> None:
        engines = [
            self._weights(server, model, now)
            for server in self._directory.servers.values()
            if server.service == service.name
            for model in server.weights
        ]
        targets = self._directory.targets
        for engine in engines:
            progress = self._progress_of(engine.server)
            is_due = now - progress.asked_at > REPORT_PERIOD
            if progress.is_loading and is_due and not progress.is_asking:
                self._watch(engine)
        load_ms = self._load_ms
        for chosen in next_drains(
            engines, targets, self._load_share, load_ms, now
        ):
            self._progress_of(chosen.server).draining_since = now
        draining = tuple(
            each.server.server_id
            for each in engines
            if self._progress_of(each.server).draining_since is not None
        )
        self._announce(draining, now)
        for engine in engines:
            swap_mode = due_order(engine, now)
            if swap_mode is not None and has_place(
                engines, self._load_share, now
            ):
                self._begin(engine, targets[engine.model], swap_mode)

    def _announce(self, draining: tuple[str, ...], now: Millis) -> None:
        """Announce the drains when they change, and while they last.

        Load pattern: a large fleet, in which each announcement is a message
        to every router.
        """
        is_due = now - self._announced_at >= DRAIN_REPEAT
        if draining and (is_due or draining != self._announced):
            self._announced_at = now
            self.on_engines_paused(draining, DRAIN_NOTICE)
        self._announced = draining

    def _weights(
        self,
        server: BackendServer,
        model: str,
        now: Millis,
    ) -> EngineWeights:
        progress = self._progress_of(server)
        load = self._selector.load_of(server.server_id)
        version = self._selector.weights_version_of(server, model)
        if progress.is_loading and version >= progress.ordered_version:
            self._done(server, model, version)
        return EngineWeights(
            server=server,
            model=model,
            version=version,
            active=load.active_calls(now),
            unmovable=load.unmovable_calls(now),
            draining_since=progress.draining_since,
            ordered_at=progress.ordered_at,
            is_loading=progress.is_loading,
            is_reachable=now >= load.paused_until,
        )

    @inlineCallbacks
    def _begin(
        self,
        engine: EngineWeights,
        version: int,
        swap_mode: SwapMode,
    ) -> Any:
        """Read the engine's order number and give it the order."""
        progress = self._progress_of(engine.server)
        if progress.is_asking:
            return
        progress.is_asking = True
        try:
            status = yield self._order_client.read_status(engine.server)
            yield self._order(engine, version, swap_mode, status)
        except FetchError as error:
            progress.ordered_at = self._clock.now()
            log_state_change(
                'order_unanswered',
                server=engine.server.server_id,
                reason=str(error),
                verdict=error.verdict.value,
            )
        finally:
            progress.is_asking = False
            progress.draining_since = None

    @inlineCallbacks
    def _order(
        self,
        engine: EngineWeights,
        version: int,
        swap_mode: SwapMode,
        status: EngineStatus,
    ) -> Any:
        progress = self._progress_of(engine.server)
        if status.weights.get(engine.model, 0) >= version:
            self._done(engine.server, engine.model, version)
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
        self.on_engines_paused((engine.server.server_id,), LOAD_TIME)
        answer = yield self._order_client.send_order(
            WeightsOrder(
                server=engine.server,
                model=engine.model,
                version=version,
                swap_mode=swap_mode,
                fencing_token=fencing_token,
                expected_order_number=status.last_order_number,
            ),
        )
        self._take_answer(engine, version, swap_mode, fencing_token, answer)

    def _take_answer(
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
            active=round(engine.active, 1),
            fixed=engine.unmovable,
            outcome=answer.value,
        )
        if answer is OrderAnswer.ACCEPTED:
            progress.is_loading = True
            progress.asked_at = self._clock.now()
            return
        if answer is OrderAnswer.ALREADY_LOADED:
            self._done(engine.server, engine.model, version)
            return
        if answer is OrderAnswer.FENCED:
            self._leader_lease.reject_token(fencing_token)
        self.on_engines_paused((engine.server.server_id,), Millis(0))

    @inlineCallbacks
    def _watch(self, engine: EngineWeights) -> Any:
        """Look whether a load is done."""
        progress = self._progress_of(engine.server)
        progress.is_asking = True
        progress.asked_at = self._clock.now()
        try:
            status = yield self._order_client.read_status(engine.server)
        except FetchError:
            # A lost report costs one more look.
            return
        finally:
            progress.is_asking = False
        version = status.weights.get(engine.model, 0)
        if version >= progress.ordered_version:
            self._done(engine.server, engine.model, version)
        elif not status.is_busy:
            progress.is_loading = False
        else:
            self._prolong(engine.server.server_id)

    def _prolong(self, server_id: str) -> None:
        """Keep calls away from an engine whose load takes longer."""
        left = (
            self._selector.load_of(server_id).loading_until - self._clock.now()
        )
        if left < REPORT_PERIOD:
            self.on_engines_paused((server_id,), Millis(3 * REPORT_PERIOD))

    def _done(self, server: BackendServer, model: str, version: int) -> None:
        progress = self._progress_of(server)
        if progress.is_loading:
            took = self._clock.now() - progress.ordered_at
            self._load_ms += LOAD_WEIGHT * (took - self._load_ms)
            log_state_change(
                'weights_loaded',
                server=server.server_id,
                model=model,
                version=version,
                took_ms=took,
            )
        progress.is_loading = False
        progress.ordered_at = None
        self.on_weights_loaded(server.server_id, model, version)

    def _progress_of(self, server: BackendServer) -> _Progress:
        return self._progress.setdefault(server.incarnation, _Progress())
