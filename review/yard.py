"""Stand-ins of the platform, the engines and the clients, and the routers.

The stand-ins follow the users' pages and run in one asyncio loop. The routers
are the project's own program, started as the deploy file says, each at a
loopback address of its own.
"""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = pathlib.Path(__file__).resolve().parents[1]
PREFIX = 'X-Yuccagauge-'

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CannotRunError(Exception):
    """The case could not be run, so that it says nothing."""


class Record:
    """The file ``record.txt`` of a case; times count from its start."""

    def __init__(self, path):
        self._file = open(path, 'w')
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def write(self, text):
        line = f'{self.now():8.3f} {text}'
        self._file.write(line + '\n')
        self._file.flush()

    def say(self, text):
        self.write(text)
        print(text, flush=True)


# --------------------------------------------------------------- HTTP


class Request:
    """One request that a stand-in has read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def get(self, name, default=''):
        for found, value in self.headers:
            if found.lower() == name.lower():
                return value
        return default

    @property
    def path(self):
        return urlsplit(self.target).path

    @property
    def query(self):
        found = parse_qs(urlsplit(self.target).query)
        return {name: values[0] for name, values in found.items()}


async def read_head(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    first, *lines = head.decode('latin-1').split('\r\n')
    headers = []
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.strip(), value.strip()))
    return first, headers


def header(headers, name, default=''):
    for found, value in headers:
        if found.lower() == name.lower():
            return value
    return default


async def read_request(reader):
    first, headers = await read_head(reader)
    method, target, _ = first.split(' ')
    length = int(header(headers, 'Content-Length', '0') or 0)
    body = await reader.readexactly(length) if length else b''
    return Request(method, target, headers, body)


def response(status, headers=(), body=b''):
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode('latin-1') + body


def json_response(status, document, headers=()):
    body = json.dumps(document).encode()
    return response(
        status, (('Content-Type', 'application/json'), *headers), body
    )


def reset(writer):
    """Reset a connection instead of closing it."""
    sock = writer.get_extra_info('socket')
    with contextlib.suppress(OSError, AttributeError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


class Service:
    """A stand-in that listens at an address and answers requests."""

    def __init__(self, host, port=0):
        self.host = host
        self.port = port
        self._server = None
        self._writers = set()
        self._tasks = set()

    @property
    def address(self):
        return f'{self.host}:{self.port}'

    async def listen(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        task = asyncio.current_task()
        self._tasks.add(task)
        writer.get_extra_info('socket').setsockopt(
            socket.IPPROTO_TCP, socket.TCP_NODELAY, 1
        )
        try:
            await self.serve(reader, writer)
        except (
            asyncio.IncompleteReadError,
            ConnectionError,
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()

    async def serve(self, reader, writer):
        while True:
            request = await read_request(reader)
            await self.answer(request, reader, writer)
            await writer.drain()

    async def answer(self, request, reader, writer):
        raise NotImplementedError

    def stop(self):
        """End as a killed process does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            reset(writer)
        for task in tuple(self._tasks):
            task.cancel()


# -------------------------------------------------------------- store

_OWN_BY_OTHERS = ('keyed.op', 'keyed.servers')


