"""Steps for the membership among routers."""

import json
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import Phase, settings
from hypothesis import given as for_any
from hypothesis import strategies as st
from klein import Klein
from twisted.internet import reactor
from twisted.web.server import Site

from features.loop import wait_for_call, wait_until
from features.membership_node import MembershipNode
from yuccagauge.clock import Millis
from yuccagauge.membership.base import MemberState
from yuccagauge.membership.items import ItemTopic
from yuccagauge.membership.virtual import VirtualNetwork
from yuccagauge.membership.vmlist import ROUTER_SERVICE, VmListFollower
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.messages import Item

PROPERTY = settings(derandomize=True, database=None, deadline=None)
_FEW = settings(PROPERTY, max_examples=15, phases=[Phase.generate])


def _name(index: int) -> str:
    return f'router-{index}'


@given(
    'a membership network of {size:d} routers, seed {seed:d}, loss {loss:g}',
)
def given_network(context: Context, size: int, seed: int, loss: float) -> None:
    """Start without losses, then set them."""
    context.network = VirtualNetwork(size, seed)
    taken = context.network.run_until(
        context.network.is_converged,
        Millis(60_000),
    )
    assert taken is not None
    context.network.loss = loss
    context.network.changes.clear()
    context.expected_dead = set()


@when('membership router {index:d} crashes')
def when_crashed(context: Context, index: int) -> None:
    """In a network of two, the last one stands for any index."""
    index = min(index, len(context.network.routers) - 1)
    context.network.crash(_name(index))
    context.expected_dead.add(_name(index))


@when('membership router {index:d} is paused for {duration:d} ms')
def when_paused(context: Context, index: int, duration: int) -> None:
    """Stop one process."""
    context.network.pause(_name(index), Millis(duration))


@when('{duration:d} ms pass in the membership network')
def when_passed(context: Context, duration: int) -> None:
    """Let virtual time pass."""
    context.network.run(Millis(duration))


@when('membership routers {first:d} to {last:d} are cut off for {time:d} ms')
def when_cut(context: Context, first: int, last: int, time: int) -> None:
    """Cut a group off, let each side give the other up, then heal."""
    network = context.network
    network.cut(_name(index) for index in range(first, last + 1))
    network.run(Millis(time))
    assert network.view(_name(17), _name(first)) is MemberState.DEAD
    network.heal()


@when('membership router {index:d} leaves')
def when_left(context: Context, index: int) -> None:
    """Announce the leaving."""
    context.network.leave(_name(index))


@when(
    'membership router {index:d} starts again with incarnation {number:d}',
)
def when_restarted(context: Context, index: int, number: int) -> None:
    """Start a new process of the same name and address."""
    context.network.start(_name(index), index, number)


@then('all see membership router {index:d} dead within {limit:d} ms')
def then_all_dead(context: Context, index: int, limit: int) -> None:
    """Check the view of every router that runs."""
    network = context.network
    name = _name(min(index, len(network.routers) - 1))
    context.expected_dead.add(name)
    seen = network.run_until(
        lambda: set(network.views(name)) == {MemberState.DEAD},
        Millis(limit),
    )
    assert seen is not None, network.views(name)


@then('all see membership router {index:d} leaving')
def then_all_leaving(context: Context, index: int) -> None:
    """A router that said goodbye is not reported as a failure."""
    views = context.network.views(_name(index))
    assert set(views) == {MemberState.LEAVING}, views


@then('nobody remembers membership router {index:d}')
def then_forgotten(context: Context, index: int) -> None:
    """Guard against a table that fills with routers that left."""
    views = context.network.views(_name(index))
    assert set(views) == {None}, views


@then('nobody saw another membership router dead')
def then_no_false_death(context: Context) -> None:
    """Any other death is a false one."""
    false = [
        (time, observer, member.name)
        for time, observer, member in context.network.changes
        if member.state is MemberState.DEAD
        and member.name not in context.expected_dead
    ]
    assert not false, false


@then('the membership network has converged')
def then_converged(context: Context) -> None:
    """Everyone sees everyone alive."""
    assert context.network.is_converged()


@then('the membership network converges within {limit:d} ms')
def then_converges(context: Context, limit: int) -> None:
    """Everyone sees everyone alive in time."""
    network = context.network
    assert network.run_until(network.is_converged, Millis(limit)) is not None


_FAULTS = st.lists(
    st.tuples(
        st.sampled_from(['pause', 'cut', 'restart', 'crash']),
        st.integers(0, 5),
        st.integers(100, 40_000),
    ),
    min_size=1,
    max_size=4,
)


