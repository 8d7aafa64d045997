"""Calls to engines whose answers nobody waits for."""

from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.dispatch.exchange import Exchange
from yuccagauge.dispatch.messages import cancel_message
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.settings.options import Endpoint


class _Unheard:
    """Ignores a response."""

    def head(self, head: ResponseHead) -> None:
        """Ignore it."""

    def data(self, data: bytes) -> None:
        """Ignore it."""

    def complete(self) -> None:
        """Ignore it."""

    def lost(self, reason: str) -> None:
        """Ignore it; the engine drops a stream that nobody follows."""


def cancel_stream(
    pool: ConnectionPool,
    engine: Endpoint,
    request_id: str,
) -> None:
    """Stop the work for a request at one engine."""
    message = cancel_message(request_id)
    Exchange(pool, engine, message, _Unheard()).start(fresh=False)
