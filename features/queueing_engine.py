"""Model engines that prefill one prompt after the other, at a varying speed."""

from collections.abc import Callable

from twisted.internet.protocol import Protocol

from features.weights_engine import EngineProtocol, WeightsEngine
from yuccagauge.clock import Millis

#: Time for the prefill of one prompt at full speed, in seconds.
_PREFILL_S = 0.1


class QueueingEngine(WeightsEngine):
    """An engine in whose queue requests wait before they begin to run."""

    def __init__(self, fleet: object, number: int) -> None:
        """Create an idle engine at full speed."""
        super().__init__(fleet, number)
        #: Factor by which a prefill takes longer.
        self.slowness: float = 1
        #: Time before which it begins nothing.
        self.silent_until = Millis(0)
        self._queue: list[Callable[[], None]] = []
        self._is_prefilling = False

    def start(self) -> None:
        """Start the engine without requests."""
        self._queue = []
        self._is_prefilling = False
        super().start()

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return QueueingProtocol(self)

    def enqueue(self, begin: Callable[[], None]) -> None:
        """Call an action after the prefill of those before and its own."""
        self._queue.append(begin)
        self._prefill_next()

    def cancel(self, begin: Callable[[], None] | None) -> None:
        """Drop a request that waits for its prefill."""
        if begin in self._queue:
            self._queue.remove(begin)

    def runs(self, connection: EngineProtocol) -> bool:
        """Return whether the request of a connection runs."""
        return connection in self._runs

    def record_begun(self, request_id: str) -> None:
        """Note the id of a request that has begun to run."""
        self._fleet.begun.add(request_id)

    def _prefill_next(self) -> None:
        if self._queue and not self._is_prefilling:
            self._is_prefilling = True
            begin = self._queue.pop(0)
            self.later(_PREFILL_S * self.slowness, lambda: self._finish(begin))

    def _finish(self, begin: Callable[[], None]) -> None:
        silence = self.silent_until - self._fleet.clock.now()
        if silence > 0:
            self.later(silence / 1000, lambda: self._finish(begin))
            return
        self._is_prefilling = False
        begin()
        self._prefill_next()


class QueueingProtocol(EngineProtocol):
    """A connection to such an engine."""

    #: Begins the latest request, which may wait.
    _waiting: Callable[[], None] | None = None

    def _take_request(self, headers: dict[str, str]) -> None:
        if self._reject(headers):
            return
        self._number += 1
        number = self._number

        def begin() -> None:
            if number == self._number:
                self._begin(headers)

        self._waiting = begin
        self._engine.enqueue(begin)

    def connectionLost(self, *reason: object) -> None:  # noqa: N802
        """Drop the request, whose router has left."""
        self._engine.cancel(self._waiting)
        super().connectionLost(*reason)

    def _begin(self, headers: dict[str, str]) -> None:
        super()._begin(headers)
        if self._engine.runs(self):
            self._engine.record_begun(headers['x-yuccagauge-request-id'])
