"""Steps for what shows which process of a server wrote its entries."""

from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred, succeed

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, ServerState
from yuccagauge.directory.settled import SettledEntries, Sighting
from yuccagauge.directory.state import Topic
from yuccagauge.relay import incarnations
from yuccagauge.relay.incarnations import Incarnations
from yuccagauge.relay.processes import NamedProcess
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.settings.options import Endpoint


class _Clock:
    """A clock that stands."""

    at = Millis(0)

    def now(self) -> Millis:
        """Return the time."""
        return self.at

    def wall_time(self) -> Millis:
        """Return the time."""
        return self.at


class _Source:
    """Asks an engine that states nothing."""

    def through(self, pool: Any) -> '_Source':
        """Return itself."""
        return self

    def read_process_name(self, *_: Any) -> Deferred[str]:
        """Return nothing."""
        return succeed('')


def _server(version: str, count: int) -> BackendServer:
    return BackendServer(
        server_id='i1',
        service='model',
        endpoint=Endpoint('127.0.0.1', 9),
        data_centre='a',
        slots=1,
        state=ServerState.READY,
        software_version=version,
        heartbeat_count=count,
    )


def _prepare(context: Context) -> None:
    context.clock = _Clock()
    context.settled = SettledEntries()
    context.opened = SimpleNamespace(
        can_send=True, process=None, abort=mock.Mock(), send=mock.Mock()
    )
    pool = SimpleNamespace(probe=lambda _: succeed(context.opened))
    context.directory = SimpleNamespace(
        servers={}, listeners=[], settled_entries=context.settled
    )
    context.incarnations = Incarnations(
        context.directory, context.clock, _Source(), pool, mock.Mock()
    )
    patcher = mock.patch.object(incarnations, 'log_state_change')
    patcher.start()
    context.add_cleanup(patcher.stop)


def _list(context: Context, version: str, count: int, at: int) -> None:
    context.clock.at = Millis(at)
    server = _server(version, count)
    context.directory.servers['i1'] = server
    context.settled.record(server, Millis(at - 50), Millis(at))


@given('an engine whose process "{name}" answered once, before it was listed')
def start_unlisted(context: Context, name: str) -> None:
    """Let a process state its name."""
    _prepare(context)
    context.clock.at = Millis(1000)
    context.incarnations.processes.record_name('i1', name, Millis(990))
    context.open_connection = SimpleNamespace(
        can_send=True,
        process=NamedProcess(name=name, known_since=Millis(1000)),
    )


@when(
    'it has ended unnoticed, and the next process is listed twice with'
    ' "{version}"'
)
def list_next(context: Context, version: str) -> None:
    """Write two entries of the next process."""
    _list(context, version, 1, 2000)
    _list(context, version, 2, 3200)


@when('a call is about to be sent on the open connection to process "{name}"')
def judge(context: Context, name: str) -> None:
    """Ask whether a call that begins may go there."""
    context.clock.at = Millis(3300)
    request = mock.Mock(spec=SelectionRequest, software_version=None)
    context.incarnations.confirm(
        request, context.directory.servers['i1'], context.open_connection
    )


@then('the version of process "{name}" is not known')
def check_unknown(context: Context, name: str) -> None:
    """Check what the origin of its streams is resolved to."""
    version = context.incarnations.listed_version(f'?i1/{name}')
    assert version is None, version


@given('an engine that is listed with "{version}" until it ends')
def list_until_end(context: Context, version: str) -> None:
    """Write the entries of the first process, which ends at 3 s."""
    _prepare(context)
    for count in (1, 2):
        _list(context, version, count, 1200 * count)


@when(
    'its next process answers from then on, the store is away for {away:f} s,'
    ' and confirms that nothing has changed'
)
def take_store_away(context: Context, away: float) -> None:
    """Let the store take no entry, and answer at its return."""
    back = Millis(3100 + round(away * 1000))
    context.found = context.settled.written_version(
        'i1', Sighting(first=Millis(2900), last=back), back
    )


@when(
    'its next process answers from then on, and one heartbeat of "{version}"'
    ' reaches the store late, twice'
)
def write_late(context: Context, version: str) -> None:
    """Write the last entry of the first process twice, after its end."""
    _list(context, version, 3, 3500)
    _list(context, version, 3, 3600)
    context.found = context.settled.written_version(
        'i1', Sighting(first=Millis(3050), last=Millis(3700)), Millis(3600)
    )


@then('the next process has no version')
def check_no_version(context: Context) -> None:
    """Check that the entry does not describe it."""
    assert context.found is None, context.found


@given('an engine that states nothing of its process, and is asked for it')
def ask(context: Context) -> None:
    """Open the connection that is to name its process."""
    _prepare(context)
    _list(context, 'v1', 1, 1000)
    connection = SimpleNamespace(can_send=True, process=None)
    request = mock.Mock(spec=SelectionRequest, software_version=None)
    context.incarnations.confirm(
        request, context.directory.servers['i1'], connection
    )


@when('it is listed no more')
def remove(context: Context) -> None:
    """Remove its entry."""
    context.directory.servers.clear()
    context.settled.remove('i1')
    for listener in context.directory.listeners:
        listener()


@then('no connection to it is kept')
def check_dropped(context: Context) -> None:
    """Check that the connection was closed."""
    assert context.opened.abort.called


@given('callers come back {pause:f} s after their stream breaks off')
def set_pause(context: Context, pause: float) -> None:
    """Let callers wait."""
    context.fleet.pause_s = pause


@given(
    'all engines restart with other software, and the store is away for'
    ' {away:f} s, in which entries do not age'
)
def restart_beside_store(context: Context, away: float) -> None:
    """Restart the engines 2 s from now, at the beginning of an outage."""
    fleet = context.fleet
    fleet.entry_s = 0
    store, reactor = fleet.store, fleet.network.reactor

    def come_back() -> None:
        store.is_down = False
        topics = store._log  # noqa: SLF001
        topics[Topic.SERVERS] = [
            replace(each, appended_at=each.appended_at + away)
            for each in topics[Topic.SERVERS]
        ]

    reactor.callLater(2, fleet.upgrade, 0.005, 0)
    reactor.callLater(2.02, setattr, store, 'is_down', True)
    reactor.callLater(2.02 + away, come_back)


@then('no stream has events of two versions, whether any goes on or not')
def check_none_joined(context: Context) -> None:
    """Guard against streams whose events do not fit together."""
    fleet = context.fleet
    assert not fleet.mixed(), (len(fleet.mixed()), fleet.continuations)


@when(
    'its next process answers from then on, and one heartbeat of "{version}"'
    ' reaches the store late'
)
def write_late_once(context: Context, version: str) -> None:
    """Write the last entry of the first process once, after its end."""
    _list(context, version, 3, 3500)
    context.found = context.settled.written_version(
        'i1', Sighting(first=Millis(3050), last=Millis(3700)), Millis(3600)
    )


@when(
    'a late entry with "{version}" comes for a process that has run for 4'
    ' heartbeats'
)
def write_other(context: Context, version: str) -> None:
    """Write one entry of another version, and ask about the process."""
    _list(context, version, 1, 7500)
    context.found = context.settled.written_version(
        'i1', Sighting(first=Millis(1000), last=Millis(7600)), Millis(7600)
    )