@then('any membership network recovers from random faults')
def then_recovers(context: Context) -> None:
    """No sequence of faults may leave the views apart for good."""

    @_FEW
    @for_any(st.integers(0, 1000), st.sampled_from([0, 0.1]), _FAULTS)
    def check(seed: int, loss: float, faults: list[Any]) -> None:
        network = VirtualNetwork(6, seed, loss=loss)
        network.run(Millis(10_000))
        incarnation = 1
        for kind, index, time in faults:
            name = _name(index)
            incarnation += 1
            if kind == 'pause':
                network.pause(name, Millis(time))
            elif kind == 'cut':
                network.cut([name])
            elif kind == 'restart':
                network.crash(name)
                network.start(name, index, incarnation)
            else:
                network.crash(name)
            network.run(Millis(time))
            network.heal()
        network.loss = 0
        for index in range(6):
            if not network.routers[_name(index)].is_up:
                network.start(_name(index), index, incarnation + 1)
        taken = network.run_until(network.is_converged, Millis(180_000))
        assert taken is not None

    check()


@given('{count:d} membership services with one seed')
def given_services(context: Context, count: int) -> None:
    """Start them one after the other; the first one is the seed."""
    context.nodes = [MembershipNode('node-0', '')]
    seed = str(context.nodes[0].server.endpoint)
    for index in range(1, count):
        context.nodes.append(MembershipNode(f'node-{index}', seed))
    for node in context.nodes:
        context.add_cleanup(wait_for_call, node.close)
    context.items = []
    context.nodes[-1].service.add_item_listener(
        ItemTopic.VERSION,
        context.items.append,
    )


@given('a membership listener that fails')
def given_failing_listener(context: Context) -> None:
    """A fault in another slice must not stop the protocol."""

    def fail(change: Any) -> None:
        raise RuntimeError('listener')

    for node in context.nodes:
        node.service.add_listener(fail)


@then('all membership services see {count:d} live members')
def then_all_live(context: Context, count: int) -> None:
    """Wait until the last one has joined."""
    wait_until(
        lambda: all(
            len(node.service.live()) == count for node in context.nodes
        ),
    )


@when('the first membership service spreads an item')
def when_spread(context: Context) -> None:
    """Spread a version."""
    item = Item(
        topic=int(ItemTopic.VERSION),
        key=b'matcher-llm',
        version=7,
        lifetime_ms=60_000,
    )
    assert context.nodes[0].service.spread(item)


@then('the last membership service receives the item')
def then_item(context: Context) -> None:
    """Wait for the listener."""
    wait_until(lambda: bool(context.items))
    assert [item.version for item in context.items] == [7]


@when('the first membership service leaves')
def when_service_leaves(context: Context) -> None:
    """Announce the leaving."""
    context.nodes[0].service.leave()


@then('the last membership service sees {count:d} live members')
def then_last_live(context: Context, count: int) -> None:
    """Wait for the announcement."""
    service = context.nodes[-1].service
    wait_until(lambda: len(service.live()) == count)


@given(
    'a membership VM list with a router, an engine and a leaving engine',
)
def given_vm_list(context: Context) -> None:
    """Serve a fixed list that can go down."""
    lines = [
        (7100, ROUTER_SERVICE, 'live'),
        (9101, 'matcher-llm', 'live'),
        (9102, 'matcher-llm', 'leaving'),
    ]
    vms = [
        {
            'address': f'10.0.0.1:{port}',
            'data_centre': 'khomas-a',
            'service': service,
            'state': state,
        }
        for port, service, state in lines
    ]
    app = Klein()
    context.is_down = False
    context.readings = 0

    def serve(request: Any) -> bytes:
        context.readings += 1
        if context.is_down:
            request.setResponseCode(503)
        return json.dumps({'vms': vms}).encode()

    app.route('/vms')(serve)
    port = reactor.listenTCP(0, Site(app.resource()), interface='127.0.0.1')
    address = Endpoint('127.0.0.1', port.getHost().port)
    context.follower = VmListFollower(address, reactor)
    context.follower.start()
    context.add_cleanup(wait_for_call, port.stopListening)
    context.add_cleanup(wait_for_call, context.follower.close)


@when('the membership follower has read the list')
def when_list_read(context: Context) -> None:
    """Wait for the first reading."""
    wait_until(lambda: bool(context.follower.vms))


@when('the membership VM list is down for a reading')
def when_list_down(context: Context) -> None:
    """Wait for a reading that fails."""
    context.is_down = True
    before = context.readings
    wait_until(lambda: context.readings > before)


@then('it names the router as seed and the leaving engine')
def then_list(context: Context) -> None:
    """An outage must not look like an empty platform."""
    follower = context.follower
    assert follower.router_seeds == (Endpoint('10.0.0.1', 7100),)
    assert follower.leaving('matcher-llm') == {Endpoint('10.0.0.1', 9102)}
