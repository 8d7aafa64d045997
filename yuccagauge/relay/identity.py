"""Which process of a server answers."""

from dataclasses import dataclass
from typing import Any, Protocol

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ServiceSpec
from yuccagauge.dispatch.base import BackendMessage


@dataclass(frozen=True, slots=True, kw_only=True)
class ServerIdentity:
    """Which process answers at the address of a server."""

    server_id: str
    #: Unix time of its start, in ms; 0 if it does not state it.
    started_at: int = 0


class IdentitySource(Protocol):
    """Asks servers who they are."""

    def through(self, pool: Any) -> 'IdentitySource':
        """Return a source that uses the connections of another pool."""

    def encode_check(
        self, server: BackendServer, service: ServiceSpec
    ) -> BackendMessage | None:
        """Return a request that needs no call, ``None`` if there is none."""

    def read_identity(
        self, server: BackendServer, message: BackendMessage, timeout: Millis
    ) -> Deferred[ServerIdentity]:
        """Send such a request and return who answers.

        Raises
        ------
        FetchError
            If there is no answer in time.
        """


def is_same_process(
    identity: ServerIdentity,
    server: BackendServer,
    known_starts: frozenset[int],
) -> bool:
    """Return whether a process is the one that got the call.

    Load pattern: engines restart under their ids within a second, while routers
    are paused or read the end of a connection late. Ids come again then, and
    starts do not. Where entries state no start, each process has its own id.

    Parameters
    ----------
    known_starts
        The starts that were known of the server as the call was sent.
    """
    if identity.started_at or known_starts:
        return identity.started_at in known_starts
    return identity.server_id == server.server_id
