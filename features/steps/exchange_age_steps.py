"""Steps for the ages that routers exchange, in virtual time."""

import random

from behave import given, then, when
from behave.runner import Context

from features.memory_network import MemoryNetwork, NodeReactor
from features.rollout_engines import VirtualClock
from features.steps.directory_steps import PlainDecoder
from yuccagauge.clock import Millis
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange.service import ExchangeService
from yuccagauge.quarantine.base import Quarantine, QuarantineStatus
from yuccagauge.quarantine.parts import PartQuarantine
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.server import PeerServer

_PEER_PORT = 8783

_FINGERPRINT = b'request'

#: Longest and shortest time by which the clock advances at once, in seconds.
_LONGEST_STEP_S = 0.01
_SHORTEST_STEP_S = 0.001

#: Time in which all routers get to know each other, in seconds.
_MEETING_S = 6


class _Node:
    """A router that exchanges, with the time of its own confirmation."""

    def __init__(self, network: MemoryNetwork, number: int) -> None:
        """Start to exchange; the first node is the seed of the others."""
        self.host = f'10.0.0.{number}'
        self.name = f'r{number}'
        self.clock = VirtualClock(network.reactor)
        self.reactor = NodeReactor(network, self.host)
        self.confirmed_at = Millis(0)
        self.quarantine = Quarantine()
        endpoint = Endpoint(self.host, _PEER_PORT)
        self.exchange = ExchangeService(
            self.name,
            endpoint,
            'a',
            seeds=(Endpoint('10.0.0.0', _PEER_PORT),),
            server=PeerServer(self.reactor, endpoint, self.name),
            client=PeerClient(self.reactor, self.name),
            directory=Directory(PlainDecoder()),
            selector=Selector('a', Millis(12_000)),
            quarantine=self.quarantine,
            part_quarantine=PartQuarantine(),
            reactor=self.reactor,
            clock=self.clock,
            random_fraction=random.Random(self.name).random,
        )
        self.exchange.own_confirmed_at = lambda topic: self.confirmed_at
        self.exchange.start()

    @property
    def age(self) -> Millis:
        """Time since the store confirmed the servers, as this node knows."""
        return self.exchange.confirmation_age(Topic.SERVERS, self.clock.now())


def _pass_time(context: Context, seconds: float) -> None:
    latency_s = context.network.latency_s
    step_s = min(_LONGEST_STEP_S, max(_SHORTEST_STEP_S, latency_s))
    for _ in range(round(seconds / step_s)):
        context.network.reactor.advance(step_s)


@given('{count:d} exchanging routers with a one-way delay of {ms:d} ms')
def start_nodes(context: Context, count: int, ms: int) -> None:
    """Start routers and let them meet."""
    context.network = MemoryNetwork()
    context.network.latency_s = ms / 1000
    context.nodes = [_Node(context.network, number) for number in range(count)]
    _pass_time(context, _MEETING_S)


@when('the store confirms the servers to the first router for the last time')
def confirm(context: Context) -> None:
    """Let one router have read the store."""
    node = context.nodes[0]
    context.confirmed_at = node.clock.now()
    node.confirmed_at = context.confirmed_at


@when('the process of the last router ends')
def end_last(context: Context) -> None:
    """End a process without an announcement."""
    node = context.nodes.pop()
    node.reactor.end()
    context.network.end_host(node.host)
    context.ended = node.name


@when('a request crashes {count:d} servers at the first router')
def crash_servers(context: Context, count: int) -> None:
    """Record the crashes at one router."""
    first = context.nodes[0]
    for number in range(count):
        first.quarantine.record_broken_connection(
            _FINGERPRINT,
            Endpoint('10.1.0.1', number + 1),
            f'incarnation-{number}',
            first.clock.now(),
        )


@when('{seconds:g} s of exchanges pass')
def pass_seconds(context: Context, seconds: float) -> None:
    """Let the routers exchange."""
    _pass_time(context, seconds)


@when('the last router is frozen for {seconds:g} s')
def freeze_last(context: Context, seconds: float) -> None:
    """Freeze a process; messages to it wait until it runs again."""
    node = context.nodes[-1]
    context.network.frozen_hosts.add(node.host)
    node.reactor.freeze()
    _pass_time(context, seconds)
    context.network.frozen_hosts.discard(node.host)
    node.reactor.thaw()


@then('no router takes that confirmation for younger than it is')
def check_ages(context: Context) -> None:
    """Guard against servers in use long after they have left the store."""
    now = context.nodes[0].clock.now()
    true_age = now - context.confirmed_at
    ages = {node.name: node.age for node in context.nodes}
    younger = {name: age for name, age in ages.items() if age < true_age}
    assert not younger, (true_age, younger)


@then('each router has the confirmation, at most {ms:d} ms too old')
def check_knowledge(context: Context, ms: int) -> None:
    """Guard against routers that all read, because they hear of no reads."""
    now = context.nodes[0].clock.now()
    true_age = now - context.confirmed_at
    ages = {node.name: node.age for node in context.nodes}
    older = {name: age for name, age in ages.items() if age > true_age + ms}
    assert not older, (true_age, older)


@then('no router counts it as alive')
def check_dead(context: Context) -> None:
    """Guard against a dead router that the others go on asking."""
    knowing = [
        node.name
        for node in context.nodes
        if context.ended in {peer.name for peer in node.exchange.peers}
    ]
    assert not knowing, knowing


@then('each router counts the others as alive')
def check_alive(context: Context) -> None:
    """Guard against routers that forget sound ones."""
    for node in context.nodes:
        found = len(node.exchange.peers)
        assert found == len(context.nodes) - 1, (node.name, found)


@then('all routers refuse the request, and none for longer than the first')
def check_refusals(context: Context) -> None:
    """Guard against a crash that circulates and never expires."""
    now = context.nodes[0].clock.now()
    quarantines = [node.quarantine for node in context.nodes]
    statuses = {each.status(_FINGERPRINT, now) for each in quarantines}
    assert statuses == {QuarantineStatus.REFUSED}, statuses
    remaining = [each.remaining_time(_FINGERPRINT, now) for each in quarantines]
    assert max(remaining) == remaining[0], remaining
