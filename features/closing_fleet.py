"""Routers before servers that end each connection with an answer."""

from twisted.internet.protocol import Protocol

from features.leaving_fleet import (
    LeavingFleet,
    UnframedProtocol,
    UnframedServer,
)


class ClosingServer(UnframedServer):
    """A server whose answers to checks end with their connections too."""

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        return _ClosingProtocol(self)


class _ClosingProtocol(UnframedProtocol):
    """A connection that ends with its first answer, whatever it answers."""

    def _answer_check(self, is_report: bool) -> None:
        super()._answer_check(is_report)
        self.transport.loseConnection()


class ClosingFleet(LeavingFleet):
    """Routers before such servers."""

    server_type = ClosingServer
