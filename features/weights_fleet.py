"""Routers before engines whose weights are named anew, in virtual time.

Callers come at random routers. The fleet notes when the store acknowledged each
version, what each engine ran when a call began, and each order.
"""

import itertools
import re
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol

from features.crash_fleet import CrashFleet, router_host
from features.crash_server import SERVER_PORT
from features.engine_fleet import NoCacheEvents
from features.relay_fixture import HOST, KEY
from features.rollout_engines import VirtualClock
from features.simulated_store import StoreClient
from features.weights_engine import MODEL, Order, Run, WeightsEngine
from yuccagauge.clock import Millis
from yuccagauge.platform.engines import PlatformEngineClient
from yuccagauge.rollout.base import LeaseEras, LeaseState

#: The users' ``versionMs`` and ``stableMs``.
VERSION_TIME = Millis(12_000)
STABLE_TIME = Millis(3000)

#: The users' ``leaseMs``.
LEASE_TIME = Millis(3000)

#: How long callers wait for a whole answer.
DEADLINE = Millis(5000)

#: What the prompts are about.
_SUBJECTS = 12

#: Largest share of the time left that callers wait before they come back.
_PAUSE_SHARE = 1 / 3

_REFUSALS = frozenset((429, 503))

#: Longest time that a machine ran before the first process of its router, in
#: ms. The clock of each machine counts from its start.
_LONGEST_UPTIME = 1_000_000

_WALL_TIME = 1_700_000_000_000

_CALLER_HOST = '10.3.0.1'
_LAST_CHUNK = b'\r\n0\r\n\r\n'
_STATUS = re.compile(rb'HTTP/1.1 (\d+)')
_RETRY_AFTER = re.compile(rb'retry-after: ([0-9.]+)', re.IGNORECASE)


class MachineClock(VirtualClock):
    """The clock of a machine since its start, and a wall clock that may step.

    Parameters
    ----------
    reactor
        Passes the time.
    uptime
        What the clock shows at time 0.
    step
        Returns by how much the wall clock is off, in ms.
    """

    def __init__(
        self, reactor: Any, uptime: int, step: Callable[[], int]
    ) -> None:
        """Follow the reactor's time."""
        super().__init__(reactor)
        self._offset = _WALL_TIME - uptime
        self._uptime = uptime
        self._step = step

    def now(self) -> Millis:
        """Return the time since the machine's start."""
        return Millis(super().now() + self._uptime)

    def wall_time(self) -> Millis:
        """Return the time of the machine's wall clock."""
        return Millis(super().wall_time() + self._offset + self._step())


class ProcessStoreClient(StoreClient):
    """The store as one process of a router sees it, with the leader lease.

    Answers that come after the process has ended are dropped.
    """

    def __init__(self, fleet: 'WeightsFleet', name: str) -> None:
        """Read the store for the newest process of a router."""
        super().__init__(fleet.store, name)
        self._fleet = fleet
        self._start = len(fleet.starts[name])

    def list_newest(self, topic: Any) -> Deferred[Any]:
        """Return the newest record of each key."""
        return self._guard(super().list_newest(topic))

    def read_from(self, topic: Any, offset: int, wait: Millis) -> Deferred[Any]:
        """Return the records from an offset on."""
        return self._guard(super().read_from(topic, offset, wait))

    def read_lease(self) -> Deferred[LeaseState]:
        """Return the last record of the lease."""
        return self._guard(self._store.read_lease(self._name))

    def append_lease(
        self, holder: str, expected_count: int, eras: LeaseEras
    ) -> Deferred[bool]:
        """Append a record of the lease."""
        appended = self._store.append_lease(
            self._name, holder, expected_count, eras
        )
        return self._guard(appended)

    def _guard(self, answer: Deferred[Any]) -> Deferred[Any]:
        """Return an answer that comes only while the process runs."""
        guarded: Deferred[Any] = Deferred()

        def deliver(found: Any) -> None:
            is_same = len(self._fleet.starts[self._name]) == self._start
            if is_same and self._fleet.is_running(self._name):
                guarded.callback(found)

        answer.addBoth(deliver)
        return guarded


@dataclass(slots=True, kw_only=True)
class WeightsCall:
    """A call, and whether its caller got a whole answer in time."""

    sent_at: Millis
    #: The part of its prompt that other calls have too.
    subject: str
    is_served: bool = False
    attempts: int = 0
    status: int = 0

    @property
    def deadline_at(self) -> Millis:
        """When the caller gives up."""
        return Millis(self.sent_at + DEADLINE)


