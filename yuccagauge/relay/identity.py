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


def process_name(started_at: int, cache_epoch: Any = None) -> str:
    """Return the name of a process, which no other one of its server has.

    Parameters
    ----------
    started_at
        Unix time of its start, in ms; 0 if it does not state it.
    cache_epoch
        Epoch of its cache events; ``None`` if it does not state it.

    Returns
    -------
    str
        Empty if the process states neither.
    """
    if started_at:
        return str(started_at)
    return '' if cache_epoch is None else f'e{cache_epoch}'


class ProcessNameSource(Protocol):
    """Asks servers for the names of their processes."""

    def through(self, pool: Any) -> 'ProcessNameSource':
        """Return a source that uses the connections of another pool."""

    def read_process_name(
        self, server: BackendServer, timeout: Millis
    ) -> Deferred[str]:
        """Return the name of the process that answers, empty if it has none.

        Raises
        ------
        FetchError
            If the server does not answer in time.
        """


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
    known_names: frozenset[str],
) -> bool:
    """Return whether a process is the one that got the call.

    Load pattern: engines restart under their ids within a second, while routers
    are paused or read the end of a connection late. Ids come again then, and
    starts do not. Where entries state no start, each process has its own id.

    Parameters
    ----------
    known_names
        The names of its processes that were known of the server as the call was sent.
    """
    if identity.started_at or known_names:
        return process_name(identity.started_at) in known_names
    return identity.server_id == server.server_id
