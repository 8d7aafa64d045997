"""The interface for operators and metric scrapers."""

import json
from typing import Any, Protocol

from klein import Klein
from twisted.web.http import Request

from yuccagauge.adoption.store import DocumentStore
from yuccagauge.burn.report import burn_document
from yuccagauge.burn.store import BurnStore
from yuccagauge.clock import Clock, Millis
from yuccagauge.dispatch.dispatcher import Dispatcher
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.membership.service import MembershipService
from yuccagauge.peering.admin import members_document
from yuccagauge.settings.process import RouterSettings
from yuccagauge.telemetry.meter import (
    PROMETHEUS_CONTENT_TYPE,
    render_prometheus,
)


class _RouterView(Protocol):
    """What the interface reads of a router."""

    settings: RouterSettings
    dispatcher: Dispatcher
    store: DocumentStore
    membership: MembershipService
    burn: BurnStore
    clock: Clock
    is_leaving: bool


class AdminInterface:
    """Answers questions about one router; it changes nothing.

    Parameters
    ----------
    router
        The router.
    """

    def __init__(self, router: _RouterView) -> None:
        """Build the routes."""
        self._router = router
        self._app = Klein()
        add = self._app.route
        add('/metrics', methods=['GET'])(self._metrics)
        add('/status', methods=['GET'])(self._status)
        add('/members', methods=['GET'])(self._members)
        add('/burn', methods=['GET'])(self._burn)
        add('/backends', methods=['GET'])(self._backends)
        add('/explain/<request_id>', methods=['GET'])(self._explain)

    @property
    def resource(self) -> Any:
        """The resource for a site."""
        return self._app.resource()

    def _metrics(self, request: Request) -> bytes:
        request.setHeader('Content-Type', PROMETHEUS_CONTENT_TYPE)
        return render_prometheus()

    def _status(self, request: Request) -> bytes:
        router = self._router
        section = router.settings.router
        documents = {
            in_force.service: {
                'version': in_force.version,
                'digest': in_force.document.digest,
            }
            for in_force in map(router.store.in_force, section.services)
            if in_force is not None
        }
        drains = {
            name: [str(server) for server in sorted(service.leaving)]
            for name, service in router.dispatcher.services.items()
        }
        return _answer(
            request,
            {
                'router': section.name,
                'data_centre': section.data_centre,
                'region': section.region,
                'leaving': router.is_leaving,
                'running': router.dispatcher.running,
                'documents': documents,
                'drains': drains,
            },
        )

    def _members(self, request: Request) -> bytes:
        return _answer(request, members_document(self._router.membership))

    def _burn(self, request: Request) -> bytes:
        wall = self._router.clock.wall_time()
        return _answer(request, burn_document(self._router.burn, wall))

    def _backends(self, request: Request) -> bytes:
        now = self._router.clock.now()
        found: list[dict[str, str]] = []
        for service in self._router.dispatcher.services.values():
            found.extend(_explained(service, now))
        return _answer(request, {'backends': found})

    def _explain(self, request: Request, request_id: str) -> bytes:
        record = self._router.dispatcher.around.decisions.find(request_id)
        if record is None:
            error = {'error': f'no record of {request_id} on this router'}
            return _answer(request, error, 404)
        return _answer(request, record.as_json())


def _explained(service: ServiceState, now: Millis) -> list[dict[str, str]]:
    if service.in_force is None:
        return []
    return [
        {
            'service': service.name,
            'backend_server': str(server),
            'data_centre': section.data_centre,
            'explanation': service.explain_server(server, now),
        }
        for server, section in service.in_force.document.backends.items()
    ]


def _answer(
    request: Request,
    document: dict[str, Any],
    status: int = 200,
) -> bytes:
    request.setResponseCode(status)
    request.setHeader('Content-Type', 'application/json')
    return json.dumps(document).encode()
