"""The command that measures claims."""

import sys

from yuccagauge.commands.base import command

_KEYS = 200_000

#: Limits on appends per second, with calls per second offered.
_LOADS = ((1, 200), (5, 200), (5, 1000), (20, 1000), (50, 1000), (50, 3000))


@command('measure-claims')
def measure_claims(seconds: int = 5) -> None:
    """Print rate, delay, processor time and memory of one router's claims."""
    from yuccagauge.claims.measure import (  # noqa: PLC0415
        measure_memory,
        measure_rate,
    )

    write = sys.stdout.write
    write('appends/s offered/s granted/s p50 ms p99 ms records/append CPU us\n')
    for appends, offered in _LOADS:
        rate = measure_rate(appends, offered, seconds)
        write(
            f'{appends:9} {offered:9} {rate.granted_per_second:9.0f} '
            f'{rate.median_ms:6.0f} {rate.p99_ms:6.0f} '
            f'{rate.records_per_append:14.1f} {rate.cpu_us:6.0f}\n',
        )
    write(f'memory per key: {measure_memory(_KEYS):.0f} bytes\n')
