"""HTTP clients that connect to IP numbers without a resolver thread."""

from typing import Any

from treq.client import HTTPClient
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

#: How long connecting may take, in seconds.
CONNECT_SECONDS = 5


@implementer(IAgentEndpointFactory)
class NumericEndpointFactory:
    """Connect to the IP number of a URI.

    The library's own factory resolves even a number in a thread, which
    outlives the reactor.
    """

    def __init__(self, reactor: Any) -> None:
        """Keep the reactor."""
        self._reactor = reactor

    def endpointForURI(self, uri: URI) -> Any:  # noqa: N802
        """Return the endpoint of one connection."""
        host = uri.host.decode()
        is_ipv6 = ':' in host
        family = TCP6ClientEndpoint if is_ipv6 else TCP4ClientEndpoint
        return family(self._reactor, host, uri.port, CONNECT_SECONDS)


class NumericHttpClient:
    """A treq client with its own pool of connections."""

    def __init__(self, reactor: Any) -> None:
        """Open no connection yet."""
        self._pool = HTTPConnectionPool(reactor)
        agent = Agent.usingEndpointFactory(
            reactor,
            NumericEndpointFactory(reactor),
            self._pool,
        )
        self._client = HTTPClient(agent)
        self._reactor = reactor

    def get(self, url: str, timeout_seconds: float) -> Any:
        """Return a Deferred of the response."""
        return self._client.get(
            url,
            timeout=timeout_seconds,
            reactor=self._reactor,
        )

    def close(self) -> Any:
        """Close idle connections; return a Deferred."""
        return self._pool.closeCachedConnections()
