"""One whole request and answer, for calls that the router makes itself."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis, in_seconds
from yuccagauge.dispatch.base import BackendMessage, ResponseHead
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.errors import UnavailableError
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

#: Longest answer that is read unless the caller sets another limit, in bytes.
MAXIMUM_ANSWER = 16_777_216


class FetchError(UnavailableError):
    """A request without a whole answer.

    Parameters
    ----------
    reason
        What happened.
    verdict
        Whether the server may have carried the request out.
    """

    def __init__(self, reason: str, verdict: Verdict) -> None:
        """Keep the verdict beside the reason."""
        super().__init__(reason)
        self._verdict = verdict

    @property
    def verdict(self) -> Verdict:
        """Whether the server may have carried the request out."""
        return self._verdict


@dataclass(frozen=True, slots=True, kw_only=True)
class Fetched:
    """A whole answer."""

    head: ResponseHead
    body: bytes


class _Fetch:
    """Collects one answer, within a time."""

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self.result: Deferred[Fetched] = Deferred(self._cancel)
        self.exchange: Exchange | None = None
        self.timer: Any = None
        self._head: ResponseHead | None = None
        self._parts: list[bytes] = []
        self._size = 0
        self._is_over = False

    def head(self, head: ResponseHead) -> None:
        self._head = head

    def data(self, data: bytes) -> None:
        self._parts.append(data)
        self._size += len(data)
        if self._size > self._maximum:
            self._stop('the answer is too long')

    def complete(self) -> None:
        if self._end():
            body = b''.join(self._parts)
            self.result.callback(Fetched(head=self._head, body=body))

    def lost(self, reason: str) -> None:
        if self._end():
            verdict = self.exchange.verdict
            self.result.errback(FetchError(reason, verdict))

    def run_out(self) -> None:
        self._stop('no answer in time')

    def _stop(self, reason: str) -> None:
        if self._end():
            verdict = self.exchange.verdict
            self.exchange.abandon()
            self.result.errback(FetchError(reason, verdict))

    def _cancel(self, _: Any) -> None:
        if self._end():
            self.exchange.abandon()

    def _end(self) -> bool:
        """Return whether this call ended the fetch."""
        if self._is_over:
            return False
        self._is_over = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        return True


def fetch(
    reactor: Any,
    pool: ConnectionPool,
    server: Endpoint,
    message: BackendMessage,
    timeout: Millis,
    *,
    fresh: bool = False,
    maximum: int = MAXIMUM_ANSWER,
    may_send: Callable[[], bool] = lambda: True,
) -> Deferred[Fetched]:
    """Send a request and return a Deferred of its whole answer.

    Parameters
    ----------
    timeout
        Time for the answer, connecting included.
    fresh
        Never reuse a connection.
    maximum
        Longest answer that is read, in bytes.
    may_send
        Returns whether the request may still be sent, once there is a
        connection for it.

    Raises
    ------
    FetchError
        If there is no whole answer in time; its verdict says whether the
        request may have been carried out.
    """
    running = _Fetch(maximum)
    running.exchange = Exchange(pool, server, message, running, may_send)
    running.timer = reactor.callLater(
        in_seconds(timeout),
        running.run_out,
    )
    running.exchange.start(fresh=fresh)
    return running.result
