"""The state behind all choices of a router, and the choice itself."""

from collections.abc import Mapping

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, KvCacheStore, ServerState
from yuccagauge.relay.base import Placement
from yuccagauge.selection import model, plain
from yuccagauge.selection.base import (
    Candidate,
    FleetView,
    SelectionDecision,
    SelectionRequest,
)
from yuccagauge.selection.cachemap import CacheMap
from yuccagauge.selection.deferral import LONGEST_RETRY, choose_later
from yuccagauge.selection.kvcachestores import (
    KeptParts,
    kept_holder,
    scope_of,
    source,
    with_home,
)
from yuccagauge.selection.latewaits import LateQueue
from yuccagauge.selection.load import ActiveCall, PeerCoverage, ServerLoad
from yuccagauge.settings.options import Endpoint

#: A server whose calls have shown no sign of life for this long gets no
#: further call while another server can take it.
SILENCE_LIMIT = Millis(700)

#: The same for plain servers, whose answers take tens of milliseconds.
PLAIN_SILENCE_LIMIT = Millis(250)

#: Time between two looks for a call that will be late.
LATE_RECHECK = Millis(50)

#: Engines with older weights get no call from this long before the time at
#: which calls must not begin on them any more.
OUTDATED_MARGIN = Millis(1500)

#: Answers on older weights lose worth from this time after the naming.
OUTDATED_GRACE = Millis(1000)


