"""A relay router: the slices, wired together by its settings."""

import random
from collections.abc import Iterable
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.internet.interfaces import IListeningPort
from twisted.web.server import Site

from yuccagauge.cachefeed.feed import CacheFeed
from yuccagauge.clock import Clock, Millis, in_millis, in_seconds
from yuccagauge.directory import readpolicy
from yuccagauge.directory.follower import TopicFollower
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.dispatch.connection import ConnectionPool
from yuccagauge.errors import SettingsError
from yuccagauge.exchange.service import ExchangeService
from yuccagauge.relay.adapter import AdapterFactory
from yuccagauge.relay.channel import CallerFactory
from yuccagauge.relay.pages import MetricsPage, ReadyPage
from yuccagauge.relay.relay import Relay
from yuccagauge.relay.surroundings import RetryRules, Surroundings
from yuccagauge.rendezvous import rendezvous_rank
from yuccagauge.rollout.driver import RolloutDriver
from yuccagauge.rollout.election import LeaderElection
from yuccagauge.rollout.leaderlease import LeaderLease
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.relay import RelaySettings, load_relay_settings
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.server import PeerServer

#: Routers that look after the lead.
LEAD_CANDIDATES = 3

#: Time between two looks for servers that lapsed and holders to poll.
_UPKEEP_S = 0.5

#: Entries of servers are read this much later than they were written.
_ENTRY_LAG = Millis(1000)

#: Time before the end of the grace period at which running calls are cut.
_CUT_MARGIN_S = 0.9

#: Time between two looks whether all calls have their answer, in seconds.
_IDLE_LOOK_S = 0.05


