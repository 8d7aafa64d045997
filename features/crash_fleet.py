"""Routers, servers and a store in virtual time, and a request that kills.

Each server that begins to run the request ends. The request comes again at
any router. Servers return after some seconds.
"""

import json
import random
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from features.memory_network import MemoryNetwork, NodeReactor
from features.relay_fixture import HOST, KEY
from features.rollout_engines import VirtualClock
from features.simulated_store import SimulatedStore, StoreClient
from yuccagauge.clock import Millis
from yuccagauge.platform.records import PlatformRecordDecoder
from yuccagauge.platform.requests import (
    PlatformBackendProtocol,
    PlatformCallDecoder,
)
from yuccagauge.relay.adapter import PlatformAdapter
from yuccagauge.relay.router import RelayRouter
from yuccagauge.settings.relay import build_relay_settings

#: Time between two heartbeats of a server.
_HEARTBEAT_S = 1.2

#: Time from the start of a run to the end of the server or to the answer.
_RUN_S = 0.02

#: Time for which a server that ended is down.
_DOWN_S = 3.0

#: Longest time from a heartbeat to its record in the store.
_HEARTBEAT_LAG_S = 0.8

_PORT = 8080
_PEER_PORT = 8783
_CALLER_HOST = '10.3.0.1'

#: Body of the request that ends servers.
POISON = b'poison'

#: Body of a request that no server answers.
UNANSWERED = b'unanswered'

#: Status of a server that fails a request without running it to its end.
_FAILED = 500
_ANSWERED = 200
_MISDIRECTED = 421


def router_host(name: str) -> str:
    """Return the address of a router."""
    return f'10.0.0.{name.removeprefix("router")}'


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """The arrival of the request at a server."""

    at: Millis
    server: str


class SimulatedServer:
    """A server that ends when it begins to run the request.

    Parameters
    ----------
    fleet
        The fleet with the settings of its servers.
    number
        Number of the server, which names its first host.
    """

    def __init__(self, fleet: 'CrashFleet', number: int) -> None:
        """Create a server that does not run yet."""
        self._fleet = fleet
        self._number = number
        self._starts = 0
        self._sequence = 0
        self._born = 0
        self.host = f'10.1.{number}.1'
        self.server_id = f'i{number}'
        self.is_up = False
        #: Headers that the server adds to each answer.
        self.extra_headers = ''
        #: When each request reached the server, those that it rejects included.
        self.arrivals: list[Millis] = []

    def start(self) -> None:
        """Start the server and its heartbeats."""
        fleet = self._fleet
        fleet.network.silent_hosts.discard(self.host)
        self._starts += 1
        self._sequence = 0
        self._born = fleet.clock.now()
        self.is_up = True
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: _ServerProtocol(self)
        fleet.network.listen(self.host, _PORT, factory)
        self._beat(self._starts)

    def run_request(self, body: bytes) -> int | None:
        """Run a request; return the status, or None if the server ends."""
        fleet = self._fleet
        if body != POISON:
            return None if body.startswith(UNANSWERED) else _ANSWERED
        fleet.sends.append(Send(at=fleet.clock.now(), server=self.host))
        if fleet.random.random() < fleet.failure_share:
            return _FAILED
        fleet.network.reactor.callLater(_RUN_S, self._end)
        return None

    def record_arrival(self) -> None:
        """Count a request that has arrived whole."""
        self.arrivals.append(self._fleet.clock.now())

    def reset_connections(self) -> None:
        """Reset all connections, though the server lives on."""
        self._fleet.network.end_connections(self.host)

    def _end(self) -> None:
        if not self.is_up:
            return
        fleet = self._fleet
        self.is_up = False
        fleet.ends.append(fleet.clock.now())
        fleet.network.end_host(self.host, silently=fleet.ends_silently)
        fleet.on_end(self)
        if fleet.late_heartbeat_s:
            fleet.network.reactor.callLater(
                fleet.late_heartbeat_s, self._write_entry, self._entry()
            )
        fleet.network.reactor.callLater(fleet.down_s, self._return)

    def _return(self) -> None:
        fleet = self._fleet
        kind = fleet.return_kind
        if kind in {'with a new id', 'at another address'}:
            self.server_id = f'i{self._number}.{self._starts}'
        if kind == 'at another address':
            self.host = f'10.1.{self._number}.{self._starts}'
        if kind != 'never':
            self.start()
            return
        replacement = SimulatedServer(fleet, len(fleet.servers))
        fleet.servers.append(replacement)
        replacement.start()

    def _beat(self, start: int) -> None:
        if not self.is_up or start != self._starts:
            return
        fleet = self._fleet
        self._sequence += 1
        lag_s = _HEARTBEAT_LAG_S * fleet.random.random()
        reactor = fleet.network.reactor
        reactor.callLater(lag_s, self._write_entry, self._entry())
        reactor.callLater(_HEARTBEAT_S, self._beat, start)

    def _write_entry(self, entry: tuple[str, bytes]) -> None:
        self._fleet.store.append_entry(*entry)

    def _entry(self) -> tuple[str, bytes]:
        document = {
            'service': 'plain',
            'address': f'{self.host}:{_PORT}',
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'seq': self._sequence,
        }
        if self._fleet.states_start_time:
            document['born'] = self._born
        return self.server_id, json.dumps(document).encode()


