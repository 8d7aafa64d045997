"""Steps for connections that show whether a process has lived on."""

from functools import partial
from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet.protocol import Factory, Protocol

from features.memory_network import MemoryNetwork, NodeReactor
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.connection import next_moment
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.witness import (
    Witness,
    WitnessCheck,
    WitnessedPool,
    Witnesses,
)
from yuccagauge.settings.options import Endpoint

_ROUTER = '10.0.0.1'
_SERVER = Endpoint('10.1.0.1', 8080)
_CHECK = BackendMessage(method='GET', path='/h')
_STALLED_ANSWER = b'HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\n'
_ANSWER = _STALLED_ANSWER + b'ok'

#: Time between the ends of two answers, and for all that follows, in seconds.
_BETWEEN_ENDS_S = 0.01
_RUN_OUT_S = 0.5
_STEP_S = 0.001

#: Time after which a connection without news has ended, in seconds: twice the
#: time for which the pool keeps idle ones.
_STALL_S = 20


class _CheckedServer(Protocol):
    """A connection to a server that answers checks."""

    def __init__(self, context: Context) -> None:
        """Join the connections of the server."""
        self._context = context
        self.answer = _ANSWER
        context.connections.append(self)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a check, maybe later."""
        self._context.network.reactor.callLater(
            self._context.delay_s, self._answer
        )

    def _answer(self) -> None:
        self.transport.write(self.answer)
        if self._context.closes:
            self.transport.loseConnection()


@given('a server that answers checks {delay:d} ms late')
def start_server(context: Context, delay: int, *, closes: bool = False) -> None:
    """Start a server."""
    context.network = MemoryNetwork()
    context.delay_s = delay / 1000
    context.closes = closes
    context.connections = []
    context.calls = []
    context.proofs = []
    factory = Factory()
    factory.noisy = False
    factory.buildProtocol = lambda _: _CheckedServer(context)
    context.network.listen(_SERVER.host, _SERVER.port, factory)
    context.reactor = NodeReactor(context.network, _ROUTER)
    context.pool = ConnectionPool(context.reactor)
    context.witnesses = Witnesses(context.pool)


@given('a server that answers checks {delay:d} ms late, and then closes')
def start_closing_server(context: Context, delay: int) -> None:
    """Start a server whose connections end with checks."""
    start_server(context, delay, closes=True)


def _run(context: Context, seconds: float) -> None:
    for _ in range(round(seconds / _STEP_S)):
        context.network.reactor.advance(_STEP_S)


def _send(context: Context) -> None:
    """Send a call once its older connection is open."""
    witness = context.witnesses.prepare(_SERVER)
    _run(context, _BETWEEN_ENDS_S)
    context.calls.append((witness, next_moment()))


def _end_answer(context: Context, call: tuple[Witness, int]) -> None:
    """Ask for the proof of an answer."""
    connection = context.witnesses.take(*call)
    if connection is None:
        context.proofs.append('')
        return
    WitnessCheck(
        connection,
        context.reactor.callLater,
        context.proofs.append,
        partial(context.witnesses.give_back, _SERVER),
    ).start(_CHECK)


@given('{count:d} calls that are sent to it')
def send_calls(context: Context, count: int) -> None:
    """Send calls, none of which ends."""
    for _ in range(count):
        _send(context)


@when('the answers to both end within 10 ms')
def end_all(context: Context) -> None:
    """End all answers."""
    for call in context.calls:
        _end_answer(context, call)
        _run(context, _BETWEEN_ENDS_S)
    _run(context, _RUN_OUT_S)


@when('the answers to both end within 10 ms, and the server ends in between')
def end_server_in_between(context: Context) -> None:
    """End the server once it has answered the first check."""
    first, second = context.calls
    _end_answer(context, first)
    _run(context, _BETWEEN_ENDS_S)
    context.network.end_host(_SERVER.host)
    _end_answer(context, second)
    _run(context, _RUN_OUT_S)


@when(
    'the answers to both end within 10 ms, and the server ends {delay:d} ms '
    'later'
)
def end_server_later(context: Context, delay: int) -> None:
    """End the server before it has answered a check."""
    for call in context.calls:
        _end_answer(context, call)
    _run(context, delay / 1000)
    context.network.end_host(_SERVER.host)
    _run(context, _RUN_OUT_S)


@when('the answers to both end within 10 ms, and the server had ended unheard')
def end_server_unheard(context: Context) -> None:
    """End the server, whose links deliver nothing from then on."""
    context.network.end_host(_SERVER.host, silently=True)
    for call in context.calls:
        _end_answer(context, call)
    _run(context, _RUN_OUT_S)


@when(
    'the server ends {delay:d} ms after its host has the check, and its end '
    'is lost'
)
def end_server_after_check(context: Context, delay: int) -> None:
    """End the server amid the wait, and let nothing be heard of it."""
    for call in context.calls:
        _end_answer(context, call)
    _run(context, delay / 1000)
    assert not context.proofs, context.proofs
    context.network.end_host(_SERVER.host, silently=True)
    _run(context, _RUN_OUT_S)


@when(
    'the acknowledgement of the check arrives after {delay:d} ms, and the end '
    'of the server {after:d} ms later'
)
def end_server_after_late_news(
    context: Context, delay: int, after: int
) -> None:
    """Delay what is heard of the server, its end included."""
    network = context.network
    latency_s, network.latency_s = network.latency_s, delay / 1000
    for call in context.calls:
        _end_answer(context, call)
    _run(context, delay / 1000)
    network.latency_s = latency_s
    assert not context.proofs, context.proofs
    assert context.connections[-1].transport.other.acknowledged
    _run(context, after / 1000 - latency_s)
    network.end_host(_SERVER.host)
    _run(context, _RUN_OUT_S)


@when('the answer to a check has a head, and its body does not come')
def stall_check(context: Context) -> None:
    """Let the server live on, and send no more."""
    witness = context.witnesses.prepare(_SERVER)
    _run(context, _BETWEEN_ENDS_S)
    context.connections[-1].answer = _STALLED_ANSWER
    _end_answer(context, (witness, next_moment()))
    _run(context, _STALL_S)


@then('it is proved by an answer, and the connection has ended')
def check_stalled_ended(context: Context) -> None:
    """Guard against connections that nothing ends."""
    assert context.proofs == ['older_connection'], context.proofs
    assert not context.connections[-1].transport.is_open


@when(
    'a call goes out on an idle connection to a process that the next one has '
    'replaced at the port, and the earlier one ends amid the answer'
)
def replace_process(context: Context) -> None:
    """Let the earlier process keep its connections when the next one listens."""
    opened: list[Any] = []
    context.pool.open(_SERVER, fresh=True).addCallback(opened.append)
    _run(context, _BETWEEN_ENDS_S)
    context.pool.give_back(_SERVER, opened.pop())
    earlier = context.connections.pop()
    factory = Factory()
    factory.noisy = False
    factory.buildProtocol = lambda _: _CheckedServer(context)
    context.network.listen(_SERVER.host, _SERVER.port, factory)
    witness = context.witnesses.prepare(_SERVER)
    pool = WitnessedPool(context.pool, witness, context.reactor.callLater)
    pool.open(_SERVER, fresh=False).addCallback(opened.append)
    _run(context, _BETWEEN_ENDS_S)
    assert opened[0].transport.other is earlier.transport
    moment = next_moment()
    earlier.transport.abortConnection()
    _run(context, _BETWEEN_ENDS_S)
    _end_answer(context, (witness, moment))
    _run(context, _RUN_OUT_S)


@when('a request is sent, and a connection is opened after it')
def open_younger(context: Context) -> None:
    """Open the connection too late."""
    moment = next_moment()
    witness = context.witnesses.prepare(_SERVER)
    _run(context, _BETWEEN_ENDS_S)
    _end_answer(context, (witness, moment))
    _run(context, _RUN_OUT_S)


@when('an answer of the server has a length, and both calls end')
def record_length(context: Context) -> None:
    """Record an answer that tells where it ends."""
    context.witnesses.record_framing(_SERVER, is_framed=True)
    for witness, _ in context.calls:
        context.witnesses.release(witness)


@then('both are proved by an answer')
def check_proved(context: Context) -> None:
    """Guard against answers without a proof beside others."""
    expected = ['older_connection', 'older_connection']
    assert context.proofs == expected, context.proofs


@then('it is proved by the open connection')
def check_open(context: Context) -> None:
    """Guard against an answer without a proof at a busy server."""
    assert context.proofs == ['open_connection'], context.proofs


@then('the answer to it is not proved')
def check_not_proved(context: Context) -> None:
    """Guard against a proof by what is there now."""
    assert context.proofs == [''], context.proofs


@then('nothing proves the answer to it')
def check_nothing_proved(context: Context) -> None:
    """Guard against a proof by a time in which nothing is heard."""
    assert not any(context.proofs), context.proofs


@then('the first is proved, and the second is not')
def check_first_proved(context: Context) -> None:
    """Guard against an answer to an earlier question."""
    assert context.proofs == ['older_connection', ''], context.proofs


@then('one of both connections carries the next call')
def check_reused(context: Context) -> None:
    """Guard against a connection that no call uses."""
    taken: list[Any] = []
    context.pool.open(_SERVER, fresh=False).addCallback(taken.append)
    assert taken
    assert len(context.connections) == len(context.calls)


@then('{count:d} more calls open no other one')
def check_no_other(context: Context, count: int) -> None:
    """Guard against a connection beside each call."""
    opened = len(context.connections)
    send_calls(context, count)
    assert len(context.connections) == opened
