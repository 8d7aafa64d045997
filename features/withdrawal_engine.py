"""Engines whose ways to begin, and to notice that a caller left, differ."""

from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from features.queueing_engine import QueueingEngine, QueueingProtocol


class WithdrawalEngine(QueueingEngine):
    """An engine that may be stuck, send heads first or keep requests."""

    def __init__(self, fleet: Any, number: int) -> None:
        """Create an engine that begins requests in turn."""
        super().__init__(fleet, number)
        #: Whether it begins nothing that arrives from now on.
        self.is_stuck = False
        #: Time from the head of an answer to its first event, in seconds.
        self.head_first_s: float = 0
        #: Whether it keeps requests whose connections have closed.
        self.keeps_closed = False
        #: The connections of requests that it will not begin.
        self.stuck: list[WithdrawalProtocol] = []

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        return WithdrawalProtocol(self)

    def use_weights(self, version: int) -> None:
        """Have other weights at once, and tell the store."""
        self.weights = version
        self._note_state()
        self._write_entry(self._entry())


class WithdrawalProtocol(QueueingProtocol):
    """A connection to such an engine."""

    _stuck_headers: dict[str, str]
    _has_closed = False

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Drop the request, unless the engine keeps it."""
        self._has_closed = True
        if not self._engine.keeps_closed:
            super().connectionLost(reason)

    def reject_late(self) -> None:
        """Reject the request that the engine never begins, as not run."""
        self._write_head(503, self._stuck_headers, 'Content-Length: 0')

    def begin_late(self) -> None:
        """Begin the request that the engine seemed never to begin."""
        if not self._has_closed:
            self._begin(self._stuck_headers)

    def end_without_events(self) -> None:
        """Run the request, and end its answer before any event."""
        self._engine.record_begun(
            self._stuck_headers['x-yuccagauge-request-id']
        )
        self._write_head(
            200, self._stuck_headers, 'Content-Type: text/event-stream'
        )
        self.transport.loseConnection()

    def _take_request(self, headers: dict[str, str]) -> None:
        engine = self._engine
        if engine.is_stuck:
            if not self._reject(headers):
                self._number += 1
                self._stuck_headers = headers
                engine.stuck.append(self)
        elif engine.head_first_s:
            self._send_head_first(headers)
        else:
            super()._take_request(headers)

    def _send_head_first(self, headers: dict[str, str]) -> None:
        if self._reject(headers):
            return
        self._number += 1
        number = self._number
        self._write_head(
            200,
            headers,
            'Transfer-Encoding: chunked',
            'Content-Type: text/event-stream',
        )

        def begin() -> None:
            if number == self._number:
                self._engine.begin_run(self, self.transport.getPeer().host)
                self._send_event(int(headers.get('last-event-id', '0')) + 1)

        self._engine.later(self._engine.head_first_s, begin)