class _ServerProtocol(Protocol):
    """A connection to a server, for one request after the other."""

    def __init__(self, server: SimulatedServer) -> None:
        self._server = server
        self._buffer = b''

    def dataReceived(self, data: bytes) -> None:
        """Run a request that is complete."""
        self._buffer += data
        head, found, rest = self._buffer.partition(b'\r\n\r\n')
        headers = dict(
            line.lower().split(': ', 1)
            for line in head.decode().split('\r\n')[1:]
        )
        length = int(headers.get('content-length', 0))
        if not found or len(rest) < length:
            return
        self._buffer = rest[length:]
        self._server.record_arrival()
        if headers['x-yuccagauge-expect-instance'] != self._server.server_id:
            self._answer(_MISDIRECTED, headers)
            return
        status = self._server.run_request(rest[:length])
        if status is not None:
            self._answer(status, headers)

    def _answer(self, status: int, headers: dict[str, str]) -> None:
        request_id = headers['x-yuccagauge-request-id']
        extra_headers = self._server.extra_headers
        self.transport.write(
            f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n'
            f'X-Yuccagauge-Request-Id: {request_id}\r\n'
            f'X-Yuccagauge-Server-Stamp: s\r\n{extra_headers}\r\nok'.encode(),
        )


class _Caller(Protocol):
    """A caller that sends one request and leaves after some time."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.write(self._data)

    def dataReceived(self, data: bytes) -> None:
        """Leave after the answer."""
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ignore the end."""


