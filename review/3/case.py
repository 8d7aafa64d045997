"""VERSION: the store comes back from a copy, and nobody leads from then on."""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))

import models as m  # noqa: E402
import yard as y  # noqa: E402

#: "away for a moment", and "a copy some seconds old".
AWAY_S = 0.5
COPY_AGE_S = 5.0
STABLE_S = 3.0
#: The bounds of the sheet.
VERSION_S = 12.0
VERSION_ALL_S = 17.0


async def case(record):
    yard = y.Yard(record, y.default_settings())
    try:
        return await play(yard, record)
    finally:
        yard.close()


async def play(yard, record):
    await m.start(yard, ['a', 'b', 'c'], 4, checks_fences=True)
    counts = {}
    calls = asyncio.create_task(m.send_calls(yard, counts))
    await asyncio.sleep(COPY_AGE_S + 4)
    yard.name_weights(m.MODEL, 2)
    if not await m.wait_for_weights(yard, 2, VERSION_S):
        raise y.CannotRunError('weights 2 were not loaded')
    await asyncio.sleep(1)
    if y.trouble():
        await m.drill(yard, AWAY_S, COPY_AGE_S)
    # stableMs and more, so that the core is stable again.
    await asyncio.sleep(STABLE_S + 2)
    named_at = time.monotonic()
    yard.name_weights(m.MODEL, 3)
    # Calls are counted anew: sent 1.5 x versionMs after the naming.
    await m.wait_for_weights(yard, 3, 1.5 * VERSION_S)
    counts.clear()
    rest = 1.5 * VERSION_S + 0.5 - (time.monotonic() - named_at)
    await asyncio.sleep(max(3, rest))
    calls.cancel()
    behind = [each for each in yard.engines if each.version < 3]
    orders = sum(len(each.orders) for each in yard.engines)
    elapsed = time.monotonic() - named_at
    record.say(f'answers of the last seconds by status: {counts}')
    record.say(f'{orders} orders in all')
    record.say(
        f'VERSION: {len(behind)} of {len(yard.engines)} engines have an older '
        f'version {elapsed:.1f} s after weights 3 were named'
    )
    for router in yard.routers:
        record.write(f'{router.name} runs: {router.process.poll() is None}')
    is_broken = len(behind) > max(1, 0.1 * len(yard.engines))
    return y.BROKEN if is_broken else y.HELD


if __name__ == '__main__':
    y.main(case, HERE)