class Store(Service):
    """The platform's store: a log with topics, some of them keyed."""

    def __init__(self, host, record):
        super().__init__(host)
        self.record = record
        self.era = 1
        self.is_away = False
        #: By topic and partition: (time, key or None, content).
        self.logs = {}
        self.calls = 0

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, int(part)), [])

    def put(self, topic, key, value):
        """Append a keyed record of the operator or of an engine.

        Returns its offset; an empty value drops the key.
        """
        content = bytes([len(key)]) + key.encode() + value
        log = self.log(topic)
        log.append((time.monotonic(), content))
        return len(log) - 1

    def newest(self, topic, part=0):
        found = {}
        for offset, (_, content) in enumerate(self.log(topic, part)):
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return found

    def restore_copy(self, age_s):
        """Come back from a copy; return the lost records by topic."""
        until = time.monotonic() - age_s
        lost = {}
        for name, log in self.logs.items():
            kept = [entry for entry in log if entry[0] <= until]
            lost[name] = log[len(kept) :]
            self.logs[name] = kept
        self.era += 1
        return lost

    async def answer(self, request, reader, writer):
        self.calls += 1
        await asyncio.sleep(0.004)
        raw = await self._answer(request)
        writer.write(raw)

    def _era(self):
        return (('Store-Era', str(self.era)),)

    async def _answer(self, request):
        if self.is_away:
            return response(503, self._era())
        query = request.query
        topic = query.get('topic', '')
        part = int(query.get('part', 0))
        path = request.path
        if path == '/api/log-append':
            return self._append(topic, part, query, request.body)
        if path == '/api/log-newest':
            items = [
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
                for key, (offset, value) in self.newest(topic, part).items()
            ]
            document = {
                'items': items,
                'more': False,
                'end': len(self.log(topic, part)),
            }
            return json_response(200, document, self._era())
        if path == '/api/log-read':
            return await self._read(topic, part, query)
        return response(404, self._era())

    def _append(self, topic, part, query, body):
        if topic in _OWN_BY_OTHERS:
            return response(403, self._era())
        log = self.log(topic, part)
        if 'at' in query and int(query['at']) != len(log):
            return json_response(412, {'end': len(log)}, self._era())
        offset = len(log)
        position = 0
        now = time.monotonic()
        while position < len(body):
            (length,) = struct.unpack_from('>I', body, position)
            position += 4
            log.append((now, body[position : position + length]))
            position += length
        if topic == 'keyed.lead':
            content = log[-1][1]
            holder = content[1 + content[0] :].decode().strip()
            self.record.write(f'store: lease record {len(log)} of {holder!r}')
        return json_response(
            200, {'offset': offset, 'end': len(log)}, self._era()
        )

    async def _read(self, topic, part, query):
        start = int(query['from'])
        wait_until = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while True:
            if self.is_away:
                return response(503, self._era())
            log = self.log(topic, part)
            if start > len(log):
                return json_response(410, {'first': 0}, self._era())
            if start < len(log) or time.monotonic() >= wait_until:
                break
            await asyncio.sleep(0.01)
        chunks = [struct.pack('>QQ', len(log), 0)]
        for _, content in log[start : start + 2000]:
            chunks.append(struct.pack('>I', len(content)) + content)
        return response(200, self._era(), b''.join(chunks))


# ------------------------------------------------------------- engines


class Engine(Service):
    """What all engines have: an entry in the store, orders to leave."""

    def __init__(self, host, store, service, zone, slots, heartbeat_s=1.2):
        super().__init__(host)
        self.store = store
        self.service = service
        self.zone = zone
        self.slots = slots
        self.heartbeat_s = heartbeat_s
        self.server_id = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.state = 'ready'
        self.beat = 0
        #: Requests that began to run: (time, id, path).
        self.ran = []
        self.active = 0
        self.extra_headers = []
        self._beating = None

    async def start(self):
        await self.listen()
        self.write_entry()
        self._beating = asyncio.create_task(self._beat())

    def entry(self):
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'coldRemainingMs': 0,
            'born': self.born,
            'seq': self.beat,
        }

    def write_entry(self):
        if not self.store.is_away:
            self.beat += 1
            self.store.put(
                'keyed.servers',
                self.server_id,
                json.dumps(self.entry()).encode(),
            )

    async def _beat(self):
        while True:
            await asyncio.sleep(self.heartbeat_s * random.uniform(0.95, 1.05))
            self.write_entry()

    def crash(self):
        """End at once, as a killed process."""
        self.stop()
        if self._beating is not None:
            self._beating.cancel()

    def misdirected(self, request):
        expected = request.get(PREFIX + 'Expect-Instance')
        if expected and expected != self.server_id:
            return response(
                421,
                (
                    (PREFIX + 'Instance-Id', self.server_id),
                    (PREFIX + 'Not-Executed', '1'),
                ),
            )
        return None

    def answer_headers(self, request):
        return [
            (PREFIX + 'Request-Id', request.get(PREFIX + 'Request-Id')),
            (PREFIX + 'Server-Stamp', f'{self.server_id}.{len(self.ran)}'),
            *self.extra_headers,
        ]


