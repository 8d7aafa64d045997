"""The relay router: creates its components and connects them."""

import random
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred, DeferredList, maybeDeferred
from twisted.internet.interfaces import IListeningPort

from yuccagauge.cachefeed.feed import CacheFeed
from yuccagauge.clock import Clock, Millis, in_seconds
from yuccagauge.directory.follower import TopicFollower
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.ratelimit.limits import ServerLimits
from yuccagauge.relay import changes
from yuccagauge.relay.adapter import AdapterFactory
from yuccagauge.relay.archives import build_archives
from yuccagauge.relay.base import ResponseInfo
from yuccagauge.relay.channel import CallerFactory
from yuccagauge.relay.context import RelayContext, retry_budget_settings
from yuccagauge.relay.leading import LeadDuty
from yuccagauge.relay.leavingchecks import LeavingChecks
from yuccagauge.relay.pages import MetricsPage, ReadyPage, page_site
from yuccagauge.relay.paths import RelayPaths
from yuccagauge.relay.peers import build_peer_services
from yuccagauge.relay.processes import written_version
from yuccagauge.relay.reading import ReadSchedule
from yuccagauge.relay.relay import Relay
from yuccagauge.relay.survivors import Survivors
from yuccagauge.relay.upkeep import Upkeep
from yuccagauge.rendezvous import kept_rank
from yuccagauge.rollout.driver import RolloutDriver
from yuccagauge.rollout.election import LeaderElection
from yuccagauge.rollout.leaderlease import LeaderLease
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.relay import RelaySettings
from yuccagauge.tasks import PeriodicTask
from yuccagauge.telemetry.journal import log_state_change

#: Seconds between checks for lapsed servers and for cache holders to poll.
_UPKEEP_INTERVAL_S = 0.5

#: Seconds before the end of the grace period at which running calls are ended.
_ABORT_MARGIN_S = 0.9

#: Interval of the check whether all calls are answered, in seconds.
_IDLE_CHECK_INTERVAL_S = 0.05


