"""Servers that turn requests away for a while, and say for how long."""

from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Protocol

from features.partition_fleet import PartitionFleet
from features.partition_servers import PartitionServer
from yuccagauge.clock import Millis

#: A server turns all requests away for this long, once in each period.
_REFUSING_TIME = Millis(1500)
_PERIOD = Millis(4000)

#: Time from one server's turn to that of the next one.
_OFFSET = Millis(500)


@dataclass(frozen=True, slots=True, kw_only=True)
class Arrival:
    """A request that reached a server."""

    at: Millis
    server: str
    #: The host that had opened the connection.
    source: str
    is_refused: bool


class RefusingServer(PartitionServer):
    """A server that now and then wants no request from who sends one."""

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        protocol: Any = super().build_protocol()
        run_request = protocol.run_request

        def take_request(headers: dict[str, str], body: bytes) -> None:
            is_refused = self._refuses()
            self._fleet.arrivals.append(
                Arrival(
                    at=self.now(),
                    server=self.server_id,
                    source=protocol.transport.getPeer().host,
                    is_refused=is_refused,
                )
            )
            if is_refused:
                request_id = headers['x-yuccagauge-request-id']
                protocol.transport.write(self._refusal(request_id))
            else:
                run_request(headers, body)

        protocol.run_request = take_request
        return protocol

    def _refuses(self) -> bool:
        since = self.now() - self._fleet.refusing_from
        phase = (since - self._number * _OFFSET) % _PERIOD
        return since >= 0 and phase < _REFUSING_TIME

    def _refusal(self, request_id: str) -> bytes:
        lines = (
            'HTTP/1.1 503 X',
            f'X-Yuccagauge-Request-Id: {request_id}',
            'X-Yuccagauge-Not-Executed: 1',
            f'Retry-After: {self._fleet.retry_after / 1000}',
            'Content-Length: 0',
        )
        return '\r\n'.join((*lines, '', '')).encode()


class RefusingFleet(PartitionFleet):
    """Routers before servers that turn requests away in turn."""

    server_type = RefusingServer

    def __init__(self, routers: int, servers: int, retry_after: Millis) -> None:
        """Start a fleet whose servers take all requests."""
        self.retry_after = retry_after
        self.refusing_from = Millis(1 << 40)
        self.arrivals: list[Arrival] = []
        super().__init__(routers, servers)
