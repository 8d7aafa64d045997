"""Steps for the ways to a server, directly or through a peer."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.python.failure import Failure

from features.path_network import NEAR_HOST, SERVER, PathNetwork, is_carried
from yuccagauge.clock import Millis
from yuccagauge.dispatch.connection import Connection

#: Time within which the caller of the endpoint wants an outcome.
_CALL_LIMIT = Millis(250)

#: Time within which the network delivers what was sent.
_NETWORK_MS = 10

_FACES = {'hang': 'hang', 'are refused': 'refuse'}


def _is_open(outcome: Any) -> bool:
    return isinstance(outcome, Connection)


def _connect(context: Context) -> None:
    """Open a connection within the time that a call allows, and end it."""
    outcomes = context.paths.open()
    context.paths.run(_CALL_LIMIT)
    if not outcomes:
        context.paths.opening.cancel()
    context.outcomes += outcomes
    if _is_open(outcomes[0][0]):
        outcomes[0][0].abort()


@given('a path network with {count:d} peers')
def given_network(context: Context, count: int) -> None:
    """Start a router, its peers and a server."""
    context.paths = PathNetwork(count)
    context.outcomes = []


@given('the router keeps an idle connection to the server')
def given_idle(context: Context) -> None:
    """Open a connection and give it back."""
    outcomes = context.paths.open()
    context.paths.run(10)
    context.idle = outcomes[0][0]
    context.paths.pool.give_back(SERVER, context.idle)


@when('the router is separated from the server, so that connections {face}')
def when_separated(context: Context, face: str) -> None:
    """Cut the direct way."""
    context.paths.separate(NEAR_HOST, _FACES[face])


@when('the first {count:d} peers are separated too, so that connections {face}')
def when_peers_separated(context: Context, count: int, face: str) -> None:
    """Cut the ways of peers."""
    for host in context.paths.peer_hosts[:count]:
        context.paths.separate(host, _FACES[face])


@when('the partition ends')
def when_healed(context: Context) -> None:
    """Let all reach the server."""
    context.paths.heal()
    context.outcomes.clear()


@when('only the peers reach the server again')
def when_peers_healed(context: Context) -> None:
    """Heal all ways except that of the router."""
    context.paths.heal()
    context.paths.separate(NEAR_HOST, 'hang')


@when('the server is down')
def when_down(context: Context) -> None:
    """Close its port."""
    context.paths.network.close_port(SERVER.host, SERVER.port)


@when('the router opens a connection')
def when_open(context: Context) -> None:
    """Open one."""
    context.outcomes.clear()
    _connect(context)


@when('the router opens {count:d} connections')
@when('the router opens {count:d} more connections')
def when_open_more(context: Context, count: int) -> None:
    """Open one after the other."""
    context.outcomes.clear()
    context.paths.asked.clear()
    for _ in range(count):
        _connect(context)


@when('the router opens a connection every {interval:d} ms for {duration:d} ms')
def when_open_often(context: Context, interval: int, duration: int) -> None:
    """Open connections like the calls of callers, many at a time."""
    context.paths.network.attempts.clear()
    begun: list[list[tuple[Any, Millis]]] = []
    for _ in range(duration // interval):
        begun.append(context.paths.open())
        context.paths.run(interval)
    context.paths.run(_CALL_LIMIT)
    for outcomes in begun:
        context.outcomes += outcomes


@when('a call has hung on a connection to the server')
def when_hung(context: Context) -> None:
    """Let the router check the server, within the time of a retry."""
    context.paths.dialer.check(SERVER)
    context.paths.run(100)


@when('{count:d} calls break on the server in {duration:d} ms')
def when_broken(context: Context, count: int, duration: int) -> None:
    """Report each of them."""
    for _ in range(count):
        context.paths.dialer.check(SERVER)
        context.paths.run(duration // count)
    context.paths.run(_CALL_LIMIT)


@when('the router asks for any connection')
def when_ask(context: Context) -> None:
    """Take an idle connection, or open one."""
    outcomes = context.paths.open(fresh=False)
    context.paths.run(_CALL_LIMIT)
    context.taken = outcomes[0][0]


@when('the router opens a connection, and its loop runs {late:d} ms late')
def when_late(context: Context, late: int) -> None:
    """Let its timers come before what the network delivered meanwhile."""
    network = context.paths.network
    context.paths.open()
    for call in network.reactor.getDelayedCalls():
        due_ms = round(1000 * call.getTime())
        if due_ms <= _NETWORK_MS:
            # It is read in the turn after that of the timers.
            call.delay((late + 1 - due_ms) / 1000)
    network.reactor.advance(late / 1000)
    context.paths.run(_CALL_LIMIT)


@when('the router opens a connection and cancels it after {time:d} ms')
def when_cancel(context: Context, time: int) -> None:
    """Cancel it as a call does that was answered elsewhere."""
    context.outcomes = context.paths.open()
    context.paths.run(time)
    context.paths.opening.cancel()


@then('it is open through a peer within {limit:d} ms')
@then('each is open through a peer within {limit:d} ms')
def then_carried(context: Context, limit: int) -> None:
    """Compare the way and the time."""
    assert context.outcomes
    for outcome, duration in context.outcomes:
        assert _is_open(outcome) and is_carried(outcome), outcome
        assert duration <= limit, duration


@then('each is open directly within {limit:d} ms')
def then_direct(context: Context, limit: int) -> None:
    """Compare the way and the time."""
    assert context.outcomes
    for outcome, duration in context.outcomes:
        assert _is_open(outcome) and not is_carried(outcome), outcome
        assert duration <= limit, duration


@then('the last is open directly')
def then_last_direct(context: Context) -> None:
    """The way back was taken."""
    outcome = context.outcomes[-1][0]
    assert _is_open(outcome) and not is_carried(outcome), outcome


@then('the last is open through a peer')
def then_last_carried(context: Context) -> None:
    """The peer was found."""
    outcome = context.outcomes[-1][0]
    assert _is_open(outcome) and is_carried(outcome), outcome


@then('no connection has failed')
def then_none_failed(context: Context) -> None:
    """All are open."""
    failed = [each for each, _ in context.outcomes if not _is_open(each)]
    assert not failed, failed


@then('all connections have failed')
def then_all_failed(context: Context) -> None:
    """The failures were reported, none hangs."""
    assert context.outcomes
    for outcome, _ in context.outcomes:
        assert isinstance(outcome, Failure), outcome


@then('the router asked {count:d} peer for each connection')
def then_asked_each(context: Context, count: int) -> None:
    """Count the requests since the connections began."""
    expected = count * len(context.outcomes)
    assert len(context.paths.asked) == expected, context.paths.asked


@then('no peer was asked for a path')
def then_not_asked(context: Context) -> None:
    """Nothing goes through peers."""
    assert not context.paths.asked, context.paths.asked


@then('the peers were asked at most {limit:d} times')
def then_asked(context: Context, limit: int) -> None:
    """Count all requests."""
    assert len(context.paths.asked) <= limit, len(context.paths.asked)


@then('only the router asked peers for paths')
def then_one_hop(context: Context) -> None:
    """No peer passes a request on."""
    assert {asker for _, asker in context.paths.asked} == {'near'}


@then('it tried the direct way at most {limit:d} times')
def then_probes(context: Context, limit: int) -> None:
    """Count the attempts of the router at the server itself."""
    attempts = context.paths.attempts_of(NEAR_HOST)
    assert 1 <= attempts <= limit, attempts


@then('it gets the idle connection')
def then_idle(context: Context) -> None:
    """Live connections go on being used."""
    assert context.taken is context.idle


@then('it does not get the idle connection')
def then_not_idle(context: Context) -> None:
    """A connection that may hang is not used."""
    assert _is_open(context.taken) and context.taken is not context.idle


@then('a carried connection cannot be used for a second call')
def then_one_call(context: Context) -> None:
    """The pool must not keep it."""
    outcomes = context.paths.open()
    context.paths.run(_CALL_LIMIT)
    connection = outcomes[0][0]
    assert is_carried(connection)
    assert not connection.reusable


@then('the server counts as reached directly')
def then_reached(context: Context) -> None:
    """A late loop is no evidence."""
    assert not context.paths.reach.is_lost(SERVER)
    assert set(context.paths.network.attempts) == {(NEAR_HOST, SERVER.host)}


@then('nothing is carried and no connection is open after {time:d} ms')
def then_nothing(context: Context, time: int) -> None:
    """Look at the peers, the server and the router."""
    context.paths.run(time)
    assert len(context.outcomes) == 1
    assert isinstance(context.outcomes[0][0], Failure)
    for carrier in context.paths.carriers:
        assert not carrier.carried_count
    transports = context.paths.network._transports
    open_transports = [each for each in transports if each.is_open]
    assert not open_transports, open_transports
