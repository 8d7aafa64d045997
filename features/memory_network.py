"""A TCP network in memory, in virtual time, for routers in one process."""

import enum
import socket
import struct
from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.defer import succeed
from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TCPTimedOutError,
)
from twisted.internet.protocol import Protocol
from twisted.protocols.policies import TimeoutMixin
from twisted.python.failure import Failure

from features.virtual_reactor import VirtualReactor

#: One-way delay between two hosts unless it is set, in seconds.
_LATENCY_S = 0.001

#: Time between two attempts to deliver data over a cut link, in seconds.
_RESEND_S = 0.05

#: First port of the connecting side of a connection.
_FIRST_CLIENT_PORT = 40_000

#: States of a connection, and where ``struct tcp_info`` of Linux has the state
#: and the number of bytes that the other side has acknowledged.
_ESTABLISHED = 1
_CLOSED = 7
_ACKNOWLEDGED_OFFSET = 120


class ConnectFate(enum.Enum):
    """What becomes of a connection that a host opens to another one."""

    OPENED = enum.auto()
    REFUSED = enum.auto()
    #: Opened at its near side, and then reset.
    RESET = enum.auto()


class _MemorySocket:
    """Tells of one side of a connection what the operating system knows."""

    def __init__(self, transport: 'MemoryTransport') -> None:
        self._transport = transport

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Return ``struct tcp_info``."""
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        info = bytearray(size)
        info[0] = _ESTABLISHED if self._transport.is_open else _CLOSED
        struct.pack_into(
            '=Q', info, _ACKNOWLEDGED_OFFSET, self._transport.acknowledged
        )
        return bytes(info)


class MemoryTransport:
    """One side of a connection."""

    disconnecting = False

    def __init__(
        self, network: 'MemoryNetwork', host: str, port: int, protocol: Any
    ) -> None:
        """Create a side without the other one."""
        self.host = host
        self.port = port
        self.protocol = protocol
        self.other: MemoryTransport | None = None
        self.is_open = True
        #: Bytes that the other host has acknowledged.
        self.acknowledged = 0
        self._network = network
        self._outbox: list[tuple[Callable[..., None], Any]] = []
        self._inbox: list[bytes] = []
        self._is_paused = False

    def write(self, data: bytes) -> None:
        """Send data to the other side."""
        if self.is_open and data:
            self._send(self._arrive, data)

    def writeSequence(self, parts: list[bytes]) -> None:
        """Send several parts of data."""
        self.write(b''.join(parts))

    def loseConnection(self) -> None:
        """Close after all data is sent."""
        self._close(ConnectionDone())

    def abortConnection(self) -> None:
        """Reset the connection."""
        network = self._network
        if network.loses_unsent and network.is_cut(self.host, self.other.host):
            self._outbox.clear()
        self._close(ConnectionLost())

    def getHandle(self) -> _MemorySocket:
        """Return what stands for the socket."""
        return _MemorySocket(self)

    def receive(self, data: bytes) -> None:
        """Deliver data from the other side."""
        if not self.is_open:
            return
        if self._is_paused:
            self._inbox.append(data)
            return
        self.protocol.dataReceived(data)

    def lose(self, reason: Exception) -> None:
        """Tell the protocol that the connection has ended."""
        if self.is_open:
            self.is_open = False
            self.protocol.connectionLost(Failure(reason))

    def end(self, *, silently: bool) -> None:
        """End this side with its process; the other one may not notice."""
        if self.is_open and not silently:
            self._send(self.other.lose, ConnectionLost())
        elif silently:
            self._outbox.clear()
        self.is_open = False

    def pauseProducing(self) -> None:
        """Keep received data."""
        self._is_paused = True

    def resumeProducing(self) -> None:
        """Deliver data that was kept."""
        self._is_paused = False
        inbox, self._inbox = self._inbox, []
        for data in inbox:
            self.receive(data)

    def registerProducer(self, producer: Any, streaming: bool) -> None:
        """Ignore the producer: writes never block."""

    def unregisterProducer(self) -> None:
        """Ignore the producer."""

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Ignore the option."""

    def getPeer(self) -> IPv4Address:
        """Return the address of the other side."""
        return IPv4Address('TCP', self.other.host, self.other.port)

    def getHost(self) -> IPv4Address:
        """Return the address of this side."""
        return IPv4Address('TCP', self.host, self.port)

    def _arrive(self, data: bytes) -> None:
        """Deliver data, which the host of an open connection acknowledges."""
        if self.other.is_open:
            self.acknowledged += len(data)
        self.other.receive(data)

    def _close(self, reason: Exception) -> None:
        if self.is_open:
            self._send(self.other.lose, reason)
            self.is_open = False
            self._network.reactor.callLater(
                0, self.protocol.connectionLost, Failure(reason)
            )

    def _send(self, action: Callable[..., None], argument: Any) -> None:
        if not self._outbox:
            self._network.reactor.callLater(
                self._network.latency_s, self._deliver
            )
        self._outbox.append((action, argument))

    def _deliver(self) -> None:
        if self._network.is_held(self.host, self.other.host):
            self._network.reactor.callLater(_RESEND_S, self._deliver)
            return
        outbox, self._outbox = self._outbox, []
        for action, argument in outbox:
            action(argument)


