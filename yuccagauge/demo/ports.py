"""Ports of the routers of a fleet on loopback."""

import contextlib
import socket
from dataclasses import dataclass

from yuccagauge.settings.options import Endpoint

_HOST = '127.0.0.1'
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
    """Let the system choose; all are held until the last is chosen."""
    with contextlib.ExitStack() as held:
        sockets = [
            held.enter_context(socket.socket()) for _ in range(3 * count)
        ]
        for bound in sockets:
            bound.bind((_HOST, 0))
        numbers = [one.getsockname()[1] for one in sockets]
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


def data_centre_of(index: int) -> str:
    """Return the data centre of the process with this number."""
    return _DATA_CENTRES[index % len(_DATA_CENTRES)]
