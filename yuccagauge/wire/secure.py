"""The interface of secure connections between routers.

The implementation imports a TLS library, which a router without certificates
starts faster without.
"""

from typing import Any, Protocol

from twisted.python.failure import Failure


class PeerSecurity(Protocol):
    """Adds TLS to connections with other routers."""

    def wrap_client(self, endpoint: Any, host: str, reactor: Any) -> Any:
        """Return an endpoint that connects securely to an IP number."""

    def wrap_server(self, factory: Any, reactor: Any) -> Any:
        """Return a factory that accepts secure connections only."""

    def describe_refusal(self, failure: Failure) -> str:
        """Return one sentence if a handshake failed, else nothing."""
