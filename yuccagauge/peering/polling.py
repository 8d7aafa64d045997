"""Read the load and the cache events of engines over HTTP."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import treq
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from yuccagauge.clock import Clock, Millis
from yuccagauge.documents import parse_document
from yuccagauge.load.base import EngineReport
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.meter import counter
from yuccagauge.wire.http import NumericHttpClient

#: How long one reading may take, in seconds.
_TIMEOUT_SECONDS = 2

_OK = 200
_BEFORE_FIRST = -1
_STORED = 'stored'
_MILLISECONDS_PER_SECOND = 1000

_POLLS = counter(
    'yuccagauge.engine.polls',
    'Readings of engines by kind and outcome.',
    '{reading}',
)


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """An engine stored or evicted one level."""

    engine: Endpoint
    incarnation: str
    is_stored: bool
    digest: bytes
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class EventPage:
    """An answer to a request for cache events."""

    incarnation: str
    events: tuple[CacheEvent, ...]
    #: Number after which to read on.
    last: int
    #: Whether events before or between these were lost.
    has_gap: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class PollHandlers:
    """What is done with the readings."""

    report: Callable[[EngineReport], None]
    event: Callable[[CacheEvent], None]
    #: Called with the engine when some of its events were lost.
    gap: Callable[[Endpoint], None]


class EventBudget:
    """A bound on the bytes of cache events, refilled with time.

    The engines of two years' plan send more events than a node may read.
    Those that are not read in time are lost as in any other gap, and the
    cache view has to do with a sample.
    """

    def __init__(self, bytes_per_second: int) -> None:
        """Start with one second's worth."""
        self._rate = bytes_per_second
        self._left = float(bytes_per_second)
        self._updated = Millis(0)

    def may_spend(self, now: Millis) -> bool:
        """Tell whether another answer may be read."""
        gained = (now - self._updated) * self._rate / _MILLISECONDS_PER_SECOND
        self._left = min(self._rate, self._left + gained)
        self._updated = now
        return self._left > 0

    def spend(self, size: int) -> None:
        """Count an answer; the next ones wait for what it exceeded."""
        self._left -= size


class EnginePoller:
    """Poll one engine; one request of each kind at a time.

    Parameters
    ----------
    engine
        Address of the engine.
    http, clock
        Client and time.
    handlers
        What is done with the readings.
    budget
        Bound on cache events, shared by all engines of this router.
    """

    def __init__(
        self,
        engine: Endpoint,
        http: NumericHttpClient,
        clock: Clock,
        handlers: PollHandlers,
        budget: EventBudget,
    ) -> None:
        """Prepare without reading."""
        self._engine = engine
        self._http = http
        self._clock = clock
        self._handlers = handlers
        self._budget = budget
        self._running: dict[str, Deferred[Any]] = {}
        self._incarnation = ''
        self._after = _BEFORE_FIRST

    def poll(self) -> None:
        """Start the readings that are due."""
        self._read('load', '/load', self._take_load)
        if self._budget.may_spend(self._clock.now()):
            path = f'/cache-events?after={self._after}&wait_ms=0'
            self._read('events', path, self._take_events)

    def close(self) -> None:
        """Cancel running requests."""
        for running in tuple(self._running.values()):
            running.cancel()

    def _read(
        self,
        kind: str,
        path: str,
        handler: Callable[[bytes], None],
    ) -> None:
        if kind in self._running:
            return
        url = f'http://{self._engine}{path}'
        reading = self._http.get(url, _TIMEOUT_SECONDS)
        self._running[kind] = reading
        reading.addCallback(_content)
        reading.addCallback(handler)
        reading.addBoth(self._end, kind)

    def _end(self, result: Any, kind: str) -> None:
        self._running.pop(kind, None)
        outcome = 'read'
        if isinstance(result, Failure):
            outcome = result.type.__name__
        _POLLS.add(1, {'kind': kind, 'outcome': outcome})

    def _take_load(self, body: bytes) -> None:
        report = parse_report(self._engine, body, self._clock)
        self._handlers.report(report)

    def _take_events(self, body: bytes) -> None:
        self._budget.spend(len(body))
        page = parse_events(self._engine, body, self._after)
        if page.incarnation != self._incarnation:
            # The numbers start again; what was read with the old number
            # may lack the first events.
            is_first = not self._incarnation
            self._incarnation = page.incarnation
            if not is_first:
                self._after = _BEFORE_FIRST
                return
        self._after = page.last
        if page.has_gap:
            self._handlers.gap(self._engine)
        for event in page.events:
            self._handlers.event(event)


def parse_report(
    engine: Endpoint,
    body: bytes,
    clock: Clock,
) -> EngineReport:
    """Read an answer of ``/load``.

    Raises
    ------
    ValueError, KeyError, TypeError
        If the answer is not of the form.
    """
    found = parse_document(body)
    age = max(0, clock.wall_time() - int(found['measured_ms']))
    return EngineReport(
        engine=engine,
        incarnation=str(found['incarnation']),
        weights_version=str(found['weights_version']),
        role=str(found['role']),
        running=int(found['running']),
        queued=int(found['queued']),
        queued_tokens=int(found['queued_tokens']),
        used_blocks=int(found['used_blocks']),
        total_blocks=int(found['total_blocks']),
        measured_at=Millis(clock.now() - age),
    )


def parse_events(engine: Endpoint, body: bytes, after: int) -> EventPage:
    """Read an answer of ``/cache-events``.

    Raises
    ------
    ValueError, KeyError, TypeError
        If the answer is not of the form.
    """
    found = parse_document(body)
    incarnation = str(found['incarnation'])
    events = tuple(
        CacheEvent(
            engine=engine,
            incarnation=incarnation,
            is_stored=line['kind'] == _STORED,
            digest=bytes.fromhex(line['digest']),
            tokens=int(line['tokens']),
        )
        for line in found['events']
    )
    # The number to read on from is that of the last event that was read,
    # and not ``next``: an engine whose events are late names a ``next``
    # above events that it has not shown yet. Lost events at the end are
    # noticed with the event that follows them.
    last = max((int(line['seq']) for line in found['events']), default=after)
    return EventPage(
        incarnation=incarnation,
        events=events,
        last=last,
        has_gap=len(events) < last - after,
    )


def _content(response: Any) -> Deferred[bytes]:
    if response.code != _OK:
        raise ValueError(f'status {response.code}')
    return treq.content(response)
