"""Routers before engines of several software versions, in virtual time.

Each event carries the version that wrote it. Engines go on with any stream at
any event. Callers whose stream breaks off come back to any router.
"""

import re
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure

from features.crash_fleet import CrashFleet, router_host
from features.crash_server import SERVER_PORT, ServerProtocol, SimulatedServer
from features.engine_fleet import NoCacheEvents
from features.relay_fixture import HOST, KEY, configuration
from yuccagauge.clock import Millis

#: Time from the arrival of a request to the first event, and between events.
_FIRST_EVENT_S = 0.1
_EVENT_INTERVAL_S = 0.1

#: Events of a stream.
EVENTS = 30

#: Time for which a server that leaves goes on.
_DRAIN_S = 2.5

#: How long callers wait for an answer, in ms.
_TIMEOUT_MS = 15_000

_LAST_CHUNK = b'\r\n0\r\n\r\n'
_EVENT = re.compile(rb'id: (\d+)\ndata: (\S+)\n\n')
_STATUS = re.compile(rb'HTTP/1.1 (\d+)')
_CALLER_HOST = '10.3.0.1'


class VersionedEngine(SimulatedServer):
    """An engine of a software version that checks no version."""

    #: Whether it has said that it leaves.
    leaves = False

    @property
    def version(self) -> str:
        """The version of its software."""
        return self._fleet.versions.get(self._number, 'v1')

    @property
    def service(self) -> str:
        """The service of the engine, by its version."""
        return self._fleet.services.get(self.version, 'model')

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return EngineProtocol(self)

    def entry_document(self) -> dict[str, Any]:
        """Return what the engine writes to the store."""
        return {
            **super().entry_document(),
            'service': self.service,
            'version': self.version,
            'slots': 64,
            'state': 'draining' if self.leaves else 'ready',
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        }

    def record_request(self, last_event: int) -> None:
        """Count the requests for the rest of a stream."""
        self._fleet.continuations += last_event > 0

    def leave(self) -> None:
        """Say that the engine leaves, and end it some time later."""
        self.leaves = True
        self._write_entry(self._entry())
        self.later(_DRAIN_S, self._end_for_good)

    def later(self, delay_s: float, action: Any) -> None:
        """Call an action unless the engine has ended since."""
        start = self._starts

        def act() -> None:
            if self.is_up and start == self._starts:
                action()

        self._fleet.network.reactor.callLater(delay_s, act)

    def _end_for_good(self) -> None:
        self.is_up = False
        self._fleet.network.end_host(self.host)
        self._fleet.store.append_entry(self.server_id, None)


class EngineProtocol(ServerProtocol):
    """A connection to an engine, for one stream after the other."""

    def run_request(self, headers: dict[str, str], body: bytes) -> None:
        """Stream the events after the last one that the caller has."""
        request_id = headers['x-yuccagauge-request-id']
        last = int(headers.get('last-event-id', '0'))
        self._server.record_request(last)
        self._server.later(
            _FIRST_EVENT_S, lambda: self._begin(request_id, last)
        )

    def _begin(self, request_id: str, last: int) -> None:
        if self.transport is None:
            return
        self.transport.write(
            f'HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n'
            f'X-Yuccagauge-Request-Id: {request_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'X-Yuccagauge-Server-Stamp: s\r\n\r\n'.encode()
        )
        self._send_event(last + 1)

    def _send_event(self, number: int) -> None:
        if number > EVENTS:
            self.transport.write(b'0\r\n\r\n')
            return
        event = f'id: {number}\ndata: {self._server.version}\n\n'.encode()
        self.transport.write(b'%x\r\n%s\r\n' % (len(event), event))
        self._server.later(
            _EVENT_INTERVAL_S, lambda: self._send_event(number + 1)
        )


