"""Which process of a server answers."""

from typing import Any, Protocol

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ServiceSpec
from yuccagauge.dispatch.base import BackendMessage

#: Starts the names that routers give to processes which state nothing.
LOCAL_NAME = 'c'


def is_local_name(name: str) -> bool:
    """Return whether this router has given a name to a process, not itself."""
    return name.startswith(LOCAL_NAME)


def process_name(
    started_at: int, cache_epoch: Any = None, *, is_listed: bool = True
) -> str:
    """Return the name of a process, which no other one of its server has.

    Parameters
    ----------
    started_at
        Unix time of its start, in ms; 0 if it does not state it.
    cache_epoch
        Epoch of its cache events; ``None`` if it does not state it.
    is_listed
        Whether the entry states a start too. Routers of older builds ask no
        process for its start otherwise, and must not know it by that name.

    Returns
    -------
    str
        Empty if the process states neither.
    """
    if started_at:
        return str(started_at) if is_listed else f'r{started_at}'
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

    def encode_check(
        self, server: BackendServer, service: ServiceSpec
    ) -> BackendMessage | None:
        """Return a request that needs no call, ``None`` if there is none."""
