"""A membership service with its endpoints on loopback."""

from typing import Any

from twisted.internet import reactor

from yuccagauge.clock import SystemClock
from yuccagauge.membership.service import MembershipService
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.process import RouterSettings, build_router_settings
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.datagram import DatagramEndpoint
from yuccagauge.wire.server import PeerServer


def peer_settings(name: str, seeds: str) -> RouterSettings:
    """Return the settings of a router without a platform."""
    router = {'name': name, 'region': 'khomas', 'data_centre': 'khomas-a'}
    router |= {'services': 'matcher-llm'}
    addresses = ('listen', 'peer_listen', 'admin_listen')
    router |= dict.fromkeys(addresses, '127.0.0.1:0')
    raw = {
        'router': router,
        'platform': {'log': '127.0.0.1:1', 'vm_list': '127.0.0.1:1'},
        'peers': {'probe_period_ms': '200', 'seeds': seeds},
    }
    return build_router_settings(raw, 'test')


class MembershipNode:
    """A membership service with its endpoints on loopback."""

    def __init__(self, name: str, seeds: str) -> None:
        listen = Endpoint('127.0.0.1', 0)
        self.server = PeerServer(reactor, listen, name)
        self.server.start()
        self.datagrams = DatagramEndpoint(reactor, self.server.endpoint, name)
        self.datagrams.start()
        self.client = PeerClient(reactor, name)
        self.service = MembershipService(
            peer_settings(name, seeds),
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
