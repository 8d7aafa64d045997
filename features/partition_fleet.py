"""Routers that are partitioned from all servers for a while, in virtual time.

Callers, the store and the other routers still reach them.
"""

import enum
from dataclasses import dataclass

from twisted.internet.protocol import Factory

from features.crash_fleet import CrashFleet, router_host
from features.crash_server import SERVER_PORT
from features.engine_fleet import NoCacheEvents
from features.memory_network import ConnectFate
from features.partition_callers import DEADLINES, CallerProtocol, FirstAttempt
from features.partition_servers import PartitionServer, Run
from yuccagauge.clock import Millis

_CALLER_HOST = '10.3.0.1'
_SERVER_PREFIX = '10.1.'

#: The users' ``stableMs``: time after the start of a disturbance from which
#: its bounds hold.
STABLE_TIME = Millis(3000)

#: Time after the end of a partition from which all routers serve alike.
HEAL_TIME = Millis(2000)

#: How much longer than its deadline a caller keeps its connection.
_PATIENCE = Millis(500)

_CONNECT_TIMEOUT_S = 1


class Face(enum.Enum):
    """What a partition does to connections to servers."""

    #: All of them hang, new ones too.
    SILENT = 'silent'
    #: Open ones are reset, new ones refused or reset.
    RESET = 'reset'
    #: Open ones live on, new ones are refused.
    REFUSED = 'refused'


class Role(enum.Enum):
    """How a first attempt counts."""

    PARTITIONED = enum.auto()
    #: At a router that reaches the servers while another one does not.
    OTHER = enum.auto()
    #: At a router whose partition has ended.
    HEALED = enum.auto()
    #: At any other router after a partition.
    CALM = enum.auto()
    UNCOUNTED = enum.auto()


@dataclass(slots=True, kw_only=True)
class Partition:
    """Routers without a path to any server, or to some."""

    names: frozenset[str]
    face: Face
    begun_at: Millis
    #: Hosts of the servers that are not reached; ``None`` for all.
    hosts: frozenset[str] | None = None
    ended_at: Millis | None = None

    def is_active(self, at: Millis) -> bool:
        """Return whether it acts at a time."""
        return self.begun_at <= at and (
            self.ended_at is None or at < self.ended_at
        )


