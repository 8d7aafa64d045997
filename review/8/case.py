"""A router that gets SIGTERM ends before its clients have their answers."""

import asyncio
import signal
import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import (  # noqa: E402
    Engine, Router, Store, TROUBLE, answer_bytes, config, request_bytes,
    route, run_case,
)

#: Sizes of the answers, and how fast each client reads its own.
SIZES = (6_000_000, 6_250_000, 6_500_000)
BYTES_PER_S = 750_000
RECEIVE_BUFFER = 65_536
DEADLINE_MS = 15_000
GRACE_S = 8
#: When SIGTERM comes, after the requests were sent.
TERM_S = 0.3


async def main(record, folder, parts):
    store = Store()
    await store.start()
    post = route('post', 'h.example', 'non_idempotent', 'roster')
    await store.put('keyed.op', 'config', config(1, [post]))
    sent_at = {}

    async def run(engine, request, reader, writer):
        name = request.headers['x-yuccagauge-request-id']
        engine.ran.append(name)
        size = SIZES[int(name[2:])]
        body = bytes(range(250)) * (size // 250)
        writer.write(answer_bytes(200, body, engine.echo(request)))
        await writer.drain()
        while writer.transport.get_write_buffer_size():
            await asyncio.sleep(0.01)
        sent_at[name] = time.monotonic()
        record(f'{engine.name} has sent its whole answer to {name}')
        return True

    engines = [Engine(store, f'p-{n}', 'roster', run) for n in (1, 2, 3)]
    for engine in engines:
        await engine.start()
    router = Router(folder, 1, store)
    parts.append(router)
    router.start()
    await router.wait_ready()
    await asyncio.sleep(1)
    loop = asyncio.get_running_loop()
    ends = {}

    async def client(number):
        size = SIZES[number] // 250 * 250
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        sock.setblocking(False)
        await loop.sock_connect(sock, (router.ip, router.front))
        await loop.sock_sendall(sock, request_bytes(
            'post', 'h.example', f'r-{number}', deadline=DEADLINE_MS,
            body=b'x' * 600,
        ))
        began = time.monotonic()
        got, end = bytearray(), 'complete'
        while True:
            head, mark, body = got.partition(b'\r\n\r\n')
            if mark and len(body) >= size:
                break
            # Read no faster than the link of the client allows.
            ahead = len(got) / BYTES_PER_S - (time.monotonic() - began)
            if ahead > 0:
                await asyncio.sleep(ahead)
            try:
                data = await asyncio.wait_for(loop.sock_recv(sock, 8192), 12)
            except (OSError, asyncio.TimeoutError) as error:
                end = type(error).__name__
                break
            if not data:
                end = 'closed'
                break
            got += data
        sock.close()
        head, _, body = bytes(got).partition(b'\r\n\r\n')
        ends[number] = len(body) == size
        record(
            f'r-{number}: {head[:15]!r}, {len(body)} of {size} bytes, {end}, '
            f'{time.monotonic() - began:.2f} s after the request'
        )

    tasks = [asyncio.create_task(client(n)) for n in range(len(SIZES))]
    await asyncio.sleep(TERM_S)
    termed_at = time.monotonic()
    if TROUBLE:
        record('SIGTERM to the router')
        router.signal(signal.SIGTERM)
        await router.wait_end(GRACE_S)
        record(
            f'the router ended {time.monotonic() - termed_at:.2f} s after '
            f'SIGTERM, with exit code {router.process.poll()}'
        )
    await asyncio.wait(tasks)
    record(f'run: {sorted(name for e in engines for name in e.ran)}')
    # Not counted: what an engine still worked on in the last sixth of the grace.
    last = termed_at + GRACE_S * 5 / 6
    counted = [n for n in ends if sent_at.get(f'r-{n}', last) < last]
    return any(not ends[n] for n in counted)


run_case(__file__, main)
