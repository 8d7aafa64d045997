"""Engines and a store for tests of the rollout, on a virtual clock."""

from collections import Counter
from typing import Any

from twisted.internet.defer import fail, succeed
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
    LeaseState,
    OrderAnswer,
    WeightsOrder,
)
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

#: The one model of the engines.
MODEL = 'm'


class VirtualClock:
    """Reads the time of a virtual reactor."""

    def __init__(self, reactor: TaskClock) -> None:
        """Keep the reactor."""
        self._reactor = reactor

    def now(self) -> Millis:
        """Return the reactor's time, in ms."""
        return Millis(round(self._reactor.seconds() * 1000))

    def wall_time(self) -> Millis:
        """Return the same."""
        return self.now()


def model_engine(number: int) -> BackendServer:
    """Return an engine with version 1."""
    return backend_server(
        f'e{number}',
        endpoint=Endpoint('127.0.0.1', number + 1),
        weights={MODEL: 1},
    )


class SimulatedEngines:
    """Engines that take orders as the platform's engines do."""

    def __init__(self, count: int, load_s: float, reactor: TaskClock) -> None:
        """Start with version 1 everywhere."""
        self.versions = {f'e{number}': 1 for number in range(count)}
        self.numbers: Counter[str] = Counter()
        self.busy: dict[str, bool] = {}
        self.history: dict[str, list[int]] = {
            name: [1] for name in self.versions
        }
        self.most_loading = 0
        self.ordered_at: list[float] = []
        self.unanswered: set[str] = set()
        self.late_s = float(0)
        self._load_s = load_s
        self._reactor = reactor

    def read_status(self, server: BackendServer) -> Any:
        """Return a report without lag."""
        name = server.server_id
        return succeed(
            EngineStatus(
                is_busy=self.busy.get(name, False),
                last_order_number=self.numbers[name],
                weights={MODEL: self.versions[name]},
            ),
        )

    def send_order(self, order: WeightsOrder) -> Any:
        """Take an order, or lose it on the way."""
        name = order.server.server_id
        self.ordered_at.append(self._reactor.seconds())
        if name in self.unanswered:
            self.unanswered.discard(name)
            self._reactor.callLater(self.late_s, self._take, order)
            return fail(FetchError('lost', Verdict.MAY_HAVE_RUN))
        return succeed(self._take(order))

    def _take(self, order: WeightsOrder) -> OrderAnswer:
        name = order.server.server_id
        if (
            self.busy.get(name)
            or order.expected_order_number != self.numbers[name]
        ):
            return OrderAnswer.CONFLICT
        if self.versions[name] == order.version:
            return OrderAnswer.ALREADY_LOADED
        self.numbers[name] += 1
        self.busy[name] = True
        self.most_loading = max(self.most_loading, sum(self.busy.values()))
        self._reactor.callLater(
            self._load_s,
            self._loaded,
            name,
            order.version,
        )
        return OrderAnswer.ACCEPTED

    def _loaded(self, name: str, version: int) -> None:
        self.busy[name] = False
        self.versions[name] = version
        self.history[name].append(version)


class SimulatedStore:
    """Records of the lead, of which other routers write none."""

    def __init__(self) -> None:
        """Start with the store up and without records."""
        self.is_out = False
        self.loses_answers = False
        self.holders: list[str] = []

    def read_lease(self) -> Any:
        """Return the state of the lead."""
        if self.is_out:
            return fail(StoreUnavailableError('out'))
        holder = self.holders[-1] if self.holders else ''
        return succeed(
            LeaseState(record_count=len(self.holders), holder=holder)
        )

    def append_lease(self, holder: str, expected_count: int) -> Any:
        """Write a record under its condition."""
        if self.is_out:
            return fail(StoreUnavailableError('out'))
        if expected_count != len(self.holders):
            return succeed(False)
        self.holders.append(holder)
        if self.loses_answers:
            return fail(StoreUnavailableError('lost'))
        return succeed(True)


class TargetDecoder:
    """Reads ``NUMBER`` as a weights target."""

    def decode_operator_record(self, key: str, value: bytes) -> Any:
        """Return a target, or the configuration with one service."""
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
