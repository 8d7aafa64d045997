"""Steps for checks on connections that a peer carries."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.path_network import NEAR_HOST, SERVER, PathNetwork, is_carried
from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.connection import Connection
from yuccagauge.dispatch.witness import OPEN_LIMIT, WitnessCheck

_CHECK = BackendMessage(method='GET', path='/h')
_ANSWER = b'HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok'
_OPENING = Millis(100)
_ARRIVAL = Millis(5)


@given('an older connection that a peer carries to a server')
def open_carried(context: Context) -> None:
    """Open a connection at a router that the server refuses."""
    context.paths = PathNetwork(1)
    context.paths.separate(NEAR_HOST, 'refuse')
    outcomes = context.paths.open()
    context.paths.run(_OPENING)
    context.carried: Connection = outcomes[0][0]
    assert is_carried(context.carried), outcomes


@when(
    'the server {event}, a check is sent on the connection, and the peer is '
    'paused for {pause:d} ms'
)
def check_carried(context: Context, event: str, pause: int) -> None:
    """Let the event follow the check, except for the end of the server."""
    paths = context.paths
    frozen = paths.network.frozen_hosts
    frozen.update(paths.peer_hosts[: bool(pause)])
    if event == 'ends':
        paths.network.end_host(SERVER.host)
    _send_check(context)
    paths.run(Millis(pause))
    frozen.clear()
    if event == 'answers':
        paths.run(_ARRIVAL)
        paths.server_connections[-1].transport.write(_ANSWER)
    paths.run(Millis(2 * OPEN_LIMIT))


@when(
    'the server sends an answer that nobody asked for and ends, and a check is '
    'sent while the peer is paused'
)
def check_behind_answer(context: Context) -> None:
    """Let the peer hold the answer back until the check has been sent."""
    paths = context.paths
    peers = set(paths.peer_hosts)
    paths.network.is_cut = lambda host, other: host in peers
    paths.server_connections[-1].transport.write(_ANSWER)
    paths.network.end_host(SERVER.host)
    paths.run(_ARRIVAL)
    _send_check(context)
    paths.run(_ARRIVAL)
    paths.network.is_cut = lambda host, other: False
    paths.run(Millis(2 * OPEN_LIMIT))


def _send_check(context: Context) -> None:
    context.carried_results: list[Any] = []
    WitnessCheck(
        context.carried,
        context.paths.reactor.callLater,
        context.carried_results.append,
        lambda connection: connection.abort(),
    ).start(_CHECK)


@then('the check of the carried connection has the result "{result}"')
def check_carried_result(context: Context, result: str) -> None:
    """Guard against a proof by a peer that says nothing."""
    found = context.carried_results
    expected = [] if result == 'nothing' else [result]
    assert [proof for proof in found if proof] == expected, found
