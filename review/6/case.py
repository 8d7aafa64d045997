"""Wrong bytes of an engine reach clients as a success."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import (  # noqa: E402
    Engine, Router, Store, TROUBLE, answer_bytes, config, read_body,
    read_head, request_bytes, route, run_case,
)

#: Three of five engines spoil one of 34 of their answers.
FAULTY = ('p-1', 'p-2', 'p-3')
SPOILS_EACH = 34
REQUESTS = 900
PER_S = 90
WORK_S = 0.02
#: Bytes that are no answer of an engine: neither the id that engines echo nor
#: their stamp, and not the body.
WRONG = (
    b'HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 24\r\n\r\n'
    b'<html>it works</html>   '
)
#: The same as a failure; it does not state that the request has not run.
WRONG_503 = WRONG.replace(b'200 OK', b'503 Unavailable')


async def main(record, folder, parts):
    store = Store()
    await store.start()
    routes = [
        route('confirm', 'h.example', 'non_idempotent', 'roster', attempts=1),
        route('check', 'h.example', 'idempotent', 'roster'),
    ]
    await store.put('keyed.op', 'config', config(1, routes))
    spoiled = []

    async def run(engine, request, reader, writer):
        name = request.headers['x-yuccagauge-request-id']
        engine.ran.append(name)
        await asyncio.sleep(WORK_S)
        is_due = len(engine.ran) % SPOILS_EACH == 0
        if TROUBLE and engine.name in FAULTY and is_due:
            spoiled.append(name)
            record(f'{engine.name} spoils its answer to {name}')
            writer.write(WRONG if len(spoiled) % 3 else WRONG_503)
        else:
            body = f'answer to {name}'.encode()
            writer.write(answer_bytes(200, body, engine.echo(request)))
        return True

    engines = [Engine(store, f'p-{n}', 'roster', run) for n in range(1, 6)]
    for engine in engines:
        await engine.start()
    router = Router(folder, 1, store)
    parts.append(router)
    router.start()
    await router.wait_ready()
    await asyncio.sleep(1)
    wrong, refused, counts = [], [], {}

    async def send(number):
        kind, method = (
            ('confirm', 'POST') if number % 2 else ('check', 'GET')
        )
        name = f'{kind}-{number}'
        try:
            reader, writer = await asyncio.open_connection(
                router.ip, router.front
            )
            writer.write(request_bytes(
                kind, 'h.example', name, method=method, deadline=4000,
                body=b'x' * 600 if method == 'POST' else b'',
            ))
            first, headers = await asyncio.wait_for(read_head(reader), 8)
            body = await read_body(reader, headers)
            writer.close()
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            counts[type(error).__name__] = 1
            return
        status = first.split(' ')[1]
        counts[status] = counts.get(status, 0) + 1
        is_success = status.startswith('2')
        if status == '503' and kind == 'confirm':
            has_run = any(name in engine.ran for engine in engines)
            refused.append(name)
            record(f'{name}: 503, run by an engine: {has_run}')
        if is_success and 'x-yuccagauge-server-stamp' not in headers:
            wrong.append(name)
            record(f'{name}: {status} without a stamp, body {body!r}')
        elif is_success and body != f'answer to {name}'.encode():
            wrong.append(name)
            record(f'{name}: {status} with body {body!r}')

    tasks = []
    for number in range(REQUESTS):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(1 / PER_S)
    await asyncio.wait(tasks, timeout=20)
    record(
        f'{REQUESTS} requests, by status {counts}; {len(spoiled)} answers '
        f'spoiled; {len(wrong)} clients got a success that is no answer'
    )
    record(
        f'besides, {len(refused)} requests that may run once were answered '
        '503 (REFUSED, not judged here)'
    )
    return bool(wrong)


run_case(__file__, main)