class PartitionFleet(CrashFleet):
    """Routers in two data centres before servers of two services."""

    server_type = PartitionServer
    cache_event_source = NoCacheEvents()

    def __init__(self, routers: int, servers: int, seed: int = 1) -> None:
        """Start a fleet without a partition."""
        self.partitions: list[Partition] = []
        self.attempts: list[FirstAttempt] = []
        #: Whether the requests of a route have the same body.
        self.sends_alike = True
        #: The runs of each request at servers, by its id.
        self.runs: dict[str, list[Run]] = {}
        #: When processes of each router started and were killed.
        self.starts: dict[str, list[Millis]] = {}
        self.kills: dict[str, list[Millis]] = {}
        super().__init__(routers, servers, seed)
        self.network.is_cut = self._is_cut
        self.network.connect_fate = self._connect_fate

    def data_centre(self, name: str) -> str:
        """Return the data centre of a router: a third are in ``b``."""
        number = int(name.removeprefix('router'))
        return 'a' if number % 3 else 'b'

    def start_router(self, name: str) -> None:
        """Start the process of a router, and note when."""
        self.starts.setdefault(name, []).append(self.clock.now())
        super().start_router(name)

    def kill_router(self, name: str) -> None:
        """End the process of a router, and note when."""
        self.kills.setdefault(name, []).append(self.clock.now())
        super().kill_router(name)

    def partition(
        self,
        names: frozenset[str],
        face: Face,
        seconds: float,
        hosts: frozenset[str] | None = None,
    ) -> None:
        """Take the path to all servers, or some, from routers for a time."""
        partition = Partition(
            names=names, face=face, begun_at=self.clock.now(), hosts=hosts
        )
        self.partitions.append(partition)
        if face is Face.RESET:
            self._reset_connections(partition)

        def end() -> None:
            partition.ended_at = self.clock.now()

        self.network.reactor.callLater(seconds, end)

    def send_first_attempt(self, route: str = '') -> None:
        """Send a request on a route, or on any, to any router that runs."""
        names = [name for name in self.router_names if self.is_running(name)]
        self._request_count += 1
        attempt = FirstAttempt(
            request_id=f'c{self._request_count}',
            router=self.random.choice(names),
            route=route or self.random.choice(list(DEADLINES)),
            sent_at=self.clock.now(),
        )
        if not self.sends_alike:
            attempt.body = attempt.request_id.encode()
        self.attempts.append(attempt)
        caller = CallerProtocol(attempt, self.clock)
        factory = Factory()
        factory.noisy = False
        factory.startedConnecting = lambda connector: None
        factory.clientConnectionFailed = lambda connector, reason: None
        factory.buildProtocol = lambda address: caller
        self.network.connect(
            _CALLER_HOST,
            router_host(attempt.router),
            SERVER_PORT,
            factory,
            _CONNECT_TIMEOUT_S,
        )
        self.network.reactor.callLater(
            (DEADLINES[attempt.route] + _PATIENCE) / 1000, caller.leave
        )

    def role(self, attempt: FirstAttempt) -> Role:
        """Return how an attempt counts."""
        at = attempt.sent_at
        mine = [
            each for each in self.partitions if attempt.router in each.names
        ]
        if not self.is_in_touch(attempt):
            return Role.UNCOUNTED
        acting = [each for each in mine if each.is_active(at)]
        if acting:
            is_late = acting[0].begun_at + STABLE_TIME <= at
            return Role.PARTITIONED if is_late else Role.UNCOUNTED
        if not all(_has_healed(each, at) for each in mine):
            return Role.UNCOUNTED
        return self._role_with_path(at, has_healed=bool(mine))

    def is_in_touch(self, attempt: FirstAttempt) -> bool:
        """Return whether the attempt's router ran long enough, and to its end."""
        at = attempt.sent_at
        last_start = max(
            start for start in self.starts[attempt.router] if start <= at
        )
        until = attempt.deadline_at + _PATIENCE
        return last_start + STABLE_TIME <= at and not any(
            at <= kill <= until for kill in self.kills.get(attempt.router, ())
        )

    def has_path(self, name: str, at: Millis) -> bool:
        """Return whether a router has no partition, and none of late."""
        return all(
            _has_healed(each, at)
            for each in self.partitions
            if name in each.names
        )

    def _role_with_path(self, at: Millis, *, has_healed: bool) -> Role:
        """Return how an attempt counts whose router reaches the servers."""
        acting = [each for each in self.partitions if each.is_active(at)]
        if any(each.begun_at + STABLE_TIME <= at for each in acting):
            return Role.OTHER
        if acting or not all(_has_healed(each, at) for each in self.partitions):
            return Role.UNCOUNTED
        return Role.HEALED if has_healed else Role.CALM

    def _active_face(self, host: str, other: str) -> Face | None:
        """Return the face of a partition between a router and a server."""
        if not host.startswith(_SERVER_PREFIX):
            host, other = other, host
        if not host.startswith(_SERVER_PREFIX):
            return None
        now = self.clock.now()
        for partition in self.partitions:
            hosts = map(router_host, partition.names)
            is_reached = partition.hosts is not None and (
                host not in partition.hosts
            )
            if partition.is_active(now) and other in hosts and not is_reached:
                return partition.face
        return None

    def _is_cut(self, host: str, other: str) -> bool:
        return self._active_face(host, other) is Face.SILENT

    def _connect_fate(self, source: str, host: str) -> ConnectFate:
        face = self._active_face(source, host)
        if face is Face.REFUSED:
            return ConnectFate.REFUSED
        if face is Face.RESET:
            return self.random.choice((ConnectFate.REFUSED, ConnectFate.RESET))
        return ConnectFate.OPENED

    def _reset_connections(self, partition: Partition) -> None:
        for name in sorted(partition.names):
            for server in self.servers:
                if partition.hosts is None or server.host in partition.hosts:
                    self.network.reset_between(router_host(name), server.host)


def _has_healed(partition: Partition, at: Millis) -> bool:
    return at < partition.begun_at or (
        partition.ended_at is not None and at >= partition.ended_at + HEAL_TIME
    )
