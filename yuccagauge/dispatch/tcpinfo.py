"""What the operating system knows of a TCP connection."""

import socket
import struct
from typing import Any

#: Where ``struct tcp_info`` of Linux (include/uapi/linux/tcp.h) has the state
#: and the number of bytes that the other host has acknowledged.
_INFO = struct.Struct('=B119xQ')

#: TCP_ESTABLISHED: neither side has closed the connection.
_ESTABLISHED = 1

#: Not defined by Python on other systems than Linux.
_TCP_INFO = getattr(socket, 'TCP_INFO', None)


class Delivery:
    """Tells whether the other host has what is sent from now on.

    It acknowledges data only for a process that has the connection open: the
    connections of a process that has ended are reset.

    Parameters
    ----------
    transport
        The transport of a connection, all of whose data is acknowledged.
    """

    def __init__(self, transport: Any) -> None:
        """Note what the other host has acknowledged so far."""
        self._transport = transport
        before = _read(transport)
        self._before: int | None = before and before[1]

    @property
    def is_known(self) -> bool:
        """Whether the system tells of it."""
        return self._before is not None

    @property
    def is_open(self) -> bool:
        """Whether neither side is known to have closed the connection."""
        info = _read(self._transport)
        return info is not None and info[0] == _ESTABLISHED

    @property
    def has_arrived(self) -> bool:
        """Whether the other host has acknowledged data since."""
        info = _read(self._transport)
        return (
            info is not None
            and self._before is not None
            and info[1] > self._before
        )


def _read(transport: Any) -> tuple[int, int] | None:
    """Return the state, and the number of acknowledged bytes."""
    get_handle = getattr(transport, 'getHandle', None)
    if get_handle is None or _TCP_INFO is None:
        return None
    try:
        info = get_handle().getsockopt(
            socket.IPPROTO_TCP, _TCP_INFO, _INFO.size
        )
    except OSError:
        return None
    if len(info) < _INFO.size:
        return None
    state, acknowledged = _INFO.unpack(info)
    return state, acknowledged
