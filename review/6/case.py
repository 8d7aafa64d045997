"""REFUSED: an engine's 503 that promises nothing is passed on as a promise."""

import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import yard as y  # noqa: E402

#: ``srv_grey``: share of the engines, and of the requests that these fail.
GREY_X = 0.45
CALLS = 120
PER_S = 20.0
DEADLINE_MS = 600


class GreyEngine(y.PlainEngine):
    """Runs each request; while it is grey, it answers some of them 503."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        self.is_grey = False
        self.failed = set()

    async def answer(self, request, reader, writer):
        wrong = self.misdirected(request)
        if wrong is not None:
            writer.write(wrong)
            return
        request_id = request.get(y.PREFIX + 'Request-Id')
        async with self._room:
            self.ran.append((0, request_id, request.body))
            await asyncio.sleep(self.work_s)
        if self.is_grey and random.random() < GREY_X:
            # It has run. Nothing says that it has not.
            self.failed.add(request_id)
            writer.write(
                y.response(503, self.answer_headers(request), b'try later')
            )
            return
        writer.write(
            y.response(200, self.answer_headers(request), b'x' * 800)
        )


def configuration():
    return {
        'version': 3,
        'routes': [
            {
                'name': 'r-1',
                'host': 'voka93.example',
                'pathPrefix': '/fiti832/',
                'kind': 'non_idempotent',
                'timeoutMs': 2000,
                'sloMs': 100,
                'priority': 0,
                'service': 'roster',
                'attempts': 1,
                'public': False,
                'sticky': False,
                'canResume': False,
            }
        ],
        'services': [y.plain_service('roster')],
        'limits': y.LIMITS,
        'tenants': [{'name': 'sese880', 'apiKeys': ['k1'], 'priority': 1}],
    }


async def confirm(yard, record, number, answered):
    """One dawn-confirm: the client repeats it once after a promise."""
    for attempt in range(2):
        router = yard.routers[(number + attempt) % 3]
        request_id = y.new_id()
        raw = y.request_bytes(
            'POST',
            '/fiti832/2f',
            'voka93.example',
            request_id,
            DEADLINE_MS,
            'k1',
            (),
            b'confirm %d' % number,
        )
        answer = await y.call(router.front, raw, 2)
        answered[request_id] = answer.status
        record.write(
            f'confirm {number} {request_id} at {router.name}: status '
            f'{answer.status}, stamp {answer.get(y.PREFIX + "Server-Stamp")!r}'
        )
        if answer.status not in (429, 503):
            return


async def case(record):
    yard = y.Yard(record, y.default_settings())
    try:
        return await play(yard, record)
    finally:
        yard.close()


async def play(yard, record):
    await yard.store.listen()
    yard.configure(configuration())
    for number, zone in enumerate(['a', 'b', 'c']):
        engine = GreyEngine(
            yard.host(100 + number), yard.store, 'roster', zone, 6
        )
        yard.engines.append(engine)
        await engine.start()
    yard.add_routers(['a', 'b', 'c'])
    await yard.start_routers()
    await asyncio.sleep(3)
    if y.trouble():
        record.say('disruption: one engine of three is grey')
        yard.engines[0].is_grey = True
    answered = {}
    calls = []
    for number in range(CALLS):
        calls.append(
            asyncio.create_task(confirm(yard, record, number, answered))
        )
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*calls)
    ran = {entry[1] for engine in yard.engines for entry in engine.ran}
    runs = {}
    for engine in yard.engines:
        for _, _, body in engine.ran:
            runs[body] = runs.get(body, 0) + 1
    refused = [
        request_id
        for request_id, status in answered.items()
        if status in (408, 421, 429, 503) and request_id in ran
    ]
    twice = sum(count > 1 for count in runs.values())
    record.say(
        f'REFUSED: {len(refused)} requests were answered as not run and had '
        f'run; {twice} confirmations of {CALLS} ran twice'
    )
    return y.BROKEN if refused else y.HELD


if __name__ == '__main__':
    y.main(case, HERE)
