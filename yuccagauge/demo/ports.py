"""Ports of the routers of a fleet on loopback."""

import contextlib
import random
import socket
from dataclasses import dataclass

from yuccagauge.settings.options import Endpoint

_HOST = '127.0.0.1'
#: Below the range from which Linux gives out ports, 32768 to 60999.
_FIRST_PORT = 10_000
_LAST_PORT = 32_000
_DATA_CENTRES = ('centre-a', 'centre-b')


@dataclass(frozen=True, slots=True, kw_only=True)
class RouterPorts:
    """Where one router listens."""

    name: str
    data_centre: str
    callers: Endpoint
    peers: Endpoint
    admin: Endpoint


def choose_ports(count: int) -> tuple[RouterPorts, ...]:
    """Choose free ports; all are held until the last is chosen."""
    with contextlib.ExitStack() as held:
        numbers = [_hold_port(held) for _ in range(3 * count)]
    return tuple(
        RouterPorts(
            name=f'router-{index}',
            data_centre=data_centre_of(index),
            callers=Endpoint(_HOST, numbers[3 * index]),
            peers=Endpoint(_HOST, numbers[3 * index + 1]),
            admin=Endpoint(_HOST, numbers[3 * index + 2]),
        )
        for index in range(count)
    )


def _hold_port(held: contextlib.ExitStack) -> int:
    """Bind a port that the system gives to nobody else by itself.

    A port from the system's own range could be given to another process
    between this choice and the start, or restart, of the router.
    """
    while True:
        number = random.randrange(_FIRST_PORT, _LAST_PORT)
        bound = held.enter_context(socket.socket())
        try:
            bound.bind((_HOST, number))
        except OSError:
            continue
        return number


def data_centre_of(index: int) -> str:
    """Return the data centre of the process with this number."""
    return _DATA_CENTRES[index % len(_DATA_CENTRES)]
