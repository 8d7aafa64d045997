"""Selection of a server for each call, and the state that it needs."""

from collections import defaultdict
from collections.abc import Mapping

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, KvCacheStore, ServerState
from yuccagauge.origins.versions import VersionHistory
from yuccagauge.ratelimit.limits import ServerLimits
from yuccagauge.ratelimit.permits import Permits
from yuccagauge.ratelimit.waiting import WaitingCalls
from yuccagauge.relay.base import Placement
from yuccagauge.selection import model, plain
from yuccagauge.selection.base import (
    Candidate,
    FleetView,
    SelectionDecision,
    SelectionRequest,
)
from yuccagauge.selection.brittle import BrittleServers
from yuccagauge.selection.cachemap import CacheMap
from yuccagauge.selection.deferral import refuse_without_version
from yuccagauge.selection.kvcachestores import (
    KvCacheStoreTracker,
    cache_scope_of,
    choose_fetch_endpoint,
    store_holder_name,
)
from yuccagauge.selection.latewaits import LateWaitEstimator
from yuccagauge.selection.limitgate import LimitGate
from yuccagauge.selection.load import ActiveCall, PeerCoverage, ServerLoad
from yuccagauge.selection.responsive import responsive_servers
from yuccagauge.selection.spread import PrefixHolders, spread_costs
from yuccagauge.selection.statements import ServerStatements
from yuccagauge.selection.waits import ServerWaits
from yuccagauge.selection.weightsages import WeightsAges
from yuccagauge.settings.options import Endpoint


