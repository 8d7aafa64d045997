"""What the operating system knows of a TCP connection."""

import socket
import struct
from typing import Any

#: Where ``struct tcp_info`` of Linux (include/uapi/linux/tcp.h) has the state
#: and the number of bytes that the other host has acknowledged.
_STATE_OFFSET = 0
_ACKNOWLEDGED = struct.Struct('=120xQ')

#: TCP_ESTABLISHED: neither side has closed the connection.
_ESTABLISHED = 1

#: Not defined by Python on other systems than Linux.
_TCP_INFO = getattr(socket, 'TCP_INFO', None)


def acknowledged_bytes(transport: Any) -> int | None:
    """Return how many bytes the other host has acknowledged.

    It acknowledges data only for a process that has the connection open: the
    connections of a process that has ended are reset.

    Parameters
    ----------
    transport
        The transport of a connection.

    Returns
    -------
    int or None
        ``None`` if the other side has closed the connection, or if the system
        does not tell.
    """
    get_handle = getattr(transport, 'getHandle', None)
    if get_handle is None or _TCP_INFO is None:
        return None
    try:
        info = get_handle().getsockopt(
            socket.IPPROTO_TCP, _TCP_INFO, _ACKNOWLEDGED.size
        )
    except OSError:
        return None
    if len(info) < _ACKNOWLEDGED.size or info[_STATE_OFFSET] != _ESTABLISHED:
        return None
    return int(_ACKNOWLEDGED.unpack(info)[0])
