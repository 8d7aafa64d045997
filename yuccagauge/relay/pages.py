"""The pages for the load balancer and for metric scrapers."""

from collections.abc import Callable

from twisted.web.resource import Resource
from twisted.web.server import Request

from yuccagauge.telemetry.meter import render_prometheus

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


class ReadyPage(Resource):
    """Says whether the router takes new connections.

    Parameters
    ----------
    path
        The only path that is answered.
    is_ready
        Returns the state at this moment.
    """

    isLeaf = True

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        """Keep the question."""
        super().__init__()
        self._path = path.encode()
        self._is_ready = is_ready

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Answer 200 or 503."""
        if request.path != self._path:
            request.setResponseCode(_NOT_FOUND)
            return b''
        request.setResponseCode(_OK if self._is_ready() else _UNAVAILABLE)
        return b''


class MetricsPage(Resource):
    """Serves all metrics as text."""

    isLeaf = True

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Return the metrics in the Prometheus format."""
        request.setHeader(b'Content-Type', b'text/plain; version=0.0.4')
        return render_prometheus()
