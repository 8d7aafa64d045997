"""Which servers are brittle, and the slots that this router has of them."""

from collections import defaultdict
from collections.abc import Callable, Mapping

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.ratelimit.limits import ServerLimits
from yuccagauge.ratelimit.slots import Slots


class BrittleServers:
    """Tells which servers end if they have to reject too many calls.

    All servers of a service are brittle while one of them states it, because
    one that has just started has stated nothing.

    Parameters
    ----------
    calls_of
        Returns the number of calls of this router in flight at a server.
    """

    def __init__(self, calls_of: Callable[[str], int]) -> None:
        """Create without servers."""
        #: How many rejections a second servers state that they bear.
        self.stated = ServerLimits('brittle')
        #: The slots that this router may use.
        self.slots = Slots(self.is_brittle, calls_of)
        #: The service of each listed server, and the servers of each service.
        self._services: dict[str, str] = {}
        self._servers: dict[str, list[str]] = {}

    @property
    def exist(self) -> bool:
        """Whether any server is brittle."""
        return self.stated.has_limits

    def update(self, servers: Mapping[str, BackendServer]) -> None:
        """Replace the servers that are listed."""
        self._services = {
            server_id: server.service for server_id, server in servers.items()
        }
        self._servers = defaultdict(list)
        for listed_id, service in self._services.items():
            self._servers[service].append(listed_id)

    def is_brittle(self, server_id: str) -> bool:
        """Return whether a server, or another one of its service, is brittle."""
        return self.exist and any(
            self.stated.limit_of(each) is not None
            for each in self._servers_of_service(server_id)
        )

    def since(self, server_id: str) -> Millis:
        """Return when a server of its service last became brittle."""
        return max(
            map(self.stated.changed_at, self._servers_of_service(server_id))
        )

    def _servers_of_service(self, server_id: str) -> list[str]:
        service = self._services.get(server_id)
        return [server_id] if service is None else self._servers[service]
