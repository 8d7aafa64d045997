"""A router: all slices, wired together by its settings."""

from typing import Any

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.internet.interfaces import IListeningPort
from twisted.internet.task import deferLater
from twisted.web.server import Site

from yuccagauge.adoption.store import (
    DocumentInForce,
    DocumentStore,
    StoreOptions,
)
from yuccagauge.burn.store import BurnExchange, BurnStore
from yuccagauge.claims.base import issue_key
from yuccagauge.claims.client import ClaimClient, ClaimOptions
from yuccagauge.clock import Clock, SystemClock
from yuccagauge.daemon.admin import AdminInterface
from yuccagauge.daemon.enginewatch import EngineWatch
from yuccagauge.daemon.hooks import RouterHooks
from yuccagauge.dispatch.dispatcher import Dispatcher
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.service import Surroundings
from yuccagauge.explain.base import DecisionLog
from yuccagauge.gateway.app import Gateway
from yuccagauge.gateway.channel import LimitedSite
from yuccagauge.logstream.client import LogClient
from yuccagauge.membership.service import MembershipService
from yuccagauge.peering.service import Peering
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.process import RouterSettings
from yuccagauge.telemetry.journal import log_state_change

_MILLISECONDS_PER_SECOND = 1000

#: How long the last claim outcomes may take on their way to the log, in ms.
_CLAIM_DRAIN_MS = 5000


class Router:
    """One router process.

    Parameters
    ----------
    settings
        The process settings.
    reactor
        The Twisted reactor.
    clock
        The source of time.
    """

    def __init__(
        self,
        settings: RouterSettings,
        reactor: Any,
        clock: Clock | None = None,
    ) -> None:
        """Wire the slices without opening a port."""
        self._settings = settings
        self._reactor = reactor
        self._clock = clock or SystemClock()
        self._ports: list[IListeningPort] = []
        self._leaving = False
        self._log = LogClient(settings.platform.log, reactor)
        self._store = DocumentStore(
            self._log,
            settings.router.services,
            reactor,
            seed=settings.router.name,
            options=StoreOptions(
                bootstrap=settings.bootstrap,
                writes_checkpoints=self._writes_checkpoints,
            ),
        )
        self._peering = Peering(settings, reactor, self._clock)
        self._claims = ClaimClient(
            self._log,
            settings.router.name,
            reactor,
            forwarder=self._peering.forwarder,
            options=ClaimOptions(shards=settings.platform.claim_shards),
        )
        self._burn = BurnStore(settings.router.name, self._clock)
        self._burn_exchange = BurnExchange(
            self._burn,
            self._peering.membership,
            self._peering.client,
            self._peering.server,
            reactor,
        )
        self._pool = ConnectionPool(reactor)
        self._dispatcher = Dispatcher(
            settings.router.services,
            Surroundings(
                clock=self._clock,
                call_later=reactor.callLater,
                pool=self._pool,
                decisions=DecisionLog(),
                data_centre=settings.router.data_centre,
                router=settings.router.name,
                claims=self._claims,
                record_sample=self._burn.record,
            ),
        )
        self._gateway = Gateway(self._dispatcher, self._clock, issue_key)
        self._engines = EngineWatch(
            self._pool,
            self._dispatcher,
            reactor,
            self._clock,
        )
        self._callers = LimitedSite(self._gateway.resource, settings.limits)
        self._admin = AdminInterface(self)

    @property
    def settings(self) -> RouterSettings:
        """The process settings."""
        return self._settings

    @property
    def dispatcher(self) -> Dispatcher:
        """The path to the backend servers."""
        return self._dispatcher

    @property
    def store(self) -> DocumentStore:
        """The documents in force."""
        return self._store

    @property
    def burn(self) -> BurnStore:
        """The counts for the service-level objectives."""
        return self._burn

    @property
    def membership(self) -> MembershipService:
        """The routers of the fleet."""
        return self._peering.membership

    @property
    def clock(self) -> Clock:
        """The source of time."""
        return self._clock

    @property
    def is_leaving(self) -> bool:
        """Whether the router was told to stop."""
        return self._leaving

    @property
    def endpoints(self) -> tuple[Endpoint, ...]:
        """Where it listens for callers and for operators."""
        hosts = [port.getHost() for port in self._ports]
        return tuple(Endpoint(host.host, host.port) for host in hosts)

    def start(self) -> None:
        """Open the ports and follow the documents."""
        self._store.add_listener(self._adopt)
        hooks = RouterHooks(self._dispatcher)
        self._peering.start(hooks.build(self._store, self._claims))
        for service in self._dispatcher.services.values():
            service.leaving_listeners.append(self._peering.notify_leaving)
        self._store.start()
        self._claims.start()
        self._engines.start()
        self._burn_exchange.start()
        self._listen(self._settings.router.listen, self._callers)
        admin = Site(self._admin.resource)
        admin.noisy = False
        self._listen(self._settings.router.admin_listen, admin)
        log_state_change(
            'router_started',
            router=self._settings.router.name,
            listen=self.endpoints,
        )

    def close(self) -> Deferred[None]:
        """Close everything at once, cutting what still runs."""
        self._store.close()
        self._claims.close()
        self._engines.close()
        self._burn_exchange.close()
        self._pool.close()
        closing = [maybeDeferred(port.stopListening) for port in self._ports]
        closing.append(maybeDeferred(self._peering.close))
        return DeferredList(closing).addCallback(lambda _: None)

    def leave(self) -> Deferred[None]:
        """Stop gracefully; fires when every call has its answer.

        New calls are accepted during the grace period, until the load
        balancer has seen the failing health check.
        """
        self._leaving = True
        self._gateway.leave()
        self._callers.leave()
        self._peering.leave()
        log_state_change('router_leaving', router=self._settings.router.name)
        grace = self._settings.router.drain_grace_ms
        seconds = grace / _MILLISECONDS_PER_SECOND
        waiting = deferLater(self._reactor, seconds, self._stop_accepting)
        waiting.addCallback(lambda _: self._dispatcher.when_idle())
        waiting.addCallback(lambda _: self._claims.drain(_CLAIM_DRAIN_MS))
        return waiting.addCallback(lambda _: self.close())

    def _writes_checkpoints(self, service: str) -> bool:
        """Return whether this router ranks first among the live ones."""
        names = (member.name for member in self.membership.live())
        return rendezvous_rank(names, service)[0] == self._settings.router.name

    def _listen(self, endpoint: Endpoint, site: Site) -> None:
        port = self._reactor.listenTCP(
            endpoint.port,
            site,
            interface=endpoint.host,
        )
        self._ports.append(port)

    def _adopt(self, in_force: DocumentInForce) -> None:
        self._dispatcher.services[in_force.service].configure(in_force)
        self._gateway.configure(in_force)
        self._engines.configure()
        self._burn.configure(
            in_force.service,
            in_force.document.objectives,
        )
        self._peering.configure()
        log_state_change(
            'document_in_force',
            service=in_force.service,
            version=in_force.version,
        )

    def _stop_accepting(self) -> Deferred[Any]:
        stopped = maybeDeferred(self._ports[0].stopListening)
        self._callers.close_idle()
        return stopped.addCallback(lambda _: self._callers.when_empty())
