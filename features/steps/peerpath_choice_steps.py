"""Steps for the choice of peers and the memory of the direct way."""

import random
from collections import Counter
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from yuccagauge.clock import Millis
from yuccagauge.exchange.members import Member
from yuccagauge.peerpath import reach as reach_module
from yuccagauge.peerpath.choice import PeerChoice
from yuccagauge.peerpath.reach import DirectReach, Loss
from yuccagauge.settings.options import Endpoint

_NOW = Millis(100_000)
_SEED = 34


def _server(number: int) -> Endpoint:
    return Endpoint('10.0.9.1', number)


def _names(context: Context, server: int) -> list[str]:
    chosen = context.choice.choose(context.peers, _server(server), _NOW)
    return [peer.name for peer in chosen]


def _add(context: Context, names: str, data_centre: str) -> None:
    if 'peers' not in context:
        context.peers = []
        context.choice = PeerChoice('a', random.Random(_SEED).random)
    context.peers += [
        Member(
            name=name,
            endpoint=Endpoint('10.0.1.1', 7000),
            data_centre=data_centre,
            last_seen_at=_NOW,
        )
        for name in names.split()
    ]


@given('path peers {names} of the own data centre')
def given_near(context: Context, names: str) -> None:
    """Add them."""
    _add(context, names, 'a')


@given('path peers {names} of another data centre')
def given_far(context: Context, names: str) -> None:
    """Add them."""
    _add(context, names, 'b')


@when('a path to server {server:d} opened through {name} and ended')
def when_opened(context: Context, server: int, name: str) -> None:
    """Record both."""
    context.choice.record_opened(name, _server(server), _NOW)
    context.choice.record_closed(name)


@when('a path to server {server:d} through {name} failed {age:d} ms ago')
def when_failed(context: Context, server: int, name: str, age: int) -> None:
    """Record it."""
    context.choice.record_failed(name, _server(server), Millis(_NOW - age))


@when('{count:d} paths to server {server:d} are opened')
def when_paths(context: Context, count: int, server: int) -> None:
    """Open each through the first peer, and keep it."""
    context.carried = Counter()
    for _ in range(count):
        name = _names(context, server)[0]
        context.choice.record_opened(name, _server(server), _NOW)
        context.carried[name] += 1


@when('path peer {name} is gone and comes back')
def when_gone(context: Context, name: str) -> None:
    """Let the choice forget it."""
    names = [peer.name for peer in context.peers if peer.name != name]
    context.choice.remove_gone(names, {_server(1), _server(2)})


@then('for server {server:d} the path peers begin with {name}')
def then_begin(context: Context, server: int, name: str) -> None:
    """Compare the first."""
    assert _names(context, server)[0] == name, _names(context, server)


@then('for server {server:d} the path peers are {names}')
def then_are(context: Context, server: int, names: str) -> None:
    """Compare all."""
    assert _names(context, server) == names.split(), _names(context, server)


@then('for server {server:d} the path peers contain {name}')
def then_contain(context: Context, server: int, name: str) -> None:
    """Look for one."""
    assert name in _names(context, server)


@then('for server {server:d} the path peers do not contain {name}')
def then_not_contain(context: Context, server: int, name: str) -> None:
    """Look for one."""
    assert name not in _names(context, server)


@then('for server {server:d} the path peers come from the data centres {names}')
def then_centres(context: Context, server: int, names: str) -> None:
    """Compare the first letters, which name the data centres."""
    centres = [name[0] for name in _names(context, server)]
    assert centres == names.split(), centres


@then('each of {names} carries {count:d} of them')
def then_spread(context: Context, names: str, count: int) -> None:
    """Compare the shares."""
    assert context.carried == dict.fromkeys(names.split(), count)


@given(
    '{count:d} routers that lose the direct way to a server at the same moment'
)
def given_routers(context: Context, count: int) -> None:
    """Let each record the loss."""
    context.reaches = []
    for number in range(count):
        reach = DirectReach(random.Random(_SEED + number).random)
        reach.record_loss(_server(1), Loss.TIMED_OUT, _NOW)
        context.reaches.append(reach)


@when('they try to probe each millisecond for {duration:d} ms')
def when_probe(context: Context, duration: int) -> None:
    """Keep which router probed when."""
    context.probes = [
        (number, moment)
        for moment in range(duration)
        for number, reach in enumerate(context.reaches)
        if reach.try_probe(_server(1), Millis(_NOW + moment))
    ]


@then('each has probed {low:d} to {high:d} times')
def then_probed(context: Context, low: int, high: int) -> None:
    """Count by router."""
    counts = Counter(number for number, _ in context.probes)
    assert len(counts) == len(context.reaches)
    assert all(low <= count <= high for count in counts.values()), counts


@then('no {width:d} ms have more than {limit:d} probes')
def then_no_herd(context: Context, width: int, limit: int) -> None:
    """Count by span of time."""
    counts = Counter(moment // width for _, moment in context.probes)
    assert max(counts.values()) <= limit, counts.most_common(3)


@when(
    'the direct way to a server is lost and regained {count:d} times '
    'in {duration:d} ms'
)
def when_flapping(context: Context, count: int, duration: int) -> None:
    """Count the lines."""
    reach = DirectReach(lambda: 0.5)
    with mock.patch.object(reach_module, 'log_state_change') as log:
        for number in range(count):
            now = Millis(_NOW + number * duration // count)
            reach.record_loss(_server(1), Loss.REFUSED, now)
            reach.record_open(_server(1), now)
        context.line_count = log.call_count


@then('at most {limit:d} lines are logged about it')
def then_lines(context: Context, limit: int) -> None:
    """Compare the number."""
    assert 2 <= context.line_count <= limit, context.line_count
