"""Requests as long as the operator's limit allows end a router by its memory."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import (  # noqa: E402
    Engine, Router, Store, TROUBLE, answer_bytes, config, read_body,
    read_head, request_bytes, route, run_case,
)

#: `limits.memoryMb` of the machines: the platform kills a process beyond it.
MEMORY_MB = 150
#: `limits.maxBodyBytes` of the configuration is 4,194,304.
LONG_BODY = 4_194_304
SHORT_BODY = 600
#: Clients that send a request each at the same time, and kept channels.
SENDERS = 24
KEPT = 8
WORK_S = 0.5


async def main(record, folder, parts):
    store = Store()
    await store.start()
    post = route('post', 'h.example', 'non_idempotent', 'roster')
    await store.put('keyed.op', 'config', config(1, [post]))

    async def run(engine, request, reader, writer):
        engine.ran.append(request.headers['x-yuccagauge-request-id'])
        await asyncio.sleep(WORK_S)
        writer.write(answer_bytes(200, b'y' * 800, engine.echo(request)))
        return True

    engines = [Engine(store, f'p-{n}', 'roster', run) for n in range(1, 7)]
    for engine in engines:
        await engine.start()
    router = Router(folder, 1, store)
    parts.append(router)
    router.start()
    await router.wait_ready()
    await asyncio.sleep(1)
    peak, is_over = 0, False
    broken = []

    async def watch_memory():
        """Do what the platform does: kill a process beyond its memory."""
        nonlocal peak, is_over
        while True:
            used = router.rss_mb()
            peak = max(peak, used)
            if used > MEMORY_MB and not is_over:
                is_over = True
                record(f'the router uses {used:.0f} MB: the platform kills it')
                router.process.kill()
            await asyncio.sleep(0.005)

    async def keep_channel(number):
        """Send one request after the other on a channel that stays open."""
        reader, writer = await asyncio.open_connection(router.ip, router.front)
        for turn in range(20):
            name = f'k{number}-{turn}'
            writer.write(request_bytes(
                'post', 'h.example', name, deadline=5000,
                body=b'x' * SHORT_BODY,
            ))
            try:
                first, headers = await asyncio.wait_for(read_head(reader), 8)
                await read_body(reader, headers)
            except (OSError, EOFError, asyncio.TimeoutError):
                ran = any(name in engine.ran for engine in engines)
                record(f'{name}: no answer; run by an engine: {ran}')
                if ran:
                    broken.append(name)
                return
        writer.close()

    async def send(number):
        body = b'x' * (LONG_BODY if TROUBLE else SHORT_BODY)
        try:
            reader, writer = await asyncio.open_connection(
                router.ip, router.front
            )
            writer.write(request_bytes(
                'post', 'h.example', f'r{number}', deadline=10000, body=body,
            ))
            first, _ = await asyncio.wait_for(read_head(reader), 12)
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            first = type(error).__name__
        record(f'r{number}: {len(body)} bytes, {first.strip()}')

    watch = asyncio.create_task(watch_memory())
    tasks = [asyncio.create_task(keep_channel(n)) for n in range(KEPT)]
    await asyncio.sleep(2.2)
    tasks += [asyncio.create_task(send(n)) for n in range(SENDERS)]
    await asyncio.wait(tasks, timeout=40)
    watch.cancel()
    record(
        f'at most {peak:.0f} MB; {len(broken)} of {KEPT} kept channels ended '
        'without the answer to a request that an engine runs'
    )
    return len(broken) > 3


run_case(__file__, main)
