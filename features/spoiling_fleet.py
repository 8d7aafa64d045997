"""Routers before servers that send a foreign page in place of some answers."""

from typing import Any

from twisted.internet.protocol import Protocol

from features.partition_fleet import PartitionFleet
from features.partition_servers import PartitionServer

#: The body of the page, which is as long as that of a sound answer.
FOREIGN_BODY = b'no'

_FOREIGN_PAGE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n' + FOREIGN_BODY

#: One of so many answers is spoiled.
_SPOILED_EACH = 8


class SpoilingServer(PartitionServer):
    """A server that sends a foreign page now and then."""

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        protocol: Any = super().build_protocol()
        begin = protocol.begin

        def begin_or_spoil(request_id: str, last_event: int) -> None:
            self._fleet.answers += 1
            if self._fleet.answers % _SPOILED_EACH:
                begin(request_id, last_event)
            elif protocol.transport is not None:
                self._fleet.spoiled.add(request_id)
                protocol.transport.write(_FOREIGN_PAGE)

        protocol.begin = begin_or_spoil
        return protocol


class SpoilingFleet(PartitionFleet):
    """A fleet whose servers spoil some answers."""

    server_type = SpoilingServer

    def __init__(self, routers: int, servers: int) -> None:
        """Start a fleet that has answered nothing."""
        self.answers = 0
        #: Requests that got a foreign page.
        self.spoiled: set[str] = set()
        super().__init__(routers, servers)
