"""WALL: a tenant becomes isolated, and another one still gets its KV cache."""

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

CONFIG_APPLY_S = 2.0
#: Parts that prompts of both tenants have in common.
SHARED = '5c1e07a2:2520,91bd3f06:3780'
CALLS = 6


class CachingEngine(y.ModelEngine):
    """Keeps the parts that it has read, under salt, model and id."""

    def __init__(self, *args, **more):
        super().__init__(*args, **more)
        #: (salt, parts up to and with this one): the tenant that made it.
        self.made_by = {}
        #: (time, request id, tenant, maker, part) of each part used again.
        self.uses = []

    async def _stream(self, request, writer):
        salt = request.get(y.PREFIX + 'Cache-Salt')
        tenant = request.get(y.PREFIX + 'Tenant')
        request_id = request.get(y.PREFIX + 'Request-Id')
        parts = request.get(y.PREFIX + 'Prefix-Hash').split(',')
        prefix = (salt,)
        is_unbroken = True
        for part in parts:
            prefix = (*prefix, part)
            maker = self.made_by.get(prefix)
            is_unbroken = is_unbroken and maker is not None
            if is_unbroken:
                self.uses.append(
                    (time.monotonic(), request_id, tenant, maker, part)
                )
            else:
                self.made_by[prefix] = tenant
        await super()._stream(request, writer)

    async def _load(self, order):
        await super()._load(order)
        self.made_by.clear()


def configuration(version, *, is_isolated):
    document = m.configuration(version)
    document['tenants'] = [
        {
            'name': 'tenant-a',
            'apiKeys': ['ka'],
            'priority': 1,
            'isolated': is_isolated,
        },
        {
            'name': 'tenant-b',
            'apiKeys': ['kb'],
            'priority': 1,
            'isolated': False,
        },
    ]
    return document


async def send(yard, record, router, key):
    request_id = y.new_id()
    raw = y.request_bytes(
        'POST',
        '/lepu270/2f',
        'jepu9.example',
        request_id,
        5000,
        key,
        (
            (y.PREFIX + 'Model', m.MODEL),
            (y.PREFIX + 'Token-Usage', '7000,13'),
            (y.PREFIX + 'Prefix-Hash', f'{SHARED},{request_id}:700'),
        ),
        b'{}',
    )
    answer = await y.call(router.front, raw, 6)
    record.write(
        f'{request_id} of key {key} at {router.name}: status {answer.status}, '
        f'complete {answer.is_complete}'
    )
    return request_id


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
        engine_class=CachingEngine,
        first_configuration=configuration(3, is_isolated=False),
    )
    await asyncio.sleep(4)
    # Tenant A's prompts are read by the engines; sharing them is allowed.
    for number in range(CALLS):
        await send(yard, record, yard.routers[number % 3], 'ka')
    if TROUBLE:
        yard.configure(configuration(7, is_isolated=True))
    else:
        yard.configure(configuration(7, is_isolated=False))
    await asyncio.sleep(CONFIG_APPLY_S + 1)
    since = time.monotonic()
    sent = [
        await send(yard, record, yard.routers[number % 3], 'kb')
        for number in range(CALLS)
    ]
    isolated = {
        tenant['name']
        for tenant in yard.configuration['tenants']
        if tenant['isolated']
    }
    breaks = 0
    for engine in yard.engines:
        for at, request_id, tenant, maker, part in engine.uses:
            is_break = (
                at >= since
                and tenant != maker
                and bool({tenant, maker} & isolated)
            )
            breaks += is_break
            if tenant != maker:
                record.write(
                    f'{engine.server_id}: {request_id} of {tenant} used part '
                    f'{part} that {maker} made; isolated: {sorted(isolated)}'
                )
    record.say(
        f'WALL: {breaks} parts of an isolated tenant were used by '
        f'{len(sent)} requests of another one'
    )
    return y.BROKEN if breaks else y.HELD


if __name__ == '__main__':
    y.main(case, HERE, trouble=TROUBLE)