class CrashFleet:
    """Routers before servers, with a store, in virtual time.

    Parameters
    ----------
    routers, servers
        Their numbers.
    seed
        Determines all random choices.
    """

    def __init__(self, routers: int, servers: int, seed: int = 1) -> None:
        """Start the fleet."""
        self.network = MemoryNetwork()
        self.clock = VirtualClock(self.network.reactor)
        self.random = random.Random(seed)
        self.store = SimulatedStore(self.network)
        #: When the request reached a server, and when a server ended.
        self.sends: list[Send] = []
        self.ends: list[Millis] = []
        #: How servers return: as themselves, with a new id, at another
        #: address, or never.
        self.return_kind = 'as it was'
        #: How long a server that ended is down, in seconds.
        self.down_s = _DOWN_S
        #: Whether the entries of servers state when they started.
        self.states_start_time = True
        self.ends_silently = False
        self.failure_share: float = 0
        #: Time after the end at which a heartbeat of a server that has ended
        #: reaches the store, in seconds; 0 for none.
        self.late_heartbeat_s: float = 0
        #: Called with a server that has ended.
        self.on_end: Any = lambda server: None
        #: How long a caller waits.
        self.caller_timeout = Millis(2000)
        self._request_count = 0
        self._reactors: dict[str, NodeReactor] = {}
        self._routers: dict[str, RelayRouter] = {}
        self.servers = [
            SimulatedServer(self, number) for number in range(servers)
        ]
        for server in self.servers:
            server.start()
        self.router_names = [f'router{number}' for number in range(routers)]
        for name in self.router_names:
            self.start_router(name)

    def start_router(self, name: str) -> None:
        """Start the process of a router, unless it runs."""
        if name in self._reactors:
            return
        host = router_host(name)
        seeds = ','.join(
            f'{router_host(seed)}:{_PEER_PORT}'
            for seed in self.router_names[:3]
        )
        settings = build_relay_settings(
            {
                'relay': {
                    'name': name,
                    'data_centre': 'a',
                    'listen': f'{host}:{_PORT}',
                    'ready_listen': f'{host}:{_PORT + 1}',
                    'peer_listen': f'{host}:{_PEER_PORT}',
                    'metrics_listen': f'{host}:{_PORT + 2}',
                    'seeds': seeds,
                },
                'store': {'address': '10.2.0.1:8784'},
            },
            name,
        )
        reactor = NodeReactor(self.network, host)
        self._reactors[name] = reactor
        self._routers[name] = RelayRouter(
            settings,
            reactor,
            self.clock,
            self._build_adapter,
            self.random.random,
        )
        self._routers[name].start()

    def router(self, name: str) -> RelayRouter:
        """Return the latest process of a router."""
        return self._routers[name]

    def kill_router(self, name: str) -> None:
        """End the process of a router, with all that it knows."""
        if name in self._reactors:
            self._reactors.pop(name).end()
            self.network.end_host(router_host(name))

    def freeze_router(self, name: str, seconds: float) -> None:
        """Let the process of a router, if it runs, do nothing for a time."""
        reactor = self._reactors.get(name)
        if reactor is None:
            return
        host = router_host(name)

        def thaw() -> None:
            self.network.frozen_hosts.discard(host)
            reactor.thaw()

        self.network.frozen_hosts.add(host)
        reactor.freeze()
        self.network.reactor.callLater(seconds, thaw)

    def send(self, name: str, body: bytes, route: str = 'book') -> None:
        """Send a request to a router, as a caller does."""
        self._request_count += 1
        head = (
            f'POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Yuccagauge-Request-Id: c{self._request_count}\r\n'
            f'X-Yuccagauge-Deadline-Ms: {self.caller_timeout}\r\n'
            f'Authorization: Bearer {KEY}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        factory = Factory()
        factory.startedConnecting = lambda connector: None
        factory.clientConnectionFailed = lambda connector, reason: None
        caller = _Caller(head.encode() + body)
        factory.buildProtocol = lambda address: caller
        self.network.connect(_CALLER_HOST, router_host(name), _PORT, factory, 1)

        def leave() -> None:
            if caller.transport is not None:
                caller.transport.loseConnection()

        self.network.reactor.callLater(self.caller_timeout / 1000, leave)

    def run(self, seconds: float, step_s: float = 0.01) -> None:
        """Pass time."""
        end = self.network.reactor.seconds() + seconds
        while self.network.reactor.seconds() < end:
            self.network.reactor.advance(step_s)
            self.store.remove_lapsed()

    def sends_after_third_end(self, margin: Millis) -> int:
        """Return the sends later than a time after the third end."""
        if len(self.ends) < 3:
            return 0
        return sum(send.at > self.ends[2] + margin for send in self.sends)

    def _build_adapter(
        self, settings: Any, reactor: Any, pool: Any
    ) -> PlatformAdapter:
        store = StoreClient(self.store, settings.relay.name)
        return PlatformAdapter(
            call_decoder=PlatformCallDecoder(),
            backend_protocol=PlatformBackendProtocol(),
            record_decoder=PlatformRecordDecoder(),
            store=store,
            lease_store=store,
            crash_store=store,
            order_client=None,
            cache_event_source=None,
            ready_path='/ready',
        )
