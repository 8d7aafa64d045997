"""LOST: whole answers of an engine that leaves are taken for broken ones."""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import models as m  # noqa: E402
import yard as y  # noqa: E402

#: With ``TROUBLE=0`` all is the same without the disruption.
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

#: Clients at the first machine, and at each of the others.
CLIENTS = 15
OTHERS = 3
EVENTS = 30
EVENT_S = 0.1
DRAIN_S = 2.0
#: "and a little longer (at times many seconds)".
LONGER_S = 3.0
DEADLINE_MS = 15_000


class UnframedEngine(y.ModelEngine):
    """Its answers have no length and no chunks, and end with the channel."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        #: Ids of the requests that were answered to the end.
        self.finished = set()

    async def _stream(self, request, writer):
        request_id = request.get(y.PREFIX + 'Request-Id')
        events = int(request.get(y.PREFIX + 'Token-Usage').split(',')[1])
        await asyncio.sleep(self.first_s)
        self.ran.append((time.monotonic(), request_id, request.path))
        lines = [
            'HTTP/1.1 200 OK',
            'Content-Type: text/event-stream',
            'Connection: close',
            f'{y.PREFIX}Weight-Versions: {self.version}',
        ]
        lines += [f'{n}: {v}' for n, v in self.answer_headers(request)]
        writer.write('\r\n'.join([*lines, '', '']).encode())
        for number in range(1, events + 1):
            writer.write(f'id: {number}\ndata: piece {number}\n\n'.encode())
            await writer.drain()
            await asyncio.sleep(self.step_s)
        self.finished.add(request_id)
        writer.close()
        await writer.wait_closed()

    def leave(self):
        """Have the entry removed, and go on serving for the same time."""
        self._beating.cancel()
        self.store.put('keyed.servers', self.server_id, b'')
        self.extra_headers = [('Server-Leaving', '1')]
        loop = asyncio.get_running_loop()
        loop.call_later(DRAIN_S + LONGER_S, self.crash)


def configuration():
    document = m.configuration(3)
    document['routes'][0].update(
        timeoutMs=DEADLINE_MS, attempts=1, canResume=False, gapAimMs=300
    )
    return document


class Client:
    """A client with a kept channel."""

    def __init__(self, router, number):
        self.router = router
        self.number = number

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            *self.router.front
        )

    async def stream(self, events):
        self.request_id = y.new_id()
        self.answer = y.Answer()
        raw = y.request_bytes(
            'POST',
            '/lepu270/2f',
            'jepu9.example',
            self.request_id,
            DEADLINE_MS,
            'k1',
            (
                (y.PREFIX + 'Model', m.MODEL),
                (y.PREFIX + 'Token-Usage', f'826,{events}'),
                (
                    y.PREFIX + 'Prefix-Hash',
                    f'{self.number % 3:08x}:198,{self.request_id}:628',
                ),
            ),
            b'{}',
        )
        self.writer.write(raw)
        await y.read_answer(self.reader, self.answer)
        return self.answer


async def case(record):
    yard = y.Yard(record, y.default_settings())
    try:
        return await play(yard, record)
    finally:
        yard.close()


async def play(yard, record):
    await m.start(
        yard,
        ['a', 'b', 'c'],
        3,
        checks_fences=True,
        engine_class=UnframedEngine,
        first_configuration=configuration(),
        step_s=EVENT_S,
    )
    await asyncio.sleep(4)
    first, *others = yard.routers
    places = [first] * CLIENTS + others * OTHERS
    clients = [Client(router, n) for n, router in enumerate(places)]
    for client in clients:
        await client.open()
    # The channels have carried a request before: they are kept ones.
    for answer in await asyncio.gather(*(c.stream(1) for c in clients)):
        if not answer.is_complete:
            raise y.CannotRunError(f'first answer: {answer.status}')
    await asyncio.sleep(1)
    streams = [asyncio.create_task(c.stream(EVENTS)) for c in clients]
    await asyncio.sleep(1)
    sent = {client.request_id for client in clients[:CLIENTS]}
    engine = max(
        yard.engines, key=lambda each: sum(run[1] in sent for run in each.ran)
    )
    record.say(f'{engine.active} streams run at {engine.server_id}')
    if TROUBLE:
        record.say(f'disruption: the entry of {engine.server_id} is removed')
        engine.leave()
    await asyncio.wait_for(asyncio.gather(*streams), 20)
    lost = dict.fromkeys((router.name for router in yard.routers), 0)
    for client in clients:
        where = [e for e in yard.engines if client.request_id in e.finished]
        got = client.answer.body.count(b'data: piece')
        record.write(
            f'{client.request_id} at {client.router.name}: status '
            f'{client.answer.status}, {got} of {EVENTS} events, complete '
            f'{client.answer.is_complete}, ended whole by '
            f'{[e.server_id for e in where]}, {client.answer.error}'
        )
        was_cut = bool(where) and not client.answer.is_complete
        lost[client.router.name] += was_cut
    record.say(
        f'LOST: {lost} requests of kept channels were answered whole by a '
        'sound engine, and their channels were reset, by machine'
    )
    return y.BROKEN if max(lost.values()) > 3 else y.HELD


if __name__ == '__main__':
    y.main(case, HERE, trouble=TROUBLE)
