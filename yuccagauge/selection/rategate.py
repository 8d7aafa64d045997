"""Calls to servers with a rate limit: which may be sent, and which wait."""

from collections.abc import Iterable

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.ratelimit.limits import ServerLimits
from yuccagauge.ratelimit.permits import Permits
from yuccagauge.ratelimit.waiting import WaitingCalls
from yuccagauge.selection.base import SelectionDecision, SelectionRequest

#: Longest wait for a permit that is reserved for a server which is preferred,
#: while another one takes the call. The next call uses the permit.
PREFERRED_WAIT = Millis(100)


class RateGate:
    """Lets calls pass to servers with a rate limit, by permits.

    Load pattern: a server in need names a limit far below its share of the
    calls. Other servers take the calls as far as they can. If none can, a call
    waits for a permit if that comes in time, and is refused at once otherwise,
    with the time at which its caller can be served. Calls that wait precede
    calls that arrive later.
    """

    def __init__(self) -> None:
        """Create a gate without limits."""
        self.limits = ServerLimits()
        self.permits = Permits(self.limits.limit_of)
        self._waiting = WaitingCalls()

    def is_limited(self, server: BackendServer) -> bool:
        """Return whether a server names a limit."""
        return self.limits.limit_of(server.server_id) is not None

    def sendable(
        self,
        servers: Iterable[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> list[BackendServer]:
        """Return the servers to which the call may be sent now."""
        servers = list(servers)
        if not any(map(self.is_limited, servers)):
            return servers
        position = self._position(request, now)
        return [
            server
            for server in servers
            if self.permits.may_send(server.server_id, position, now)
        ]

    def reserve_preferred(self, server: BackendServer, now: Millis) -> None:
        """Reserve a permit for a server that calls would prefer."""
        self.permits.reserve(server.server_id, 1, PREFERRED_WAIT, now)

    def reserve_soonest(
        self,
        servers: Iterable[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> None:
        """Reserve a permit for a call that no server takes without one."""
        soonest = min(
            (server.server_id for server in servers),
            key=lambda server_id: (
                self.permits.available_at(server_id, 0, now),
                server_id,
            ),
        )
        remaining = request.deadline - now
        within = max(request.objective_at - now, remaining // 2)
        needed = self._position(request, now) + 1
        self.permits.reserve(soonest, needed, Millis(within), now)

    def available_at(
        self, server: BackendServer, request: SelectionRequest, now: Millis
    ) -> Millis:
        """Return when the limit of a server lets the call pass."""
        if not self.is_limited(server):
            return now
        position = self._position(request, now)
        return self.permits.available_at(server.server_id, position, now)

    def record_decision(
        self,
        request: SelectionRequest,
        decision: SelectionDecision,
        now: Millis,
    ) -> None:
        """Record whether the call waits, in a fleet with limits."""
        if not self.limits.has_limits:
            return
        service = request.service.name
        if decision.wait_until is None:
            self._waiting.remove(service, request.call_id)
        else:
            self._waiting.add(
                service, request.call_id, request.received_at, now
            )

    def _position(self, request: SelectionRequest, now: Millis) -> int:
        """Return the number of waiting calls that precede the call."""
        return self._waiting.position(
            request.service.name, request.call_id, request.received_at, now
        )
