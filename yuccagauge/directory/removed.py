"""Backend servers whose entries were removed lately.

Such a server may serve on for many seconds. It gets no new calls, but the calls
that it runs may need to know whether it lives.
"""

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer

#: Longer than any answer may take that the server began before its removal.
RETENTION_TIME = Millis(60_000)


class RemovedServers:
    """Keeps removed servers for ``RETENTION_TIME``."""

    def __init__(self) -> None:
        """Start without servers."""
        self._servers: dict[str, tuple[BackendServer, Millis]] = {}

    def add(self, server: BackendServer, now: Millis) -> None:
        """Keep a server that is removed now."""
        self._servers[server.server_id] = (server, now)
        self._servers = {
            server_id: (kept, removed_at)
            for server_id, (kept, removed_at) in self._servers.items()
            if now - removed_at < RETENTION_TIME
        }

    def discard(self, server_id: str) -> None:
        """Forget a server, because it is listed again."""
        self._servers.pop(server_id, None)

    def recent(self, now: Millis) -> tuple[BackendServer, ...]:
        """Return the servers that were removed lately, the last one first."""
        return tuple(
            server
            for server, removed_at in reversed(self._servers.values())
            if now - removed_at < RETENTION_TIME
        )
