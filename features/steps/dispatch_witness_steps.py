"""Steps for connections that show whether a process has lived on."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet.protocol import Factory, Protocol

from features.memory_network import MemoryNetwork, NodeReactor
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.connection import next_moment
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.witness import Witnesses
from yuccagauge.settings.options import Endpoint

_ROUTER = '10.0.0.1'
_SERVER = Endpoint('10.1.0.1', 8080)
_CHECK = BackendMessage(method='GET', path='/h')

#: Time between the ends of two answers, and for all that follows, in seconds.
_BETWEEN_ENDS_S = 0.01
_RUN_OUT_S = 0.5
_STEP_S = 0.001


class _CheckedServer(Protocol):
    """A connection to a server that answers checks."""

    def __init__(self, context: Context) -> None:
        """Join the connections of the server."""
        self._context = context
        context.connections.append(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a check, its body maybe later."""
        self._context.checks += 1
        self.transport.write(b'HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n')
        self._context.network.reactor.callLater(
            self._context.body_delay_s, self.transport.write, b'ok'
        )


def _start(context: Context, body_delay_s: float) -> None:
    context.network = MemoryNetwork()
    context.body_delay_s = body_delay_s
    context.connections = []
    context.checks = 0
    factory = Factory()
    factory.noisy = False
    factory.buildProtocol = lambda _: _CheckedServer(context)
    context.network.listen(_SERVER.host, _SERVER.port, factory)
    context.pool = ConnectionPool(NodeReactor(context.network, _ROUTER))
    context.witnesses = Witnesses(context.pool)
    context.proofs = []


def _run(context: Context, seconds: float) -> None:
    for _ in range(round(seconds / _STEP_S)):
        context.network.reactor.advance(_STEP_S)


def _end_answer(context: Context, moment: int) -> None:
    """Ask for the proof of an answer to a request of a moment."""
    proof = context.witnesses.prove(_SERVER, moment, _CHECK)
    index = len(context.proofs)
    context.proofs.append(None)

    def note(is_proved: Any) -> None:
        context.proofs[index] = is_proved

    proof.addCallback(note)


@given('a server that answers checks with their bodies {delay:d} ms late')
def start_slow_server(context: Context, delay: int) -> None:
    """Start a server whose answers come in two parts."""
    _start(context, delay / 1000)


@given('a server that answers checks')
def start_server(context: Context) -> None:
    """Start a server that answers at once."""
    _start(context, 0)


@given('a connection to it that was opened before two requests')
def open_older(context: Context) -> None:
    """Open a connection, and send two requests then."""
    context.witnesses.prepare(_SERVER)
    _run(context, _BETWEEN_ENDS_S)
    context.moments = (next_moment(), next_moment())


@when('the answers to both end within 10 ms')
def end_both(context: Context) -> None:
    """End the second answer amid the check of the first one."""
    for moment in context.moments:
        _end_answer(context, moment)
        _run(context, _BETWEEN_ENDS_S)
    _run(context, _RUN_OUT_S)


@when(
    'the answers to both end within 10 ms, and the server ends amid the first '
    'check'
)
def end_server_amid_check(context: Context) -> None:
    """End the server once it has answered the first check."""
    for moment in context.moments:
        _end_answer(context, moment)
        _run(context, _BETWEEN_ENDS_S)
    context.network.end_host(_SERVER.host)
    _run(context, _RUN_OUT_S)


@when('a request is sent, and a connection is opened after it')
def open_younger(context: Context) -> None:
    """Open the connection too late."""
    moment = next_moment()
    context.witnesses.prepare(_SERVER)
    _run(context, _BETWEEN_ENDS_S)
    _end_answer(context, moment)
    _run(context, _RUN_OUT_S)


@when('an answer of the server has a length')
def record_length(context: Context) -> None:
    """Record an answer that tells where it ends."""
    context.witnesses.record_framing(_SERVER, is_framed=True)


@then('both are proved, by {checks:d} checks on {connections:d} connection')
def check_proved(context: Context, checks: int, connections: int) -> None:
    """Guard against answers without a proof beside others."""
    assert context.proofs == [True, True], context.proofs
    assert context.checks == checks
    assert len(context.connections) == connections


@then('the answer to it is not proved')
def check_not_proved(context: Context) -> None:
    """Guard against a proof by what is there now."""
    assert context.proofs == [False], context.proofs


@then('the first is proved, and the second is not')
def check_first_proved(context: Context) -> None:
    """Guard against an answer to an earlier question."""
    assert context.proofs == [True, False], context.proofs


@then('the next call uses that connection')
def check_reused(context: Context) -> None:
    """Guard against a connection that no call uses."""
    taken: list[Any] = []
    context.pool.open(_SERVER, fresh=False).addCallback(taken.append)
    assert taken
    assert len(context.connections) == 1


@then('no other one is opened beside a call')
def check_no_other(context: Context) -> None:
    """Guard against a connection beside each call."""
    context.witnesses.prepare(_SERVER)
    _run(context, _RUN_OUT_S)
    assert len(context.connections) == 1
