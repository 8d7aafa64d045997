"""Routers that restart while clocks step, and servers write no heartbeats."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from features.beginning_fleet import LeaderlessStoreClient
from features.crash_server import SimulatedServer
from features.weights_engine import MODEL, WeightsEngine
from features.weights_fleet import WeightsFleet
from yuccagauge.clock import Millis
from yuccagauge.selection.base import FleetView

#: Number of the first server of another service, which names its host.
_FIRST_OTHER = 100

#: Unix time of the start of the first servers, in ms: 0 states none.
_FIRST_START = Millis(1_700_000_000_000)

#: Time in which a router reads what is named, or stores that it was named.
_SEEN_TIME = Millis(1000)

#: Time between two looks at the ages that routers count.
_LOOK_S = 0.05


@dataclass(frozen=True, slots=True, kw_only=True)
class CountedAge:
    """For how long a router takes weights to be superseded."""

    router: str
    #: Time since the start of its process.
    uptime: Millis
    #: The weights, and time since the store acknowledged the next ones.
    version: int
    true: Millis
    counted: Millis

    @property
    def excess(self) -> Millis:
        """By how much the router counts too much."""
        return Millis(self.counted - self.true)


class _DarkeningServer(SimulatedServer):
    """A server that freezes, or whose heartbeats do not reach the store."""

    is_frozen = False
    is_cut_off = False

    def set_frozen(self, *, is_frozen: bool) -> None:
        """Stop or continue heartbeats and answers."""
        self.is_frozen = is_frozen
        frozen_hosts = self._fleet.network.frozen_hosts
        (frozen_hosts.add if is_frozen else frozen_hosts.discard)(self.host)

    def entry_document(self) -> dict[str, Any]:
        """Return what the server writes to the store."""
        document = super().entry_document()
        if 'born' in document:
            document['born'] += _FIRST_START
        return document

    def _entry(self) -> tuple[str, bytes]:
        if self.is_frozen:
            # The process does nothing, so it has counted no heartbeat.
            self._sequence -= 1
        return super()._entry()

    def _write_entry(self, entry: tuple[str, bytes]) -> None:
        if not (self.is_frozen or self.is_cut_off):
            super()._write_entry(entry)


class EvidenceEngine(WeightsEngine, _DarkeningServer):
    """A model engine that nobody orders to load."""


class OtherServer(_DarkeningServer):
    """A server of a service without weights."""


class EvidenceFleet(WeightsFleet):
    """Notes for how long routers take weights to be superseded.

    No router leads, so that all engines keep the first weights.
    """

    server_type = EvidenceEngine

    def __init__(self, routers: int, servers: int, others: int) -> None:
        """Start a fleet with servers of another service."""
        self.ages: list[CountedAge] = []
        self.others: list[OtherServer] = []
        super().__init__(routers, servers)
        self.add_others(others)
        self._look()

    @property
    def all_servers(self) -> list[Any]:
        """The servers of both services."""
        return [*self.servers, *self.others]

    def build_store_client(self, name: str) -> LeaderlessStoreClient:
        """Return the store without a leader lease."""
        return LeaderlessStoreClient(self, name)

    def add_others(self, count: int) -> None:
        """Start servers of another service."""
        for _ in range(count):
            server = OtherServer(self, _FIRST_OTHER + len(self.others))
            self.others.append(server)
            server.start()

    def remove_server(self, server: SimulatedServer) -> None:
        """End a server, and remove its entry."""
        server.is_up = False
        self.network.end_host(server.host)
        self.store.append_entry(server.server_id, None)

    def step_clocks(self, step: int) -> None:
        """Let the wall clocks of all routers be off by a time."""
        for name in self.router_names:
            self.steps[name] = step

    def is_seen(self, version: int) -> bool:
        """Return whether a router ran before and after a naming."""
        at = self.named[version]
        return any(
            start + _SEEN_TIME <= at
            and not any(
                start <= kill < at + _SEEN_TIME
                for kill in self.kills.get(name, [])
            )
            for name, starts in self.starts.items()
            for start in starts
        )

    def later(self, seconds: float, action: Callable[..., None]) -> None:
        """Call an action after some time."""
        self.network.reactor.callLater(seconds, action)

    def _look(self) -> None:
        self.later(_LOOK_S, self._look)
        now = self.clock.now()
        for name in filter(self.is_running, self.router_names):
            router = self.router(name)
            view = FleetView(
                servers={},
                named_weights=router._directory.named_weights,  # noqa: SLF001
            )
            for version in self.named.keys() - {max(self.named)}:
                superseded_at = view.superseded_at(MODEL, version)
                if superseded_at is None:
                    continue
                counted = router._clock.now() - superseded_at  # noqa: SLF001
                self.ages.append(
                    CountedAge(
                        router=name,
                        uptime=Millis(now - self.starts[name][-1]),
                        version=version,
                        true=Millis(now - self.named[version + 1]),
                        counted=Millis(counted),
                    )
                )
