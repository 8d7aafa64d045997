"""One entry that can't be read as text ends all exchange between routers."""

import asyncio
import json
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import (  # noqa: E402
    ZONE, Engine, Router, Store, TROUBLE, answer_bytes, config, free_port,
    head_bytes, read_head, request_bytes, reset, route,
    run_case,
)

STREAMS = 16
EVENTS = 60
EVENT_S = 0.05
#: The proxy resets the channel of a client after this time.
RESET_S = 0.8
DEADLINE_S = 10
KIND = ('Content-Type', 'text/event-stream')
CHUNKED = ('Transfer-Encoding', 'chunked')

#: An entry of another writer, with bytes that can't be read: its version holds
#: the bytes ED B3 A9, which are not UTF-8 (a lone surrogate).
ENTRY = {
    'service': 'matcher',
    'address': '127.0.0.1:9',
    'zone': ZONE,
    'version': 'v1-\udce9',
    'slots': 64,
    'state': 'draining',
    'coldRemainingMs': 0,
    'seq': 1,
}


def chunk(data):
    return b'%x\r\n' % len(data) + data + b'\r\n'


async def main(record, folder, parts):
    store = Store()
    await store.start()
    brief = route(
        'brief', 'h.example', 'streaming', 'matcher',
        canResume=True, sticky=True, gapAimMs=300, sloMs=400, attempts=2,
    )
    await store.put('keyed.op', 'config', config(1, [brief]))
    await store.put('keyed.op', 'version/m0', {'model': 'm0', 'version': 1})

    async def run(engine, request, reader, writer):
        name = request.headers['x-yuccagauge-request-id']
        after = request.headers.get('last-event-id')
        engine.ran.append(name)
        version = ('X-Yuccagauge-Weight-Versions', 1)
        headers = [*engine.echo(request), KIND, CHUNKED, version]
        writer.write(head_bytes(200, headers))
        for number in range(int(after) + 1 if after else 0, EVENTS):
            if writer.transport.is_closing():
                return False
            writer.write(chunk(b'id: %d\ndata: t%d\n\n' % (number, number)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b'0\r\n\r\n')
        return True

    for number in (1, 2):
        engine = Engine(
            store, f'm-{number}', 'matcher', run, slots=64, model='m0'
        )
        await engine.start()
    routers = []
    for number in (1, 2, 3):
        seeds = [f'127.0.0.1:{routers[0].peer}'] if routers else ()
        router = Router(folder, number, store, seeds)
        routers.append(router)
        parts.append(router)
        router.start()
    for router in routers:
        await router.wait_ready()
    await asyncio.sleep(3)
    if TROUBLE:
        text = json.dumps(ENTRY, ensure_ascii=False)
        value = text.encode('utf-8', 'surrogatepass')
        await store.put_bytes('keyed.servers', 'x-1', value)
        record(f'another writer writes servers/x-1: {value!r}')
    await asyncio.sleep(9)

    async def forward(client_reader, client_writer):
        """Carry a channel to the first router, and reset it after a while."""
        reader, writer = await asyncio.open_connection(
            routers[0].ip, routers[0].front
        )

        async def copy(source, sink):
            try:
                while data := await source.read(65536):
                    sink.write(data)
                    await sink.drain()
            except OSError:
                pass

        tasks = [
            asyncio.create_task(copy(client_reader, writer)),
            asyncio.create_task(copy(reader, client_writer)),
        ]
        await asyncio.sleep(RESET_S)
        for each in (writer, client_writer):
            reset(each)
        for task in tasks:
            task.cancel()

    proxy_port = free_port()
    await asyncio.start_server(forward, '127.0.0.1', proxy_port)

    async def attempt(port, name, extra, got):
        """Send one attempt; add the numbers of its events to ``got``."""
        headers = [
            ('X-Yuccagauge-Model', 'm0'),
            ('X-Yuccagauge-Token-Usage', '826,73'),
            ('X-Yuccagauge-Prefix-Hash', f'aa:119,b{name}:79,c{name}:628'),
            *extra,
        ]
        first, rest = 'none', b''
        try:
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(request_bytes(
                'brief', 'h.example', name, deadline=DEADLINE_S * 1000,
                headers=headers, body=b'x' * 1700,
            ))
            first, head = await asyncio.wait_for(read_head(reader), 5)
            if ' 200' not in first:
                writer.close()
                return first, float(head.get('retry-after', 0)), False
            while True:
                data = await asyncio.wait_for(reader.read(65536), 5)
                if not data:
                    return first, 0, False
                rest += data
                *lines, rest = rest.split(b'\n')
                for line in lines:
                    if line.startswith(b'id: '):
                        got.append(int(line[4:]))
                if rest.endswith(b'0\r\n\r\n') or b'0\r' in lines[-2:]:
                    writer.close()
                    return first, 0, True
        except (OSError, EOFError, asyncio.TimeoutError):
            return first, 0, False

    async def take_up(number):
        """Begin a stream at the first router; take it up at the second."""
        got = []
        name = f's{number}'
        await attempt(proxy_port, name, [], got)
        end = time.monotonic() + DEADLINE_S - RESET_S
        begun, seen = len(got), []
        tries = 0
        while time.monotonic() < end and tries < 4:
            tries += 1
            extra = [('Last-Event-Id', got[-1]), ('Resumes', name)]
            first, wait, is_whole = await attempt(
                routers[1].front, f'{name}-{tries}', extra, got
            )
            seen.append(first.strip())
            if len(got) > begun:
                break
            await asyncio.sleep(max(0.1, wait))
        is_whole = got == list(range(EVENTS))
        record(
            f'{name}: {begun} events at edge-1, then at edge-2 {seen}, '
            f'{"whole" if is_whole else "not whole"}'
        )
        return is_whole

    async def begin(number):
        """Begin a new stream at the second router."""
        got = []
        first, _, is_whole = await attempt(
            routers[1].front, f'n{number}', [], got
        )
        return got == list(range(EVENTS))

    taken = [asyncio.create_task(take_up(n)) for n in range(STREAMS)]
    await asyncio.sleep(RESET_S)
    new = [asyncio.create_task(begin(n)) for n in range(STREAMS)]
    goes_on = sum(await asyncio.gather(*taken))
    begins = sum(await asyncio.gather(*new))
    failed = sum(
        '"duty_failed"' in line and '"exchange"' in line
        for router in routers
        for line in router.log_path.read_text(errors='replace').splitlines()
    )
    record(f'log: {failed} rounds of exchange between routers failed')
    record(
        f'{goes_on} of {STREAMS} streams that were taken up go on, '
        f'{begins} of {STREAMS} new streams begin'
    )
    return 2 * goes_on < begins


run_case(__file__, main)
