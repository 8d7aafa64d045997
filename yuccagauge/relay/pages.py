"""HTTP resources for the load balancer and for metrics scrapers."""

from collections.abc import Callable

from twisted.web.resource import Resource
from twisted.web.server import Request, Site

from yuccagauge.telemetry.meter import render_prometheus

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


class ReadyPage(Resource):
    """Tells the load balancer whether the router accepts new connections.

    Parameters
    ----------
    path
        The path of the readiness check; others are answered with 404.
    is_ready
        Returns whether the router is ready now.
    """

    isLeaf = True

    def __init__(self, path: str, is_ready: Callable[[], bool]) -> None:
        """Create a resource for one path."""
        super().__init__()
        self._path = path.encode()
        self._is_ready = is_ready

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Return an empty body with status 200, 503 or 404."""
        if request.path != self._path:
            request.setResponseCode(_NOT_FOUND)
            return b''
        request.setResponseCode(_OK if self._is_ready() else _UNAVAILABLE)
        return b''


class MetricsPage(Resource):
    """Serves all metrics in the Prometheus text format."""

    isLeaf = True

    def render_GET(self, request: Request) -> bytes:  # noqa: N802
        """Return the current values of all metrics."""
        request.setHeader(b'Content-Type', b'text/plain; version=0.0.4')
        return render_prometheus()


def page_site(page: Resource) -> Site:
    """Return the site of a page, which logs no requests."""
    site = Site(page)
    site.noisy = False
    return site
