"""The state behind all choices of a router, and the choice itself."""

from collections.abc import Mapping

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, KeptStore, ServerState
from yuccagauge.relay.base import Placement
from yuccagauge.selection import model, plain
from yuccagauge.selection.base import Candidate, Choice, Demand, FleetView
from yuccagauge.selection.cachemap import CacheMap
from yuccagauge.selection.kept import (
    KeptParts,
    kept_holder,
    scope_of,
    source,
    with_home,
)
from yuccagauge.selection.latequeue import LateQueue
from yuccagauge.selection.later import LONGEST_RETRY, choose_later
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
        self.coverage = PeerCoverage()
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

    def load(self, server_id: str) -> ServerLoad:
        """Return what is known of a server; new ones start empty."""
        found = self._loads.get(server_id)
        if found is None:
            found = ServerLoad(coverage=self.coverage)
            self._loads[server_id] = found
        return found

    def adopt(self, view: FleetView) -> tuple[str, ...]:
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
                self.load(server_id).calls = old.calls
        self._view = view
        self._by_service = {}
        for server in view.servers.values():
            self._by_service.setdefault(server.service, []).append(server)
        return renewed

    def weights_of(self, server: BackendServer, name: str) -> int:
        """Return the newest weights version that a server has shown."""
        listed = server.weights.get(name, 0)
        return max(
            listed, self.load(server.server_id).shown_weights.get(name, 0)
        )

    def choose(
        self,
        demand: Demand,
        stores: tuple[KeptStore, ...],
        now: Millis,
    ) -> Choice:
        """Return where a call goes now, or when to look again, or a refusal."""
        known = self._by_service.get(demand.service.name, [])
        ready = [
            server
            for server in known
            if server.state is ServerState.READY
            and server.server_id not in demand.avoided
        ]
        usable = [server for server in ready if self._may_take(server, now)]
        usable = self._leave_silent(usable, demand, now) or usable
        if demand.service.is_model:
            choice = self._choose_engine(usable, demand, stores, now)
        else:
            choice = self._choose_plain(usable, demand, now)
        return choice or self._choose_later(ready, demand, now)

    def sent(
        self,
        demand: Demand,
        placement: Placement,
        now: Millis,
        *,
        is_movable: bool = False,
    ) -> None:
        """Note that a call was handed to a server."""
        server_id = placement.server.server_id
        missing = max(0, demand.prompt_tokens - placement.cached_tokens)
        self.load(server_id).calls[demand.call_id] = ActiveCall(
            sent_at=now,
            missing_tokens=missing,
            kv_tokens=demand.prompt_tokens + demand.output_tokens,
            is_movable=is_movable,
        )
        for part_id, _ in demand.parts:
            self.cache.add(server_id, placement.cache_scope, part_id)

    def _may_take(self, server: BackendServer, now: Millis) -> bool:
        load = self._loads.get(server.server_id)
        if load is None:
            return True
        return now >= load.paused_until and now >= load.loading_until

    def _leave_silent(
        self,
        servers: list[BackendServer],
        demand: Demand,
        now: Millis,
    ) -> list[BackendServer]:
        limit = (
            SILENCE_LIMIT if demand.service.is_model else PLAIN_SILENCE_LIMIT
        )
        return [
            server
            for server in servers
            if self.load(server.server_id).silence(now) < limit
            and not self.load(server.server_id).is_told_silent(now)
        ]

    def _choose_plain(
        self,
        servers: list[BackendServer],
        demand: Demand,
        now: Millis,
    ) -> Choice | None:
        candidates = [self._candidate(server) for server in servers]
        best = plain.cheapest(candidates, now)
        if best is None:
            return None
        expected = plain.expected_ms(best, now)
        if now + expected > demand.deadline:
            return None
        placement = Placement(server=best.server, expected_ms=expected)
        return Choice(placement=placement, reason='least_cost')

    def _choose_engine(
        self,
        servers: list[BackendServer],
        demand: Demand,
        stores: tuple[KeptStore, ...],
        now: Millis,
    ) -> Choice | None:
        store = self._kept.nearest(stores)
        candidates = self._engines(servers, demand, store, now)
        best = model.cheapest(candidates, demand, now)
        if best is None:
            return None
        candidate, found = best
        waited = Millis(now - demand.received_at)
        is_late = now + found.first_ms > demand.objective_at
        if is_late and not model.may_send_late(found.backlog_ms, waited):
            return self._hold(found, demand, now)
        if is_late:
            self.late.note(waited, now, refused=False)
        placement = Placement(
            server=candidate.server,
            weights_version=candidate.weights_version,
            cache_scope=scope_of(demand, candidate.weights_version),
            fetch_from=source(candidate, demand, store),
            keep_in=self._kept.keeper(candidate, demand, store, now),
            cached_tokens=max(candidate.cached_tokens, candidate.kept_tokens),
            expected_ms=found.first_ms,
            work_ms=found.work_ms,
        )
        return Choice(placement=placement, reason='least_cost')

    def _hold(
        self,
        found: model.Estimate,
        demand: Demand,
        now: Millis,
    ) -> Choice:
        """Let a late call wait, or refuse one that has no time left."""
        waited = Millis(now - demand.received_at)
        left = demand.start_by - now - found.first_ms
        is_new = waited < LATE_RECHECK
        if is_new and self.late.expected_wait(now) > left:
            return Choice(retry_after=LONGEST_RETRY, reason='overloaded')
        if left <= 0:
            self.late.note(waited, now, refused=True)
            return Choice(retry_after=LONGEST_RETRY, reason='overloaded')
        until = Millis(now + LATE_RECHECK)
        return Choice(wait_until=until, reason='late_anyway')

    def _engines(
        self,
        servers: list[BackendServer],
        demand: Demand,
        store: KeptStore | None,
        now: Millis,
    ) -> list[Candidate]:
        """Return the engines that may run the model, with what they hold."""
        found: list[Candidate] = []
        depths: dict[int, dict[str, int]] = {}
        for server in servers:
            version = self.weights_of(server, demand.model)
            replaced_at = self._view.replaced_at(demand.model, version)
            age = 0 if replaced_at is None else now - replaced_at
            if not version or age > self._weights_limit - OUTDATED_MARGIN:
                continue
            if version not in depths:
                scope = scope_of(demand, version)
                depths[version] = self.cache.depths(scope, demand.parts)
            held = depths[version]
            kept = held.get(kept_holder(store.endpoint), 0) if store else 0
            found.append(
                Candidate(
                    server=server,
                    load=self.load(server.server_id),
                    is_local=server.data_centre == self._data_centre,
                    weights_version=version,
                    is_outdated=age > OUTDATED_GRACE,
                    cached_tokens=held.get(server.server_id, 0),
                    kept_tokens=kept,
                    is_followed=server.server_id in self.followed,
                ),
            )
        return with_home(found, demand)

    def _candidate(self, server: BackendServer) -> Candidate:
        return Candidate(
            server=server,
            load=self.load(server.server_id),
            is_local=server.data_centre == self._data_centre,
        )

    def _choose_later(
        self,
        ready: list[BackendServer],
        demand: Demand,
        now: Millis,
    ) -> Choice:
        """Decide for a call that no server can take now."""
        free_at = min(
            (self._free_at(server, now) for server in ready),
            default=None,
        )
        return choose_later(free_at, demand, now)

    def _free_at(self, server: BackendServer, now: Millis) -> Millis:
        load = self.load(server.server_id)
        return max(now, load.paused_until, load.loading_until)