@dataclass(slots=True)
class Stream:
    """What a caller has of one stream, over all of its attempts."""

    begun_at: Millis
    versions: list[str] = field(default_factory=list)
    last_event: int = 0
    is_complete: bool = False
    #: Whether its caller has left.
    is_given_up: bool = False
    #: The attempt that brought the first event.
    first_attempt: str = ''
    #: The process that got a request for it last, and those that have ended
    #: while they had it, where the fleet records them.
    process: str = ''
    ended_processes: set[str] = field(default_factory=set)

    @property
    def is_mixed(self) -> bool:
        """Whether two versions wrote the events."""
        return len(set(self.versions)) > 1


class _Attempt(Protocol):
    """One attempt of a caller."""

    def __init__(self, fleet: 'VersionFleet', stream: Stream) -> None:
        self._fleet = fleet
        self._stream = stream
        #: The version that began the stream that is taken up.
        self.begun_by = ''.join(stream.versions[:1])
        self._received = b''
        self._request_id = fleet.next_request_id()
        fleet.streams_by_request[self._request_id] = stream
        self.status = 0
        self.has_event = False
        self._has_left = False
        self.is_resumption = bool(stream.last_event)
        #: Whether two engines of the stream's version serve.
        self.is_counted = not self.is_resumption or (
            len(fleet.engines_of(self.begun_by)) > 1
        )

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request, as a caller does."""
        self._fleet.attempts.append(self)
        self.transport.write(self._request())

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take the events."""
        self._received += data
        found = _STATUS.match(self._received)
        self.status = int(found.group(1)) if found else 0
        for number, version in _EVENT.findall(self._received):
            if int(number) > self._stream.last_event:
                self._take_event(int(number), version.decode())
        if self._received.endswith(_LAST_CHUNK) and self.has_event:
            self._stream.is_complete = True
        if self._is_over():
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Come back if the stream broke off."""
        broke_off = self.has_event and not self._stream.is_complete
        if broke_off and not self._has_left:
            self._fleet.come_back(self._stream)

    def leave(self) -> None:
        """Close the connection, and do not come back."""
        self._has_left = True
        self._stream.is_given_up = True
        if self.transport is not None:
            self.transport.loseConnection()

    def _is_over(self) -> bool:
        return self._stream.is_complete or self.status not in {0, 200}

    def _take_event(self, number: int, version: str) -> None:
        stream = self._stream
        stream.versions.append(version)
        stream.last_event = number
        stream.first_attempt = stream.first_attempt or self._request_id
        self.has_event = True

    @property
    def _body(self) -> str:
        if self._fleet.has_own_bodies:
            return self._stream.first_attempt or self._request_id
        return 'x'

    def _request(self) -> bytes:
        stream = self._stream
        lines = [
            f'POST /{self._fleet.route}/x HTTP/1.1',
            f'Host: {HOST}',
            f'X-Yuccagauge-Request-Id: {self._request_id}',
            f'X-Yuccagauge-Deadline-Ms: {_TIMEOUT_MS}',
            f'Authorization: Bearer {KEY}',
            'X-Yuccagauge-Model: m',
            f'X-Yuccagauge-Prefix-Hash: aa:200,{self._request_id}:100',
            'X-Yuccagauge-Token-Usage: 300,8',
            f'Content-Length: {len(self._body)}',
        ]
        if self.is_resumption:
            lines.append(f'Resumes: {stream.first_attempt}')
            lines.append(f'Last-Event-Id: {stream.last_event}')
        return '\r\n'.join([*lines, '', self._body]).encode()


class VersionFleet(CrashFleet):
    """Routers before engines of several versions, in virtual time."""

    server_type = VersionedEngine
    cache_event_source = NoCacheEvents()

    def __init__(self, routers: int, servers: int, seed: int = 1) -> None:
        """Start a fleet whose engines all have the version ``v1``."""
        #: Version of each engine by its number.
        self.versions: dict[int, str] = {}
        #: Service of each version; all others are in one.
        self.services: dict[str, str] = {}
        self.streams: list[Stream] = []
        #: The stream of each attempt, by its request id.
        self.streams_by_request: dict[str, Stream] = {}
        self.attempts: list[_Attempt] = []
        #: Requests for the rest of a stream that reached an engine.
        self.continuations = 0
        self.route = 'stream'
        #: Whether each stream has a body of its own, so that none is suspected
        #: of what happens to others.
        self.has_own_bodies = False
        #: How long a caller waits before it comes back, in seconds.
        self.pause_s: float = 0.3
        #: Names of the routers that callers do not reach.
        self.unreachable: set[str] = set()
        super().__init__(routers, servers, seed)
        self.return_kind = 'with a new id'
        self.down_s = 2.0

    def begin_stream(self) -> Stream:
        """Send a request for a stream to any router."""
        stream = Stream(begun_at=self.clock.now())
        self.streams.append(stream)
        self._attempt(stream)
        return stream

    def next_request_id(self) -> str:
        """Return the id of another attempt of a caller."""
        self._request_count += 1
        return f'c{self._request_count}'

    def come_back(self, stream: Stream) -> None:
        """Take a stream up again after a while."""
        self.network.reactor.callLater(self.pause_s, self._attempt, stream)

    def add_engine(self, version: str) -> VersionedEngine:
        """Start an engine of a version."""
        number = len(self.servers)
        self.versions[number] = version
        engine = VersionedEngine(self, number)
        self.servers.append(engine)
        engine.start()
        return engine

    def split_route(self, service: str, versions: list[str]) -> None:
        """Add a service with engines, which gets half of the streams."""
        document = configuration()
        document['version'] += 1
        engines = next(
            each for each in document['services'] if each['name'] == 'model'
        )
        document['services'].append({**engines, 'name': service})
        for route in document['routes']:
            if route['name'] == self.route:
                route.pop('service')
                route['trafficSplit'] = [
                    {'service': name, 'weight': 1}
                    for name in ('model', service)
                ]
        self.services.update(dict.fromkeys(versions, service))
        for version in versions:
            self.add_engine(version)
        self.store.append_configuration(document)

    def engines_of(self, version: str) -> list[VersionedEngine]:
        """Return the engines of a version that serve and do not leave."""
        return [
            engine
            for engine in self.servers
            if engine.is_up and engine.version == version and not engine.leaves
        ]

    def share_with_events(self, *, resumed: bool) -> tuple[int, float]:
        """Return the number of attempts, and the share that got an event.

        Parameters
        ----------
        resumed
            Whether to count attempts that take a stream up, while two engines
            of its version serve, instead of those that begin one.
        """
        attempts = [
            attempt
            for attempt in self.attempts
            if attempt.is_resumption is resumed and attempt.is_counted
        ]
        with_events = sum(attempt.has_event for attempt in attempts)
        return len(attempts), with_events / max(1, len(attempts))

    def leave(self) -> None:
        """Let all callers give their streams up."""
        for attempt in self.attempts:
            attempt.leave()

    def stayed(self) -> list[Stream]:
        """Return the streams whose callers have not given them up."""
        return [each for each in self.streams if not each.is_given_up]

    def mixed(self) -> list[Stream]:
        """Return the streams with events of two versions."""
        return [stream for stream in self.streams if stream.is_mixed]

    def _attempt(self, stream: Stream) -> None:
        names = [
            name
            for name in self.router_names
            if name not in self.unreachable and self.is_running(name)
        ]
        if not names:
            self.come_back(stream)
            return
        name = self.random.choice(names)
        attempt = _Attempt(self, stream)
        factory = Factory()
        factory.startedConnecting = lambda connector: None
        factory.clientConnectionFailed = lambda connector, reason: None
        factory.buildProtocol = lambda address: attempt
        self.network.connect(
            _CALLER_HOST, router_host(name), SERVER_PORT, factory, 1
        )
