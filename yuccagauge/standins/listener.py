"""A TCP port that can be closed, reopened and have its connections cut."""

from collections.abc import Callable

from twisted.internet import defer, error, reactor
from twisted.internet.interfaces import IDelayedCall, IListeningPort
from twisted.internet.protocol import Factory
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory

from yuccagauge.clock import Millis
from yuccagauge.settings.options import Endpoint

_BACKLOG = 1024
_MILLISECONDS_PER_SECOND = 1000
#: Wait before another attempt to bind a port that is still in use.
_REBIND_SECONDS = 0.05


class _Connection(ProtocolWrapper):
    """One accepted connection, known to its factory."""


class _TrackingFactory(WrappingFactory):
    """Keep the set of open connections."""

    protocol = _Connection


class Listener:
    """Serve a protocol factory on one endpoint.

    Parameters
    ----------
    endpoint
        Where to listen; port 0 lets the system choose, and the chosen port
        is kept when the listener is closed and opened again.
    factory
        What builds the protocol of each connection.
    """

    def __init__(self, endpoint: Endpoint, factory: Factory) -> None:
        """Prepare without opening the port."""
        self._endpoint = endpoint
        self._factory = _TrackingFactory(factory)
        self._port: IListeningPort | None = None
        self._reopening: IDelayedCall | None = None

    @property
    def endpoint(self) -> Endpoint:
        """Where it listens; the port is known after ``start``."""
        return self._endpoint

    def start(self) -> None:
        """Open the port.

        Raises
        ------
        twisted.internet.error.CannotListenError
            If the port is in use.
        """
        self._port = reactor.listenTCP(
            self._endpoint.port,
            self._factory,
            backlog=_BACKLOG,
            interface=self._endpoint.host,
        )
        host = self._port.getHost()
        self._endpoint = Endpoint(self._endpoint.host, host.port)

    def close(self) -> defer.Deferred[None]:
        """Close the port and cut all connections."""
        if self._reopening is not None and self._reopening.active():
            self._reopening.cancel()
        self.cut()
        return self._stop_listening()

    def cut(self, *, is_reset: bool = True) -> None:
        """End all open connections, by a reset or as a killed process."""
        for connection in tuple(self._factory.protocols):
            if is_reset:
                connection.transport.abortConnection()
            else:
                connection.transport.loseConnection()

    def interrupt(
        self,
        duration: Millis,
        reopened: Callable[[], None] | None = None,
    ) -> None:
        """Refuse connections for a while, then call ``reopened``."""
        self._stop_listening()
        if self._reopening is not None and self._reopening.active():
            self._reopening.cancel()
        self._reopening = reactor.callLater(
            duration / _MILLISECONDS_PER_SECOND,
            self._reopen,
            reopened,
        )

    def _reopen(self, reopened: Callable[[], None] | None) -> None:
        try:
            self.start()
        except error.CannotListenError:
            self._reopening = reactor.callLater(
                _REBIND_SECONDS,
                self._reopen,
                reopened,
            )
            return
        if reopened is not None:
            reopened()

    def _stop_listening(self) -> defer.Deferred[None]:
        port = self._port
        self._port = None
        if port is None:
            return defer.succeed(None)
        return defer.maybeDeferred(port.stopListening)
