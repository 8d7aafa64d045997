"""Servers whose process was not the one that a stream needs. No I/O."""

from collections.abc import Set
from dataclasses import dataclass, replace

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.origins.base import UNLISTED
from yuccagauge.selection.base import SelectionRequest

#: The name of a process that is not known.
UNKNOWN_PROCESS = 'unknown'

#: How long the rest of a stream does not go to a server whose process was not
#: the one that it needs, or stated nothing.
_REFUTED_TIME = Millis(500)


@dataclass(frozen=True, slots=True, kw_only=True)
class ProcessAnswer:
    """Which process of a server last answered the router."""

    at: Millis
    #: Its incarnation if it was not the listed one, ``None`` if it was.
    unlisted: str | None

    @property
    def refuted_until(self) -> Millis:
        """Time from which the server may be asked again."""
        return Millis(self.at + _REFUTED_TIME)

    def refutes(self, incarnation: str | None, now: Millis) -> bool:
        """Return whether another process than this one has just answered."""
        return self.unlisted != incarnation and now < self.refuted_until


def unlisted(
    server: BackendServer, name: str = UNKNOWN_PROCESS
) -> BackendServer:
    """Return a server of which another process runs than the listed one."""
    incarnation = f'{server.server_id}/{name}'
    return replace(server, software_version=UNLISTED + incarnation)


def bind(
    request: SelectionRequest, software_version: str, excluded: Set[str]
) -> SelectionRequest:
    """Return the request for servers of a version, some left out."""
    return replace(
        request,
        software_version=software_version,
        excluded_servers=request.excluded_servers | excluded,
    )
