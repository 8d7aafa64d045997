"""Brittle engines get more than they have room for, and fall over."""

import asyncio
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stand2 import (  # noqa: E402
    Engine, Router, Store, TROUBLE, answer_bytes, config, read_head,
    request_bytes, reset, route, run_case,
)

ENGINES = 3
SLOTS = 6
WORK_S = 0.09
#: Requests a second; the engines can do 200. A burst of the sheet's dose comes.
PER_S = 130
BURST_X, BURST_FROM_S, BURST_FOR_S = 1.7, 10.0, 3.0
SECONDS = 24
#: Requests that wait at an engine, and fewer from `stableMs` on while brittle.
QUEUE, BRITTLE_QUEUE = 24, 2
STABLE_S = 3.0
#: What engines name in `Server-Brittle`, and how long a fallen one is away.
BRITTLE = 5
AWAY_S = 3.0
#: When the engines begin to say that they are brittle, and for how long.
BRITTLE_FROM_S, BRITTLE_FOR_S = 3.0, 18.0


class BrittleEngine(Engine):
    """An engine with a queue, which falls over if it rejects too much."""

    def set_up(self, record, is_brittle):
        self.record, self.is_brittle = record, is_brittle
        self.places = asyncio.Semaphore(SLOTS)
        self.waiting, self.working = 0, 0
        self.rejected, self.cut, self.falls = [], [], 0
        self.is_away = False
        self.life = 0

    async def _serve(self, reader, writer):
        if self.is_away:
            reset(writer)
            return
        await super()._serve(reader, writer)

    async def run_request(self, request, writer):
        name = request.headers['x-yuccagauge-request-id']
        since = self.is_brittle()
        headers = self.echo(request)
        if since is not None:
            headers.append(('Server-Brittle', BRITTLE))
        is_narrow = since is not None and time.monotonic() - since >= STABLE_S
        room = SLOTS + (BRITTLE_QUEUE if is_narrow else QUEUE)
        if self.working + self.waiting >= room:
            now = time.monotonic()
            self.rejected = [at for at in self.rejected if now - at < 1]
            self.rejected.append(now)
            mark = ('X-Yuccagauge-Not-Executed', 1)
            writer.write(answer_bytes(503, b'', [*headers, mark]))
            if is_narrow and len(self.rejected) > BRITTLE:
                asyncio.get_running_loop().call_soon(self.fall)
            return True
        life = self.life
        self.waiting += 1
        async with self.places:
            if life != self.life:
                return False
            self.waiting -= 1
            self.working += 1
            self.ran.append(name)
            await asyncio.sleep(WORK_S)
            if life != self.life:
                self.cut.append(name)
                return False
            self.working -= 1
        writer.write(answer_bytes(200, b'y' * 800, headers))
        return True

    def fall(self):
        """End all channels and runs, and come back after some seconds."""
        if self.is_away:
            return
        self.falls += 1
        self.record(
            f'{self.name} falls over: {len(self.rejected)} rejected within a '
            f'second, {self.working} at work'
        )
        self.is_away, self.life = True, self.life + 1
        self.places = asyncio.Semaphore(SLOTS)
        self.working = self.waiting = 0
        self.rejected = []
        for writer in tuple(self.writers):
            reset(writer)
        asyncio.get_running_loop().call_later(AWAY_S, self.come_back)

    def come_back(self):
        self.is_away = False
        self.born = int(time.time() * 1000)
        self.beats = 0


async def main(record, folder, parts):
    draw = random.Random(1)
    store = Store()
    await store.start()
    post = route('post', 'h.example', 'non_idempotent', 'roster', attempts=1)
    await store.put('keyed.op', 'config', config(1, [post]))
    began = None

    def is_brittle():
        """Return since when the engines say that they are brittle."""
        if not TROUBLE or began is None:
            return None
        age = time.monotonic() - began - BRITTLE_FROM_S
        return began + BRITTLE_FROM_S if 0 <= age < BRITTLE_FOR_S else None

    async def run(engine, request, reader, writer):
        return await engine.run_request(request, writer)

    engines = [
        BrittleEngine(store, f'p-{n}', 'roster', run, slots=SLOTS)
        for n in range(1, ENGINES + 1)
    ]
    for engine in engines:
        engine.set_up(record, is_brittle)
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
    await asyncio.sleep(2)
    answers = {}

    async def send(number):
        name = f'r{number}'
        router = routers[number % len(routers)]
        try:
            reader, writer = await asyncio.open_connection(
                router.ip, router.front
            )
            writer.write(request_bytes(
                'post', 'h.example', name, deadline=4000,
                body=f'{number:08d}'.encode() + b'x' * 592,
            ))
            first, _ = await asyncio.wait_for(read_head(reader), 6)
            answers[name] = first.split(' ')[1]
            writer.close()
        except (OSError, EOFError, asyncio.TimeoutError) as error:
            answers[name] = type(error).__name__

    began = time.monotonic()
    tasks, number, due = [], 0, 0.0
    while (now := time.monotonic() - began) < SECONDS:
        while due < now:
            number += 1
            age = due - BURST_FROM_S
            factor = BURST_X if 0 <= age < BURST_FOR_S else 1
            due += draw.expovariate(PER_S * factor)
            tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(0.002)
    await asyncio.wait(tasks, timeout=10)
    falls = sum(engine.falls for engine in engines)
    cut = [name for engine in engines for name in engine.cut]
    lost = [name for name in cut if answers.get(name) != '200']
    counts = {}
    for status in answers.values():
        counts[status] = counts.get(status, 0) + 1
    record(f'{number} requests, by status {counts}')
    record(
        f'{falls} falls of {ENGINES} engines; {len(cut)} requests that may run '
        f'once were cut, {len(lost)} of them got no success'
    )
    return falls > 2 + ENGINES / 10


run_case(__file__, main)
