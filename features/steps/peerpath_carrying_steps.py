"""Steps for what a peer carries, over real sockets."""

import hashlib
from types import SimpleNamespace
from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor
from twisted.internet.protocol import Factory
from twisted.python.failure import Failure

from features.loop import wait_for_call, wait_until
from features.path_network import ServerConnection, directory
from features.unresponsive_port import UnresponsivePort
from yuccagauge.clock import Millis, SystemClock
from yuccagauge.dispatch.base import BackendMessage, ResponseHead
from yuccagauge.dispatch.connection import Connection
from yuccagauge.exchange.members import Member
from yuccagauge.peerpath.attempt import PathAttempt
from yuccagauge.peerpath.carrier import PathCarrier
from yuccagauge.peerpath.reach import DirectReach
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.fleetmessages import PathOpen
from yuccagauge.wire.server import PeerServer

_LOOPBACK = Endpoint('127.0.0.1', 0)
_MEGABYTE = 1_000_000
_BLOCK = bytes(range(250)) * 4000
_QUIET_S = 0.5

#: Time for a part of an answer to reach the peer, in seconds.
_PART_S = 0.005


class _Sender:
    """Sends blocks for as long as the transport takes them."""

    def __init__(self, transport: Any, megabytes: int) -> None:
        self.sent = 0
        self._total = megabytes
        self._transport = transport
        self._is_paused = False
        transport.registerProducer(self, True)
        self.resumeProducing()

    def resumeProducing(self) -> None:
        """Send until there is a pause."""
        self._is_paused = False
        while not self._is_paused and self.sent < self._total:
            self.sent += 1
            self._transport.write(_BLOCK)
        if self.sent == self._total:
            self._transport.unregisterProducer()

    def pauseProducing(self) -> None:
        """Wait."""
        self._is_paused = True

    def stopProducing(self) -> None:
        """The connection has ended."""
        self._is_paused = True


class _User:
    """Hears how an answer ends."""

    def __init__(self) -> None:
        self.outcome = ''

    def head(self, head: Any) -> None:
        """Expect the body."""

    def data(self, data: bytes) -> None:
        """Expect the end."""

    def complete(self) -> None:
        """The answer is whole."""
        self.outcome = 'complete'

    def lost(self, reason: str) -> None:
        """The answer is not whole."""
        self.outcome = 'lost'


def _wait_quiet(measure: Any) -> None:
    """Run the reactor until a number has not changed for some time."""
    state = SimpleNamespace(value=None, since=reactor.seconds())

    def is_quiet() -> bool:
        value = measure()
        if value != state.value:
            state.value = value
            state.since = reactor.seconds()
        return reactor.seconds() - state.since > _QUIET_S

    wait_until(is_quiet)


def _run_reactor(seconds: float) -> None:
    end = reactor.seconds() + seconds
    wait_until(lambda: reactor.seconds() >= end)


@given('a server that a peer reaches')
def given_server(context: Context) -> None:
    """Open a server, and a peer that knows it."""
    context.connections = []
    factory = Factory.forProtocol(lambda: ServerConnection(context.connections))
    port = reactor.listenTCP(0, factory, interface='127.0.0.1')
    context.add_cleanup(wait_for_call, port.stopListening)
    context.server = Endpoint('127.0.0.1', port.getHost().port)
    context.silent = UnresponsivePort()
    context.add_cleanup(context.silent.close)
    context.peer = PeerServer(reactor, _LOOPBACK, 'peer')
    context.reach = DirectReach(lambda: 0.5)
    context.carrier = PathCarrier(
        context.peer,
        directory(context.server, context.silent.endpoint),
        context.reach,
        reactor,
        SystemClock(),
    )
    context.carrier.start()
    context.peer.start()
    context.add_cleanup(wait_for_call, context.peer.close)


def _ask(
    context: Context, server: str, target: Endpoint, *, is_probe: bool = False
) -> list[Any]:
    """Ask the peer for a path; return the outcome when it is there."""
    outcomes: list[Any] = []
    attempt = PathAttempt(
        Member(
            name='peer',
            endpoint=context.peer.endpoint,
            data_centre='a',
            last_seen_at=Millis(0),
        ),
        PathOpen(server=server, target=target, is_probe=is_probe),
        sender='router',
        reactor=reactor,
        on_opened=lambda each: outcomes.append('opened'),
        on_failed=lambda each: outcomes.append('refused'),
    )
    attempt.start()
    context.attempt = attempt
    context.add_cleanup(attempt.cancel)
    wait_until(lambda: bool(outcomes))
    return outcomes


