"""The surroundings of the routers: engines, network, clock, measures."""

from collections import defaultdict, deque
from collections.abc import Callable
from typing import TYPE_CHECKING

import numpy as np

from yuccagauge.bench.engine import EngineFake
from yuccagauge.bench.logfake import LogFake
from yuccagauge.bench.loop import EventLoop
from yuccagauge.bench.measures import Measures
from yuccagauge.bench.trace import TracedRequest
from yuccagauge.bench.workload import Workload
from yuccagauge.load import EngineKey

if TYPE_CHECKING:
    from yuccagauge.bench.router import RouterSim

_FIRST_PORT = 9000

#: Cache events that an engine retains, as the engine stand-in does.
RETAINED_EVENTS = 20_000

#: A cache event: kind, digest and cumulative tokens.
CacheEvent = tuple[str, bytes, int]


class Fleet:
    """What all routers of a run share.

    Parameters
    ----------
    workload
        The workload.
    seed
        Seed of the run.
    """

    def __init__(self, workload: Workload, seed: int) -> None:
        """Build engines and the network."""
        self.workload = workload
        self.loop = EventLoop()
        self.log = LogFake(workload)
        self.measures = Measures(workload)
        self.random = np.random.default_rng((seed, 2))
        #: Share of the events that are lost now.
        self.event_loss = workload.signals.event_loss
        #: Data centres that are cut off from all others.
        self.cut_off: set[str] = set()
        self.engines: dict[EngineKey, EngineFake] = {}
        #: Set by the simulation: sends a request from its client.
        self.resend: Callable[[TracedRequest], None] = _send_nowhere
        #: Returns of each client, and the time of the last.
        self._returns: dict[int, tuple[int, float]] = {}
        self._events: dict[EngineKey, list[CacheEvent]] = defaultdict(list)
        self._retained: dict[
            EngineKey,
            deque[tuple[float, str, CacheEvent]],
        ] = defaultdict(lambda: deque(maxlen=RETAINED_EVENTS))
        for number in range(workload.engines.count):
            self._add_engine(number)
        self.all_engines = tuple(self.engines.values())

    def data_centre(self, number: int) -> str:
        """Return the data centre of the n-th engine or router."""
        data_centres = self.workload.workload.data_centres
        return data_centres[number % len(data_centres)]

    def distance(self, one: str, other: str) -> float:
        """Return the one-way network delay, in ms."""
        return 0 if one == other else self.workload.workload.between_ms

    def reaches(self, one: str, other: str) -> bool:
        """Return whether the network joins two data centres now."""
        return one == other or not self.cut_off & {one, other}

    def prepare(self, router: 'RouterSim') -> None:
        """Tell a router that starts what its settings and document say."""
        for key, engine in self.engines.items():
            router.table.set_network_delay(
                key,
                self.distance(router.data_centre, engine.data_centre),
            )
        attach = getattr(router.policy, 'attach', None)
        if attach is not None:
            attach(self, router.data_centre)

    def answered(self, request: TracedRequest) -> None:
        """Count a first token that a router passes to its client."""
        client = self.workload.workload.client_ms
        self.measures.answered(request, self.loop.time + client)

    def sent_at(self, request: TracedRequest) -> float:
        """Return when the client sent the request for the last time."""
        return self._returns.get(request.number, (0, request.sent_at))[1]

    def come_back(self, request: TracedRequest, wait: float) -> bool:
        """Send a refused request again later, if its client does that."""
        count = self._returns.get(request.number, (0, 0))[0]
        if count >= self.workload.arrivals.client_retries:
            return False
        time = self.loop.time + wait
        self._returns[request.number] = (count + 1, time)
        self.loop.at(time, lambda: self.resend(request))
        return True

    def take_events(self, engine: EngineKey) -> list[CacheEvent]:
        """Return the events of an engine since the last call."""
        return self._events.pop(engine, [])

    def retained_events(self, engine: EngineKey) -> list[CacheEvent]:
        """Return the events that an engine still shows to a new reader."""
        shown_until = self.loop.time - self.workload.signals.event_delay_ms
        incarnation = self.engines[engine].incarnation
        return [
            event
            for time, emitter, event in self._retained[engine]
            if time <= shown_until and emitter == incarnation
        ]

    def _emit(self, key: EngineKey, event: CacheEvent) -> None:
        self._events[key].append(event)
        emitter = self.engines[key].incarnation
        self._retained[key].append((self.loop.time, emitter, event))

    def _add_engine(self, number: int) -> None:
        key = EngineKey('127.0.0.1', _FIRST_PORT + number)
        self.engines[key] = EngineFake(
            key,
            self.data_centre(number),
            self.workload.engines,
            self.loop,
            lambda *event: self._emit(key, event),
        )


def _send_nowhere(request: TracedRequest) -> None:
    raise RuntimeError('no simulation is attached')