class RelayRouter:
    """The components of one relay process.

    Parameters
    ----------
    settings
        The process settings.
    reactor, clock
        The event loop and the source of time.
    build_adapter
        Creates the components that are specific to the platform.
    random_fraction
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        settings: RelaySettings,
        reactor: Any,
        clock: Clock,
        build_adapter: AdapterFactory,
        random_fraction: Callable[[], float] = random.random,
    ) -> None:
        """Create and connect the components without opening a port."""
        self._settings = settings
        self._reactor = reactor
        self._clock = clock
        section = settings.relay
        self._random_fraction = random_fraction
        self._pool = ConnectionPool(reactor)
        self._adapter = build_adapter(settings, reactor, self._pool)
        self._directory = Directory(self._adapter.record_decoder)
        self._selector = Selector(
            section.data_centre, settings.weights.limit_ms
        )
        self._paths = RelayPaths(
            section,
            self._directory,
            lambda: self._exchange.peers,
            reactor=reactor,
            clock=clock,
            random_fraction=random_fraction,
        )
        self._context = RelayContext(
            clock=clock,
            call_later=reactor.callLater,
            pool=self._paths.pool,
            call_decoder=self._adapter.call_decoder,
            backend_protocol=self._adapter.backend_protocol,
            directory=self._directory,
            selector=self._selector,
            retry_settings=retry_budget_settings(settings.retries),
            random_fraction=self._random_fraction,
        )
        self._relay = Relay(self._context)
        self._callers = CallerFactory(
            self._relay.handle_request, self._relay.caller_limits, clock
        )
        self._followers = {
            topic: TopicFollower(
                topic,
                self._adapter.store,
                self._directory,
                reactor,
                clock,
                self._random_fraction,
            )
            for topic in Topic
        }
        self._exchange, self._origin_broker = build_peer_services(
            settings,
            self._adapter,
            self._context,
            self._paths,
            reactor,
            clock,
            random_fraction,
        )
        self._context.use_origin_store(self._origin_broker)
        self._context.use_process_names(self._adapter.process_name_source)
        self._context.use_identities(self._adapter.identity_source)
        self._archives = build_archives(
            self._adapter,
            self._context,
            self._exchange,
            settings,
            reactor,
            clock,
            rank=self._rank,
        )
        self._crash_archive = self._archives[0]
        self._cache_feed = CacheFeed(
            self._adapter.cache_event_source,
            self._directory,
            self._selector,
            reactor,
            section.name,
            section.data_centre,
            self._router_names,
            clock,
        )
        self._leaving_checks = LeavingChecks(
            self._adapter.health_source,
            self._directory,
            self._selector.statements,
            clock,
        )
        self._lead_duty = LeadDuty(
            section.name,
            self._exchange,
            self._paths,
            self._directory,
            self._selector,
            reactor,
            clock,
            order_client=self._adapter.order_client,
        )
        self._leader_lease = LeaderLease(
            section.name,
            settings.weights.lease_ms,
            clock.now(),
            engines_check_fences=settings.weights.engines_check_fences,
        )
        self._election = LeaderElection(
            section.name,
            self._adapter.lease_store,
            self._leader_lease,
            reactor,
            clock,
            lease_duration=settings.weights.lease_ms,
            is_candidate=self._lead_duty.is_candidate,
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
        upkeep = Upkeep(
            self._directory,
            self._selector,
            self._exchange,
            clock,
            settings.weights.heartbeat_ms,
            (
                lambda: self._observe_versions(clock.now()),
                self._paths.update,
                self._cache_feed.update_pollers,
                self._leaving_checks.update,
            ),
        )
        self._upkeep = PeriodicTask('upkeep', upkeep.run, reactor)
        self._is_stopping = False
        self._configuration_version = 0
        self._was_directory_ready = False

    @property
    def is_ready(self) -> bool:
        """Whether the router accepts new connections."""
        return (
            self._directory.is_ready
            and self._crash_archive.is_ready
            and self._exchange.is_ready
            and not self._is_stopping
        )

    @property
    def limits(self) -> ServerLimits:
        """The rate limits that the router knows."""
        return self._selector.limits

    @property
    def brittle(self) -> ServerLimits:
        """What the router knows of brittle servers."""
        return self._selector.brittle.stated

    @property
    def can_lead(self) -> bool:
        """Whether the router misses no engines that others reach."""
        return not self._exchange.merger.standings.cannot_lead

    @property
    def peer_names(self) -> frozenset[str]:
        """The names of the other live routers."""
        return self._exchange.peer_names.names

    @property
    def reported_streams(self) -> int:
        """Streams whose software version other routers were told."""
        return self._origin_broker.reported_streams

    def start(self) -> None:
        """Open the ports and start to follow the store."""
        section = self._settings.relay
        self._connect_components()
        ready = ReadyPage(self._adapter.ready_path, lambda: self.is_ready)
        self._listen(section.listen, self._callers)
        self._listen(section.ready_listen, page_site(ready))
        self._listen(section.metrics_listen, page_site(MetricsPage()))
        self._origin_broker.start()
        self._exchange.start()
        duties = (self._rollout, self._election)
        for part in (*self._archives, *self._followers.values(), *duties):
            part.start()
        self._lead_duty.start(self._election, self._leader_lease)
        self._upkeep.start(_UPKEEP_INTERVAL_S, now=False)
        log_state_change(
            'router_started',
            router=section.name,
            data_centre=section.data_centre,
            listen=section.listen,
        )

    def _connect_components(self) -> None:
        self._directory.listeners.append(self._apply_directory_change)
        server_follower = self._followers[Topic.SERVERS]
        survivors = Survivors(
            self._directory,
            self._context.quarantine,
            self._clock,
            self._settings.weights.heartbeat_ms,
        )
        server_follower.on_entry = survivors.record_entry
        schedule = ReadSchedule(
            self._settings.relay,
            self._settings.store,
            self._exchange,
            self._context.quarantine,
            self._clock,
        )
        server_follower.read_interval = schedule.server_read_interval
        server_follower.reads_again = schedule.awaits_evidence
        for topic, follower in self._followers.items():
            follower.read_delay = partial(schedule.delay, topic)
            follower.read_wait = partial(schedule.wait, topic)
        self._election.on_leadership_change = self._rollout.set_leading
        self._exchange.own_confirmed_at = self._store_confirmed_at
        self._exchange.merger.unchanged_until = self._store_unchanged_until
        self._exchange.merger.on_pause_received = lambda: (
            self._leader_lease.observe_peer_order(self._clock.now())
        )
        self._exchange.merger.on_peer_left = self._election.check_now
        self._adapter.answer_listeners.append(self._note_engine_request)
        self._context.part_quarantine.probe_rank = self._rank
        processes = self._context.incarnations.processes
        processes.written_version = partial(
            written_version,
            self._directory.settled_entries,
            partial(self._exchange.confirmed_at, Topic.SERVERS),
            self._settings.weights.heartbeat_ms,
        )
        self._cache_feed.on_epoch = processes.record_epoch
        self._context.on_unresponsive = self._exchange.broadcast_unresponsive
        self._selector.limits.on_change = self._exchange.broadcast_limit
        self._selector.brittle.stated.on_change = self._exchange.broadcast_limit
        broker = self._exchange.slot_broker
        broker.on_free_slot = self._context.select_for_waiting_calls
        self._rollout.on_engines_paused = self._exchange.broadcast_pause
        self._rollout.on_engine_unanswered = self._lead_duty.try_engine
        self._rollout.on_weights_loaded = self._exchange.broadcast_weights

    def reload(self, path: str) -> None:
        """Check and log changed settings without applying them.

        All settings apply at process start; a change waits for the next start.
        """
        changes.log_changed_settings(self._settings, path)

    def stop_gracefully(self) -> Deferred[Any]:
        """Stop gracefully; the Deferred fires after the last call has ended."""
        self._is_stopping = True
        log_state_change(
            'router_leaving',
            router=self._settings.relay.name,
            running=self._relay.running_call_count,
        )
        self._callers.stop_keep_alive()
        self._exchange.announce_leave()
        self._rollout.close()
        self._lead_duty.close()
        election_end = self._election.close()
        done: Deferred[None] = Deferred()
        stop = self._settings.stop
        accept_s = in_seconds(stop.accept_ms)
        self._reactor.callLater(accept_s, self._stop_accepting)
        self._reactor.callLater(accept_s, self._wait_until_idle, done)
        abort_after_s = max(accept_s, stop.grace_s - _ABORT_MARGIN_S)
        for abort in (self._relay.abort_calls, self._paths.abort_paths):
            self._reactor.callLater(abort_after_s, abort)
        done.addCallback(lambda _: DeferredList([election_end, self._close()]))
        return done

    def _close(self) -> Deferred[Any]:
        for follower in self._followers.values():
            follower.close()
        for archive in self._archives:
            archive.close()
        for part in (self._upkeep, self._cache_feed, self._callers):
            part.close()
        self._context.witnesses.close()
        self._context.incarnations.close()
        for pool in (self._paths, self._pool):
            pool.close()
        closing = [maybeDeferred(port.stopListening) for port in self._ports]
        closing.append(self._exchange.close())
        return DeferredList(closing)

    def _stop_accepting(self) -> None:
        self._ports[0].stopListening()
        self._callers.close_idle_channels()
        self._paths.stop_accepting()

    def _wait_until_idle(
        self, done: Deferred[None], *, was_idle: bool = False
    ) -> None:
        """Finish when no call ran for an interval, which sends the rest."""
        running = self._relay.running_call_count + self._paths.carried_count
        if was_idle and not running:
            done.callback(None)
            return
        check = partial(self._wait_until_idle, done, was_idle=not running)
        self._reactor.callLater(_IDLE_CHECK_INTERVAL_S, check)

    def _store_confirmed_at(self, topic: Topic) -> Millis:
        return self._followers[topic].confirmed_at

    def _store_unchanged_until(self, topic: Topic) -> Millis | None:
        return self._followers[topic].unchanged_until

    def _rank(self, key: str) -> int:
        """Return how many live routers come before this one for a key."""
        own_name = self._settings.relay.name
        names = self._router_names() | {own_name}
        return kept_rank(names, key).index(own_name)

    def _router_names(self) -> frozenset[str]:
        return self.peer_names

    def _listen(self, endpoint: Endpoint, factory: Any) -> None:
        port = self._reactor.listenTCP(
            endpoint.port, factory, interface=endpoint.host
        )
        self._ports.append(port)

    def _observe_versions(self, now: Millis) -> None:
        self._selector.versions.observe(self._directory.servers.values(), now)
        self._origin_broker.update()

    def _apply_directory_change(self) -> None:
        """Apply and log a change of configuration, servers or weights."""
        directory = self._directory
        before = self._selector.view
        view = FleetView(
            servers=dict(directory.servers),
            named_weights=directory.named_weights,
        )
        self._selector.update_fleet_view(view)
        self._observe_versions(self._clock.now())
        changes.log_fleet_changes(before, view, self._clock.now())
        if directory.is_ready and not self._was_directory_ready:
            self._was_directory_ready = True
            self._election.check_now()
        configuration = directory.configuration
        if configuration is not None and (
            configuration.version != self._configuration_version
        ):
            self._configuration_version = configuration.version
            changes.log_configuration(configuration)

    def _note_engine_request(
        self, endpoint: Endpoint
    ) -> Callable[[ResponseInfo], None]:
        """Return what takes the statements of the answer to a request.

        They hold for the process that is listed now, or for an earlier one. By
        the time of the answer, another one may be listed at the endpoint.
        """
        servers = tuple(
            server
            for server in self._directory.servers.values()
            if server.endpoint == endpoint
        )

        def record(info: ResponseInfo) -> None:
            self._selector.statements.record_answer(
                servers, endpoint, info, self._clock.now()
            )

        return record
