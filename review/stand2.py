"""Stand-ins of the platform's store, engines and clients, for run.sh scripts.

They need nothing but Python's own library. All addresses are loopback ones.
"""

import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
ZONE = 'zone-a'


class Unusable(Exception):
    """The case could not run."""


def free_port(ip='127.0.0.1'):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


class Request:
    """A request as it was read, with header names in lower case."""

    def __init__(self, method, target, headers, body):
        self.method, self.target = method, target
        self.headers, self.body = headers, body
        parts = urlsplit(target)
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        parts = []
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                await reader.readline()
                return b''.join(parts)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
    return await reader.readexactly(int(headers.get('content-length', 0)))


def head_bytes(status, headers=()):
    lines = [f'HTTP/1.1 {status} X', *(f'{k}: {v}' for k, v in headers)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def answer_bytes(status, body=b'', headers=()):
    length = ('Content-Length', len(body))
    return head_bytes(status, (*headers, length)) + body


class HttpServer:
    """Serves one request at a time on each channel."""

    def __init__(self, ip='127.0.0.1', port=0):
        self.ip, self.port = ip, port or free_port(ip)
        self._server = None
        self.writers = set()

    @property
    def address(self):
        return f'{self.ip}:{self.port}'

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.ip, self.port, limit=2**24
        )

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _ = first.split(' ')
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                if await self.handle(request, reader, writer) is False:
                    return
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError

    def close(self):
        if self._server is not None:
            self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()


