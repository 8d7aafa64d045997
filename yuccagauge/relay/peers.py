"""Creates the components that speak to other routers."""

from collections.abc import Callable
from typing import Any

from yuccagauge.clock import Clock
from yuccagauge.directory.state import Topic
from yuccagauge.exchange.origins import OriginBroker
from yuccagauge.exchange.service import ExchangeService
from yuccagauge.origins.log import OriginLog
from yuccagauge.relay.adapter import PlatformAdapter
from yuccagauge.relay.carried import CarriedStatements
from yuccagauge.relay.context import RelayContext
from yuccagauge.relay.paths import RelayPaths
from yuccagauge.settings.relay import RelaySettings
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.server import PeerServer


def build_peer_services(
    settings: RelaySettings,
    adapter: PlatformAdapter,
    context: RelayContext,
    paths: RelayPaths,
    reactor: Any,
    clock: Clock,
    random_fraction: Callable[[], float],
) -> tuple[ExchangeService, OriginBroker]:
    """Return the exchange and the broker, which share their connections.

    The paths accept requests of peers at the same port.
    """
    section = settings.relay
    server = PeerServer(reactor, section.peer_listen, section.name)
    client = PeerClient(reactor, section.name)
    paths.accept_from(server, CarriedStatements(context))
    context.on_broken = paths.check
    exchange = ExchangeService(
        section.name,
        section.peer_listen,
        section.data_centre,
        seeds=section.seeds,
        server=server,
        client=client,
        directory=context.directory,
        selector=context.selector,
        quarantine=context.quarantine,
        part_quarantine=context.part_quarantine,
        reactor=reactor,
        clock=clock,
        random_fraction=random_fraction,
    )
    expected_peers = len(set(section.seeds) - {section.peer_listen})
    context.router_count = lambda: exchange.merger.members.remembered_count(
        expected_peers
    )
    broker = OriginBroker(
        section.name,
        merger=exchange.merger,
        history=context.selector.versions,
        log=OriginLog(adapter.origin_log_store, reactor),
        server=server,
        client=client,
        reactor=reactor,
        clock=clock,
        expected_peers=expected_peers,
    )
    broker.confirmation_age = lambda: exchange.confirmation_age(
        Topic.SERVERS, clock.now()
    )
    return exchange, broker
