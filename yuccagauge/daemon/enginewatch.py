"""Reads engines that are not known yet, so that a new router serves at once.

The exchange between routers polls each engine from one router of its data
centre in rounds of a second; this covers the time before the first round,
and engines of other data centres while no engine of this one can be used.
"""

from typing import Any

from twisted.internet.task import LoopingCall

from yuccagauge.clock import Clock
from yuccagauge.dispatch.base import BackendMessage, ResponseHead
from yuccagauge.dispatch.dispatcher import Dispatcher
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.peering.polling import parse_report
from yuccagauge.settings.options import Endpoint

_PERIOD_SECONDS = 0.25
_OK = 200

#: Engines of other data centres that are read in one round, while no engine
#: of this one can be used.
_ELSEWHERE = 16

_LOAD = BackendMessage(method='GET', path='/load')


class _Poll:
    """One reading of one engine."""

    def __init__(
        self,
        service: ServiceState,
        engine: Endpoint,
        clock: Clock,
    ) -> None:
        self._service = service
        self._engine = engine
        self._clock = clock
        self._body = bytearray()
        self._status = 0

    def head(self, head: ResponseHead) -> None:
        """Keep the status."""
        self._status = head.status

    def data(self, data: bytes) -> None:
        """Collect the report."""
        self._body += data

    def complete(self) -> None:
        """Hand the report on."""
        if self._status == _OK:
            body = bytes(self._body)
            report = parse_report(self._engine, body, self._clock)
            self._service.update(report, self._clock.now())

    def lost(self, reason: str) -> None:
        """Wait for the next reading."""


class EngineWatch:
    """Reads ``GET /load`` of every engine.

    Parameters
    ----------
    pool
        Opens connections.
    dispatcher
        Has the services whose engines are read.
    reactor
        Keeps time.
    clock
        The source of time.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dispatcher: Dispatcher,
        reactor: Any,
        clock: Clock,
    ) -> None:
        """Read nothing before ``start``."""
        self._pool = pool
        self._dispatcher = dispatcher
        self._clock = clock
        self._turn = 0
        self._polls = LoopingCall(self._poll)
        self._polls.clock = reactor

    def start(self) -> None:
        """Begin to read."""
        self._polls.start(_PERIOD_SECONDS)

    def close(self) -> None:
        """Read no more."""
        if self._polls.running:
            self._polls.stop()

    def configure(self) -> None:
        """Read at once after a document came into force."""
        if self._polls.running:
            self._polls.reset()
            self._poll()

    def _poll(self) -> None:
        for service in self._dispatcher.services.values():
            in_force = service.in_force
            if in_force is None or in_force.document.service.kind == 'plain':
                continue
            for engine in self._unread(service):
                poll = _Poll(service, engine, self._clock)
                Exchange(self._pool, engine, _LOAD, poll).start(fresh=False)

    def _unread(self, service: ServiceState) -> list[Endpoint]:
        """Return the engines that the exchange between routers leaves out."""
        backends = service.in_force.document.backends
        here = [engine for engine in backends if service.is_here(engine)]
        unknown = [
            engine
            for engine in here
            if service.table_of(engine).last_report(engine) is None
        ]
        if service.has_engine_here(self._clock.now()):
            return unknown
        elsewhere = [engine for engine in backends if engine not in here]
        return unknown + self._sample(elsewhere)

    def _sample(self, engines: list[Endpoint]) -> list[Endpoint]:
        """Return other engines in each round, so that all get a turn."""
        count = len(engines)
        self._turn += _ELSEWHERE
        return [
            engines[(self._turn + step) % count]
            for step in range(min(count, _ELSEWHERE))
        ]
