"""A relay with scripted servers in the process of the test."""

import json
import random
import socket
from typing import Any

from twisted.internet import reactor

from features.loop import run_blocking, wait_for_call
from features.scripted_server import ScriptedServer
from yuccagauge.clock import Millis, SystemClock
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.origins.base import ORIGIN_LIFETIME
from yuccagauge.platform.engines import PlatformEngineClient
from yuccagauge.platform.records import PlatformRecordDecoder
from yuccagauge.platform.requests import (
    PlatformBackendProtocol,
    PlatformCallDecoder,
)
from yuccagauge.relay.channel import CallerFactory
from yuccagauge.relay.context import RelayContext, RetryBudgetSettings
from yuccagauge.relay.relay import Relay
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.selector import Selector

HOST = 'test.example'
KEY = 'k1'

_TIMEOUT_S = 5.0


def _route(name: str, kind: str, **options: Any) -> dict[str, Any]:
    return {
        'name': name,
        'host': HOST,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'timeoutMs': options.get('timeout', 1500),
        'sloMs': 400,
        'priority': 1,
        'service': options.get('service', 'plain'),
        'attempts': options.get('attempts', 2),
        'public': options.get('public', False),
        'canResume': options.get('resume', False),
        'gapAimMs': 300,
    }


def configuration() -> dict[str, Any]:
    """Return the configuration document of the tests."""
    return {
        'version': 3,
        'routes': [
            _route('read', 'idempotent'),
            _route('book', 'non_idempotent', attempts=1),
            _route('open', 'idempotent', public=True),
            _route('talk', 'streaming', service='model'),
            _route('resume', 'streaming', service='model', resume=True),
            _route(
                'resume_thrice',
                'streaming',
                service='model',
                resume=True,
                attempts=3,
            ),
            _route(
                'stream',
                'streaming',
                service='model',
                resume=True,
                timeout=15_000,
            ),
            _route('once', 'streaming', service='model', timeout=15_000),
            _route('short', 'non_idempotent', timeout=300),
        ],
        'services': [
            {'name': 'plain', 'healthPath': '/h', 'maxConns': 9},
            {
                'name': 'model',
                'healthPath': '/h',
                'maxConns': 9,
                'engine': {'slots': 8, 'kvCapacity': 9000, 'maxInflight': 4},
            },
        ],
        'limits': {
            'maxHeaderBytes': 4096,
            'maxBodyBytes': 5000,
            'headerTimeoutMs': 300,
            'idleTimeoutMs': 2000,
        },
        'tenants': [
            {'name': 'anna', 'apiKeys': [KEY], 'isolated': True},
            {'name': 'ben', 'apiKeys': ['k2']},
        ],
    }


class RelayFixture:
    """A relay that listens on a port, and its components."""

    def __init__(self) -> None:
        """Start a relay without configuration and servers."""
        clock = SystemClock()
        self.pool = ConnectionPool(reactor)
        self.directory = Directory(PlatformRecordDecoder())
        self.selector = Selector('a', Millis(12_000))
        self.relay_context = RelayContext(
            clock=clock,
            call_later=reactor.callLater,
            pool=self.pool,
            call_decoder=PlatformCallDecoder(),
            backend_protocol=PlatformBackendProtocol(),
            directory=self.directory,
            selector=self.selector,
            retry_settings=RetryBudgetSettings(
                ratio=0.2, slack=50, window=Millis(10_000)
            ),
            random_fraction=random.Random(1).random,
        )
        self.relay_context.use_identities(
            PlatformEngineClient(reactor, self.pool, 'a')
        )
        self.selector.versions.merge((), ORIGIN_LIFETIME, clock.now())
        self.relay = Relay(self.relay_context)
        self.callers = CallerFactory(
            self.relay.handle_request,
            self.relay.caller_limits,
            clock,
        )
        self._offset = 0
        self._port = reactor.listenTCP(0, self.callers, interface='127.0.0.1')
        self.address = ('127.0.0.1', self._port.getHost().port)

    def configure(self, document: dict[str, Any] | None = None) -> None:
        """Apply a configuration; by default that of the tests."""
        document = document or configuration()
        self._write(Topic.OPERATIONS, 'config', document)

    def add_server(
        self,
        name: str,
        service: str,
        server: ScriptedServer,
        **overrides: Any,
    ) -> None:
        """Add a server's entry to the directory."""
        server.instance_id = name
        entry = {
            'service': service,
            'address': str(server.endpoint),
            'zone': 'a',
            'version': 'v1',
            'slots': 4,
            'state': 'ready',
            'seq': 1,
            'coldRemainingMs': 0,
        }
        if service == 'model':
            entry['models'] = [{'name': 'm', 'version': 1, 'adapters': []}]
        self._write(Topic.SERVERS, name, {**entry, **overrides})
        self._update_view()

    def remove_server(self, name: str) -> None:
        """Remove a server's entry from the directory."""
        self._write(Topic.SERVERS, name, None)
        self._update_view()

    def close(self) -> None:
        """Close the port and all connections."""
        self.callers.close()
        self.relay_context.witnesses.close()
        self.pool.close()
        wait_for_call(self._port.stopListening)

    def _update_view(self) -> None:
        servers = dict(self.directory.servers)
        self.selector.update_fleet_view(FleetView(servers=servers))
        self.selector.versions.observe(
            servers.values(), self.relay_context.clock.now()
        )

    def _write(self, topic: Topic, key: str, document: Any) -> None:
        self._offset += 1
        record = KeyedRecord(
            key=key,
            offset=self._offset,
            value=document and json.dumps(document).encode(),
        )
        self.directory.apply_records(
            topic,
            (record,),
            self._offset + 1,
            self.relay_context.clock.now(),
        )