class RelayRouter:
    """One relay process.

    Parameters
    ----------
    settings
        The process settings.
    reactor, clock
        The loop and the source of time.
    build_adapter
        Makes the members that speak to the platform.
    """

    def __init__(
        self,
        settings: RelaySettings,
        reactor: Any,
        clock: Clock,
        build_adapter: AdapterFactory,
    ) -> None:
        """Wire the slices without opening a port."""
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        own = settings.relay
        self._draw = random.Random().random
        self._pool = ConnectionPool(reactor)
        self._adapter = build_adapter(settings, reactor, self._pool)
        self._directory = Directory(self._adapter.record_decoder)
        self._selector = Selector(own.data_centre, settings.weights.limit_ms)
        retries = settings.retries
        self._around = Surroundings(
            clock=clock,
            call_later=reactor.callLater,
            pool=self._pool,
            decoder=self._adapter.call_decoder,
            protocol=self._adapter.backend_protocol,
            directory=self._directory,
            selector=self._selector,
            retries=RetryRules(
                ratio=retries.ratio,
                slack=retries.slack,
                window=in_millis(retries.window_s),
            ),
            draw=self._draw,
            routers=lambda: self._exchange.router_count,
        )
        self._relay = Relay(self._around)
        self._callers = CallerFactory(
            self._relay.handle,
            self._relay.limits,
            clock,
        )
        self._followers = {
            topic: TopicFollower(
                topic,
                self._adapter.store,
                self._directory,
                reactor,
                clock,
                self._draw,
            )
            for topic in Topic
        }
        self._exchange = self._build_exchange()
        self._feed = CacheFeed(
            self._adapter.cache_event_source,
            self._directory,
            self._selector,
            reactor,
            own.name,
            own.data_centre,
            self._router_names,
        )
        self._leader_lease = LeaderLease(
            own.name,
            settings.weights.lease_ms,
            clock.now(),
            engines_check_fences=settings.weights.engines_check_fences,
        )
        self._election = LeaderElection(
            own.name,
            self._adapter.lease_store,
            self._leader_lease,
            reactor,
            clock,
            lease_duration=settings.weights.lease_ms,
            is_candidate=self._is_candidate,
        )
        self._rollout = RolloutDriver(
            self._leader_lease,
            self._adapter.order_client,
            self._directory,
            self._selector,
            reactor,
            clock,
            load_share=settings.weights.load_share,
        )
        self._ports: list[IListeningPort] = []
        self._upkeep = PeriodicTask('upkeep', self._keep_up, reactor)
        self._is_leaving = False
        self._version = 0

    @property
    def is_ready(self) -> bool:
        """Whether the router takes new connections."""
        return self._directory.is_ready and not self._is_leaving

    def start(self) -> None:
        """Open the ports and follow the store."""
        own = self._settings.relay
        self._directory.listeners.append(self._adopt)
        entries = self._followers[Topic.SERVERS]
        entries.on_entry = self._note_entry
        for topic, follower in self._followers.items():
            follower.read_delay = partial(self._read_delay, topic)
            follower.read_wait = partial(self._read_wait, topic)
        self._election.on_leadership_change = self._rollout.set_leading
        self._exchange.merger.on_pause_received = lambda: (
            self._leader_lease.observe_peer_order(self._clock.now())
        )
        self._exchange.merger.on_peer_left = self._election.check_now
        self._around.on_silent = self._exchange.broadcast_unresponsive
        self._rollout.on_engines_paused = self._exchange.broadcast_pause
        self._rollout.on_weights_loaded = self._exchange.broadcast_weights
        ready = ReadyPage(self._adapter.ready_path, lambda: self.is_ready)
        self._listen(own.listen, self._callers)
        self._listen(own.ready_listen, _site(ready))
        self._listen(own.metrics_listen, _site(MetricsPage()))
        self._exchange.start()
        for follower in self._followers.values():
            follower.start()
        self._rollout.start()
        self._election.start()
        self._upkeep.start(_UPKEEP_S, now=False)
        log_state_change(
            'router_started',
            router=own.name,
            data_centre=own.data_centre,
            listen=own.listen,
        )

    def reload(self, path: str) -> None:
        """Read the settings again; a running router keeps what it has.

        Every setting belongs to the start of a process, so a change is
        checked and reported, and is in force from the next start on.
        """
        try:
            fresh = load_relay_settings(path)
        except SettingsError as error:
            log_state_change('settings_refused', reason=str(error))
            return
        changed = [
            name
            for name in ('relay', 'store', 'stop', 'retries', 'weights')
            if getattr(fresh, name) != getattr(self._settings, name)
        ]
        log_state_change('settings_read', changed_sections=changed)

    def leave(self) -> Deferred[Any]:
        """Stop gracefully; fires when every call has its answer."""
        self._is_leaving = True
        log_state_change(
            'router_leaving',
            router=self._settings.relay.name,
            running=self._relay.running,
        )
        self._callers.leave()
        self._exchange.announce_leave()
        self._rollout.close()
        leaving = self._election.close()
        done: Deferred[None] = Deferred()
        stop = self._settings.stop
        accept = in_seconds(stop.accept_ms)
        self._reactor.callLater(accept, self._stop_accepting)
        self._reactor.callLater(accept, self._await_idle, done)
        cut = max(accept, stop.grace_s - _CUT_MARGIN_S)
        self._reactor.callLater(cut, self._relay.cut)
        done.addCallback(lambda _: DeferredList([leaving, self._close()]))
        return done

    def _close(self) -> Deferred[Any]:
        self._upkeep.close()
        for follower in self._followers.values():
            follower.close()
        self._feed.close()
        self._callers.close()
        self._pool.close()
        closing = [maybeDeferred(port.stopListening) for port in self._ports]
        closing.append(self._exchange.close())
        return DeferredList(closing)

    def _stop_accepting(self) -> None:
        self._ports[0].stopListening()
        self._callers.close_idle()

    def _await_idle(self, done: Deferred[None]) -> None:
        if self._relay.running:
            self._reactor.callLater(_IDLE_LOOK_S, self._await_idle, done)
            return
        # The last bytes leave within one more look.
        self._reactor.callLater(_IDLE_LOOK_S, done.callback, None)

    def _build_exchange(self) -> ExchangeService:
        own = self._settings.relay
        exchange = ExchangeService(
            own.name,
            own.peer_listen,
            own.data_centre,
            seeds=own.seeds,
            server=PeerServer(self._reactor, own.peer_listen, own.name),
            client=PeerClient(self._reactor, own.name),
            directory=self._directory,
            selector=self._selector,
            quarantine=self._around.quarantine,
            reactor=self._reactor,
            clock=self._clock,
            draw=self._draw,
        )
        exchange.own_confirmed_at = lambda topic: (
            self._followers[topic].confirmed_at
        )
        return exchange

    def _is_candidate(self) -> bool:
        """Return whether this router is one of those that may lead.

        A few routers look after the lead; the calls of a whole fleet would
        cost the store more than it serves otherwise.
        """
        if not self._directory.is_ready:
            return False
        own = self._settings.relay.name
        names = {own, *self._router_names()}
        return own in rendezvous_rank(names, 'lead')[:LEAD_CANDIDATES]

    def _read_delay(self, topic: Topic) -> Millis:
        """Return for how long peers tell enough about a topic."""
        has_unconfirmed_crashes = (
            self._around.quarantine.has_unconfirmed_crashes
        )
        if topic is Topic.SERVERS and has_unconfirmed_crashes:
            # Only an entry of one's own reading is a sign of life.
            return Millis(0)
        return readpolicy.read_delay(
            topic,
            self._settings.relay.name,
            self._near(),
            self._exchange.confirmation_age(topic, self._clock.now()),
        )

    def _read_wait(self, topic: Topic) -> Millis:
        return readpolicy.read_wait(topic, self._near())

    def _near(self) -> tuple[str, ...]:
        """Return the other routers of the own data centre."""
        return tuple(
            member.name
            for member in self._exchange.peers
            if member.data_centre == self._settings.relay.data_centre
        )

    def _router_names(self) -> Iterable[str]:
        return (member.name for member in self._exchange.peers)

    def _listen(self, endpoint: Endpoint, factory: Any) -> None:
        port = self._reactor.listenTCP(
            endpoint.port,
            factory,
            interface=endpoint.host,
        )
        self._ports.append(port)

    def _keep_up(self) -> None:
        ended = self._directory.remove_lapsed_servers(self._clock.now())
        if ended:
            log_state_change('servers_lapsed', servers=ended)
        self._feed.update_pollers()

    def _adopt(self) -> None:
        """Follow a change of configuration, servers or weights."""
        directory = self._directory
        before = self._selector.view
        view = FleetView(
            servers=dict(directory.servers),
            target_history=dict(directory.target_history),
        )
        self._selector.update_fleet_view(view)
        _log_changes(before, view)
        configuration = directory.configuration
        if configuration is not None and (
            configuration.version != self._version
        ):
            self._version = configuration.version
            log_state_change(
                'configuration_in_force',
                version=configuration.version,
                routes=len(configuration.routes),
                customers=len(configuration.customers),
                keys=len(configuration.customer_by_key),
            )

    def _note_entry(self, server_id: str) -> None:
        """Take a server's entry as a sign of life of that start."""
        server = self._directory.servers.get(server_id)
        if server is None:
            return
        measured_at = Millis(self._clock.now() - _ENTRY_LAG)
        self._around.quarantine.record_incarnation(
            server.endpoint,
            server.incarnation,
            measured_at,
        )


def _site(page: Any) -> Site:
    site = Site(page)
    site.noisy = False
    return site


def _log_changes(before: FleetView, after: FleetView) -> None:
    """Log each server that came, changed its state or weights, or left."""
    for server_id, server in after.servers.items():
        known = before.servers.get(server_id)
        if known is not None and (
            known.state is server.state
            and known.weights == server.weights
            and known.started_at == server.started_at
        ):
            continue
        log_state_change(
            'server_known',
            server=server_id,
            service=server.service,
            state=server.state.value,
            started_at=server.started_at,
            weights=[f'{name}={at}' for name, at in server.weights.items()],
        )
    for server_id in before.servers:
        if server_id not in after.servers:
            log_state_change('server_gone', server=server_id)
    for model, target_history in after.target_history.items():
        if before.target_history.get(model) != target_history:
            version = target_history[-1].version
            log_state_change('weights_named', model=model, version=version)
