"""Routers before servers that end each connection with an answer."""

from typing import Any

from features.leaving_fleet import LeavingFleet, UnframedServer


class ClosingServer(UnframedServer):
    """A server whose answers to checks end with their connections too."""

    def __init__(self, fleet: Any, number: int) -> None:
        """Create a server that is listed once it runs."""
        super().__init__(fleet, number)
        self.closes_after_check = True


class ClosingFleet(LeavingFleet):
    """Routers before such servers."""

    server_type = ClosingServer
