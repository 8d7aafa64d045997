"""Routers before engines that answer polls, and state in them that they leave.

Everything runs in virtual time.
"""

import json
from dataclasses import replace
from typing import Any

from twisted.internet.protocol import Protocol

from features.crash_fleet import router_host
from features.engine_fleet import EngineFleet, SimulatedEngine
from yuccagauge.platform.engines import PlatformEngineClient
from yuccagauge.relay.adapter import PlatformAdapter

#: How a poll for cache events begins, and the time for which it waits.
_POLL = b'GET /api/kv-events'
_POLL_S = 0.3

#: Wall time at the start of the fleet, in ms. A start at 0 is not stated.
_EPOCH = 1

#: How a health check begins.
_CHECK = b'GET /h '

#: Time for which an engine says that it leaves before a disturbance begins, from
#: there to its end, and until it starts again, in seconds.
_LEAVING_S = 0.5
_END_S = 0.35
_DOWN_S = 0.2


class TellingEngine(SimulatedEngine):
    """An engine that says that it leaves, until it starts again."""

    leaves = False

    #: Whether its entry, and its report, state its start.
    states_in_entry = True
    states_in_report = True

    def start(self) -> None:
        """Start, and say no longer that it leaves."""
        self.leaves = False
        super().start()

    def entry_document(self) -> dict[str, Any]:
        """Return what the engine writes to the store."""
        document = super().entry_document()
        document['born'] = _EPOCH + self._born
        if not self.states_in_entry:
            document.pop('born')
        return document

    def report(self) -> bytes:
        """Return what the engine states about itself when it is asked."""
        born = _EPOCH + self._born
        stated = {'born': born} if self.states_in_report else {}
        return json.dumps(stated).encode()

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        inner = super().build_protocol()
        return _PollProtocol(self, inner)

    def poll_answer(self) -> bytes:
        """Return the answer to a poll."""
        document = {
            'bootEpoch': self._starts,
            'next': 0,
            'lost': False,
            'events': [],
        }
        body = json.dumps(document)
        leaving = 'Server-Leaving: 1\r\n' if self.leaves else ''
        return (
            f'HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n{leaving}\r\n'
            f'{body}'.encode()
        )


class _PollProtocol(Protocol):
    """A connection to such an engine."""

    def __init__(self, engine: TellingEngine, inner: Protocol) -> None:
        self._engine = engine
        self._inner = inner

    def connectionMade(self) -> None:  # noqa: N802
        """Hand the connection on to what answers requests."""
        self._inner.makeConnection(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a poll, or hand the data on."""
        if data.startswith(_CHECK) and self._engine.leaves:
            self.transport.write(
                b'HTTP/1.1 503 X\r\nContent-Length: 0\r\n'
                b'Server-Leaving: 1\r\n\r\n'
            )
            return
        if not data.startswith(_POLL):
            self._inner.dataReceived(data)
            return
        self._engine.later(
            _POLL_S, lambda: self.transport.write(self._engine.poll_answer())
        )

    def connectionLost(self, *reason: Any) -> None:  # noqa: N802
        """Hand the end on."""
        self._inner.connectionLost(*reason)


class EntryEngine(TellingEngine):
    """An engine whose entry alone states its start."""

    states_in_report = False


class ReportEngine(TellingEngine):
    """An engine whose report alone states its start."""

    states_in_entry = False


class UnstatedEngine(ReportEngine):
    """An engine that does not state its start."""

    states_in_report = False


#: Kinds of engines, by where they state their start.
ENGINES: dict[str, type[TellingEngine]] = {
    'its entry and its report': TellingEngine,
    'its entry alone': EntryEngine,
    'its report alone': ReportEngine,
    'nothing': UnstatedEngine,
}


class TellingFleet(EngineFleet):
    """Routers that poll such engines.

    Parameters
    ----------
    routers, servers
        Their numbers.
    server_type
        Kind of the engines.
    """

    def __init__(
        self,
        routers: int,
        servers: int,
        server_type: type[TellingEngine] = TellingEngine,
    ) -> None:
        """Start the fleet."""
        self.server_type = server_type
        super().__init__(routers, servers)

    def restart_engine(self) -> None:
        """Let the first engine say that it leaves, and start again."""
        engine = self.servers[0]
        self.down_s = _DOWN_S
        engine.leaves = True
        self.run(_LEAVING_S)
        self.network.reactor.callLater(_END_S, engine.end)

    def hold_link(self, seconds: float) -> None:
        """Hold the data between the first engine and the first router."""
        ends = {self.servers[0].host, router_host(self.router_names[0])}
        self.network.is_cut = lambda host, other: {host, other} == ends

        def release() -> None:
            self.network.is_cut = lambda host, other: False

        self.network.reactor.callLater(seconds, release)

    def _build_adapter(
        self, settings: Any, reactor: Any, pool: Any
    ) -> PlatformAdapter:
        engines = PlatformEngineClient(reactor, pool, settings.relay.name)
        return replace(
            super()._build_adapter(settings, reactor, pool),
            cache_event_source=engines,
            answer_listeners=engines.answer_listeners,
        )
