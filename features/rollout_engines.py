"""Simulated engines and a lease store for rollout tests."""

from collections import Counter
from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock as TaskClock

from features.directory_fixtures import backend_server, service_spec
from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    CallerLimits,
    Configuration,
    WeightsTarget,
)
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.rollout.base import (
    EngineStatus,
    LeaseEras,
    LeaseState,
    OrderAnswer,
    WeightsOrder,
)
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

#: The one model of the engines.
MODEL = 'm'


class VirtualClock:
    """A clock that follows a virtual reactor."""

    def __init__(self, reactor: TaskClock) -> None:
        """Follow the reactor's time."""
        self._reactor = reactor

    def now(self) -> Millis:
        """Return the reactor's time, in ms."""
        return Millis(round(self._reactor.seconds() * 1000))

    def wall_time(self) -> Millis:
        """Return the reactor's time, in ms, as wall-clock time."""
        return self.now()


class ProcessReactor:
    """A virtual reactor of one process, which may be killed."""

    def __init__(self, reactor: TaskClock) -> None:
        """Follow the time of the reactor that all processes share."""
        self._reactor = reactor
        self._is_killed = False

    def kill(self) -> None:
        """Run nothing more."""
        self._is_killed = True

    def seconds(self) -> float:
        """Return the shared time."""
        return self._reactor.seconds()

    def callLater(self, delay: float, function: Any, *args: Any) -> Any:
        """Call the function later, unless the process is killed."""
        return self._reactor.callLater(delay, self._run, function, args)

    def _run(self, function: Any, args: tuple[Any, ...]) -> None:
        if not self._is_killed:
            function(*args)


def model_engine(number: int) -> BackendServer:
    """Return an engine with version 1."""
    return backend_server(
        f'e{number}',
        endpoint=Endpoint('127.0.0.1', number + 1),
        weights={MODEL: 1},
    )


class SimulatedEngines:
    """Engines that answer orders as the platform's engines do."""

    def __init__(self, count: int, load_s: float, reactor: TaskClock) -> None:
        """Start with version 1 on each engine."""
        self.versions = {f'e{number}': 1 for number in range(count)}
        self.order_numbers: Counter[str] = Counter()
        self.busy: dict[str, bool] = {}
        self.history: dict[str, list[int]] = {
            name: [1] for name in self.versions
        }
        self.maximum_loading = 0
        self.ordered_at: list[float] = []
        #: When each engine was asked for its status.
        self.asked_at: dict[str, list[float]] = {
            name: [] for name in self.versions
        }
        #: Engines whose next order arrives late and gets no answer.
        self.delayed: set[str] = set()
        self.order_delay_s = float(0)
        #: Engines whose next order is answered 200 by somebody else.
        self.misanswered: set[str] = set()
        #: Time until a connection for an order opens, in seconds.
        self.connect_s = float(0)
        #: Number of these connections.
        self.openings = 0
        #: Time until which an engine answers no request for its status, in s.
        self.unread_until: dict[str, float] = {}
        #: Time from its first order to the restart of each engine, in s.
        self.restart_s: float | None = None
        self.restarts: Counter[str] = Counter()
        self._load_s = load_s
        self._reactor = reactor

    def read_status(self, server: BackendServer) -> Any:
        """Return the current status."""
        name = server.server_id
        now = self._reactor.seconds()
        self.asked_at[name].append(now)
        if now < self.unread_until.get(name, 0):
            return fail(FetchError('simulated silence', Verdict.NOT_RUN))
        return succeed(
            EngineStatus(
                is_busy=self.busy.get(name, False),
                last_order_number=self.order_numbers[name],
                weights={MODEL: self.versions[name]},
            ),
        )

    def send_order(
        self, order: WeightsOrder, may_begin: Callable[[], bool] = lambda: True
    ) -> Any:
        """Take an order once a connection is open."""
        self.openings += 1
        opening: Deferred[None] = Deferred()
        opening.addCallback(lambda _: self._take_order(order, may_begin))
        if self.connect_s:
            self._reactor.callLater(self.connect_s, opening.callback, None)
        else:
            opening.callback(None)
        return opening

    def _take_order(
        self, order: WeightsOrder, may_begin: Callable[[], bool]
    ) -> Any:
        """Accept or refuse an order, or delay it and lose its answer."""
        if not may_begin():
            return fail(FetchError('simulated late opening', Verdict.NOT_RUN))
        name = order.server.server_id
        self.ordered_at.append(self._reactor.seconds())
        if name in self.misanswered:
            self.misanswered.discard(name)
            return succeed(OrderAnswer.ALREADY_LOADED)
        if name in self.delayed:
            self.delayed.discard(name)
            self._reactor.callLater(
                self.order_delay_s, self._handle_order, order
            )
            return fail(
                FetchError('simulated lost answer', Verdict.MAY_HAVE_RUN)
            )
        return succeed(self._handle_order(order))

    def _handle_order(self, order: WeightsOrder) -> OrderAnswer:
        name = order.server.server_id
        if (
            self.busy.get(name)
            or order.expected_order_number != self.order_numbers[name]
        ):
            return OrderAnswer.CONFLICT
        if self.versions[name] == order.version:
            return OrderAnswer.ALREADY_LOADED
        self.order_numbers[name] += 1
        self.busy[name] = True
        self.maximum_loading = max(
            self.maximum_loading, sum(self.busy.values())
        )
        self._reactor.callLater(
            self._load_s,
            self._finish_load,
            name,
            order.version,
            self.restarts[name],
        )
        if self.restart_s is not None and not self.restarts[name]:
            self._reactor.callLater(self.restart_s, self._restart, name)
        return OrderAnswer.ACCEPTED

    def _restart(self, name: str) -> None:
        """Start again under the same id, with the weights that it had."""
        if not self.restarts[name]:
            self.restarts[name] += 1
            self.order_numbers[name] = 0
            self.busy[name] = False

    def _finish_load(self, name: str, version: int, restarts: int) -> None:
        if restarts != self.restarts[name]:
            return
        self.busy[name] = False
        self.versions[name] = version
        self.history[name].append(version)


