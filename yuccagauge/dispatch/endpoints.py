"""The direct way to a backend server."""

from typing import Any

from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.interfaces import IStreamClientEndpoint

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint

#: A backend server on the same continent accepts well within this time.
_CONNECT_TIMEOUT_S = 1

#: A server that has not accepted a connection after this time is down or
#: unreachable: the operating system of a busy one still accepts at once.
ACCEPT_LIMIT = Millis(250)


def tcp_endpoint(reactor: Any, server: Endpoint) -> IStreamClientEndpoint:
    """Return the way to a backend server without encryption."""
    kind = TCP6ClientEndpoint if ':' in server.host else TCP4ClientEndpoint
    return kind(reactor, server.host, server.port, timeout=_CONNECT_TIMEOUT_S)
