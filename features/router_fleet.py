"""Routers and stand-ins in this process, for steps that block."""

import functools
import hashlib
import http.client
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet import reactor

from features.loop import run_blocking, wait_for_call, wait_until
from yuccagauge.adoption.publish import publish
from yuccagauge.daemon.router import Router
from yuccagauge.logstream.client import LogClient
from yuccagauge.settings.options import Endpoint
from yuccagauge.settings.process import build_router_settings
from yuccagauge.standins import load_kinds
from yuccagauge.standins.base import STANDINS

CREDENTIAL = 'walvis-bay'
MODEL_SERVICE = 'matcher-llm'
PLAIN_SERVICE = 'roster-api'
_PATIENCE_SECONDS = 10

_CUSTOMER = {
    'credential_sha256': hashlib.sha256(CREDENTIAL.encode()).hexdigest(),
}
_ROUTES = {
    'route POST /bookings': {'idempotent': 'no'},
    'route GET /bookings': {'idempotent': 'yes'},
}
_ROUTING = {'deadline_ms': '5000', 'retry_budget': '1', 'admission': 'open'}


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """A whole response; ``broken`` if its body did not end properly."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    broken: bool

    @property
    def verdict(self) -> str:
        """The verdict in the header."""
        return self.headers.get('yuccagauge-verdict', '')

    @property
    def error(self) -> dict[str, Any]:
        """The error object in the body, or in the last event."""
        text = self.body.rpartition(b'data: ')[-1]
        return json.loads(text)['error']


class RouterFleet:
    """The platform, backend servers and routers of one scenario."""

    def __init__(self) -> None:
        """Start the log and the VM list."""
        load_kinds()
        self._closing: list[Callable[[], Any]] = []
        self.log = self.standin('log')
        self.vm_list = self.standin('vm-list')
        self.routers: list[Router] = []
        self._versions: dict[str, int] = {}

    def standin(self, kind: str, **section: Any) -> Any:
        """Start a stand-in."""
        raw = {kind: {key: str(each) for key, each in section.items()}}
        standin = STANDINS.get(kind)(raw)
        wait_for_call(standin.start)
        self._closing.append(standin.close)
        return standin

    def settings(self, name: str, **sections: Mapping[str, str]) -> Any:
        """Return the raw settings of a router."""
        return {
            'router': {
                'name': name,
                'region': 'khomas',
                'data_centre': 'khomas-a',
                'listen': '127.0.0.1:0',
                'peer_listen': '127.0.0.1:0',
                'admin_listen': '127.0.0.1:0',
                'services': f'{MODEL_SERVICE},{PLAIN_SERVICE}',
                'drain_grace_ms': '100',
            },
            'platform': {
                'log': str(self.log.endpoint),
                'vm_list': str(self.vm_list.endpoint),
            },
            **sections,
        }

    def router(self, name: str = 'r1', **sections: Mapping[str, str]) -> Router:
        """Start a router and wait for the documents published so far."""
        raw = self.settings(name, **sections)
        router = Router(build_router_settings(raw, name), reactor)
        wait_for_call(router.start)
        self._closing.append(router.close)
        self.routers.append(router)
        for service, version in self._versions.items():
            self._wait_for_version(router, service, version)
        return router

    def publish(
        self,
        service: str,
        kind: str,
        sections: Mapping[str, Any],
    ) -> None:
        """Publish a document and wait until all routers have it."""
        document = {
            'service': {'name': service, 'kind': kind, 'owner': 'shiftline'},
            'customer namport': _CUSTOMER,
            'routing': _ROUTING,
            **sections,
        }
        log = LogClient(self.log.endpoint, reactor)
        replaces = self._versions.get(service, -1)
        outcome = wait_for_call(publish, log, service, replaces, document)
        self._versions[service] = outcome.version
        for router in self.routers:
            self._wait_for_version(router, service, outcome.version)

    def publish_model(
        self,
        engines: list[Any],
        *,
        weights_version: str = 'w1',
        **options: Any,
    ) -> None:
        """Publish the document of the model service."""
        model = {'model matcher-70b': {'weights_version': weights_version}}
        sections = {**model, **_backends(engines, options)}
        self.publish(MODEL_SERVICE, 'model', sections)

    def publish_plain(self, servers: list[Any], **options: Any) -> None:
        """Publish the document of the plain service."""
        sections = {**_ROUTES, **_backends(servers, options)}
        self.publish(PLAIN_SERVICE, 'plain', sections)

    def wait_for_engines(self, count: int) -> None:
        """Wait until each router has load reports of so many engines."""
        for router in self.routers:
            wait_until(functools.partial(_has_usable, router, count))

    def close(self) -> None:
        """Close everything, newest first."""
        for close in reversed(self._closing):
            wait_for_call(close)

    def _wait_for_version(
        self,
        router: Router,
        service: str,
        version: int,
    ) -> None:
        wait_until(
            lambda: router.store.versions.get(service, -1) >= version,
        )


def _has_usable(router: Router, count: int) -> bool:
    now = router.clock.now()
    service = router.dispatcher.services[MODEL_SERVICE]
    usable = [
        server
        for server in service.in_force.document.backends
        if service.explain_server(server, now).startswith('gets work')
    ]
    return len(usable) >= count


def _backends(servers: list[Any], options: dict[str, Any]) -> dict[str, Any]:
    section = {'data_centre': 'khomas-a', **options.pop('backend', {})}
    found = {f'backend {each.endpoint}': section for each in servers}
    return {**found, **options}


def ask(
    endpoint: Endpoint,
    method: str,
    path: str,
    body: bytes = b'',
    **headers: str,
) -> Answer:
    """Send a request and read the whole response."""
    return run_blocking(blocking_ask, endpoint, method, path, body, headers)


def blocking_ask(
    endpoint: Endpoint,
    method: str,
    path: str,
    body: bytes,
    headers: Mapping[str, str],
) -> Answer:
    """Send a request from a thread beside the reactor's."""
    connection = http.client.HTTPConnection(
        endpoint.host,
        endpoint.port,
        timeout=_PATIENCE_SECONDS,
    )
    named = {key.replace('_', '-'): each for key, each in headers.items()}
    named.setdefault('Authorization', f'Bearer {CREDENTIAL}')
    connection.request(method, path, body, named)
    response = connection.getresponse()
    broken = False
    try:
        found = response.read()
    except (http.client.IncompleteRead, ConnectionError) as error:
        found = getattr(error, 'partial', b'')
        broken = True
    connection.close()
    return Answer(
        status=response.status,
        headers={key.lower(): text for key, text in response.getheaders()},
        body=found,
        broken=broken,
    )


def chat_body(prompt: str = 'Is the shift a match?', **fields: Any) -> bytes:
    """Return the body of a chat request."""
    return json.dumps(
        {
            'model': 'matcher-70b',
            'messages': [{'role': 'user', 'content': prompt}],
            'stream': True,
            'max_tokens': 4,
            **fields,
        },
    ).encode()


def chat(router: Router, body: bytes | None = None, **headers: str) -> Answer:
    """Ask a router for a chat completion."""
    return ask(
        router.endpoints[0],
        'POST',
        '/v1/chat/completions',
        chat_body() if body is None else body,
        **headers,
    )


def admin(router: Router, path: str) -> Any:
    """Return what the admin interface of a router says."""
    return json.loads(ask(router.endpoints[1], 'GET', path).body)
