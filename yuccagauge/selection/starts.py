"""The starts that servers have stated. No I/O."""

from collections import OrderedDict
from collections.abc import Mapping

from yuccagauge.directory.base import BackendServer

#: Servers whose starts are remembered; the oldest is dropped first.
_MAXIMUM_SERVERS = 10_000


class StatedStarts:
    """Remembers the start that each server has stated last.

    Load pattern: an entry comes from another writer and lacks the start, or is
    missing for some time. That says nothing of the process: what is known of
    it holds until another start is stated.
    """

    def __init__(self) -> None:
        """Know no server."""
        #: Unix time of the start, in ms; 0 if none was stated.
        self._latest: OrderedDict[str, int] = OrderedDict()

    def update(self, servers: Mapping[str, BackendServer]) -> tuple[str, ...]:
        """Take the listed servers; return those that state another start."""
        restarted = []
        for server_id, server in servers.items():
            known = self._latest.get(server_id)
            if known is None:
                self._latest[server_id] = server.started_at
            elif server.started_at not in {0, known}:
                self._latest[server_id] = server.started_at
                restarted.append(server_id)
            self._latest.move_to_end(server_id)
        while len(self._latest) > max(_MAXIMUM_SERVERS, len(servers)):
            self._latest.popitem(last=False)
        return tuple(restarted)

    def of(self, server: BackendServer) -> int:
        """Return the start that a server has stated, in its entry or before."""
        return server.started_at or self._latest.get(server.server_id, 0)
