"""Steps for checks of routers that are paused, on sockets of the system."""

import socket
import struct
import time
from collections.abc import Callable
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.loop import wait_until
from yuccagauge.clock import Millis, in_seconds
from yuccagauge.dispatch import tcpinfo
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.callwitness import CallWitness
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.witness import OPEN_LIMIT, WitnessCheck
from yuccagauge.settings.options import Endpoint

_CHECK = BackendMessage(method='GET', path='/h')
_CALL_CHECK_LIMIT = Millis(100)
_HOST = '127.0.0.1'
_REQUEST_BYTES = 65_536
_PATIENCE_S = 5
_ARRIVAL_S = 0.05
_ANSWER = b'HTTP/1.1 200 X\r\nContent-Length: 2\r\n\r\nok'
_RESET = struct.pack('ii', 1, 0)

#: Pause of the router, beyond the longer of both limits.
_PAUSE_S = 2 * in_seconds(max(OPEN_LIMIT, _CALL_CHECK_LIMIT))


@given('an older connection to a process, by the operating system')
def start_process(context: Context) -> None:
    """Listen on a port; connections are accepted by the system."""
    context.listener = socket.create_server((_HOST, 0))
    context.listener.settimeout(_PATIENCE_S)
    context.add_cleanup(context.listener.close)
    context.pool = ConnectionPool(reactor)
    context.add_cleanup(context.pool.close)
    context.endpoint = Endpoint(_HOST, context.listener.getsockname()[1])
    context.results = []


@when(
    'a {kind} is sent on it, the process {event}, and the router is paused '
    'beyond the limit of the check'
)
def check_while_paused(context: Context, kind: str, event: str) -> None:
    """Do not run the event loop while the timer becomes due."""
    send = {'check': _send_check, 'check of a call': _send_call_check}[kind]
    accepted = send(context)
    context.add_cleanup(accepted.close)
    wait_until(lambda: _has_arrived(accepted))
    _pause_behind(context, accepted, event)


@when(
    'a check is sent on it, its arrival is heard, the process {event}, and the '
    'router is paused'
)
def check_heard_while_paused(context: Context, event: str) -> None:
    """Pause once the router waits for the end of the connection alone."""
    accepted = _send_check(context)
    context.add_cleanup(accepted.close)
    wait_until(lambda: _has_arrived(accepted))
    _run_for(_ARRIVAL_S)
    _pause_behind(context, accepted, event)


@given('the system tells {told} of connections')
def hide_information(context: Context, told: str) -> None:
    """Let the system be another one, or an older one."""
    option = None if told == 'nothing' else socket.TCP_NODELAY
    hidden = mock.patch.object(tcpinfo, '_TCP_INFO', option)
    context.add_cleanup(hidden.stop)
    hidden.start()


def _run_for(seconds: float) -> None:
    until = time.monotonic() + seconds
    wait_until(lambda: time.monotonic() > until)


def _pause_behind(
    context: Context, accepted: socket.socket, event: str
) -> None:
    """Let something happen to the connection while the router is paused."""
    assert not context.results, context.results
    if event == 'ends':
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        accepted.close()
    elif event != 'does nothing':
        accepted.sendall(_ANSWER)
        if event == 'answers and closes':
            accepted.recv(_REQUEST_BYTES)
            accepted.close()
    time.sleep(_PAUSE_S)
    wait_until(lambda: bool(context.results))


@when(
    'the process sends an answer that nobody asked for and {event}, and then '
    'a {kind} is sent'
)
def check_behind_answer(context: Context, event: str, kind: str) -> None:
    """Let the answer arrive unread, as in a pause of the router."""
    is_call = kind == 'check of a call'
    start = _prepare_call_check(context) if is_call else _prepare_check(context)
    accepted = context.listener.accept()[0]
    accepted.sendall(_ANSWER)
    if event == 'resets':
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    accepted.close()
    time.sleep(_ARRIVAL_S)
    start()
    wait_until(lambda: bool(context.results))


@when('a check is sent on a connection that no process accepts')
def check_not_accepted(context: Context) -> None:
    """Leave the connection to the system."""
    _prepare_check(context)()
    _run_for(_PAUSE_S)


@then('nothing proves by it that a process lives')
def check_no_process(context: Context) -> None:
    """Guard against a proof by the system."""
    assert not any(context.results), context.results


@then('the check has the result "{result}"')
def check_result(context: Context, result: str) -> None:
    """Guard against a verdict before what has arrived is read."""
    assert context.results == [result], context.results


@then('the check has the result ""')
def check_no_proof(context: Context) -> None:
    """Guard against a proof by a connection that was reset."""
    check_result(context, '')


def _open(context: Context) -> Any:
    """Return a connection, once it is open."""
    opened: list[Any] = []
    context.pool.open(context.endpoint, fresh=True).addCallback(opened.append)
    wait_until(lambda: bool(opened))
    return opened[0]


def _prepare_check(context: Context) -> Callable[[], None]:
    """Return what sends a check."""
    check = WitnessCheck(
        _open(context),
        reactor.callLater,
        context.results.append,
        lambda each: each.abort(),
    )
    return lambda: check.start(_CHECK)


def _send_check(context: Context) -> socket.socket:
    _prepare_check(context)()
    return context.listener.accept()[0]


def _send_call_check(context: Context) -> socket.socket:
    _prepare_call_check(context)()
    return context.listener.accept()[0]


def _prepare_call_check(context: Context) -> Callable[[], None]:
    """Return what sends a check beside a call."""
    witness = CallWitness(context.pool, reactor.callLater, is_fresh=True)
    context.add_cleanup(witness.close)
    opened: list[Any] = []
    witness.open(context.endpoint, fresh=True).addCallback(opened.append)
    wait_until(lambda: bool(opened))
    context.add_cleanup(opened[0].abort)
    context.add_cleanup(context.listener.accept()[0].close)
    return lambda: witness.check(
        context.endpoint,
        _CALL_CHECK_LIMIT,
        lambda is_alive: context.results.append(
            'alive' if is_alive else 'not alive'
        ),
    )


def _has_arrived(accepted: socket.socket) -> bool:
    """Return whether a request waits to be read."""
    accepted.setblocking(False)
    try:
        return bool(accepted.recv(_REQUEST_BYTES, socket.MSG_PEEK))
    except BlockingIOError:
        return False
    finally:
        accepted.setblocking(True)
