"""Connections to servers that a peer may carry."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred

from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.peerpath.dialer import PathDialer
from yuccagauge.settings.options import Endpoint


class PathPool(ConnectionPool):
    """Tells peers which connections carry no call.

    A peer carries no call to a server that wants none from its VM, but still
    shows whether the server lives.

    Parameters
    ----------
    reactor
        Gives connections and timers.
    dialer
        Makes the ways to backend servers.
    may_hang
        Returns whether open connections to a backend server may hang.
    """

    def __init__(
        self,
        reactor: Any,
        dialer: PathDialer,
        may_hang: Callable[[Endpoint], bool],
    ) -> None:
        """Start without connections."""
        super().__init__(reactor, dialer.endpoint, may_hang)
        self._probes = ConnectionPool(reactor, dialer.probe_endpoint)

    def probe(self, server: Endpoint) -> Deferred[Connection]:
        """Connect to see whether a server lives."""
        return self._probes.open(server, fresh=True)