class Caller:
    """A caller that sends raw bytes on a socket."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect to the relay."""
        self._socket = run_blocking(_connect, address)
        self.received = b''

    def send(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self._socket.sendall(data)

    def read_until(self, delimiter: bytes) -> bytes:
        """Read until a delimiter arrives or the connection is closed."""
        run_blocking(self._read, delimiter)
        return self.received

    def read_until_end(self, suffix: bytes) -> bytes:
        """Read until all that arrived ends with a suffix, or to the close."""
        run_blocking(self._read_to_suffix, suffix)
        return self.received

    def read_all(self) -> bytes:
        """Read until the connection is closed; append ``RESET`` for a reset."""
        run_blocking(self._read, None)
        return self.received

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def _read_to_suffix(self, suffix: bytes) -> None:
        while not self.received.endswith(suffix):
            data = self._socket.recv(65_536)
            if not data:
                return
            self.received += data

    def _read(self, delimiter: bytes | None) -> None:
        while delimiter is None or delimiter not in self.received:
            try:
                data = self._socket.recv(65_536)
            except ConnectionResetError:
                self.received += b'RESET'
                return
            if not data:
                return
            self.received += data


def _connect(address: tuple[str, int]) -> socket.socket:
    return socket.create_connection(address, timeout=_TIMEOUT_S)


def request(
    route: str,
    request_id: str = 'r1',
    method: str = 'POST',
    body: bytes = b'hello',
    headers: tuple[str, ...] = (),
    key: str = KEY,
) -> bytes:
    """Return the raw bytes of a request."""
    lines = [
        f'{method} /{route}/x HTTP/1.1',
        f'Host: {HOST}',
        f'X-Yuccagauge-Request-Id: {request_id}',
        'X-Yuccagauge-Deadline-Ms: 2000',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    return '\r\n'.join([*lines, '', '']).encode() + body


MODEL_HEADERS = (
    'X-Yuccagauge-Model: m',
    'X-Yuccagauge-Token-Usage: 700,8',
    'X-Yuccagauge-Prefix-Hash: aa:600,bb:100',
)


def raw_request(name: str) -> bytes:
    """Return the raw bytes of a named request, most of which are malformed."""
    plain = request('read')
    head, _, _ = plain.partition(b'\r\n\r\n')
    return {
        'length and chunks': head
        + b'\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
        'two lengths': head + b'\r\nContent-Length: 6\r\n\r\nhello!',
        'two hosts': head + b'\r\nHost: other.example\r\n\r\nhello',
        'no host': plain.replace(f'Host: {HOST}\r\n'.encode(), b''),
        'space before colon': plain.replace(b'Host:', b'Host :'),
        'absolute target': plain.replace(b' /read', b' http://a/read'),
        'body over the limit': request('read', body=b'x' * 5001),
        'chunks over the limit': plain.replace(
            b'Content-Length: 5', b'Transfer-Encoding: chunked'
        ).replace(b'hello', b'1400\r\n%s\r\n' % (b'x' * 5120)),
        'head over the limit': head + b'\r\nX-Long: ' + b'x' * 5000,
        'half a head': head[:40],
        'unknown route': request('unknown'),
        'no key': request('read', key=''),
        'wrong key': request('read', key='k9'),
        'public route': request('open', key=''),
        'no id': plain.replace(b'X-Yuccagauge-Request-Id', b'X-Other'),
        'two ids': request('read', headers=('X-Yuccagauge-Request-Id: r2',)),
        'request in a body': request('read', body=request('book', 'r2')),
        'forged headers': request(
            'read',
            headers=(
                'X-Yuccagauge-Tenant: ben',
                'X-Yuccagauge-Hold: h',
                'X-Yuccagauge-Kv-Backup: 1.2.3.4:5',
                'Kv-From: 1.2.3.4:5/6',
                'X-Yuccagauge-Pin-Ms: 50',
                'X-Yuccagauge-Cache-Salt: mine',
                'X-Keep: yes',
                'Connection: X-Drop',
                'X-Drop: yes',
            ),
        ),
    }[name]
