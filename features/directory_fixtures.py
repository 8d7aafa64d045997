"""Backend servers and services of tests, as the configuration names them."""

from typing import Any

from yuccagauge.directory.base import (
    BackendServer,
    ServerState,
    ServiceSpec,
)
from yuccagauge.settings.options import Endpoint


def backend_server(server_id: str, **changed: Any) -> BackendServer:
    """Return a ready server of the service ``s``."""
    usual = {
        'service': 's',
        'endpoint': Endpoint('127.0.0.1', 1),
        'data_centre': 'a',
        'slots': 8,
        'state': ServerState.READY,
    }
    return BackendServer(server_id=server_id, **{**usual, **changed})


def service_spec(name: str = 's', **changed: Any) -> ServiceSpec:
    """Return a plain service."""
    usual = {'health_path': '', 'connection_limit': 100}
    return ServiceSpec(name=name, **{**usual, **changed})