class Store(HttpServer):
    """The platform's log: its keyed topics, and appends under a condition."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.era = 1
        self.first = {}
        self.changed = asyncio.Condition()
        self.calls = []
        self.on_call = None
        #: Whether all calls are reset, as if the store were away.
        self.is_away = False

    def copy(self):
        """Return a copy of all records, to come back from."""
        return {topic: list(records) for topic, records in self.topics.items()}

    def come_back(self, copied):
        """Answer again, from a copy: what was written since is gone."""
        self.topics = {topic: list(found) for topic, found in copied.items()}
        self.era += 1
        self.is_away = False

    def go_away(self):
        """Reset all channels, and those that come."""
        self.is_away = True
        for writer in tuple(self.writers):
            reset(writer)

    def records(self, topic):
        return self.topics.setdefault(topic, [])

    async def put(self, topic, key, value):
        data = json.dumps(value).encode() if value is not None else b''
        await self.put_bytes(topic, key, data)

    async def put_bytes(self, topic, key, data):
        content = bytes([len(key)]) + key.encode() + data
        if self.is_away:
            return
        self.records(topic).append(content)
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request, reader, writer):
        self.calls.append((time.monotonic(), request.path, request.query))
        if self.is_away:
            reset(writer)
            return False
        if self.on_call is not None:
            verdict = await self.on_call(request, writer)
            if verdict is not None:
                return verdict
        status, body = await self.carry_out(request)
        headers = [('Store-Era', self.era)]
        writer.write(answer_bytes(status, body, headers))
        return True

    async def carry_out(self, request):
        topic = request.query.get('topic', '')
        records = self.records(topic)
        if request.path == '/api/log-newest':
            return 200, self._newest(records)
        if request.path == '/api/log-read':
            return await self._read(topic, request.query)
        if request.path == '/api/log-append':
            at = request.query.get('at')
            if at is not None and int(at) != len(records):
                return 412, json.dumps({'end': len(records)}).encode()
            start, body = len(records), request.body
            while body:
                size = struct.unpack('>I', body[:4])[0]
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            async with self.changed:
                self.changed.notify_all()
            found = {'offset': start, 'end': len(records)}
            return 200, json.dumps(found).encode()
        return 404, b'{}'

    def _newest(self, records):
        newest = {}
        for offset, content in enumerate(records):
            size = content[0]
            key, value = content[1 : 1 + size].decode(), content[1 + size :]
            newest.pop(key, None)
            if value:
                newest[key] = (offset, value)
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in sorted(newest.items())
        ]
        found = {'items': items, 'more': False, 'end': len(records)}
        return json.dumps(found).encode()

    async def _read(self, topic, query):
        start = int(query['from'])
        records = self.records(topic)
        first = self.first.get(topic, 0)
        if start < first or start > len(records):
            return 410, json.dumps({'first': first}).encode()
        wait = min(30000, int(query.get('waitMs', 0))) / 1000
        if start >= len(records) and wait:
            async with self.changed:
                try:
                    await asyncio.wait_for(
                        self.changed.wait_for(lambda: len(records) > start),
                        wait,
                    )
                except asyncio.TimeoutError:
                    pass
        body = struct.pack('>QQ', len(records), first)
        for content in records[start:]:
            body += struct.pack('>I', len(content)) + content
        return 200, body


class Engine(HttpServer):
    """A server that is listed in the store and answers as its script says."""

    def __init__(self, store, name, service, run, *, slots=6, model=None):
        super().__init__()
        self.store, self.name, self.service = store, name, service
        self.run, self.slots, self.model = run, slots, model
        self.version = 1
        self.software = 'v1'
        self.beats = 0
        self.state = 'ready'
        self.ran = []
        self.orders = []
        self.born = int(time.time() * 1000)
        self.epoch = self.born % 100000
        self._task = None

    async def start(self):
        await super().start()
        await self.beat()
        self._task = asyncio.create_task(self._beats())

    async def beat(self):
        self.beats += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': ZONE,
            'version': self.software,
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'seq': self.beats,
            'born': self.born,
        }
        if self.model:
            entry['stage'] = 'colocated'
            entry['models'] = self._models()
        await self.store.put('keyed.servers', self.name, entry)

    def _models(self):
        return [{'name': self.model, 'version': self.version, 'adapters': []}]

    async def _beats(self):
        while True:
            await asyncio.sleep(1.2)
            await self.beat()

    async def handle(self, request, reader, writer):
        expected = request.headers.get('x-yuccagauge-expect-instance')
        named = [('X-Yuccagauge-Instance-Id', self.name)]
        if expected not in (None, self.name):
            writer.write(answer_bytes(421, b'', named))
            return True
        if request.path == '/healthz':
            writer.write(answer_bytes(200, b'', named))
            return True
        if request.path == '/api/report':
            writer.write(self._json(self._report()))
            return True
        if request.path == '/api/kv-events':
            wait = int(request.headers.get('wait-ms', 0)) / 1000
            await asyncio.sleep(min(1, wait))
            found = {'bootEpoch': self.epoch, 'next': 1, 'lost': False}
            writer.write(self._json({**found, 'born': self.born, 'events': []}))
            return True
        wanted = request.headers.get('x-yuccagauge-expect-version')
        if self.model and wanted not in (None, str(self.version)):
            writer.write(answer_bytes(421, b'', named))
            return True
        return await self.run(self, request, reader, writer)

    def _report(self):
        return {
            'stage': 'colocated',
            'models': self._models() if self.model else [],
            'busy': False,
            'seq': len(self.orders),
            'queued': 0,
            'active': 0,
            'kvUsed': 0,
            'kvTotal': 128361,
            'handles': 0,
            'born': self.born,
        }

    @staticmethod
    def _json(document):
        kind = [('Content-Type', 'application/json')]
        return answer_bytes(200, json.dumps(document).encode(), kind)

    def echo(self, request):
        """Return the headers that all answers of an engine have."""
        return [
            (
                'X-Yuccagauge-Request-Id',
                request.headers.get('x-yuccagauge-request-id', ''),
            ),
            ('X-Yuccagauge-Server-Stamp', f'stamp.{self.name}'),
        ]

    def close(self):
        if self._task is not None:
            self._task.cancel()
        super().close()


class Router:
    """A process of the project, started as the deploy file says."""

    def __init__(self, folder, number, store, seeds=()):
        self.ip = '127.0.0.1'
        self.name = f'edge-{number}'
        self.front, self.ready, self.peer, self.metrics = (
            free_port() for _ in range(4)
        )
        self.store, self.folder = store, folder
        self.seeds = seeds or (f'{self.ip}:{self.peer}',)
        self.process = None
        self.log_path = folder / f'{self.name}.log'

    def settings(self):
        """Return deploy/router.ini with its placeholders filled in."""
        values = {
            'nodeName': self.name,
            'zone': ZONE,
            'listen.frontend': f'{self.ip}:{self.front}',
            'listen.readiness': f'{self.ip}:{self.ready}',
            'listen.control': f'{self.ip}:{self.peer}',
            'seeds': ','.join(self.seeds),
            'platform.address': self.store.address,
            'bounds.drainMs': 2000,
            'bounds.configApplyMs': 2000,
            'bounds.graceS': 8,
            'bounds.retryBudgetRatio': 0.2,
            'bounds.budgetSlack': 54,
            'bounds.budgetWindowS': 10,
            'bounds.versionMs': 12000,
            'heartbeatMs': 1200,
            'bounds.leaseMs': 3000,
            'bounds.requireFence': 'true',
        }
        text = (ROOT / 'deploy/router.ini').read_text()
        # Several routers share one machine here, so each has its own port.
        text = text.replace('{{ip}}:9464', f'{self.ip}:{self.metrics}')
        for name, value in values.items():
            text = text.replace('{{' + name + '}}', str(value))
        if '{{' in text:
            raise Unusable('a placeholder of deploy/router.ini is not known')
        return text

    def start(self):
        path = self.folder / f'{self.name}.ini'
        path.write_text(self.settings())
        env = {k: os.environ[k] for k in ('PATH', 'HOME') if k in os.environ}
        env['LANG'] = 'C.UTF-8'
        env['PYTHONPATH'] = str(ROOT / 'target/deps')
        env['PYTHONDONTWRITEBYTECODE'] = '1'
        env['YUCCAGAUGE_BOOT'] = str(path)
        with open(self.log_path, 'ab') as log:
            self.process = subprocess.Popen(
                ['python3', '-m', 'yuccagauge.platform'],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def rss_mb(self):
        try:
            text = Path(f'/proc/{self.process.pid}/status').read_text()
        except OSError:
            return 0
        for line in text.splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
        return 0

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.ip, self.ready), 1
            )
            writer.write(b'GET /api/ready HTTP/1.1\r\nHost: r\r\n\r\n')
            first, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return ' 200 ' in first
        except (OSError, EOFError, asyncio.TimeoutError):
            return False

    async def wait_ready(self, limit=20):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if await self.is_ready():
                return
            if self.process.poll() is not None:
                break
            await asyncio.sleep(0.1)
        raise Unusable(f'{self.name} is not ready')

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def wait_end(self, limit=12):
        end = time.monotonic() + limit
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def end(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


def reset(writer):
    """Reset a channel, instead of closing it."""
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info('socket')
    linger = struct.pack('ii', 1, 0)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


def route(name, host, kind, service, **more):
    found = {
        'name': name,
        'host': host,
        'pathPrefix': f'/{name}/',
        'kind': kind,
        'service': service,
        'timeoutMs': 15000,
        'sloMs': 500,
        'priority': 1,
        'attempts': 2,
        'public': False,
        'sticky': False,
        'canResume': False,
    }
    return {**found, **more}


PLAIN = {
    'name': 'roster',
    'healthPath': '/healthz',
    'maxConns': 100,
    'protocol': 'h1',
    'tls': False,
}
LLM = {
    'name': 'matcher',
    'healthPath': '/healthz',
    'maxConns': 360,
    'protocol': 'h1',
    'tls': False,
    'engine': {
        'slots': 64,
        'kvCapacity': 128361,
        'kvTokenBytes': 35136,
        'linkMbps': 260000.0,
        'moves': True,
        'backups': True,
        'stride': 4,
        'maxInflight': 12,
        'pinMs': 4000.0,
        'holdMs': 2000.0,
        'handle_s': 5.0,
        'models': [{'name': 'm0'}],
    },
}
KEY = 'key-of-tenant-one'


def config(version, routes, services=(PLAIN, LLM), tenants=None):
    return {
        'version': version,
        'routes': list(routes),
        'services': list(services),
        'limits': {
            'maxHeaderBytes': 16384,
            'maxBodyBytes': 4194304,
            'headerTimeoutMs': 3000,
            'idleTimeoutMs': 15000,
        },
        'tenants': tenants
        or [{'name': 'tenant-one', 'apiKeys': [KEY], 'priority': 1}],
    }


def request_bytes(
    route_name, host, request_id, *, method='POST', body=b'', deadline=5000,
    headers=(), key=KEY
):
    lines = [
        f'{method} /{route_name}/x HTTP/1.1',
        f'Host: {host}',
        f'X-Yuccagauge-Request-Id: {request_id}',
        f'X-Yuccagauge-Deadline-Ms: {deadline}',
        f'Authorization: Bearer {key}',
        *(f'{k}: {v}' for k, v in headers),
    ]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Record:
    """What was sent, answered and run, as lines of record.txt."""

    def __init__(self, folder):
        self._file = open(Path(folder) / 'record.txt', 'w')
        self._begin = time.monotonic()

    def __call__(self, text):
        line = f'{time.monotonic() - self._begin:8.3f} {text}'
        print(line, flush=True)
        self._file.write(line + '\n')
        self._file.flush()


def run_case(case, main, limit=110):
    """Run a case and exit as run.sh has to; ``main`` returns if a rule broke."""
    folder = Path(tempfile.mkdtemp(prefix='review-'))
    record = Record(Path(case).parent)
    parts = []

    async def go():
        return await asyncio.wait_for(main(record, folder, parts), limit)

    code = 2
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    try:
        record(f'TROUBLE={int(TROUBLE)}')
        code = 1 if loop.run_until_complete(go()) else 0
    except Unusable as error:
        record(f'could not run: {error}')
    except BaseException as error:  # noqa: BLE001
        record(f'could not run: {type(error).__name__}: {error}')
    finally:
        for part in parts:
            if isinstance(part, Router):
                part.end()
        if os.environ.get('KEEP'):
            print(folder)
        else:
            shutil.rmtree(folder, ignore_errors=True)
    record({0: 'the rule held', 1: 'THE RULE WAS BROKEN'}.get(code, 'no result'))
    sys.stdout.flush()
    # Tasks of stand-ins may still run.
    os._exit(code)
