"""Steps for first events that are held back."""

from types import SimpleNamespace

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from yuccagauge.dispatch.timers import Timers
from yuccagauge.relay.firstevent import FirstEvent

_MS = 0.001
_ALL_MS = 300


@given('the first event of a stream at an engine that is not listed')
def hold_event(context: Context) -> None:
    """Hold it back."""
    context.reactor = Clock()
    context.kept = Deferred()
    context.received = []
    origins = SimpleNamespace(keep_beginning=lambda *_: context.kept)
    context.first_event = FirstEvent(
        origins,
        Timers(context.reactor.callLater),
        lambda data: context.received.append((_now(context), data)),
    )
    context.first_event.hold(b'first', None, None)


@when('a peer {keeps}, and another event follows after {delay:d} ms')
def let_peer_keep(context: Context, keeps: str, delay: int) -> None:
    """Let the peer answer, or not."""
    if keeps == 'keeps it at once':
        context.kept.callback(None)
    elif keeps != 'does not answer':
        context.reactor.callLater(2 * _MS, context.kept.callback, None)
    context.reactor.callLater(delay * _MS, _receive, context, b'second')
    _run(context)


@when('the call ends, and a peer keeps it then')
def end_call(context: Context) -> None:
    """Close before the peer answers."""
    context.first_event.close()
    context.kept.callback(None)
    _run(context)


@then('its caller has the first event after {delay:d} ms, and then the other')
def check_events(context: Context, delay: int) -> None:
    """Guard against events that are late or in another order."""
    assert context.received[0][0] == delay, context.received
    data = b''.join(part for _, part in context.received)
    assert data == b'firstsecond', context.received


@then('its caller has no event')
def check_nothing(context: Context) -> None:
    """Guard against events after the end."""
    assert not context.received, context.received


def _receive(context: Context, data: bytes) -> None:
    """Take an event as the call does."""
    if not context.first_event.holds(data):
        context.received.append((_now(context), data))


def _now(context: Context) -> int:
    return round(context.reactor.seconds() / _MS)


def _run(context: Context) -> None:
    for _ in range(_ALL_MS):
        context.reactor.advance(0)
        context.reactor.advance(_MS)
