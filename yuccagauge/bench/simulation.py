"""One run: a workload, a policy, a seed."""

import functools

import numpy as np

from yuccagauge.bench import oracle as _oracle  # noqa: F401 registers it
from yuccagauge.bench.engine import EngineFake
from yuccagauge.bench.faults import schedule_faults
from yuccagauge.bench.fleet import CacheEvent, Fleet
from yuccagauge.bench.measures import Measures
from yuccagauge.bench.router import RouterSim
from yuccagauge.bench.trace import TracedRequest
from yuccagauge.bench.workload import Workload
from yuccagauge.placement.notices import PlacementNotice

#: Time between two polls of an engine's cache events, in ms.
EVENT_POLL_MS = 100.0

#: Time between two reads of the log, in ms.
LOG_POLL_MS = 1000.0

#: Time after which a client that finds no router tries again, in ms.
CLIENT_RETRY_MS = 100.0

#: Hot prefixes that a router tells its peers at a time.
HOT_PREFIXES = 32

#: Time after the last arrival in which answers still count, in ms.
_DRAIN_MS = 30_000

#: Load reports begin this long before the first request, in ms.
_LEAD_MS = 0


class Simulation:
    """Drives routers and fakes by the events of one run.

    Parameters
    ----------
    workload
        The workload.
    trace
        Its requests.
    policy
        Name of the placement policy.
    seed
        Seed of the run.
    """

    def __init__(
        self,
        workload: Workload,
        trace: tuple[TracedRequest, ...],
        policy: str,
        seed: int,
    ) -> None:
        """Build the fleet and the routers."""
        self.fleet = Fleet(workload, seed)
        self.fleet.resend = self.send
        self._trace = trace
        self.routers = [
            RouterSim(self.fleet, number, policy, seed)
            for number in range(workload.workload.routers)
        ]

    def run(self) -> Measures:
        """Run to the end and return the counts."""
        loop = self.fleet.loop
        signals = self.fleet.workload.signals
        for router in self.routers:
            self.start_router(router)
        for engine in self.fleet.all_engines:
            # Engines report and emit out of step with each other.
            phase = self.fleet.random.random()
            self._every(
                signals.report_interval_ms,
                phase,
                functools.partial(self._report, engine),
            )
            self._every(
                EVENT_POLL_MS,
                phase,
                functools.partial(self._emit, engine),
            )
        self._every(signals.peer_interval_ms, 0.5, self._exchange)
        if signals.notice_interval_ms:
            self._every(signals.notice_interval_ms, 0.5, self._tell_peers)
        self._every(LOG_POLL_MS, 0.5, self._read_log)
        for request in self._trace:
            loop.at(request.sent_at, functools.partial(self.send, request))
        schedule_faults(self)
        loop.run(self.fleet.workload.workload.duration_ms + _DRAIN_MS)
        self._count_missing()
        return self.fleet.measures

    def send(self, request: TracedRequest) -> None:
        """Send a request from its client to a live router."""
        live = [router for router in self.routers if router.is_live]
        if not live:
            self.fleet.loop.after(
                CLIENT_RETRY_MS,
                functools.partial(self.send, request),
            )
            return
        router = live[request.balance % len(live)]
        self.fleet.loop.after(
            self.fleet.workload.workload.client_ms,
            functools.partial(self._receive, router, request),
        )

    def start_router(self, router: RouterSim) -> None:
        """Start a router: document, first load reports, peers' prefixes."""
        router.is_live = True
        peers = [
            peer for peer in self.routers if peer.is_live and peer is not router
        ]
        router.take_document(self.fleet.log.read())
        for peer in peers:
            router.take_document(peer.document)
        for engine in self.fleet.all_engines:
            reachable = self.fleet.reaches(
                router.data_centre,
                engine.data_centre,
            )
            if engine.is_alive and reachable:
                router.table.update_report(engine.report(), self.fleet.loop.now)
                self._replay(router, engine)
        now = self.fleet.loop.now
        for peer in peers:
            router.view.add_hot_prefixes(
                peer.view.hot_prefixes(HOT_PREFIXES), now
            )
        self._set_fleet_demand()

    def _replay(self, router: RouterSim, engine: EngineFake) -> None:
        """Let a router that starts read the events an engine retains."""
        if not router.policy.uses_cache_events:
            return
        events = self.fleet.retained_events(engine.key)
        lost = self.fleet.random.random(len(events)) < self.fleet.event_loss
        for index in np.flatnonzero(~lost):
            self._apply(router, engine, engine.incarnation, events[index])

    def stop_router(self, router: RouterSim) -> None:
        """Stop a router; its clients send again elsewhere."""
        for request in router.stop():
            self.send(request)
        self._set_fleet_demand()

    def _receive(self, router: RouterSim, request: TracedRequest) -> None:
        if router.is_live:
            router.receive(request)
        else:
            self.send(request)

    def _set_fleet_demand(self) -> None:
        live = sum(router.is_live for router in self.routers)
        for router in self.routers:
            router.admission.set_fleet_demand(live, {})

    def _every(self, interval: float, phase: float, action) -> None:
        """Run an action at each interval until the run ends."""

        def repeat() -> None:
            action()
            self.fleet.loop.after(interval, repeat)

        self.fleet.loop.after(interval * phase, repeat)

    def _report(self, engine: EngineFake) -> None:
        if not engine.is_alive:
            return
        report = engine.report()

        def deliver() -> None:
            now = self.fleet.loop.now
            for router in self._reached(engine):
                router.table.update_report(report, now)

        self.fleet.loop.after(
            self.fleet.workload.signals.report_lag_ms,
            deliver,
        )

    def _emit(self, engine: EngineFake) -> None:
        events = self.fleet.take_events(engine.key)
        if not events or not self.routers[0].policy.uses_cache_events:
            return
        incarnation = engine.incarnation
        self.fleet.loop.after(
            self.fleet.workload.signals.event_delay_ms,
            lambda: self._deliver(engine, incarnation, events),
        )

    def _deliver(
        self,
        engine: EngineFake,
        incarnation: str,
        events: list[CacheEvent],
    ) -> None:
        signals = self.fleet.workload.signals
        for router in self._reached(engine):
            draws = self.fleet.random.random((2, len(events)))
            taken = draws[0] < signals.event_share
            lost = taken & (draws[1] < self.fleet.event_loss)
            if lost.any():
                router.view.record_event_gap(engine.key, self.fleet.loop.now)
            for index in np.flatnonzero(taken & ~lost):
                self._apply(router, engine, incarnation, events[index])

    def _apply(
        self,
        router: RouterSim,
        engine: EngineFake,
        incarnation: str,
        event: CacheEvent,
    ) -> None:
        kind, digest, tokens = event
        if incarnation != router.table.incarnation(engine.key):
            return
        if kind == 'stored':
            now = self.fleet.loop.now
            router.view.apply_stored_event(
                engine.key, incarnation, digest, tokens, now
            )
        else:
            router.view.apply_evicted_event(engine.key, incarnation, digest)

    def _reached(self, engine: EngineFake) -> list[RouterSim]:
        return [
            router
            for router in self.routers
            if router.is_live
            and self.fleet.reaches(router.data_centre, engine.data_centre)
        ]

    def _exchange(self) -> None:
        """Let each router tell one peer its hot prefixes."""
        now = self.fleet.loop.now
        for router in self.routers:
            peer = self.routers[
                int(self.fleet.random.integers(len(self.routers)))
            ]
            joined = self.fleet.reaches(router.data_centre, peer.data_centre)
            live = router.is_live and peer.is_live
            if joined and live and peer is not router:
                peer.view.add_hot_prefixes(
                    router.view.hot_prefixes(HOT_PREFIXES), now
                )

    def _tell_peers(self) -> None:
        """Carry placement notices to all peers."""
        for router in self.routers:
            notices = router.policy.take_notices()
            if not notices or not router.is_live:
                continue
            for peer in self.routers:
                if peer is not router:
                    self._tell(router, peer, notices)

    def _tell(
        self,
        router: RouterSim,
        peer: RouterSim,
        notices: tuple[PlacementNotice, ...],
    ) -> None:
        if not self.fleet.reaches(router.data_centre, peer.data_centre):
            return
        size = sum(notice.wire_bytes for notice in notices)
        self.fleet.measures.events['notice_bytes'] += size

        def deliver() -> None:
            if peer.is_live:
                peer.policy.apply_peer_notices(notices, self.fleet.loop.now)

        self.fleet.loop.after(
            self.fleet.distance(router.data_centre, peer.data_centre),
            deliver,
        )

    def _read_log(self) -> None:
        for router in self.routers:
            if router.is_live:
                router.take_document(self.fleet.log.read())

    def _count_missing(self) -> None:
        """Count requests that never got a first token as failed."""
        for request in self._trace:
            if request.number not in self.fleet.measures.outcomes:
                self.fleet.measures.unanswered(request, 'failed')
