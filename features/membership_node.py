"""A membership service with its endpoints on loopback."""

from typing import Any

from twisted.internet import reactor

from yuccagauge.clock import SystemClock
from yuccagauge.membership.service import MembershipService
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.process import build_router_settings
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.datagram import DatagramEndpoint
from yuccagauge.wire.server import PeerServer


class MembershipNode:
    """A membership service with its endpoints on loopback."""

    def __init__(self, name: str, seeds: str) -> None:
        listen = Endpoint('127.0.0.1', 0)
        self.server = PeerServer(reactor, listen, name)
        self.server.start()
        self.datagrams = DatagramEndpoint(reactor, self.server.endpoint, name)
        self.datagrams.start()
        self.client = PeerClient(reactor, name)
        router = {'name': name, 'region': 'khomas', 'data_centre': 'khomas-a'}
        router |= {'services': 'matcher-llm'}
        addresses = ('listen', 'peer_listen', 'admin_listen')
        router |= dict.fromkeys(addresses, '127.0.0.1:0')
        raw = {
            'router': router,
            'platform': {'log': '127.0.0.1:1', 'vm_list': '127.0.0.1:1'},
            'peers': {'probe_period_ms': '200', 'seeds': seeds},
        }
        self.service = MembershipService(
            build_router_settings(raw, 'test'),
            self.datagrams,
            self.server,
            self.client,
            reactor,
            SystemClock(),
        )
        self.service.start()

    def close(self) -> Any:
        """Close the service and its endpoints."""
        self.service.close()
        self.client.close()
        self.datagrams.close()
        return self.server.close()
