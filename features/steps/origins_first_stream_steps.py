"""Steps for the first stream at an engine that states nothing."""

from itertools import repeat
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectionRefusedError
from twisted.internet.task import Clock as TwistedClock

from yuccagauge.clock import Millis, in_seconds
from yuccagauge.directory.base import BackendServer, ServerState
from yuccagauge.directory.settled import SettledEntries
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.relay import incarnations
from yuccagauge.relay.incarnations import NAME_TIMEOUT, Incarnations
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

_SERVER = BackendServer(
    server_id='i1',
    service='model',
    endpoint=Endpoint('127.0.0.1', 9),
    data_centre='a',
    slots=1,
    state=ServerState.READY,
    software_version='v1',
)
_UNKNOWN = '?i1/unknown'

#: Time of one answer in seconds, and beyond a limit in ms.
_STEP_S = 0.001
_MARGIN = 10


class _Time:
    """The time of a reactor that stands until it is advanced."""

    def __init__(self, reactor: TwistedClock) -> None:
        """Use a reactor."""
        self._reactor = reactor

    def now(self) -> Millis:
        """Return the time."""
        return Millis(round(self._reactor.seconds() * 1000))

    wall_time = now


class _Source:
    """Asks an engine that states nothing, as long as its process lives."""

    def __init__(self, context: Context) -> None:
        """Join the context."""
        self._context = context

    def through(self, pool: Any) -> '_Source':
        """Return itself."""
        return self

    def read_process_name(self, *_: Any) -> Deferred[str]:
        """Return nothing, or fail if the process has ended."""
        if self._context.has_ended:
            return fail(FetchError('closed', Verdict.MAY_HAVE_RUN))
        answer: Deferred[str] = Deferred()
        self._context.reactor.callLater(_STEP_S, answer.callback, '')
        return answer


@given(
    'an engine that states nothing, and a connection that a stream is to be '
    'sent on'
)
def prepare(context: Context) -> None:
    """Ask whether the stream may be sent on the connection."""
    context.has_ended = False
    context.reactor = TwistedClock()
    context.opening = Deferred()
    pool = SimpleNamespace(probe=lambda _: context.opening)
    directory = SimpleNamespace(
        servers={'i1': _SERVER},
        listeners=[],
        settled_entries=SettledEntries(),
    )
    patcher = mock.patch.object(incarnations, 'log_state_change')
    patcher.start()
    context.add_cleanup(patcher.stop)
    asking = Incarnations(
        directory,
        _Time(context.reactor),
        _Source(context),
        pool,
        context.reactor.callLater,
    )
    connection = SimpleNamespace(can_send=True, process=None)
    request = mock.Mock(spec=SelectionRequest, software_version=None)
    context.outcomes = []
    asking.confirm(request, _SERVER, connection).addBoth(
        context.outcomes.append
    )
    context.reactor.advance(2 * _STEP_S)


@when('the connection that names the process {opens}')
def open_standing(context: Context, opens: str) -> None:
    """Open it, or not."""
    opened = SimpleNamespace(is_open=True, abort=mock.Mock())
    if opens == 'opens':
        context.opening.callback(opened)
    elif opens == 'fails':
        context.opening.errback(ConnectionRefusedError())
    elif opens == 'opens after the process has ended':
        context.opening.callback(SimpleNamespace(is_open=False))
    context.reactor.pump(repeat(_STEP_S, NAME_TIMEOUT + _MARGIN))


@when('the process ends as the connection that names it opens')
def end_process(context: Context) -> None:
    """Let the next process accept that connection."""
    context.has_ended = True
    open_standing(context, 'opens')


@then('the stream is sent to a process that {known}')
def check_known(context: Context, known: str) -> None:
    """Guard against streams without an origin, and origins without a proof."""
    assert len(context.outcomes) == 1, context.outcomes
    server = context.outcomes[0]
    is_known = server.software_version != _UNKNOWN
    assert is_known == (known == 'has a name'), server
    assert in_seconds(NAME_TIMEOUT) < context.reactor.seconds()


@then('the stream is sent on another connection')
def check_failed(context: Context) -> None:
    """Guard against a name that the process before has as well."""
    assert len(context.outcomes) == 1, context.outcomes
    failure = context.outcomes[0]
    assert failure.check(FetchError), failure
