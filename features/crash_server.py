"""Servers that end under a request, for fleets in virtual time."""

import json
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import Factory, Protocol

from yuccagauge.clock import Millis

#: Time between two heartbeats of a server.
_HEARTBEAT_S = 1.2

#: Time from the start of a run to the end of the server or to the answer.
_RUN_S = 0.02

#: Longest time from a heartbeat to its record in the store.
_HEARTBEAT_LAG_S = 0.8

#: Port at which servers and routers listen.
SERVER_PORT = 8080

#: Body of the request that ends servers.
POISON = b'poison'

#: Body of a request that no server answers.
UNANSWERED = b'unanswered'

#: How requests begin that the router sends for itself.
_REPORT = b'GET /api/report '
_CHECKS = (_REPORT, b'GET /h ')

#: Status of a server that fails a request without running it to its end.
_FAILED = 500
_ANSWERED = 200
_MISDIRECTED = 421


@dataclass(frozen=True, slots=True, kw_only=True)
class Send:
    """The arrival of the request at a server."""

    at: Millis
    server: str


class SimulatedServer:
    """A server that ends when it begins to run the request.

    Parameters
    ----------
    fleet
        The fleet with the settings of its servers.
    number
        Number of the server, which names its first host.
    """

    def __init__(self, fleet: Any, number: int) -> None:
        """Create a server that does not run yet."""
        self._fleet = fleet
        self._number = number
        self._starts = 0
        self._sequence = 0
        self._born = 0
        self.host = f'10.1.{number}.1'
        self.server_id = f'i{number}'
        self.is_up = False
        #: Headers that the server adds to each answer.
        self.extra_headers = ''
        #: When each request reached the server, those that it rejects included.
        self.arrivals: list[Millis] = []

    def start(self) -> None:
        """Start the server and its heartbeats."""
        fleet = self._fleet
        fleet.network.silent_hosts.discard(self.host)
        self._starts += 1
        self._sequence = 0
        self._born = fleet.clock.now()
        self.is_up = True
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: self.build_protocol()
        fleet.network.listen(self.host, SERVER_PORT, factory)
        self._beat(self._starts)

    def build_protocol(self) -> Protocol:
        """Return the server's side of a new connection."""
        return ServerProtocol(self)

    def run_request(self, body: bytes) -> int | None:
        """Run a request; return the status, or None if the server ends."""
        fleet = self._fleet
        if body != POISON:
            return None if body.startswith(UNANSWERED) else _ANSWERED
        fleet.sends.append(Send(at=fleet.clock.now(), server=self.host))
        if fleet.random.random() < fleet.failure_share:
            return _FAILED
        fleet.network.reactor.callLater(_RUN_S, self.end)
        return None

    def report(self) -> bytes:
        """Return what a model engine states about itself."""
        entry = self.entry_document()
        return json.dumps(
            {'born': entry['born']} if 'born' in entry else {}
        ).encode()

    def record_arrival(self, request_id: str) -> None:
        """Count a request that has arrived whole."""
        self.arrivals.append(self._fleet.clock.now())

    def reset_connections(self) -> None:
        """Reset all connections, though the server lives on."""
        self._fleet.network.end_connections(self.host)

    def end(self) -> None:
        """End the process of the server, and schedule its return."""
        if not self.is_up:
            return
        fleet = self._fleet
        self.is_up = False
        fleet.ends.append(fleet.clock.now())
        fleet.network.end_host(self.host, silently=fleet.ends_silently)
        fleet.on_end(self)
        if fleet.late_heartbeat_s:
            fleet.network.reactor.callLater(
                fleet.late_heartbeat_s, self._write_entry, self._entry()
            )
        fleet.network.reactor.callLater(fleet.down_s, self._return)

    def _return(self) -> None:
        fleet = self._fleet
        kind = fleet.return_kind
        if kind in {'with a new id', 'at another address'}:
            self.server_id = f'i{self._number}.{self._starts}'
        if kind == 'at another address':
            self.host = f'10.1.{self._number}.{self._starts}'
        if kind != 'never':
            self.start()
            return
        replacement = fleet.server_type(fleet, len(fleet.servers))
        fleet.servers.append(replacement)
        replacement.start()

    def _beat(self, start: int) -> None:
        if not self.is_up or start != self._starts:
            return
        fleet = self._fleet
        self._sequence += 1
        lag_s = _HEARTBEAT_LAG_S * fleet.random.random()
        reactor = fleet.network.reactor
        reactor.callLater(lag_s, self._write_entry, self._entry())
        reactor.callLater(_HEARTBEAT_S, self._beat, start)

    def _write_entry(self, entry: tuple[str, bytes]) -> None:
        self._fleet.store.append_entry(*entry)

    def _entry(self) -> tuple[str, bytes]:
        return self.server_id, json.dumps(self.entry_document()).encode()

    def entry_document(self) -> dict[str, Any]:
        """Return what the server writes to the store."""
        document: dict[str, Any] = {
            'service': 'plain',
            'address': f'{self.host}:{SERVER_PORT}',
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'seq': self._sequence,
        }
        if self._fleet.states_start_time:
            document['born'] = self._born
        return document


class ServerProtocol(Protocol):
    """A connection to a server, for one request after the other."""

    def __init__(self, server: SimulatedServer) -> None:
        """Start without a request."""
        self._server = server
        self._buffer = b''

    def dataReceived(self, data: bytes) -> None:
        """Run a request that is complete, if it is for this server."""
        self._buffer += data
        head, found, rest = self._buffer.partition(b'\r\n\r\n')
        headers = dict(
            line.lower().split(': ', 1)
            for line in head.decode().split('\r\n')[1:]
        )
        length = int(headers.get('content-length', 0))
        if not found or len(rest) < length:
            return
        self._buffer = rest[length:]
        if head.startswith(_CHECKS):
            self._answer_check(head.startswith(_REPORT))
            return
        self._server.record_arrival(headers['x-yuccagauge-request-id'])
        if headers['x-yuccagauge-expect-instance'] != self._server.server_id:
            self._answer(_MISDIRECTED, headers)
            return
        self.run_request(headers, rest[:length])

    def _answer_check(self, is_report: bool) -> None:
        """Answer a health check, or a request for the report of an engine."""
        body = self._server.report() if is_report else b''
        self.transport.write(
            f'HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n'
            f'X-Yuccagauge-Instance-Id: {self._server.server_id}\r\n\r\n'.encode()
            + body
        )

    def run_request(self, headers: dict[str, str], body: bytes) -> None:
        """Run a request that has arrived whole."""
        status = self._server.run_request(body)
        if status is not None:
            self._answer(status, headers)

    def _answer(self, status: int, headers: dict[str, str]) -> None:
        request_id = headers['x-yuccagauge-request-id']
        extra_headers = self._server.extra_headers
        self.transport.write(
            f'HTTP/1.1 {status} X\r\nContent-Length: 2\r\n'
            f'X-Yuccagauge-Request-Id: {request_id}\r\n'
            f'X-Yuccagauge-Server-Stamp: s\r\n{extra_headers}\r\nok'.encode(),
        )