def _open(context: Context, factory: Any) -> None:
    outcomes = _ask(context, 's1', context.server)
    assert outcomes == ['opened'], outcomes
    context.closed = []
    context.protocol = context.attempt.use(
        factory, lambda: context.closed.append(True)
    )


@when('the router opens a path and sends "{text}"')
def when_open(context: Context, text: str) -> None:
    """Open it and wait until the server has the text."""
    _open(context, Factory.forProtocol(lambda: ServerConnection([])))
    context.protocol.transport.write(text.encode())
    wait_until(lambda: bool(context.connections))
    connection = context.connections[0]
    wait_until(lambda: bytes(connection.received) == text.encode())


@when('the router opens a path and sends {count:d} bytes')
def when_send_bytes(context: Context, count: int) -> None:
    """Write them at once."""
    _open(context, Factory.forProtocol(lambda: ServerConnection([])))
    context.sent = (_BLOCK * (count // len(_BLOCK) + 1))[:count]
    context.protocol.transport.write(context.sent)


@when('the router sends a request on a path')
def when_request(context: Context) -> None:
    """Use the connection that calls use."""
    context.user = _User()
    _open(context, Factory.forProtocol(Connection))
    message = BackendMessage(method='GET', path='/', headers=(), body=b'')
    context.protocol.send(message, context.user)
    wait_until(lambda: bool(context.connections))
    connection = context.connections[0]
    wait_until(lambda: connection.received.endswith(b'\r\n\r\n'))
    host = f'Host: {context.server}'.encode()
    assert host in bytes(connection.received), connection.received


@when('the server answers "{text}" and then {ending}')
def when_answer(context: Context, text: str, ending: str) -> None:
    """Send, wait until it has passed, and end."""
    data = text.encode().decode('unicode_escape').encode()
    connection = context.connections[0]
    connection.transport.write(data)
    if isinstance(context.protocol, ServerConnection):
        wait_until(lambda: bool(context.protocol.received))
    else:
        _wait_quiet(lambda: len(connection.received))
    if ending == 'closes the connection':
        connection.transport.loseConnection()
    elif ending == 'resets the connection':
        connection.transport.abortConnection()
    elif ending == 'the peer closes its connections':
        for frames in tuple(context.peer._connections):
            frames.transport.unregisterProducer()
            frames.transport.loseConnection()
    else:
        wait_for_call(context.peer.close)


@when('the router {ending} its connection')
def when_end(context: Context, ending: str) -> None:
    """End the router's side."""
    transport = context.protocol.transport
    if ending == 'aborts':
        transport.abortConnection()
    else:
        transport.loseConnection()


@when('the router sends a second request for a path on it')
def when_second(context: Context) -> None:
    """No path leads through a path."""
    frames = context.protocol.transport._frames
    frames.send_message(PathOpen(server='s1', target=context.server))


@when('the peer ends all paths')
def when_abort(context: Context) -> None:
    """As at the end of its grace period."""
    context.carrier.abort_paths()


@when(
    'the router stops reading, and the server sends {count:d} MB '
    'for as long as it may'
)
def when_server_sends(context: Context, count: int) -> None:
    """Send more than all buffers on the way hold."""
    context.protocol.transport.pauseProducing()
    context.sender = _Sender(context.connections[0].transport, count)
    _wait_quiet(lambda: context.sender.sent)


@when(
    'the server stops reading, and the router sends {count:d} MB '
    'for as long as it may'
)
def when_router_sends(context: Context, count: int) -> None:
    """Send more than all buffers on the way hold."""
    context.connections[0].received.clear()
    context.connections[0].transport.pauseProducing()
    context.sender = _Sender(context.protocol.transport, count)
    _wait_quiet(lambda: context.sender.sent)


@when('the router reads again')
def when_router_reads(context: Context) -> None:
    """Then the server closes when all is sent."""
    context.protocol.transport.resumeProducing()
    wait_until(lambda: context.sender.sent == context.sender._total)
    context.connections[0].transport.loseConnection()


@when('the server reads again')
def when_server_reads(context: Context) -> None:
    """Let all arrive."""
    context.connections[0].transport.resumeProducing()


@when('the router asks for a path to {target}')
def when_ask(context: Context, target: str) -> None:
    """Ask for one of several addresses."""
    context.outcomes = _ask(
        context,
        *{
            'the server': ('s1', context.server),
            'an address that is no server': ('', context.server),
            'a server at another address': ('s2', context.server),
            'an unresponsive port': ('s2', context.silent.endpoint),
        }[target],
    )


@when('the router probes the server on a path')
def when_probe(context: Context) -> None:
    """Ask for a connection that shows whether the server lives."""
    context.outcomes = _ask(context, 's1', context.server, is_probe=True)


@then('the path is opened')
def then_opened(context: Context) -> None:
    """Guard against whole answers that are taken for broken ones."""
    assert context.outcomes == ['opened'], context.outcomes


@when('the server answers "{text}" in parts of {size:d} bytes')
def when_answer_in_parts(context: Context, text: str, size: int) -> None:
    """Send each part once the one before has passed, and close."""
    heads: list[ResponseHead] = []
    context.heads = heads
    context.carrier.on_answer = lambda server, head: heads.append(head)
    data = text.encode().decode('unicode_escape').encode()
    transport = context.connections[0].transport
    for start in range(0, len(data), size):
        transport.write(data[start : start + size])
        _run_reactor(_PART_S)
    transport.loseConnection()
    wait_until(lambda: not context.carrier.carried_count)


@then('the peer has heard "{text}"')
def then_heard(context: Context, text: str) -> None:
    """Guard against a peer that does not know that it was told to wait."""
    heard = [
        f'{head.status}, retry after {head.get(b"retry-after") or "-"}'
        for head in context.heads
    ]
    assert heard == ([] if text == 'nothing' else [text]), heard


@then('the path is refused')
def then_refused(context: Context) -> None:
    """The answer says so."""
    assert context.outcomes == ['refused'], context.outcomes


@then('the server has got no connection')
def then_no_connection(context: Context) -> None:
    """Nothing was opened."""
    assert not context.connections


@then('the router\'s connection has received "{text}"')
def then_received(context: Context, text: str) -> None:
    """Nothing more and nothing less."""
    wait_until(lambda: context.protocol.end is not None)
    assert bytes(context.protocol.received) == text.encode()


def _assert_ends(connection: ServerConnection, name: str) -> None:
    wait_until(lambda: connection.end is not None)
    end: Failure = connection.end
    assert end.type.__name__ == name, end


@then('the router\'s connection ends with "{name}"')
def then_router_end(context: Context, name: str) -> None:
    """Compare the reason."""
    _assert_ends(context.protocol, name)
    assert context.closed == [True]


@then('the server\'s connection ends with "{name}"')
def then_server_end(context: Context, name: str) -> None:
    """Compare the reason."""
    _assert_ends(context.connections[0], name)


@then("the server's connection has ended, and the peer carries nothing")
def then_nothing_carried(context: Context) -> None:
    """No side outlives the other."""
    wait_until(lambda: context.connections[0].end is not None)
    wait_until(lambda: not context.carrier.carried_count)


@then('the answer is "{outcome}"')
def then_answer(context: Context, outcome: str) -> None:
    """Compare what the call hears."""
    wait_until(lambda: bool(context.user.outcome))
    assert context.user.outcome == outcome, context.user.outcome


@then('the server receives these {count:d} bytes')
def then_bytes(context: Context, count: int) -> None:
    """Compare all of them."""
    wait_until(lambda: bool(context.connections))
    connection = context.connections[0]
    wait_until(lambda: len(connection.received) >= count)
    assert bytes(connection.received) == context.sent


@then('the server is held back before {limit:d} MB')
@then('the router is held back before {limit:d} MB')
def then_held_back(context: Context, limit: int) -> None:
    """Only the buffers on the way were filled."""
    assert context.sender.sent < limit, context.sender.sent


def _assert_whole(connection: ServerConnection, megabytes: int) -> None:
    total = megabytes * _MEGABYTE
    wait_until(lambda: len(connection.received) >= total)
    expected = hashlib.sha256(_BLOCK * megabytes).digest()
    assert hashlib.sha256(connection.received).digest() == expected


@then('the router receives the {count:d} MB as they were sent')
def then_router_whole(context: Context, count: int) -> None:
    """Nothing is lost or doubled by pauses."""
    _assert_whole(context.protocol, count)


@then('the server receives the {count:d} MB as they were sent')
def then_server_whole(context: Context, count: int) -> None:
    """Nothing is lost or doubled by pauses."""
    _assert_whole(context.connections[0], count)