class PlainEngine(Engine):
    """An engine of a plain service."""

    def __init__(self, *args, queue=24, work_s=0.0225, body_bytes=800, **more):
        super().__init__(*args, **more)
        self.queue = queue
        self.work_s = work_s
        self.body_bytes = body_bytes
        self._room = asyncio.Semaphore(self.slots)
        self.waiting = 0
        self.rejections = []
        self.on_reject = lambda: None

    async def answer(self, request, reader, writer):
        if request.path == '/healthz':
            writer.write(
                response(200, ((PREFIX + 'Instance-Id', self.server_id),))
            )
            return
        wrong = self.misdirected(request)
        if wrong is not None:
            writer.write(wrong)
            return
        if self.waiting >= self.queue and self._room.locked():
            self.rejections.append(time.monotonic())
            self.on_reject()
            writer.write(
                response(
                    503,
                    (
                        (PREFIX + 'Not-Executed', '1'),
                        *self.answer_headers(request)[:1],
                        *self.extra_headers,
                    ),
                )
            )
            return
        self.waiting += 1
        try:
            await self._room.acquire()
        finally:
            self.waiting -= 1
        try:
            self.ran.append(
                (
                    time.monotonic(),
                    request.get(PREFIX + 'Request-Id'),
                    request.path,
                )
            )
            self.active += 1
            await asyncio.sleep(self.work_s)
            body = b'x' * self.body_bytes
            writer.write(response(200, self.answer_headers(request), body))
        finally:
            self.active -= 1
            self._room.release()


class ModelEngine(Engine):
    """An engine that runs a model and takes orders to load weights."""

    def __init__(
        self,
        *args,
        model,
        checks_fences,
        load_s=0.57,
        step_s=0.02,
        first_s=0.02,
        events=8,
        id_step=1,
        **more,
    ):
        super().__init__(*args, **more)
        self.model = model
        self.version = 1
        self.checks_fences = checks_fences
        self.load_s = load_s
        self.step_s = step_s
        self.first_s = first_s
        self.events = events
        self.id_step = id_step
        #: Ids of all requests that arrived whole.
        self.received = []
        self.order_seq = 0
        self.highest_fence = 0
        self.is_loading = False
        #: (time, holder, fence, version, status) of each order.
        self.orders = []
        #: When each run began, and on which weights.
        self.begun = []
        self._runs = set()

    def entry(self):
        return super().entry() | {
            'stage': 'colocated',
            'models': [
                {'name': self.model, 'version': self.version, 'adapters': []}
            ],
        }

    async def answer(self, request, reader, writer):
        path = request.path
        if path == '/api/report':
            document = {
                'stage': 'colocated',
                'models': self.entry()['models'],
                'busy': self.is_loading,
                'seq': self.order_seq,
                'queued': 0,
                'active': self.active,
                'kvUsed': 0,
                'kvTotal': 128361,
                'handles': 0,
                'born': self.born,
            }
            writer.write(json_response(200, document, self.extra_headers))
        elif path == '/api/order':
            writer.write(self._order(request))
        elif path == '/api/kv-events':
            await asyncio.sleep(int(request.get('Wait-Ms', '0') or 0) / 1000)
            document = {
                'bootEpoch': self.born % 100000,
                'next': 0,
                'lost': False,
                'events': [],
            }
            writer.write(json_response(200, document, self.extra_headers))
        elif path == '/healthz':
            writer.write(
                response(200, ((PREFIX + 'Instance-Id', self.server_id),))
            )
        else:
            await self._run(request, writer)

    def _order(self, request):
        order = json.loads(request.body)
        status = self._order_status(request, order)
        entry = (
            time.monotonic(),
            order.get('holder'),
            order.get('fence'),
            order.get('version'),
            status,
        )
        self.orders.append(entry)
        if status == 421:
            return self.misdirected(request)
        return response(status, self.extra_headers)

    def _order_status(self, request, order):
        if self.misdirected(request) is not None:
            return 421
        if 'holder' not in order or 'fence' not in order:
            return 400
        if self.checks_fences and order['fence'] < self.highest_fence:
            return 412
        if self.is_loading:
            return 409
        if 'expected' in order and order['expected'] != self.order_seq:
            return 409
        self.highest_fence = max(self.highest_fence, order['fence'])
        if order['version'] <= self.version:
            return 200
        self.order_seq += 1
        self.is_loading = True
        asyncio.create_task(self._load(order))
        return 202

    async def _load(self, order):
        if order.get('swapMode') == 'preempt':
            for task, writer in tuple(self._runs):
                reset(writer)
                task.cancel()
        while self._runs:
            await asyncio.sleep(0.005)
        await asyncio.sleep(self.load_s)
        self.version = order['version']
        self.is_loading = False
        self.write_entry()

    async def _run(self, request, writer):
        self.received.append(request.get(PREFIX + 'Request-Id'))
        wrong = self.misdirected(request)
        if wrong is not None:
            writer.write(wrong)
            return
        expected = request.get(PREFIX + 'Expect-Version')
        not_run = ((PREFIX + 'Not-Executed', '1'),)
        if expected and int(expected) != self.version:
            writer.write(response(421, not_run))
            return
        if self.is_loading or self.active >= self.slots:
            writer.write(response(503, not_run))
            return
        run = (asyncio.current_task(), writer)
        self._runs.add(run)
        self.active += 1
        try:
            await self._stream(request, writer)
        finally:
            self.active -= 1
            self._runs.discard(run)

    async def _stream(self, request, writer):
        request_id = request.get(PREFIX + 'Request-Id')
        await asyncio.sleep(self.first_s)
        self.ran.append((time.monotonic(), request_id, request.path))
        self.begun.append((time.monotonic(), request_id, self.version))
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Transfer-Encoding: chunked',
            f'{PREFIX}Weight-Versions: {self.version}',
        ]
        lines += [f'{n}: {v}' for n, v in self.answer_headers(request)]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        done = int(request.get('Last-Event-Id') or 0) // self.id_step
        for number in range(done + 1, self.events + 1):
            event_id = number * self.id_step
            event = f'id: {event_id}\ndata: piece {number}\n\n'.encode()
            writer.write(b'%x\r\n%s\r\n' % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.step_s)
        writer.write(b'0\r\n\r\n')


