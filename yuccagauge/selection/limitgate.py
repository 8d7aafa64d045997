"""Calls to servers that limit them: which may be sent, and which wait."""

from collections.abc import Callable, Iterable, Sequence

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.ratelimit.limits import ServerLimits
from yuccagauge.ratelimit.permits import Permits
from yuccagauge.ratelimit.waiting import WaitingCalls
from yuccagauge.selection.base import SelectionDecision, SelectionRequest
from yuccagauge.selection.brittle import BrittleServers
from yuccagauge.selection.load import ServerLoad

#: Longest wait for a permit that is reserved for a server which is preferred,
#: while another one takes the call. The next call uses the permit.
PREFERRED_WAIT = Millis(100)


class LimitGate:
    """Lets calls pass to servers that limit them.

    A call needs a permit for a server with a rate limit, and a slot for one
    that is brittle.

    Load pattern: a server in need names a limit far below its share of the
    calls. Other servers take the calls as far as they can. If none can, a call
    waits for a permit or a slot if that comes in time, and is refused at once
    otherwise, with the time at which its caller can be served. Calls that wait
    precede calls that arrive later.

    Parameters
    ----------
    load_of
        Returns the load of a server.
    """

    def __init__(self, load_of: Callable[[str], ServerLoad]) -> None:
        """Create a gate without limits."""
        self._load_of = load_of
        self.limits = ServerLimits()
        self.permits = Permits(self.limits.limit_of)
        self.brittle = BrittleServers(
            lambda server_id: len(load_of(server_id).own_calls)
        )
        self.waiting = WaitingCalls()

    def is_limited(self, server: BackendServer) -> bool:
        """Return whether a server names a rate limit, or is brittle."""
        server_id = server.server_id
        return self._has_rate(server_id) or self.brittle.is_brittle(server_id)

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
        brittle = [
            server.server_id
            for server in servers
            if self.brittle.is_brittle(server.server_id)
        ]
        with_slots = self.brittle.slots.sendable(brittle, position, now)
        return [
            server
            for server in servers
            if self.permits.may_send(server.server_id, position, now)
            and (
                server.server_id in with_slots
                or not self.brittle.is_brittle(server.server_id)
            )
        ]

    def reserve_preferred(self, server: BackendServer, now: Millis) -> None:
        """Reserve a permit or a slot of a server that calls would prefer."""
        if self._has_rate(server.server_id):
            self.permits.reserve(server.server_id, 1, PREFERRED_WAIT, now)
        if self.brittle.is_brittle(server.server_id):
            self.brittle.slots.reserve(server.server_id, 1, now)

    def reserve_soonest(
        self,
        servers: Iterable[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> None:
        """Reserve what a call needs that no server takes without it."""
        servers = tuple(servers)
        self._reserve_slots(servers, request, now)
        rated = [
            server.server_id
            for server in servers
            if self._has_rate(server.server_id)
        ]
        if not rated:
            return
        soonest = min(
            rated,
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
        server_id = server.server_id
        available_at = self.permits.available_at(server_id, position, now)
        if not self.brittle.is_brittle(server_id):
            return available_at
        remaining = Millis(request.deadline - now)
        if now - request.received_at > remaining:
            # Its caller can still be served if it comes back.
            return max(available_at, Millis(now + remaining // 2))
        service_ms = self._load_of(server_id).service_ms
        return max(
            available_at,
            self.brittle.slots.available_at(
                server_id, position, service_ms, now
            ),
        )

    def record_decision(
        self,
        request: SelectionRequest,
        decision: SelectionDecision,
        now: Millis,
    ) -> None:
        """Record whether the call waits, in a fleet with limits."""
        if not (self.limits.has_limits or self.brittle.exist):
            return
        service = request.service.name
        if decision.wait_until is None:
            self.waiting.remove(service, request.call_id)
        else:
            self.waiting.add(service, request.call_id, request.received_at, now)

    def _reserve_slots(
        self,
        servers: Sequence[BackendServer],
        request: SelectionRequest,
        now: Millis,
    ) -> None:
        """Ask for a slot for each waiting call, at one server after another."""
        brittle = [
            server.server_id
            for server in servers
            if self.brittle.is_brittle(server.server_id)
        ]
        if not brittle:
            return
        position = self._position(request, now)
        wanted = 1 + position // len(brittle)
        for server_id in brittle:
            self.brittle.slots.reserve(server_id, wanted, now)

    def _has_rate(self, server_id: str) -> bool:
        return self.limits.limit_of(server_id) is not None

    def _position(self, request: SelectionRequest, now: Millis) -> int:
        """Return the number of waiting calls that precede the call."""
        return self.waiting.position(
            request.service.name, request.call_id, request.received_at, now
        )
