"""What servers state about themselves in their answers."""

from collections import OrderedDict
from collections.abc import Iterable

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.relay.base import ResponseInfo
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.journal import log_state_change

#: Servers whose statements are stored; the oldest is dropped first.
MAXIMUM_SERVERS = 10_000


class ServerStatements:
    """Tells which servers leave, and which want no call for some time.

    Load pattern: an engine is emptied before it ends, or is overloaded. Its
    entry in the store is still that of a ready server, or arrives late, and the
    calls that are sent to it meanwhile are lost or rejected.
    """

    def __init__(self) -> None:
        """Start without statements."""
        #: Start time of each server that leaves; 0 if it is not known.
        self._leaving: OrderedDict[str, int] = OrderedDict()
        #: Time before which each server wants no call, by its incarnation.
        self._refused_until: OrderedDict[str, Millis] = OrderedDict()

    def record(
        self, server: BackendServer, info: ResponseInfo, now: Millis
    ) -> None:
        """Record the statements of an answer of a server."""
        if info.is_leaving:
            self.record_leaving(server.server_id, server.started_at)
        if info.retry_after is not None:
            until = Millis(now + info.retry_after)
            latest = max(until, self.refused_until(server))
            _store(self._refused_until, server.incarnation, latest)
            log_state_change(
                'server_refuses_calls',
                server=server.server_id,
                duration_ms=info.retry_after,
            )
        if info.malformed_retry_after:
            log_state_change(
                'retry_after_unreadable',
                server=server.server_id,
                value=info.malformed_retry_after[:40],
            )

    def record_answer(
        self,
        servers: Iterable[BackendServer],
        endpoint: Endpoint,
        info: ResponseInfo,
        now: Millis,
    ) -> None:
        """Record the statements of a server that answered the router itself."""
        for server in servers:
            if server.endpoint == endpoint:
                self.record(server, info, now)

    def record_leaving(self, server_id: str, started_at: int) -> None:
        """Record that a server leaves, by its own answer or that of a peer."""
        if self._leaving.get(server_id, -1) < started_at:
            _store(self._leaving, server_id, started_at)
            log_state_change(
                'server_leaves', server=server_id, started_at=started_at
            )

    def is_leaving(self, server: BackendServer) -> bool:
        """Return whether a server leaves.

        Nothing but a new start ends that. An entry of the store that still
        calls the server ready may have been written before.
        """
        started_at = self._leaving.get(server.server_id)
        return started_at is not None and server.started_at <= started_at

    def refused_until(self, server: BackendServer) -> Millis:
        """Return the time before which a server wants no call."""
        return self._refused_until.get(server.incarnation, Millis(0))

    def leaving(self, limit: int) -> tuple[tuple[str, int], ...]:
        """Return the latest servers that leave, with their start times."""
        latest = reversed(self._leaving.items())
        return tuple(
            item for item, _ in zip(latest, range(limit), strict=False)
        )


def _store(stored: OrderedDict[str, int], name: str, value: int) -> None:
    stored[name] = value
    stored.move_to_end(name)
    if len(stored) > MAXIMUM_SERVERS:
        stored.popitem(last=False)