# ------------------------------------------------------------- routers


def free_port(host):
    """Return a port that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Router:
    """One process of the project, as the deploy file starts it."""

    def __init__(self, yard, number, zone):
        self.yard = yard
        self.name = f'edge-{zone}-{number}'
        self.zone = zone
        self.host = yard.host(number)
        # Only the port of the metrics stands in the deploy file.
        self.front = (self.host, free_port(self.host))
        self.ready = (self.host, free_port(self.host))
        self.control = f'{self.host}:{free_port(self.host)}'
        self.process = None
        self.starts = 0

    def fields(self):
        settings = self.yard.settings
        return {
            'nodeName': self.name,
            'zone': self.zone,
            'ip': self.host,
            'listen.frontend': f'{self.host}:{self.front[1]}',
            'listen.readiness': f'{self.host}:{self.ready[1]}',
            'listen.control': self.control,
            'seeds': ','.join(self.yard.seeds),
            'platform.address': self.yard.store.address,
            **{key: str(value) for key, value in settings.items()},
        }

    def start(self):
        fields = self.fields()
        template = (ROOT / 'deploy/router.ini').read_text()
        text = re.sub(
            r'\{\{([^}]+)\}\}', lambda match: fields[match[1]], template
        )
        path = self.yard.folder / f'{self.name}.ini'
        path.write_text(text)
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['router']['run'].split()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = f'{ROOT}/target/deps'
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['YUCCAGAUGE_BOOT'] = str(path)
        self.starts += 1
        log = open(self.yard.folder / f'{self.name}.{self.starts}.log', 'wb')
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.yard.record.write(f'{self.name}: started')

    def log_lines(self):
        for path in sorted(self.yard.folder.glob(f'{self.name}.*.log')):
            yield from path.read_text(errors='replace').splitlines()

    def signal(self, number):
        self.yard.record.write(f'{self.name}: {signal.Signals(number).name}')
        self.process.send_signal(number)

    async def wait_end(self, limit_s):
        end = time.monotonic() + limit_s
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            return False
        return True

    async def is_ready(self):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(*self.ready), 0.5
            )
            writer.write(
                b'GET /api/ready HTTP/1.1\r\nHost: a\r\n'
                b'Connection: close\r\n\r\n'
            )
            first, _ = await asyncio.wait_for(read_head(reader), 0.5)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return first.split()[1] == '200'

    async def wait_ready(self, limit_s=15):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise CannotRunError(f'{self.name} has ended')
            if await self.is_ready():
                self.yard.record.write(f'{self.name}: ready')
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} is not ready')


# -------------------------------------------------------------- clients


class Answer:
    """What a client has of one answer."""

    def __init__(self):
        self.status = 0
        self.headers = []
        self.body = b''
        self.is_complete = False
        self.error = ''

    def get(self, name):
        return header(self.headers, name)


_IDS = (f'{number:016x}' for number in iter(lambda: random.getrandbits(63), 0))


def request_bytes(
    method, path, host, request_id, deadline_ms, key='', more=(), body=b''
):
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {host}',
        f'{PREFIX}Request-Id: {request_id}',
        f'{PREFIX}Deadline-Ms: {deadline_ms}',
    ]
    if key:
        lines.append(f'Authorization: Bearer {key}')
    lines += [f'{name}: {value}' for name, value in more]
    if body or method == 'POST':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def new_id():
    return next(_IDS)


async def read_answer(reader, answer):
    """Read one answer into ``answer``; it is complete or has an error."""
    try:
        first, answer.headers = await read_head(reader)
        answer.status = int(first.split()[1])
        if answer.get('Transfer-Encoding').lower() == 'chunked':
            while True:
                size = int((await reader.readline()).strip() or b'0', 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    break
                answer.body += chunk[:-2]
        else:
            length = int(answer.get('Content-Length') or 0)
            while len(answer.body) < length:
                part = await reader.read(min(65536, length - len(answer.body)))
                if not part:
                    raise ConnectionError('closed early')
                answer.body += part
        answer.is_complete = True
    except (
        OSError,
        ValueError,
        asyncio.IncompleteReadError,
        ConnectionError,
    ) as error:
        answer.error = f'{type(error).__name__} {error}'
    return answer


async def call(address, raw, limit_s):
    """Send one request on a new channel, and return the answer."""
    answer = Answer()
    writer = None
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), 1
        )
        writer.write(raw)
        await asyncio.wait_for(read_answer(reader, answer), limit_s)
    except (OSError, asyncio.TimeoutError) as error:
        answer.error = answer.error or type(error).__name__
    finally:
        if writer is not None:
            writer.close()
    return answer


# ----------------------------------------------------------------- yard


class Yard:
    """A small deployment: the store, engines and routers."""

    def __init__(self, record, settings):
        self.record = record
        self.settings = settings
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self._net = f'127.{random.randint(16, 250)}.{random.randint(1, 250)}'
        self.store = Store(self.host(200), record)
        self.engines = []
        self.routers = []
        self.configuration = None

    def host(self, number):
        return f'{self._net}.{number}'

    @property
    def seeds(self):
        return [router.control for router in self.routers[:3]]

    def configure(self, document):
        """Write a configuration, as the operator does."""
        self.configuration = document
        self.store.put('keyed.op', 'config', json.dumps(document).encode())
        self.record.write(f'operator: configuration {document["version"]}')

    def name_weights(self, model, version):
        document = {'model': model, 'version': version}
        self.store.put(
            'keyed.op', f'version/{model}', json.dumps(document).encode()
        )
        self.record.write(f'operator: weights {version} of {model}')

    def add_routers(self, zones):
        for number, zone in enumerate(zones, 10):
            self.routers.append(Router(self, number, zone))

    async def start_routers(self):
        for router in self.routers:
            router.start()
        for router in self.routers:
            await router.wait_ready()

    def close(self):
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.kill()
                router.process.wait()
        for engine in self.engines:
            engine.crash()
        self.store.stop()
        if os.environ.get('KEEP_LOGS'):
            self.record.write(f'logs are kept in {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def default_settings(**changes):
    """Return what the platform fills into the settings; see DEPLOY.md."""
    settings = {
        'bounds.drainMs': 2000,
        'bounds.configApplyMs': 2000,
        'bounds.graceS': 8,
        'bounds.retryBudgetRatio': 0.2,
        'bounds.budgetSlack': 54,
        'bounds.budgetWindowS': 10,
        'bounds.versionMs': 12000,
        'bounds.leaseMs': 3000,
        'bounds.requireFence': 'true',
        'heartbeatMs': 1200,
    }
    settings.update(changes)
    return settings


def model_service(name, model, slots=64):
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConns': 360,
        'protocol': 'h1',
        'tls': False,
        'engine': {
            'slots': slots,
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
            'models': [{'name': model}],
        },
    }


def plain_service(name, conns=100):
    return {
        'name': name,
        'healthPath': '/healthz',
        'maxConns': conns,
        'protocol': 'h1',
        'tls': False,
    }


LIMITS = {
    'maxHeaderBytes': 16384,
    'maxBodyBytes': 4194304,
    'headerTimeoutMs': 3000,
    'idleTimeoutMs': 15000,
}


def main(case, folder, *, trouble, limit_s=110):
    """Run a case and exit with its result."""
    record = Record(pathlib.Path(folder) / 'record.txt')
    record.say(f'disruption: {"yes" if trouble else "no"}')

    async def run():
        return await asyncio.wait_for(case(record), limit_s)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        code = asyncio.run(run())
    except (CannotRunError, asyncio.TimeoutError, OSError) as error:
        record.say(f'could not run: {type(error).__name__} {error}')
        code = COULD_NOT_RUN
    verdict = {HELD: 'held', BROKEN: 'broken', COULD_NOT_RUN: 'no result'}
    record.say(f'result: {verdict[code]}')
    sys.exit(code)