class _Port:
    """A listening port."""

    def __init__(self, network: 'MemoryNetwork', host: str, port: int) -> None:
        self._network = network
        self._address = IPv4Address('TCP', host, port)

    def getHost(self) -> IPv4Address:
        """Return the address that the port listens at."""
        return self._address

    def stopListening(self) -> Any:
        """Close the port."""
        self._network.close_port(self._address.host, self._address.port)
        return succeed(None)


class _Connector:
    """An attempt to connect."""

    def __init__(self, address: IPv4Address) -> None:
        self.is_stopped = False
        self._address = address

    def getDestination(self) -> IPv4Address:
        """Return the address to connect to."""
        return self._address

    def stopConnecting(self) -> None:
        """Give up."""
        self.is_stopped = True


class NodeReactor:
    """The reactor of one host: shared timers, and connections from there."""

    def __init__(self, network: 'MemoryNetwork', host: str) -> None:
        """Create the reactor of a host that runs."""
        self._network = network
        self._host = host
        self._is_running = True
        #: Calls that are due while the host is frozen; ``None`` if it is not.
        self._delayed: list[Callable[[], None]] | None = None

    def callLater(self, delay: float, *call: Any, **named: Any) -> Any:
        """Schedule a call, which is dropped if the host has ended by then."""
        return self._network.reactor.callLater(delay, self._run, *call, **named)

    def seconds(self) -> float:
        """Return the virtual time."""
        return self._network.reactor.seconds()

    def listenTCP(
        self, port: int, factory: Any, backlog: int = 0, interface: str = ''
    ) -> _Port:
        """Accept connections."""
        return self._network.listen(self._host, port, factory)

    def connectTCP(
        self,
        host: str,
        port: int,
        factory: Any,
        timeout: float = 30,
        bindAddress: Any = None,
    ) -> _Connector:
        """Open a connection."""
        return self._network.connect(self._host, host, port, factory, timeout)

    def end(self) -> None:
        """Drop all calls that are scheduled, like the end of the process."""
        self._is_running = False

    def freeze(self) -> None:
        """Run no call before ``thaw``."""
        self._delayed = []

    def thaw(self) -> None:
        """Run the calls that became due meanwhile."""
        delayed, self._delayed = self._delayed or [], None
        for call in delayed:
            call()

    def _run(self, call: Callable[..., None], *args: Any, **named: Any) -> None:
        if self._delayed is not None:
            self._delayed.append(partial(self._run, call, *args, **named))
        elif self._is_running:
            call(*args, **named)


