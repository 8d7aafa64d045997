"""Routers before engines that crash on certain parts of a prompt.

Everything runs in virtual time. Requests for several customers' prompts come
at any router, and each has a last part of its own.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol

from features.crash_fleet import CrashFleet
from features.crash_server import ServerProtocol, SimulatedServer
from yuccagauge.clock import Millis

#: Time from the arrival of a request to the first output, from there to the
#: end of the answer, and from there to the crash of the engine, in seconds.
_FIRST_OUTPUT_S = 0.15
_OUTPUT_S = 0.4
_CRASH_S = 0.01

#: Time from the first output of an engine that crashes to its last bytes.
_LAST_BYTES_S = 0.005

#: Last part of a request that crashes engines, though its parts do not.
DEADLY_PART = 'deadly'

_PART_TOKENS = 200
_FIRST_EVENT = b'id: 1\ndata: token\n\n'
_LAST_EVENT = b'id: 2\ndata: end\n\n'
_HALF = len(_LAST_EVENT) // 2


@dataclass(frozen=True, slots=True, kw_only=True)
class SentPrompt:
    """A request of the traffic."""

    at: Millis
    parts: tuple[str, ...]
    own_part: str
    is_guilty: bool


class NoCacheEvents:
    """Answers no poll for cache events."""

    def poll_events(self, holder: Any, since: int, wait: Millis) -> Deferred:
        """Leave the poll unanswered."""
        return Deferred()


class SimulatedEngine(SimulatedServer):
    """An engine that crashes as it begins to answer on a guilty part."""

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return _EngineProtocol(self)

    def entry_document(self) -> dict[str, Any]:
        """Return what the engine writes to the store."""
        document = super().entry_document()
        return {
            **document,
            'service': 'model',
            'slots': 64,
            'models': [{'name': 'm', 'version': 1, 'adapters': []}],
        }

    def record_arrival(self, request_id: str) -> None:
        """Note a request that has arrived whole, by its id."""
        super().record_arrival(request_id)
        self._fleet.arrivals.append((self._fleet.clock.now(), request_id))

    def begin(self, request_id: str, parts: tuple[str, ...]) -> bool:
        """Begin to answer a request; return whether the engine lives on."""
        fleet = self._fleet
        fleet.begun[request_id] = fleet.clock.now()
        is_guilty = parts[-1] == DEADLY_PART or bool(
            fleet.guilty_parts.intersection(parts[:-1])
        )
        if not is_guilty:
            return True
        fleet.network.reactor.callLater(_CRASH_S, self.end)
        return False

    def announce_crash(self, transport: Any) -> None:
        """Tell the fleet who reads the answer; write a part of an event."""
        on_crash = self._fleet.on_crash
        if on_crash is not None:
            self.later(
                _LAST_BYTES_S, lambda: transport.write(_LAST_EVENT[:_HALF])
            )
            on_crash(self, transport.other.host)

    def later(self, delay_s: float, action: Callable[..., None]) -> None:
        """Call an action unless the engine has ended since."""
        start = self._starts

        def act() -> None:
            if self.is_up and start == self._starts:
                action()

        self._fleet.network.reactor.callLater(delay_s, act)


class _EngineProtocol(ServerProtocol):
    """A connection to an engine, for one request after the other."""

    def run_request(self, headers: dict[str, str], body: bytes) -> None:
        """Begin to answer a request after a while."""
        request_id = headers['x-yuccagauge-request-id']
        prefix = headers['x-yuccagauge-prefix-hash']
        parts = tuple(entry.partition(':')[0] for entry in prefix.split(','))
        self._server.later(
            _FIRST_OUTPUT_S, lambda: self._begin(request_id, parts)
        )

    def _begin(self, request_id: str, parts: tuple[str, ...]) -> None:
        if self.transport is None:
            return
        length = len(_FIRST_EVENT + _LAST_EVENT)
        self.transport.write(
            f'HTTP/1.1 200 X\r\nContent-Length: {length}\r\n'
            f'X-Yuccagauge-Request-Id: {request_id}\r\n'
            'Content-Type: text/event-stream\r\n'
            'X-Yuccagauge-Server-Stamp: s\r\n\r\n'.encode()
            + _FIRST_EVENT,
        )
        if self._server.begin(request_id, parts):
            self._server.later(_OUTPUT_S, self._finish)
        else:
            self._server.announce_crash(self.transport)

    def _finish(self) -> None:
        self.transport.write(_LAST_EVENT)


class EngineFleet(CrashFleet):
    """Routers before engines, with a store, in virtual time."""

    server_type = SimulatedEngine
    cache_event_source = NoCacheEvents()

    def __init__(self, routers: int, servers: int, seed: int = 1) -> None:
        """Start a fleet whose engines crash on no part."""
        #: The route of the requests.
        self.route = 'talk'
        #: Parts on which engines crash, unless they are the last ones.
        self.guilty_parts: set[str] = set()
        #: When requests reached engines, and their ids.
        self.arrivals: list[tuple[Millis, str]] = []
        #: When engines began to answer each request.
        self.begun: dict[str, Millis] = {}
        #: Called with an engine that begins an answer and is about to crash, and
        #: the host that reads the answer.
        self.on_crash: Callable[[SimulatedEngine, str], None] | None = None
        #: The requests of the traffic, by id.
        self.prompts: dict[str, SentPrompt] = {}
        super().__init__(routers, servers, seed)

    def send_prompt(self, *parts: str, own_part: str = '') -> None:
        """Send a request whose prompt has these parts, and one of its own."""
        own_part = own_part or f'{self.random.getrandbits(64):x}'
        prefix = ','.join(
            f'{part}:{_PART_TOKENS}' for part in (*parts, own_part)
        )
        tokens = _PART_TOKENS * (len(parts) + 1)
        headers = (
            f'X-Yuccagauge-Model: m\r\nX-Yuccagauge-Prefix-Hash: {prefix}\r\n'
            f'X-Yuccagauge-Token-Usage: {tokens},8\r\n'
        )
        name = self.random.choice(self.router_names)
        request_id = self.send(name, own_part.encode(), self.route, headers)
        self.prompts[request_id] = SentPrompt(
            at=self.clock.now(),
            parts=parts,
            own_part=own_part,
            is_guilty=bool(self.guilty_parts.intersection(parts)),
        )

    def guilty_sends_after_fifth_crash(self, margin: Millis) -> int:
        """Return the guilty requests that reach engines after a time."""
        if len(self.ends) < 5:
            return 0
        return sum(
            at > self.ends[4] + margin and self.prompts[request_id].is_guilty
            for at, request_id in self.arrivals
        )