class Selector:
    """Chooses servers by loads, cached parts and weights.

    Parameters
    ----------
    data_centre
        The router's own data centre.
    weights_limit
        Time after the naming of weights from which no call may begin on
        older ones.
    """

    def __init__(self, data_centre: str, weights_limit: Millis) -> None:
        """Start without servers."""
        self._data_centre = data_centre
        self._weights_limit = weights_limit
        self._view = FleetView(servers={})
        self._by_service: dict[str, list[BackendServer]] = {}
        self._loads: dict[str, ServerLoad] = {}
        self._kept = KeptParts(data_centre)
        #: How much of the peers' calls is known.
        self.peer_coverage = PeerCoverage()
        #: How long late calls have waited lately.
        self.late = LateQueue()
        self.cache = CacheMap()
        #: Engines whose cache events are heard, by id.
        self.followed: set[str] = set()

    @property
    def live_stores(self) -> set[Endpoint]:
        """The kept stores that answer."""
        return self._kept.live

    @property
    def loads(self) -> Mapping[str, ServerLoad]:
        """What is known of each server, by id."""
        return self._loads

    @property
    def view(self) -> FleetView:
        """The servers and weights in force."""
        return self._view

    def load_of(self, server_id: str) -> ServerLoad:
        """Return what is known of a server; new ones start empty."""
        found = self._loads.get(server_id)
        if found is None:
            found = ServerLoad(peer_coverage=self.peer_coverage)
            self._loads[server_id] = found
        return found

    def update_fleet_view(self, view: FleetView) -> tuple[str, ...]:
        """Follow a change of the directory; return servers that started anew.

        A server that starts again under its id knows nothing of before.
        """
        known = self._view.servers
        renewed = tuple(
            server_id
            for server_id, server in view.servers.items()
            if server_id in known
            and known[server_id].started_at != server.started_at
        )
        gone = tuple(name for name in known if name not in view.servers)
        for server_id in (*renewed, *gone):
            self.cache.forget(server_id)
            old = self._loads.pop(server_id, None)
            if old is not None and old.calls:
                # Calls that still run there end by themselves.
                self.load_of(server_id).calls = old.calls
        self._view = view
        self._by_service = {}
        for server in view.servers.values():
            self._by_service.setdefault(server.service, []).append(server)
        return renewed

    def weights_version_of(self, server: BackendServer, name: str) -> int:
        """Return the newest weights version that a server has shown."""
        listed = server.weights.get(name, 0)
        return max(
            listed, self.load_of(server.server_id).reported_weights.get(name, 0)
        )

    def choose(
        self,
        request: SelectionRequest,
        stores: tuple[KvCacheStore, ...],
        now: Millis,
    ) -> SelectionDecision:
        """Return where a call goes now, or when to look again, or a refusal."""
        known = self._by_service.get(request.service.name, [])
        ready = [
            server
            for server in known
            if server.state is ServerState.READY
            and server.server_id not in request.excluded_servers
        ]
        usable = [server for server in ready if self._may_take(server, now)]
        usable = self._leave_silent(usable, request, now) or usable
        if request.service.is_model:
            decision = self._choose_engine(usable, request, stores, now)
        else:
            decision = self._choose_plain(usable, request, now)
        return decision or self._choose_later(ready, request, now)

    def record_send(
        self,
        request: SelectionRequest,
        placement: Placement,
        now: Millis,
        *,
        is_movable: bool = False,
    ) -> None:
        """Note that a call was handed to a server."""
        server_id = placement.server.server_id
        prefill_tokens = max(0, request.prompt_tokens - placement.cached_tokens)
        self.load_of(server_id).calls[request.call_id] = ActiveCall(
            sent_at=now,
            prefill_tokens=prefill_tokens,
            kv_tokens=request.prompt_tokens + request.output_tokens,
            is_movable=is_movable,
        )
        for part_id, _ in request.parts:
            self.cache.add(server_id, placement.cache_scope, part_id)

    def _may_take(self, server: BackendServer, now: Millis) -> bool:
        load = self._loads.get(server.server_id)
        if load is None:
            return True
        return now >= load.paused_until and now >= load.loading_until

    def _leave_silent(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> list[BackendServer]:
        limit = (
            SILENCE_LIMIT if request.service.is_model else PLAIN_SILENCE_LIMIT
        )
        return [
            server
            for server in servers
            if self.load_of(server.server_id).time_without_response(now) < limit
            and not self.load_of(server.server_id).is_reported_unresponsive(now)
        ]

    def _choose_plain(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> SelectionDecision | None:
        candidates = [self._candidate(server) for server in servers]
        best = plain.cheapest(candidates, now)
        if best is None:
            return None
        expected = plain.expected_ms(best, now)
        if now + expected > request.deadline:
            return None
        placement = Placement(
            server=best.server, expected_first_output_ms=expected
        )
        return SelectionDecision(placement=placement, reason='least_cost')

    def _choose_engine(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        stores: tuple[KvCacheStore, ...],
        now: Millis,
    ) -> SelectionDecision | None:
        store = self._kept.nearest(stores)
        candidates = self._engines(servers, request, store, now)
        best = model.cheapest(candidates, request, now)
        if best is None:
            return None
        candidate, found = best
        waited = Millis(now - request.received_at)
        is_late = now + found.first_ms > request.objective_at
        if is_late and not model.may_send_late(found.backlog_ms, waited):
            return self._hold(found, request, now)
        if is_late:
            self.late.note(waited, now, refused=False)
        placement = Placement(
            server=candidate.server,
            weights_version=candidate.weights_version,
            cache_scope=scope_of(request, candidate.weights_version),
            kv_fetch_endpoint=source(candidate, request, store),
            kv_save_endpoint=self._kept.keeper(candidate, request, store, now),
            cached_tokens=max(candidate.cached_tokens, candidate.stored_tokens),
            expected_first_output_ms=found.first_ms,
            nominal_prefill_ms=found.nominal_prefill_ms,
        )
        return SelectionDecision(placement=placement, reason='least_cost')

    def _hold(
        self,
        found: model.Estimate,
        request: SelectionRequest,
        now: Millis,
    ) -> SelectionDecision:
        """Let a late call wait, or refuse one that has no time left."""
        waited = Millis(now - request.received_at)
        left = request.first_output_deadline - now - found.first_ms
        is_new = waited < LATE_RECHECK
        if is_new and self.late.expected_wait(now) > left:
            return SelectionDecision(
                retry_after=LONGEST_RETRY, reason='overloaded'
            )
        if left <= 0:
            self.late.note(waited, now, refused=True)
            return SelectionDecision(
                retry_after=LONGEST_RETRY, reason='overloaded'
            )
        until = Millis(now + LATE_RECHECK)
        return SelectionDecision(wait_until=until, reason='late_anyway')

    def _engines(
        self,
        servers: list[BackendServer],
        request: SelectionRequest,
        store: KvCacheStore | None,
        now: Millis,
    ) -> list[Candidate]:
        """Return the engines that may run the model, with what they hold."""
        found: list[Candidate] = []
        depths: dict[int, dict[str, int]] = {}
        for server in servers:
            version = self.weights_version_of(server, request.model)
            superseded_at = self._view.superseded_at(request.model, version)
            age = 0 if superseded_at is None else now - superseded_at
            if not version or age > self._weights_limit - OUTDATED_MARGIN:
                continue
            if version not in depths:
                scope = scope_of(request, version)
                depths[version] = self.cache.depths(scope, request.parts)
            held = depths[version]
            stored = held.get(kept_holder(store.endpoint), 0) if store else 0
            found.append(
                Candidate(
                    server=server,
                    load=self.load_of(server.server_id),
                    is_local=server.data_centre == self._data_centre,
                    weights_version=version,
                    is_outdated=age > OUTDATED_GRACE,
                    cached_tokens=held.get(server.server_id, 0),
                    stored_tokens=stored,
                    is_followed=server.server_id in self.followed,
                ),
            )
        return with_home(found, request)

    def _candidate(self, server: BackendServer) -> Candidate:
        return Candidate(
            server=server,
            load=self.load_of(server.server_id),
            is_local=server.data_centre == self._data_centre,
        )

    def _choose_later(
        self,
        ready: list[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> SelectionDecision:
        """Decide for a call that no server can take now."""
        free_at = min(
            (self._free_at(server, now) for server in ready),
            default=None,
        )
        return choose_later(free_at, request, now)

    def _free_at(self, server: BackendServer, now: Millis) -> Millis:
        load = self.load_of(server.server_id)
        return max(now, load.paused_until, load.loading_until)
