"""Engines that reject streams late, so that others begin them."""

from features.crash_fleet import router_host
from features.version_fleet import EngineProtocol, VersionedEngine, VersionFleet

#: Time from the arrival of a request to its rejection, in seconds; the first
#: event of a stream takes longer.
_REJECTION_S = 0.06

#: Share of the new streams that an engine rejects.
_REJECTED_SHARE = 0.5

#: Time for which a link between two routers is cut, in seconds. It is longer
#: than routers wait for each other.
_CUT_S = 0.6

#: Time between two cuts and between two kills, in seconds.
_CUT_PERIOD_S = 0.1
_KILL_PERIOD_S = 1.0


class RejectingEngine(VersionedEngine):
    """An engine that rejects some new streams after a while."""

    def build_protocol(self) -> EngineProtocol:
        """Return the engine's side of a new connection."""
        return _RejectingProtocol(self)

    def rejects(self, request_id: str) -> bool:
        """Return whether a stream is rejected here; no stream is twice."""
        rejected = self._fleet.rejected_ids
        if request_id in rejected:
            return False
        if self._fleet.random.random() >= _REJECTED_SHARE:
            return False
        rejected.add(request_id)
        return True


class _RejectingProtocol(EngineProtocol):
    """A connection to an engine that rejects some new streams."""

    def run_request(self, headers: dict[str, str], body: bytes) -> None:
        """Reject a stream, or send its events."""
        request_id = headers['x-yuccagauge-request-id']
        is_new = 'last-event-id' not in headers
        if is_new and self._server.rejects(request_id):
            self._server.later(_REJECTION_S, lambda: self._reject(request_id))
            return
        super().run_request(headers, body)

    def _reject(self, request_id: str) -> None:
        if self.transport is not None:
            self.transport.write(
                f'HTTP/1.1 429 X\r\nContent-Length: 0\r\n'
                f'X-Yuccagauge-Request-Id: {request_id}\r\n'
                'X-Yuccagauge-Not-Executed: 1\r\n\r\n'.encode()
            )


class LateBeginningFleet(VersionFleet):
    """Routers before engines of two versions that reject streams late."""

    server_type = RejectingEngine

    def __init__(self, routers: int, servers: int, seed: int) -> None:
        """Start a fleet; every second engine has the second version."""
        #: Requests that an engine has rejected.
        self.rejected_ids: set[str] = set()
        #: Pairs of hosts whose link is cut.
        self._cut: set[frozenset[str]] = set()
        super().__init__(routers, servers, seed)
        self.return_kind = 'as it was'
        for number in range(0, servers, 2):
            self.versions[number] = 'v2'
        self.network.loses_unsent = True
        self.network.is_cut = lambda host, other: (
            frozenset((host, other)) in self._cut
        )

    def cut_links(self) -> None:
        """Cut the link between two random routers for a while, repeatedly."""
        names = self.random.sample(self.router_names, 2)
        pair = frozenset(map(router_host, names))
        self._cut.add(pair)
        reactor = self.network.reactor
        reactor.callLater(_CUT_S, self._cut.discard, pair)
        reactor.callLater(_CUT_PERIOD_S, self.cut_links)

    def kill_routers(self) -> None:
        """Kill a random router, which starts again soon, repeatedly."""
        name = self.random.choice(self.router_names)
        self.kill_router(name)
        reactor = self.network.reactor
        reactor.callLater(_KILL_PERIOD_S, self.start_router, name)
        reactor.callLater(_KILL_PERIOD_S, self.kill_routers)
