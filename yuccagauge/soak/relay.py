"""A TCP relay that can stop passing anything on, like a lost link."""

from twisted.internet import defer
from twisted.internet.protocol import Factory
from twisted.protocols.portforward import ProxyFactory, ProxyServer

from yuccagauge.settings.options import Endpoint
from yuccagauge.standins.listener import Listener

_ANY_PORT = Endpoint('127.0.0.1', 0)


class _RelayedConnection(ProxyServer):
    """One connection through a relay."""

    def connectionMade(self) -> None:
        """Connect onwards, unless the link is cut."""
        self.factory.opened.add(self)
        if self.factory.is_cut:
            self.transport.pauseProducing()
            return
        super().connectionMade()

    def connectionLost(self, reason: object) -> None:
        """Forget the connection and close the other side."""
        self.factory.opened.discard(self)
        super().connectionLost(reason)

    def pause(self) -> None:
        """Read nothing more from either side."""
        self.transport.pauseProducing()
        if self.peer is not None:
            self.peer.transport.pauseProducing()


class _RelayFactory(ProxyFactory):
    """Builds the connections of one relay."""

    protocol = _RelayedConnection
    noisy = False

    def __init__(self, target: Endpoint) -> None:
        """Start without connections."""
        super().__init__(target.host, target.port)
        self.opened: set[_RelayedConnection] = set()
        self.is_cut = False


class TcpRelay:
    """Pass connections on to one endpoint.

    Parameters
    ----------
    target
        Where connections are passed on to.
    """

    def __init__(self, target: Endpoint) -> None:
        """Prepare without opening the port."""
        self._relayed = _RelayFactory(target)
        factory: Factory = self._relayed
        self._listener = Listener(_ANY_PORT, factory)

    @property
    def endpoint(self) -> Endpoint:
        """Where to connect instead of to the target."""
        return self._listener.endpoint

    def start(self) -> None:
        """Open the port."""
        self._listener.start()

    def close(self) -> defer.Deferred[None]:
        """Close the port and all connections."""
        return self._listener.close()

    def cut(self) -> None:
        """Pass nothing on; connections stay open and nothing arrives."""
        self._relayed.is_cut = True
        for connection in tuple(self._relayed.opened):
            connection.pause()

    def heal(self) -> None:
        """Break what hung, and pass new connections on."""
        self._relayed.is_cut = False
        self._listener.cut()
