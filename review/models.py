"""A deployment of model engines, and the drill in which the store goes back."""

import asyncio
import time

import yard as y

MODEL = 'daka510000'


def configuration(version):
    return {
        'version': version,
        'routes': [
            {
                'name': 'r-1',
                'host': 'jepu9.example',
                'pathPrefix': '/lepu270/',
                'kind': 'streaming',
                'timeoutMs': 6000,
                'sloMs': 500,
                'priority': 0,
                'service': 'lm',
                'attempts': 2,
                'public': False,
                'sticky': True,
                'canResume': True,
                'gapAimMs': 200,
            }
        ],
        'services': [y.model_service('lm', MODEL)],
        'limits': y.LIMITS,
        'tenants': [{'name': 'sese880', 'apiKeys': ['k1'], 'priority': 1}],
    }


def generation(yard):
    body = b'{"prompt": "x"}'
    return y.request_bytes(
        'POST',
        '/lepu270/2f',
        'jepu9.example',
        y.new_id(),
        6000,
        'k1',
        (
            (y.PREFIX + 'Model', MODEL),
            (y.PREFIX + 'Token-Usage', '700,40'),
            (y.PREFIX + 'Prefix-Hash', '5c1e07a2:400,e4402b7d:300'),
        ),
        body,
    )


async def send_calls(yard, counts):
    """Send a few generations a second to all routers."""
    number = 0
    while True:
        router = yard.routers[number % len(yard.routers)]
        number += 1

        async def one():
            answer = await y.call(router.front, generation(yard), 7)
            counts[answer.status] = counts.get(answer.status, 0) + 1

        asyncio.create_task(one())
        await asyncio.sleep(0.1)


async def wait_for_weights(yard, version, limit_s):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        if all(engine.version >= version for engine in yard.engines):
            yard.record.write(f'all engines have weights {version}')
            return True
        await asyncio.sleep(0.05)
    found = [engine.version for engine in yard.engines]
    yard.record.write(f'engines have weights {found}, not all {version}')
    return False


async def wait_for_orders(yard, version, limit_s):
    end = time.monotonic() + limit_s
    while time.monotonic() < end:
        accepted = [
            any(order[3] == version for order in engine.orders)
            for engine in yard.engines
        ]
        if all(accepted):
            return
        await asyncio.sleep(0.01)
    raise y.CannotRunError(f'no orders for weights {version}')


async def drill(yard, away_s, copy_age_s):
    """The store is away for a moment and comes back from a copy."""
    store = yard.store
    yard.record.say('disruption: the store is away')
    store.is_away = True
    await asyncio.sleep(away_s)
    lost = store.restore_copy(copy_age_s + away_s)
    for name, records in lost.items():
        yard.record.write(
            f'store: lost {len(records)} of {name[0]}, '
            f'{len(store.logs[name])} are left'
        )
    # What the operator and the engines wrote is written again.
    now = time.monotonic()
    for _, content in lost.get(('keyed.op', 0), ()):
        store.log('keyed.op').append((now, content))
    store.is_away = False
    for engine in yard.engines:
        engine.write_entry()
    yard.record.say(f'the store is back, Store-Era {store.era}')



async def start(
    yard,
    zones,
    engines,
    *,
    checks_fences,
    engine_class=y.ModelEngine,
    first_configuration=None,
    **more,
):
    """Start the store, the engines and the routers, with weights 1 named."""
    await yard.store.listen()
    yard.configure(first_configuration or configuration(3))
    yard.name_weights(MODEL, 1)
    for number in range(engines):
        engine = engine_class(
            yard.host(100 + number),
            yard.store,
            'lm',
            zones[number % len(zones)],
            64,
            model=MODEL,
            checks_fences=checks_fences,
            **more,
        )
        yard.engines.append(engine)
        await engine.start()
    yard.add_routers(zones)
    await yard.start_routers()
