"""Servers that respond to the calls of this router and of its peers."""

from collections.abc import Callable, Iterable

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.selection.load import ServerLoad

#: A server whose calls have had no response for this long gets no further call
#: while another server can take it.
UNRESPONSIVE_LIMIT = Millis(700)

#: The same limit for plain servers, which answer within tens of milliseconds.
PLAIN_UNRESPONSIVE_LIMIT = Millis(250)


def responsive_servers(
    servers: Iterable[BackendServer],
    load_of: Callable[[str], ServerLoad],
    request: SelectionRequest,
    now: Millis,
) -> list[BackendServer]:
    """Return the servers that are not known to be unresponsive."""
    limit = (
        UNRESPONSIVE_LIMIT
        if request.service.is_model
        else PLAIN_UNRESPONSIVE_LIMIT
    )
    return [
        server
        for server in servers
        if load_of(server.server_id).time_without_response(now) < limit
        and not load_of(server.server_id).is_reported_unresponsive(now)
    ]
