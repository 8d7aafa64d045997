"""Measure the exchange between routers against a node's budget."""

import math
import socket
import time
from collections.abc import Iterable
from dataclasses import dataclass

from tabulate import tabulate

from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineReport
from yuccagauge.membership.virtual import VirtualNetwork
from yuccagauge.peering.demand import DemandExchange
from yuccagauge.peering.engines import EVENT_BYTES_PER_SECOND
from yuccagauge.peering.load import LoadExchange, rounds_between_shares
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import DATAGRAM_OVERHEAD, Message
from yuccagauge.wire.codec import decode, encode

#: Budget of a node, in bytes/s and as a share of a core.
BUDGET_BYTES = 26_000
BUDGET_CPU = 0.013

_SECONDS = 60
_DEMAND_EVERY = 10
_SECOND = 1000
_SETTLE = Millis(20_000)
_KILO = 1000

# Request and answer of one reading: heads of 110 and 130 bytes, a body of
# 200 bytes and 60 bytes of TCP.
_LOAD_BYTES = 500
_PER_CENT = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class FleetSize:
    """One size of the fleet."""

    routers: int
    data_centres: int
    #: Engines of one data centre.
    engines: int
    customers: int


#: Today's sizes, one data centre of the plan, and the plan.
SIZES = (
    FleetSize(routers=8, data_centres=3, engines=2, customers=8),
    FleetSize(routers=50, data_centres=1, engines=733, customers=850),
    FleetSize(routers=450, data_centres=9, engines=733, customers=7700),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Traffic:
    """Bytes in both directions and CPU of one node over the run."""

    size: int = 0
    cpu: float = 0

    def __add__(self, other: 'Traffic') -> 'Traffic':
        """Return the sum."""
        return Traffic(size=self.size + other.size, cpu=self.cpu + other.cpu)


def measure_peering() -> str:
    """Return a table of traffic and CPU at all sizes."""
    headers = (
        'routers',
        'engines per data centre',
        'membership B/s',
        'load B/s',
        'demand B/s',
        'summariser B/s',
        'polls and events B/s',
        'sum KB/s',
        'of 26 KB/s, %',
        'CPU, % of a core',
        'of 1.3 %, %',
    )
    rows = [_row(size) for size in SIZES]
    return tabulate(rows, headers, tablefmt='github')


def _row(size: FleetSize) -> list[object]:
    membership = _measure_membership(size)
    load = _measure_load(size)
    demand = _measure_demand(size)
    extra = _measure_summariser(size)
    total = membership + load + demand + extra
    polls = _polled_rate(size)
    rate = total.size / _SECONDS + polls
    cpu = total.cpu / _SECONDS
    return [
        size.routers,
        size.engines,
        round(membership.size / _SECONDS),
        round(load.size / _SECONDS),
        round(demand.size / _SECONDS),
        round(extra.size / _SECONDS),
        round(polls),
        round(rate / _KILO, 2),
        round(rate / BUDGET_BYTES * _PER_CENT),
        round(cpu * _PER_CENT, 3),
        round(cpu / BUDGET_CPU * _PER_CENT),
    ]


def _polled_rate(size: FleetSize) -> float:
    """Return the computed traffic with the engines, in bytes/s."""
    routers = max(1, size.routers // size.data_centres)
    engines = math.ceil(size.engines / routers)
    loads = engines * _LOAD_BYTES / rounds_between_shares(routers)
    return loads + EVENT_BYTES_PER_SECOND


class _Sender:
    """Sends datagrams to a socket on loopback that nobody reads."""

    def __init__(self) -> None:
        self._sink = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sink.bind(('127.0.0.1', 0))
        self._source = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)

    def send(self, message: Message, peers: int) -> Traffic:
        """Encode once and send to each peer."""
        began = time.process_time()
        packed = encode(message, 'khomas-a-entry-1')
        for _ in range(peers):
            self._source.sendto(packed, self._sink.getsockname())
        used = time.process_time() - began
        return Traffic(size=peers * (len(packed) + DATAGRAM_OVERHEAD), cpu=used)

    def close(self) -> None:
        """Close both sockets."""
        self._sink.close()
        self._source.close()


def _measure_membership(size: FleetSize) -> Traffic:
    network = VirtualNetwork(size.routers, 1)
    network.run(_SETTLE)
    for router in network.routers.values():
        router.bytes_sent = 0
        router.bytes_received = 0
    began = time.process_time()
    # Long enough for the exchange of states that each router begins every
    # 150 s at the largest size.
    network.run(Millis(2 * _SECONDS * _SECOND))
    used = (time.process_time() - began) / 2
    count = len(network.routers)
    total = sum(
        found.bytes_sent + found.bytes_received
        for found in network.routers.values()
    )
    return Traffic(size=total // count // 2, cpu=used / count)


def _reports(size: FleetSize, second: int) -> list[EngineReport]:
    return [
        EngineReport(
            engine=Endpoint(f'10.1.{index // 250}.{index % 250}', 9101),
            incarnation=f'{index:016x}',
            weights_version='w7',
            role='serve',
            running=(index * 7 + second) % 40,
            queued=(index + second) % 9,
            queued_tokens=(index * 977 + second * 131) % 60_000,
            used_blocks=(index * 31 + second) % 25_000,
            total_blocks=25_000,
            measured_at=Millis(second * _SECOND),
        )
        for index in range(size.engines)
    ]


def _measure_load(size: FleetSize) -> Traffic:
    peers = size.routers // size.data_centres - 1
    source = Endpoint('127.0.0.1', 7100)
    sender = _Sender()
    own, receiver = LoadExchange(), LoadExchange()
    remote = [LoadExchange() for _ in range(peers)]
    everything = _reports(size, 0)
    for prepared in (own, receiver, *remote):
        prepared.set_engines(report.engine for report in everything)
    total = Traffic()
    step = rounds_between_shares(peers + 1)
    for second in range(0, _SECONDS, step):
        now = Millis(second * _SECOND)
        for number, report in enumerate(_reports(size, second)):
            owner = number % (peers + 1)
            exchange = own if owner == peers else remote[owner]
            exchange.take_own(report)
        for message in own.share(now):
            sent = sender.send(message, peers)
            total += sent
        arrived = _packed_shares(remote, now)
        began = time.process_time()
        for packed in arrived:
            receiver.receive(decode(packed, source).message, now)
        used = time.process_time() - began
        size_arrived = sum(map(len, arrived))
        size_arrived += DATAGRAM_OVERHEAD * len(arrived)
        total += Traffic(size=size_arrived, cpu=used)
    sender.close()
    return total


def _packed_shares(
    remote: Iterable[LoadExchange],
    now: Millis,
) -> list[bytes]:
    return [
        encode(message, 'khomas-a-entry-1')
        for exchange in remote
        for message in exchange.share(now)
    ]


def _demand(size: FleetSize) -> DemandExchange:
    exchange = DemandExchange('khomas-a')
    names = [f'customer-{index}' for index in range(size.customers)]
    exchange.set_customers(names)
    exchange.set_own({name: 1 + number for number, name in enumerate(names)})
    return exchange


def _measure_demand(size: FleetSize) -> Traffic:
    """Measure what every router sends and receives."""
    peers = size.routers // size.data_centres - 1
    source = Endpoint('127.0.0.1', 7100)
    sender = _Sender()
    exchange = _demand(size)
    total = Traffic()
    for second in range(0, _SECONDS, _DEMAND_EVERY):
        now = Millis(second * _SECOND)
        total += sender.send(exchange.own_share(), peers)
        packed = encode(exchange.own_share(), 'khomas-a-entry-2')
        began = time.process_time()
        for index in range(peers):
            message = decode(packed, source).message
            exchange.receive(message, f'entry-{index}', now)
        exchange.total(now)
        used = time.process_time() - began
        length = len(packed) + DATAGRAM_OVERHEAD
        total += Traffic(size=peers * length, cpu=used)
    sender.close()
    return total


def _measure_summariser(size: FleetSize) -> Traffic:
    """Measure what the summariser of a data centre sends besides."""
    if size.data_centres == 1:
        return Traffic()
    peers = size.routers // size.data_centres - 1
    sender = _Sender()
    exchange = _demand(size)
    total = Traffic()
    for second in range(0, _SECONDS, _DEMAND_EVERY):
        now = Millis(second * _SECOND)
        centre = exchange.centre_share(now)
        # As many messages arrive from the other summarisers.
        total += sender.send(centre, 2 * (size.data_centres - 1))
        total += sender.send(centre, peers)
    sender.close()
    return total