class MemoryNetwork:
    """Hosts, their ports and the connections between them."""

    def __init__(self) -> None:
        """Create a network without hosts."""
        self.reactor = VirtualReactor()
        #: One-way delay between two hosts, in seconds.
        self.latency_s = _LATENCY_S
        #: Returns whether no data passes between two hosts.
        self.is_cut: Callable[[str, str], bool] = lambda host, other: False
        #: Returns what becomes of a connection from a host to another one.
        self.connect_fate: Callable[[str, str], ConnectFate] = (
            lambda source, host: ConnectFate.OPENED
        )
        #: Returns how much later a connection opens, as after the loss of its
        #: first packet, in seconds.
        self.connect_delay_s: Callable[[str, str], float] = (
            lambda source, host: 0
        )
        #: Whether a reset connection loses what a cut link has held back.
        self.loses_unsent = False
        #: Hosts without power: nothing answers there, not even a reset.
        self.silent_hosts: set[str] = set()
        #: Hosts whose processes do nothing; connections to them open still.
        self.frozen_hosts: set[str] = set()
        self._factories: dict[tuple[str, int], Any] = {}
        self._transports: list[MemoryTransport] = []
        self._next_port = _FIRST_CLIENT_PORT

    def is_held(self, host: str, other: str) -> bool:
        """Return whether data between two hosts waits."""
        return bool(
            self.frozen_hosts.intersection((host, other))
        ) or self.is_cut(host, other)

    def listen(self, host: str, port: int, factory: Any) -> _Port:
        """Accept connections at an address."""
        self._factories[host, port] = factory
        return _Port(self, host, port)

    def close_port(self, host: str, port: int) -> None:
        """Refuse connections to an address."""
        self._factories.pop((host, port), None)

    def connect(
        self, source: str, host: str, port: int, factory: Any, timeout: float
    ) -> _Connector:
        """Open a connection, or fail it as TCP would."""
        connector = _Connector(IPv4Address('TCP', host, port))
        factory.doStart()
        factory.startedConnecting(connector)
        if host in self.silent_hosts or self.is_cut(source, host):
            self.reactor.callLater(
                timeout, _fail, connector, factory, TCPTimedOutError()
            )
        else:
            delay_s = 2 * self.latency_s + self.connect_delay_s(source, host)
            self.reactor.callLater(
                delay_s, self._establish, connector, source, factory
            )
        return connector

    def end_connections(self, host: str) -> None:
        """Reset the connections of a host that lives on."""
        for transport in self._transports:
            if transport.host == host and transport.is_open:
                transport.abortConnection()

    def reset_between(self, source: str, host: str) -> None:
        """Reset the connections that one host has opened to another one."""
        for transport in self._transports:
            is_between = (transport.host, transport.other.host) == (
                source,
                host,
            )
            if is_between and transport.is_open:
                transport.abortConnection()

    def end_host(self, host: str, *, silently: bool = False) -> None:
        """End the process of a host, with its ports and connections."""
        self._factories = {
            address: factory
            for address, factory in self._factories.items()
            if address[0] != host
        }
        if silently:
            self.silent_hosts.add(host)
        kept: list[MemoryTransport] = []
        for transport in self._transports:
            if transport.host != host:
                kept.append(transport)
                continue
            transport.end(silently=silently)
        self._transports = [each for each in kept if each.is_open]

    def _establish(
        self, connector: _Connector, source: str, factory: Any
    ) -> None:
        if connector.is_stopped:
            return
        target = connector.getDestination()
        fate = self.connect_fate(source, target.host)
        accepted = self._accept(target, fate)
        if accepted is None:
            _fail(connector, factory, ConnectionRefusedError())
            return
        self._next_port += 1
        opened = factory.buildProtocol(target)
        near = MemoryTransport(self, source, self._next_port, opened)
        far = MemoryTransport(self, target.host, target.port, accepted)
        near.other, far.other = far, near
        self._transports.extend((near, far))
        for protocol in (accepted, opened):
            _use_virtual_time(protocol, self.reactor)
        accepted.makeConnection(far)
        opened.makeConnection(near)
        if fate is ConnectFate.RESET:
            far.abortConnection()

    def _accept(self, target: IPv4Address, fate: ConnectFate) -> Any:
        """Return the far side of a connection, if it is not refused."""
        if fate is ConnectFate.REFUSED:
            return None
        if fate is ConnectFate.RESET:
            return Protocol()
        accepting = self._factories.get((target.host, target.port))
        return accepting and accepting.buildProtocol(None)


def _use_virtual_time(protocol: Any, reactor: VirtualReactor) -> None:
    """Let the timeout of a protocol pass in virtual time.

    On the real reactor it would outlive the scenario, and keep later ones busy.
    """
    inner = getattr(protocol, '_wrappedProtocol', protocol)
    if isinstance(inner, TimeoutMixin):
        inner.callLater = reactor.callLater


def _fail(connector: _Connector, factory: Any, error: Exception) -> None:
    if not connector.is_stopped:
        factory.clientConnectionFailed(connector, Failure(error))
