"""Routers that elect a leader, before engines that take orders."""

from dataclasses import replace
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred

from features.order_servers import ArrivedOrder, OrderServer
from features.partition_fleet import PartitionFleet
from features.simulated_store import StoreClient
from yuccagauge.clock import Millis
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.platform.engines import PlatformEngineClient
from yuccagauge.relay.adapter import PlatformAdapter
from yuccagauge.rollout.base import LeaseEras, LeaseState

#: Time that the store takes to judge an append or a read of the lease.
_LEASE_DELAY_S = 0.004


class _LeaseClient(StoreClient):
    """The store as one router sees it, with the leader lease."""

    def __init__(self, fleet: 'OrderFleet', name: str) -> None:
        super().__init__(fleet.store, name)
        self._fleet = fleet

    def read_lease(self) -> Deferred[LeaseState]:
        """Return the last record and the number of records."""
        return self._later(self._state)

    def append_lease(
        self, holder: str, expected_count: int, eras: LeaseEras
    ) -> Deferred[bool]:
        """Append a record if there are as many as expected."""
        return self._later(partial(self._append, holder, expected_count))

    def _state(self) -> LeaseState:
        holders = self._fleet.holders
        return LeaseState(
            record_count=len(holders),
            holder=holders[-1][1] if holders else '',
        )

    def _append(self, holder: str, expected_count: int) -> bool:
        holders = self._fleet.holders
        if len(holders) != expected_count:
            return False
        holders.append((self._fleet.clock.now(), holder))
        return True

    def _later(self, action: Any) -> Deferred[Any]:
        result: Deferred[Any] = Deferred()

        def answer() -> None:
            if self._fleet.store.is_down:
                result.errback(StoreUnavailableError('refused'))
            else:
                result.callback(action())

        self._fleet.network.reactor.callLater(_LEASE_DELAY_S, answer)
        return result


class OrderFleet(PartitionFleet):
    """Routers in two data centres, one of which orders engines to load.

    Parameters
    ----------
    routers, servers, seed
        As for other fleets.
    checks_fences
        Whether the routers know that engines refuse old fencing tokens.
    """

    server_type = OrderServer

    def __init__(
        self,
        routers: int,
        servers: int,
        seed: int = 1,
        *,
        checks_fences: bool = True,
    ) -> None:
        """Start a fleet without a leader."""
        #: The records of the lease: when they were written, and the holder.
        self.holders: list[tuple[Millis, str]] = []
        self.orders: list[ArrivedOrder] = []
        self.named_at: dict[int, Millis] = {}
        self._checks_fences = checks_fences
        super().__init__(routers, servers, seed)

    def more_settings(self) -> dict[str, dict[str, str]]:
        """Return whether the engines check fences."""
        return {'weights': {'engines_check_fences': str(self._checks_fences)}}

    @property
    def leader(self) -> str:
        """The holder of the lease; empty while it is free."""
        return self.holders[-1][1] if self.holders else ''

    @property
    def engines(self) -> list[OrderServer]:
        """The servers that take orders."""
        return [server for server in self.servers if server.is_engine]

    def name_weights(self, version: int) -> None:
        """Name a version, as the operator does."""
        self.named_at[version] = self.clock.now()
        document = {'model': 'm', 'version': version}
        self.store.append_operation('version/m', document)

    def changes_of_holder(self, since: Millis) -> int:
        """Return how often another router acquired the lease after a time."""
        found = [(at, name) for at, name in self.holders if name]
        return sum(
            name != before
            for (_, before), (at, name) in zip(found, found[1:], strict=False)
            if at > since
        )

    def _build_adapter(
        self, settings: Any, reactor: Any, pool: Any
    ) -> PlatformAdapter:
        name = settings.relay.name
        engines = PlatformEngineClient(reactor, pool, name)
        client = _LeaseClient(self, name)
        return replace(
            super()._build_adapter(settings, reactor, pool),
            lease_store=client,
            order_client=engines,
            answer_listeners=engines.answer_listeners,
        )
