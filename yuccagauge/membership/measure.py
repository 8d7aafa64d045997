"""Measure the membership protocol on the virtual network."""

import functools
import statistics
import time
from collections.abc import Iterable
from dataclasses import dataclass

from tabulate import tabulate

from yuccagauge.clock import Millis
from yuccagauge.membership.base import MemberState
from yuccagauge.membership.items import ItemTopic
from yuccagauge.membership.virtual import VirtualNetwork, VirtualRouter
from yuccagauge.wire.messages import Item

_SETTLE = Millis(20_000)
_QUIET = Millis(120_000)
_LIMIT = Millis(180_000)
_STEP = Millis(20)
_CRASHES = 5
_ITEMS = 5
_ITEM_LIFETIME = Millis(600_000)
_LOSS = 0.02
_PAUSE = Millis(2000)
_PAUSE_EVERY = 10
_MILLISECONDS_PER_SECOND = 1000
_PER_CENT = 100


@dataclass(frozen=True, slots=True, kw_only=True)
class Measurement:
    """What was measured at one size."""

    members: int
    #: Time until all have joined, in milliseconds.
    join: Millis | None
    #: Mean and highest traffic of one node in both directions, in bytes/s.
    mean_rate: float
    highest_rate: float
    #: CPU of one node for protocol and encoding, as a share of a core.
    cpu_share: float
    #: Time until an item has reached all routers, in milliseconds: the
    #: mean over several items, and the highest.
    spread: float
    longest_spread: float
    #: Time from a crash until the first, and until all, see it dead, in
    #: milliseconds; the mean over several crashes, and the highest.
    first_detection: float
    full_detection: float
    longest_detection: float
    #: With 2 % loss and pauses of 2 s in a tenth of the routers: healthy
    #: members that were suspected and held for dead, per router and hour.
    suspected: float
    held_for_dead: float


def measure_sizes(
    sizes: tuple[int, ...],
    seed: int,
) -> tuple[Measurement, ...]:
    """Measure each size on a network of its own."""
    return tuple(_measure(size, seed) for size in sizes)


def render(measurements: Iterable[Measurement]) -> str:
    """Return a table in the Markdown form."""
    headers = (
        'members',
        'join, s',
        'mean B/s',
        'highest B/s',
        'CPU, % of a core',
        'item reaches all, s',
        'longest, s',
        'first sees crash, s',
        'all see crash, s',
        'longest, s',
        'false suspicions /router/h',
        'false deaths /router/h',
    )
    rows = [
        (
            found.members,
            _seconds(found.join),
            round(found.mean_rate),
            round(found.highest_rate),
            round(found.cpu_share * _PER_CENT, 3),
            _seconds(found.spread),
            _seconds(found.longest_spread),
            _seconds(found.first_detection),
            _seconds(found.full_detection),
            _seconds(found.longest_detection),
            round(found.suspected, 2),
            round(found.held_for_dead, 2),
        )
        for found in measurements
    ]
    return tabulate(rows, headers, tablefmt='github')


def _measure(size: int, seed: int) -> Measurement:
    network = VirtualNetwork(size, seed)
    join = network.run_until(network.is_converged, _LIMIT)
    network.run(_SETTLE)
    rates, cpu = _measure_quiet(network)
    spreads = _measure_spread(network)
    first, full = _measure_crashes(network)
    suspected, dead = _measure_disturbed(network)
    return Measurement(
        members=size,
        join=join,
        mean_rate=statistics.mean(rates),
        highest_rate=max(rates),
        cpu_share=cpu,
        spread=statistics.mean(spreads),
        longest_spread=max(spreads),
        first_detection=statistics.mean(first),
        full_detection=statistics.mean(full),
        longest_detection=max(full),
        suspected=suspected,
        held_for_dead=dead,
    )


def _measure_quiet(network: VirtualNetwork) -> tuple[list[float], float]:
    for counted in network.routers.values():
        counted.bytes_sent = 0
        counted.bytes_received = 0
    began = time.process_time()
    network.run(_QUIET)
    used = time.process_time() - began
    seconds = _QUIET / _MILLISECONDS_PER_SECOND
    rates = [
        (router.bytes_sent + router.bytes_received) / seconds
        for router in network.routers.values()
    ]
    return rates, used / len(network.routers) / seconds


def _measure_spread(network: VirtualNetwork) -> list[Millis]:
    network.loss = _LOSS
    spreads: list[Millis] = []
    for version in range(1, _ITEMS + 1):
        item = Item(
            topic=int(ItemTopic.VERSION),
            key=b'matcher-llm',
            version=version,
            lifetime_ms=_ITEM_LIFETIME,
        )
        network.spread(tuple(network.routers)[version], item)
        taken = network.run_until(
            functools.partial(_have_all, network, item),
            _LIMIT,
            _STEP,
        )
        if taken is None:
            raise RuntimeError('an item did not reach all')
        spreads.append(taken)
    network.loss = 0
    return spreads


def _have_all(network: VirtualNetwork, item: Item) -> bool:
    for router in network.routers.values():
        held = router.swim.items.held(item.topic, network.now)
        if not held or held[0].version < item.version:
            return False
    return True


def _measure_crashes(
    network: VirtualNetwork,
) -> tuple[list[Millis], list[Millis]]:
    first: list[Millis] = []
    full: list[Millis] = []
    count = min(_CRASHES, len(network.routers) - 3)
    for name in tuple(network.routers)[1 : count + 1]:
        start = network.now
        network.crash(name)
        _wait_for_death(network, name, everyone=False)
        first.append(Millis(network.now - start))
        _wait_for_death(network, name, everyone=True)
        full.append(Millis(network.now - start))
    return first, full


def _wait_for_death(
    network: VirtualNetwork,
    name: str,
    *,
    everyone: bool,
) -> None:
    quantifier = all if everyone else any

    def is_dead() -> bool:
        return quantifier(
            view is MemberState.DEAD for view in network.views(name)
        )

    if network.run_until(is_dead, _LIMIT, _STEP) is None:
        raise RuntimeError(f'{name} was not detected')


def _measure_disturbed(network: VirtualNetwork) -> tuple[float, float]:
    up = [router for router in network.routers.values() if router.is_up]
    names = {router.name for router in up}
    network.loss = _LOSS
    network.changes.clear()
    _pause_some(network, up)
    seen = [
        member.state
        for _time, _observer, member in network.changes
        if member.name in names
    ]
    hours = _QUIET / _MILLISECONDS_PER_SECOND / 3600
    scale = len(up) * hours
    suspected = seen.count(MemberState.SUSPECT) / scale
    return suspected, seen.count(MemberState.DEAD) / scale


def _pause_some(network: VirtualNetwork, up: list[VirtualRouter]) -> None:
    paused = up[::_PAUSE_EVERY]
    rounds = 6
    for number in range(rounds):
        router = paused[number % len(paused)]
        for offset, other in enumerate(paused):
            if offset % rounds == number or other is router:
                network.pause(other.name, _PAUSE)
        network.run(Millis(_QUIET // rounds))


def _seconds(duration: float | None) -> str:
    if duration is None:
        return 'not in time'
    return f'{duration / _MILLISECONDS_PER_SECOND:.1f}'
