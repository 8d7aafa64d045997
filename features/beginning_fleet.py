"""Routers before engines with queues, none of which gets new weights."""

from twisted.internet.defer import Deferred, succeed

from features.queueing_engine import QueueingEngine
from features.weights_fleet import (
    VERSION_TIME,
    ProcessStoreClient,
    WeightsCall,
    WeightsFleet,
)
from yuccagauge.clock import Millis
from yuccagauge.rollout.base import LeaseEras

_PROMISES_NOT_RUN = frozenset((429, 503))


class LeaderlessStoreClient(ProcessStoreClient):
    """A store in which no router acquires the lease."""

    def append_lease(
        self, holder: str, expected_count: int, eras: LeaseEras
    ) -> Deferred[bool]:
        """Append nothing."""
        return self._guard(succeed(False))


class BeginningFleet(WeightsFleet):
    """Notes when calls begin at engines that nobody orders to load."""

    server_type = QueueingEngine

    def __init__(self, routers: int, servers: int, seed: int = 1) -> None:
        """Start a fleet whose engines have the first weights."""
        #: Ids of the requests that have begun to run.
        self.begun: set[str] = set()
        self._latest_ids: list[tuple[WeightsCall, str]] = []
        super().__init__(routers, servers, seed)

    def build_store_client(self, name: str) -> LeaderlessStoreClient:
        """Return the store without a leader lease."""
        return LeaderlessStoreClient(self, name)

    def request(self, call: WeightsCall) -> bytes:
        """Return the next attempt of a call, and note its id."""
        data = super().request(call)
        self._latest_ids.append((call, f'c{self._request_count}'))
        return data

    def oldest_beginning(self) -> Millis:
        """Return the highest age of weights on which a call has begun."""
        named_at = self.named[2]
        late = [run.at - named_at for run in self.runs if run.version == 1]
        return Millis(max(late, default=0))

    def false_refusals(self) -> list[str]:
        """Return the requests that have run, and were refused as not run."""
        newest = {id(call): (call, name) for call, name in self._latest_ids}
        return [
            name
            for call, name in newest.values()
            if call.status in _PROMISES_NOT_RUN and name in self.begun
        ]

    def named_ago(self) -> Millis:
        """Return the time since the second weights were named."""
        return Millis(self.clock.now() - self.named[2])


#: Time after the naming until which a fleet is played: all calls that were sent
#: within the limit have ended by then.
PLAYED = Millis(VERSION_TIME + 6000)