class Selector:
    """Selects servers by load, cached parts and weights versions.

    Parameters
    ----------
    data_centre
        The router's own data centre.
    outdated_weights_limit
        Time after newer weights are named from which no call may start on an
        engine with older ones.
    """

    def __init__(
        self, data_centre: str, outdated_weights_limit: Millis
    ) -> None:
        """Create a selector without servers."""
        self._data_centre = data_centre
        #: Compares the weights of engines with the named ones.
        self.weights = WeightsAges(outdated_weights_limit, self.load_of)
        self._view = FleetView(servers={})
        self._servers_by_service: dict[str, list[BackendServer]] = {}
        self._loads: dict[str, ServerLoad] = {}
        self._store_tracker = KvCacheStoreTracker(data_centre)
        #: Extrapolates the reported load of peers to all live peers.
        self.peer_coverage = PeerCoverage()
        #: Estimates how long a late call will wait.
        self.late_waits = LateWaitEstimator()
        self.cache_map = CacheMap()
        self._limit_gate = LimitGate(self.load_of)
        self.statements = ServerStatements()
        self._waits = ServerWaits(
            self.load_of, self.statements, self._limit_gate
        )
        #: The software versions that each service had lately.
        self.versions = VersionHistory()
        #: Ids of the engines whose cache events this router receives.
        self.engines_with_cache_events: set[str] = set()

    @property
    def live_stores(self) -> set[Endpoint]:
        """Endpoints of the KV cache stores that answer."""
        return self._store_tracker.live

    @property
    def limits(self) -> ServerLimits:
        """The rates that servers take from all routers together."""
        return self._limit_gate.limits

    @property
    def brittle(self) -> BrittleServers:
        """The servers that end if they have to reject too many calls."""
        return self._limit_gate.brittle

    @property
    def waiting(self) -> WaitingCalls:
        """The calls that wait for a server with a limit."""
        return self._limit_gate.waiting

    @property
    def permits(self) -> Permits:
        """The permits of this router for servers with a rate limit."""
        return self._limit_gate.permits

    @property
    def loads(self) -> Mapping[str, ServerLoad]:
        """Load and health of each server, by id."""
        return self._loads

    @property
    def view(self) -> FleetView:
        """The current servers and named weights versions."""
        return self._view

    def load_of(self, server_id: str) -> ServerLoad:
        """Return the load of a server; it starts empty for a new server."""
        load = self._loads.get(server_id)
        if load is None:
            load = ServerLoad(peer_coverage=self.peer_coverage)
            self._loads[server_id] = load
        return load

    def update_fleet_view(self, view: FleetView) -> tuple[str, ...]:
        """Apply a change of the directory; return the restarted servers.

        A server that restarts under the same id has lost its state. The
        router therefore drops what it knew about the cache, load and health
        of restarted servers, and of removed ones. It keeps only its own calls
        in flight there.
        """
        previous_servers = self._view.servers
        stated = self.statements.starts.update(view.servers)
        restarted = tuple(
            server_id
            for server_id, server in view.servers.items()
            if server_id in previous_servers
            and not server.may_be_same_process(previous_servers[server_id])
        )
        removed = tuple(
            server_id
            for server_id in previous_servers
            if server_id not in view.servers
        )
        for server_id in dict.fromkeys((*stated, *restarted, *removed)):
            self.cache_map.remove_holder(server_id)
            previous_load = self._loads.pop(server_id, None)
            if previous_load is not None and previous_load.own_calls:
                # The relay removes these calls when their attempts end.
                self.load_of(server_id).own_calls = previous_load.own_calls
        # A limit holds while an entry lacks the start for some time.
        self.limits.forget(stated)
        self._view = view
        self.weights.update_fleet_view(view)
        self.brittle.update(view.servers)
        self._servers_by_service = defaultdict(list)
        for server in view.servers.values():
            self._servers_by_service[server.service].append(server)
        return restarted

    def choose(
        self,
        request: SelectionRequest,
        stores: tuple[KvCacheStore, ...],
        now: Millis,
    ) -> SelectionDecision:
        """Decide whether a call is sent, waits or is refused.

        Unresponsive servers are used only if there is no other server.
        """
        servers = self._servers_by_service.get(request.service.name, [])
        ready = [
            server
            for server in servers
            if server.state is ServerState.READY
            and request.accepts(server)
            and not self.statements.is_leaving(server)
        ]
        if not ready and request.software_version is not None:
            return refuse_without_version(self.versions, request, now)
        available = [
            server for server in ready if self._is_available(server, now)
        ]
        available = (
            responsive_servers(available, self.load_of, request, now)
            or available
        )
        sendable = self._limit_gate.sendable(available, request, now)
        decision = self._choose_server(sendable, request, stores, now)
        limited = [server for server in available if server not in sendable]
        if limited and (decision is None or decision.placement is None):
            self._limit_gate.reserve_soonest(limited, request, now)
        elif limited:
            # The permit serves a later call.
            preferred = self._preferred_server(available, request, stores, now)
            if preferred in limited:
                self._limit_gate.reserve_preferred(preferred, now)
        decision = decision or self._wait_or_refuse(ready, request, now)
        self._limit_gate.record_decision(request, decision, now)
        return decision

    def record_send(
        self,
        request: SelectionRequest,
        placement: Placement,
        now: Millis,
        *,
        is_movable: bool = False,
    ) -> None:
        """Record that a call was sent to a server.

        The call counts as load of the server, and the parts of its prompt as
        cached there.
        """
        server_id = placement.server.server_id
        self.permits.spend(server_id, now)
        prefill_tokens = max(0, request.prompt_tokens - placement.cached_tokens)
        self.load_of(server_id).own_calls[request.call_id] = ActiveCall(
            sent_at=now,
            prefill_tokens=prefill_tokens,
            kv_tokens=request.prompt_tokens + request.output_tokens,
            is_movable=is_movable,
        )
        for part_id, _ in request.parts:
            self.cache_map.add(server_id, placement.cache_scope, part_id)

    def _is_available(self, server: BackendServer, now: Millis) -> bool:
        if now < self.statements.refused_until(server):
            return False
        load = self._loads.get(server.server_id)
        return load is None or load.is_available(now)

    def _choose_server(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        stores: tuple[KvCacheStore, ...],
        now: Millis,
    ) -> SelectionDecision | None:
        if request.service.is_model:
            return self._choose_engine(servers, request, stores, now)
        return self._choose_plain(servers, request, now)

    def _preferred_server(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        stores: tuple[KvCacheStore, ...],
        now: Millis,
    ) -> BackendServer | None:
        """Return the server that would get the call without rate limits."""
        if not request.service.is_model:
            candidates = map(self._plain_candidate, servers)
            cheapest = plain.cheapest_server(candidates, now)
            return cheapest and cheapest.server
        store = self._store_tracker.nearest(stores)
        candidates = self._engine_candidates(servers, request, store, now)
        best = model.cheapest_engine(candidates, request, now)
        return best and best[0].server

    def _choose_plain(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> SelectionDecision | None:
        candidates = [self._plain_candidate(server) for server in servers]
        best = plain.cheapest_server(candidates, now)
        if best is None:
            return None
        expected = plain.expected_ms(best, now)
        if now + expected > request.deadline:
            return None
        placement = Placement(
            server=best.server,
            expected_first_output_ms=expected,
            rate_limit=self.limits.limit_of(best.server.server_id),
        )
        return SelectionDecision(placement=placement, reason='least_cost')

    def _choose_engine(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        stores: tuple[KvCacheStore, ...],
        now: Millis,
    ) -> SelectionDecision | None:
        store = self._store_tracker.nearest(stores)
        candidates = self._engine_candidates(servers, request, store, now)
        best = model.cheapest_engine(candidates, request, now)
        if best is None:
            return None
        candidate, estimate = best
        waited = Millis(now - request.received_at)
        is_late = now + estimate.first_token_ms > request.objective_at
        if is_late and not model.may_send_late_call(
            estimate.backlog_ms, waited
        ):
            return self.late_waits.wait_or_refuse(
                estimate.first_token_ms, request, now
            )
        if is_late:
            self.late_waits.record_wait(waited, now, refused=False)
        placement = Placement(
            server=candidate.server,
            weights_version=candidate.weights_version,
            superseded_ms=candidate.superseded_ms,
            cache_scope=cache_scope_of(request, candidate.weights_version),
            kv_fetch_endpoint=choose_fetch_endpoint(candidate, request, store),
            kv_save_endpoint=self._store_tracker.choose_save_endpoint(
                candidate, request, store, now
            ),
            cached_tokens=max(candidate.cached_tokens, candidate.stored_tokens),
            expected_first_output_ms=estimate.first_token_ms,
            nominal_prefill_ms=estimate.nominal_prefill_ms,
            rate_limit=self.limits.limit_of(candidate.server.server_id),
        )
        return SelectionDecision(placement=placement, reason='least_cost')

    def _engine_candidates(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        store: KvCacheStore | None,
        now: Millis,
    ) -> list[Candidate]:
        """Return the engines that may run the model, with their cache state."""
        candidates = []
        store_name = store_holder_name(store.endpoint) if store else ''
        holders_by_version: dict[int, PrefixHolders] = {}
        routers = self.peer_coverage.routers
        for server in servers:
            if not self.weights.may_serve(server, request.model, now):
                continue
            version = self.weights.version_of(server, request.model)
            age = self.weights.superseded_ms(request.model, version, now)
            if version not in holders_by_version:
                holders_by_version[version] = PrefixHolders.among(
                    servers,
                    self.cache_map.prefix_tokens(
                        cache_scope_of(request, version), request.parts
                    ),
                    routers,
                )
            holders = holders_by_version[version]
            is_heard = server.server_id in self.engines_with_cache_events
            candidates.append(
                Candidate(
                    server=server,
                    load=self.load_of(server.server_id),
                    is_local=server.data_centre == self._data_centre,
                    weights_version=version,
                    superseded_ms=age,
                    time_to_begin=self.weights.time_to_begin(
                        request.model, version, now
                    ),
                    is_outdated=age is not None and age > model.OUTDATED_GRACE,
                    cached_tokens=holders.tokens_at(
                        server.server_id, is_heard=is_heard
                    ),
                    stored_tokens=holders.tokens_in_store(store_name),
                    has_cache_events=is_heard,
                ),
            )
        return spread_costs(candidates, request, routers)

    def _plain_candidate(self, server: BackendServer) -> Candidate:
        return Candidate(
            server=server,
            load=self.load_of(server.server_id),
            is_local=server.data_centre == self._data_centre,
        )

    def _wait_or_refuse(
        self,
        ready: list[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> SelectionDecision:
        """Decide about a call that no server can take now."""
        if request.service.is_model:
            ready = self.weights.awaited(ready, request.model, now) or ready
        return self._waits.wait_or_refuse(ready, request, now)
