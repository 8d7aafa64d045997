"""Routers, servers and a store in virtual time, and a request that kills.

Each server that begins to run the request ends. The request comes again at
any router. Servers return after some seconds.
"""

import random
from typing import Any

from twisted.internet.defer import fail
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from features.crash_server import SERVER_PORT, Send, SimulatedServer
from features.memory_network import MemoryNetwork, NodeReactor
from features.relay_fixture import HOST, KEY
from features.rollout_engines import VirtualClock
from features.simulated_store import SimulatedStore, StoreClient
from yuccagauge.clock import Clock, Millis
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.platform.engines import PlatformEngineClient
from yuccagauge.platform.records import PlatformRecordDecoder
from yuccagauge.platform.requests import (
    PlatformBackendProtocol,
    PlatformCallDecoder,
)
from yuccagauge.relay.adapter import PlatformAdapter
from yuccagauge.relay.router import RelayRouter
from yuccagauge.settings.relay import build_relay_settings
from yuccagauge.verdict import Verdict

#: Time for which a server that ended is down.
_DOWN_S = 3.0

_PEER_PORT = 8783

#: End of a chunked answer.
_LAST_CHUNK = b'\r\n0\r\n\r\n'

_CALLER_HOST = '10.3.0.1'


def router_host(name: str) -> str:
    """Return the address of a router."""
    return f'10.0.0.{name.removeprefix("router")}'


class _Caller(Protocol):
    """A caller that sends one request and leaves after some time."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._received = b''

    def connectionMade(self) -> None:
        """Send the request."""
        self.transport.write(self._data)

    def dataReceived(self, data: bytes) -> None:
        """Leave after the answer."""
        self._received += data
        is_chunked = b'chunked' in self._received.lower()
        if not is_chunked or self._received.endswith(_LAST_CHUNK):
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Ignore the end."""


class _NoOrders:
    """Engines that do not answer calls of the routers' own."""

    def through(self, pool: Any) -> '_NoOrders':
        """Return this client."""
        return self

    def read_status(self, server: Any) -> Any:
        """Fail."""
        return fail(FetchError('no interface for orders', Verdict.NOT_RUN))


class CrashFleet:
    """Routers before servers, with a store, in virtual time.

    Parameters
    ----------
    routers, servers
        Their numbers.
    seed
        Determines all random choices.
    """

    #: Kind of the servers.
    server_type: type[SimulatedServer] = SimulatedServer

    #: Gives the cache events of engines; plain servers have none.
    cache_event_source: Any = None

    #: Whether routers ask servers when they started.
    asks_process_names = False

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
            self.server_type(self, number) for number in range(servers)
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
                    'data_centre': self.data_centre(name),
                    'listen': f'{host}:{SERVER_PORT}',
                    'ready_listen': f'{host}:{SERVER_PORT + 1}',
                    'peer_listen': f'{host}:{_PEER_PORT}',
                    'metrics_listen': f'{host}:{SERVER_PORT + 2}',
                    'seeds': seeds,
                },
                'store': {'address': '10.2.0.1:8784'},
                **self.more_settings(),
            },
            name,
        )
        reactor = NodeReactor(self.network, host)
        self._reactors[name] = reactor
        self._routers[name] = RelayRouter(
            settings,
            reactor,
            self.router_clock(name),
            self._build_adapter,
            self.random.random,
        )
        self._routers[name].start()

    def data_centre(self, name: str) -> str:
        """Return the data centre of a router."""
        return 'a'

    def more_settings(self) -> dict[str, dict[str, str]]:
        """Return further sections of the settings of routers."""
        return {}

    def router_clock(self, name: str) -> Clock:
        """Return the clock of a new process of a router."""
        return self.clock

    def build_order_client(self, reactor: Any, pool: Any, name: str) -> Any:
        """Return what a router sends orders with."""
        return _NoOrders()

    def build_store_client(self, name: str) -> StoreClient:
        """Return the store as a router sees it."""
        return StoreClient(self.store, name)

    def router(self, name: str) -> RelayRouter:
        """Return the latest process of a router."""
        return self._routers[name]

    def is_running(self, name: str) -> bool:
        """Return whether the process of a router runs."""
        return name in self._reactors

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

    def send(
        self,
        name: str,
        body: bytes,
        route: str = 'book',
        headers: str = '',
        key: str = KEY,
    ) -> str:
        """Send a request to a router, as a caller does; return its id."""
        self._request_count += 1
        request_id = f'c{self._request_count}'
        head = (
            f'POST /{route}/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Yuccagauge-Request-Id: {request_id}\r\n{headers}'
            f'X-Yuccagauge-Deadline-Ms: {self.caller_timeout}\r\n'
            f'Authorization: Bearer {key}\r\n'
            f'Content-Length: {len(body)}\r\n\r\n'
        )
        factory = Factory()
        factory.startedConnecting = lambda connector: None
        factory.clientConnectionFailed = lambda connector, reason: None
        caller = _Caller(head.encode() + body)
        factory.buildProtocol = lambda address: caller
        self.network.connect(
            _CALLER_HOST, router_host(name), SERVER_PORT, factory, 1
        )

        def leave() -> None:
            if caller.transport is not None:
                caller.transport.loseConnection()

        self.network.reactor.callLater(self.caller_timeout / 1000, leave)
        return request_id

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
        name = settings.relay.name
        store = self.build_store_client(name)
        order_client = self.build_order_client(reactor, pool, name)
        engines = PlatformEngineClient(reactor, pool, name)
        return PlatformAdapter(
            call_decoder=PlatformCallDecoder(),
            backend_protocol=PlatformBackendProtocol(),
            record_decoder=PlatformRecordDecoder(),
            store=store,
            lease_store=store,
            crash_store=store,
            version_store=store,
            target_store=store,
            origin_log_store=store,
            order_client=order_client,
            cache_event_source=self.cache_event_source,
            ready_path='/ready',
            answer_listeners=getattr(order_client, 'answer_listeners', []),
            process_name_source=engines if self.asks_process_names else None,
            identity_source=engines,
            health_source=engines,
        )
