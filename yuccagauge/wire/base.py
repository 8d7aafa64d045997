"""Kinds of messages and limits of the traffic between routers."""

import ipaddress
from dataclasses import dataclass
from functools import lru_cache
from typing import Any, ClassVar, TypeVar

from yuccagauge.settings.options import Endpoint

#: Version of the envelope. A receiver ignores any other one.
PROTOCOL_VERSION = 1

#: Longest datagram, in bytes. An Ethernet MTU of 1,500 leaves 1,452 after
#: the IPv6 and UDP heads; the rest is for tunnels of the platform.
MAXIMUM_DATAGRAM = 1400

#: Longest frame, in bytes. The largest message is a whole document, which
#: has 460 KB with 7,700 customers.
MAXIMUM_FRAME = 4_194_304

#: Bytes of IPv4 and UDP head that each datagram adds on the network.
DATAGRAM_OVERHEAD = 28

_PORT_BYTES = 2

MessageT = TypeVar('MessageT', bound=type)

#: Message classes by their kind number.
KINDS: dict[int, type['Message']] = {}


class Message:
    """Base of all messages; each subclass mirrors one struct."""

    #: Number of the kind in the envelope; 0 for parts of messages.
    kind: ClassVar[int] = 0
    __slots__ = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Received:
    """A message with what its envelope says."""

    message: Any
    sender: str
    sequence: int
    source: Endpoint


def register(kind: int) -> Any:
    """Return the class decorator that gives a message its number."""

    def add(message: MessageT) -> MessageT:
        if kind in KINDS:
            raise ValueError(f'message kind {kind} is registered twice')
        message.kind = kind
        KINDS[kind] = message
        return message

    return add


@lru_cache(maxsize=8192)
def pack_endpoint(endpoint: Endpoint) -> bytes:
    """Return the IP number and the port, big endian."""
    address = ipaddress.ip_address(endpoint.host).packed
    return address + endpoint.port.to_bytes(_PORT_BYTES, 'big')


@lru_cache(maxsize=8192)
def unpack_endpoint(packed: bytes) -> Endpoint:
    """Read what ``pack_endpoint`` wrote.

    Raises
    ------
    ValueError
        If the length fits neither IPv4 nor IPv6.
    """
    address = ipaddress.ip_address(packed[:-_PORT_BYTES])
    port = int.from_bytes(packed[-_PORT_BYTES:], 'big')
    return Endpoint(str(address), port)