class SimulatedStore:
    """A lease store to which no other router appends records."""

    def __init__(self) -> None:
        """Start with an available store without records."""
        self.is_unavailable = False
        self.loses_answers = False
        self.holders: list[str] = []
        #: Answers to reads, which wait while ``holds_answers`` is set.
        self.holds_answers = False
        self.held: list[tuple[Deferred[LeaseState], LeaseState]] = []

    def read_lease(self) -> Any:
        """Return the last holder and the number of records."""
        if self.is_unavailable:
            return fail(StoreUnavailableError('simulated outage'))
        holder = self.holders[-1] if self.holders else ''
        state = LeaseState(record_count=len(self.holders), holder=holder)
        if not self.holds_answers:
            return succeed(state)
        answer: Deferred[LeaseState] = Deferred()
        self.held.append((answer, state))
        return answer

    def answer_held(self) -> None:
        """Answer the reads that wait, with the state when they were made."""
        self.holds_answers = False
        for answer, state in self.held:
            answer.callback(state)

    def append_lease(
        self, holder: str, expected_count: int, eras: LeaseEras
    ) -> Any:
        """Append a record if the number of records is as expected."""
        if self.is_unavailable:
            return fail(StoreUnavailableError('simulated outage'))
        if expected_count != len(self.holders):
            return succeed(False)
        self.holders.append(holder)
        if self.loses_answers:
            return fail(StoreUnavailableError('simulated lost answer'))
        return succeed(True)


class TargetDecoder:
    """Decodes the value ``NUMBER`` as a weights target."""

    def decode_operator_record(self, key: str, value: bytes) -> Any:
        """Return a target, or for ``config`` a minimal configuration."""
        if key != 'config':
            return WeightsTarget(model=MODEL, version=int(value))
        service = service_spec(is_model=True)
        return Configuration(
            version=1,
            routes=(),
            services={'s': service},
            customers=(),
            limits=CallerLimits(),
        )

    def decode_server(self, key: str, value: bytes) -> BackendServer:
        """Return an engine with version 1."""
        return model_engine(int(key.removeprefix('e')))