class _Attempt(Protocol):
    """One attempt of a caller."""

    def __init__(self, fleet: 'WeightsFleet', call: WeightsCall) -> None:
        self._fleet = fleet
        self._call = call
        self._received = b''
        self._is_over = False

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        self.transport.write(self._fleet.request(self._call))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take the answer; come back if it is a refusal."""
        self._received += data
        found = _STATUS.match(self._received)
        if self._is_over or found is None:
            return
        self._call.status = int(found.group(1))
        if self._call.status in _REFUSALS:
            self._come_back()
        elif self._received.endswith(_LAST_CHUNK):
            is_in_time = self._fleet.clock.now() <= self._call.deadline_at
            has_failed = b'event: error' in self._received
            self._call.is_served = is_in_time and not has_failed
            self.leave()

    def leave(self) -> None:
        """Close the connection."""
        self._is_over = True
        if self.transport is not None:
            self.transport.loseConnection()

    def _come_back(self) -> None:
        head, is_whole, _ = self._received.partition(b'\r\n\r\n')
        if not is_whole:
            return
        self.leave()
        left = self._call.deadline_at - self._fleet.clock.now()
        found = _RETRY_AFTER.search(head)
        wait_s = float(found.group(1)) if found else 0
        if found and wait_s * 1000 <= left * _PAUSE_SHARE:
            self._fleet.attempt_later(self._call, wait_s)


class WeightsFleet(CrashFleet):
    """Routers before model engines, in virtual time."""

    #: Name of the route of all calls.
    route = 'stream'

    #: Whether engines refuse old fencing tokens.
    checks_fences = True

    server_type = WeightsEngine
    cache_event_source = NoCacheEvents()

    def __init__(self, routers: int, servers: int, seed: int = 1) -> None:
        """Start a fleet whose engines all have the first weights."""
        self.runs: list[Run] = []
        self.orders: list[Order] = []
        self.calls: list[WeightsCall] = []
        #: When the store acknowledged each version, and when an engine loaded.
        self.named: dict[int, Millis] = {1: Millis(0)}
        self.loaded: list[Millis] = []
        #: When processes of each router started and ended.
        self.starts: dict[str, list[Millis]] = {}
        self.kills: dict[str, list[Millis]] = {}
        #: Begin and end of each silence of the store.
        self.silences: list[tuple[Millis, Millis]] = []
        #: By how much the wall clocks of routers are off, in ms.
        self.steps: Counter[str] = Counter()
        super().__init__(routers, servers, seed)

    def more_settings(self) -> dict[str, dict[str, str]]:
        """Return the settings of weights."""
        return {
            'weights': {
                'limit_ms': str(VERSION_TIME),
                'lease_ms': str(LEASE_TIME),
                'engines_check_fences': str(self.checks_fences),
            }
        }

    def router_clock(self, name: str) -> MachineClock:
        """Return a clock that counts from the start of the machine."""
        uptime = self.random.randrange(_LONGEST_UPTIME)
        return MachineClock(
            self.network.reactor, uptime, lambda: self.steps[name]
        )

    def build_order_client(self, reactor: Any, pool: Any, name: str) -> Any:
        """Return the platform's client of engines."""
        return PlatformEngineClient(reactor, pool, name)

    def build_store_client(self, name: str) -> StoreClient:
        """Return the store with the lease."""
        return ProcessStoreClient(self, name)

    def start_router(self, name: str) -> None:
        """Start the process of a router, and note when."""
        if not self.is_running(name):
            self.starts.setdefault(name, []).append(self.clock.now())
            self.network.silent_hosts.discard(router_host(name))
        super().start_router(name)

    def kill_router(self, name: str) -> None:
        """End the process of a router, and note when."""
        self.kills.setdefault(name, []).append(self.clock.now())
        super().kill_router(name)

    def leader(self) -> str:
        """Return the router that leads as far as it knows, or a random one."""
        running = [name for name in self.router_names if self.is_running(name)]
        leaders = [
            name
            for name in running
            if self.router(name)._leader_lease.is_leader  # noqa: SLF001
        ]
        return self.random.choice(leaders or running)

    def restart(self, names: list[str], down_s: float) -> None:
        """Take the power from routers for some time."""
        for name in names:
            self.kill_router(name)
            self.network.reactor.callLater(down_s, self.start_router, name)

    def name_weights(self, version: int) -> None:
        """Name weights, which the store acknowledges at once."""
        self.store.append_weights(MODEL, version)
        self.named[version] = self.clock.now()

    def silence_store(self, seconds: float) -> None:
        """Let the store answer nobody for some time."""
        now = self.clock.now()
        self.store.is_silent = True
        self.silences.append((now, Millis(now + round(seconds * 1000))))

        def end() -> None:
            self.store.is_silent = False

        self.network.reactor.callLater(seconds, end)

    def begin_call(self) -> None:
        """Let a caller call any router."""
        subject = f's{self.random.randrange(_SUBJECTS)}'
        call = WeightsCall(sent_at=self.clock.now(), subject=subject)
        self.calls.append(call)
        self._attempt(call)

    def attempt_later(self, call: WeightsCall, wait_s: float) -> None:
        """Let a caller come back."""
        self.network.reactor.callLater(wait_s, self._attempt, call)

    def request(self, call: WeightsCall) -> bytes:
        """Return the next attempt of a call."""
        self._request_count += 1
        call.attempts += 1
        request_id = f'c{self._request_count}'
        left = max(1, call.deadline_at - self.clock.now())
        lines = (
            f'POST /{self.route}/x HTTP/1.1',
            f'Host: {HOST}',
            f'X-Yuccagauge-Request-Id: {request_id}',
            f'X-Yuccagauge-Deadline-Ms: {left}',
            f'Authorization: Bearer {KEY}',
            f'X-Yuccagauge-Model: {MODEL}',
            f'X-Yuccagauge-Prefix-Hash: aa:400,{call.subject}:500,{request_id}:60',
            'X-Yuccagauge-Token-Usage: 960,8',
            'Content-Length: 1',
        )
        return '\r\n'.join([*lines, '', 'x']).encode()

    def record_loaded(self) -> None:
        """Note that an engine has loaded weights."""
        self.loaded.append(self.clock.now())

    def late_runs(self, *, in_touch: bool) -> list[tuple[Millis, Run]]:
        """Return the runs on weights replaced too long before, with the age.

        Parameters
        ----------
        in_touch
            Whether to count only runs that a router sent which had run for
            some time, while the store was undisturbed.
        """
        return [
            (age, run)
            for run in self.runs
            if (age := self._age_of(run)) > VERSION_TIME
            and (not in_touch or self._is_in_touch(run.router, run.at))
        ]

    def conflicting_orders(self) -> list[tuple[Order, Order]]:
        """Return the orders of two routers with one fence, or in turns.

        They are in turns if two routers in touch ordered one engine within the
        lease.
        """
        return [
            (first, second)
            for first, second in itertools.combinations(self.orders, 2)
            if first.holder != second.holder
            and (
                first.fence == second.fence or self._are_in_turns(first, second)
            )
        ]

    def share_served(self, since: Millis, until: Millis) -> float:
        """Return the share of the calls of a time with a whole answer."""
        calls = [each for each in self.calls if since <= each.sent_at < until]
        return sum(each.is_served for each in calls) / max(1, len(calls))

    def all_loaded_at(self) -> Millis | None:
        """Return when the last engine got the newest weights, if all have."""
        newest = max(self.named)
        if any(engine.weights != newest for engine in self.servers):
            return None
        return max(self.loaded, default=Millis(0))

    def last_start(self) -> Millis:
        """Return when a process of a router started last."""
        return max(max(starts) for starts in self.starts.values())

    def _are_in_turns(self, first: Order, second: Order) -> bool:
        return (
            first.engine == second.engine
            and second.at - first.at < LEASE_TIME
            and all(
                self._is_in_touch(order.holder, order.at)
                for order in (first, second)
            )
        )

    def _age_of(self, run: Run) -> Millis:
        """Return how long before a run its weights were replaced."""
        newer = [
            at for version, at in self.named.items() if version > run.version
        ]
        return Millis(run.at - min(newer, default=run.at))

    def _is_in_touch(self, name: str, at: Millis) -> bool:
        """Return whether a router ran for some time, beside a sound store."""
        started = max(start for start in self.starts[name] if start <= at)
        is_core_stable = not any(
            begin <= at < end + STABLE_TIME for begin, end in self.silences
        )
        return is_core_stable and started + STABLE_TIME <= at

    def _attempt(self, call: WeightsCall) -> None:
        names = [name for name in self.router_names if self.is_running(name)]
        if not names or self.clock.now() >= call.deadline_at:
            return
        attempt = _Attempt(self, call)
        factory = Factory()
        factory.noisy = False
        factory.startedConnecting = lambda connector: None
        factory.clientConnectionFailed = lambda connector, reason: None
        factory.buildProtocol = lambda address: attempt
        host = router_host(self.random.choice(names))
        self.network.connect(_CALLER_HOST, host, SERVER_PORT, factory, 1)
        left_s = (call.deadline_at - self.clock.now()) / 1000
        self.network.reactor.callLater(left_s, attempt.leave)
