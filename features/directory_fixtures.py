"""Builders of backend servers and services for tests."""

from typing import Any

from yuccagauge.directory.base import (
    BackendServer,
    ServerState,
    ServiceSpec,
)
from yuccagauge.settings.options import Endpoint


def backend_server(server_id: str, **overrides: Any) -> BackendServer:
    """Return a ready server of the service ``s``, with changed fields."""
    defaults = {
        'service': 's',
        'endpoint': Endpoint('127.0.0.1', 1),
        'data_centre': 'a',
        'slots': 8,
        'state': ServerState.READY,
    }
    return BackendServer(server_id=server_id, **{**defaults, **overrides})


def service_spec(name: str = 's', **overrides: Any) -> ServiceSpec:
    """Return a plain service, with changed fields."""
    defaults = {'health_path': '', 'connection_limit': 100}
    return ServiceSpec(name=name, **{**defaults, **overrides})
