"""Steps for entries that lack the start of their server, or are missing."""

from behave import given, then, when
from behave.runner import Context

from features.directory_fixtures import backend_server
from yuccagauge.clock import Millis
from yuccagauge.relay.base import ResponseInfo
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.selector import Selector

_START = 1000
_NEXT_START = 9000
_NOW = Millis(100_000)
_PAUSE = Millis(30_000)

#: What the entries state one after the other; ``None`` for a missing entry.
_CHANGES: dict[str, tuple[int | None, ...]] = {
    'lacks its start': (0,),
    'states its start again': (_START,),
    'lacks its start, and states it again': (0, _START),
    'is missing, and states its start again': (None, _START),
    'is missing, and lacks its start': (None, 0),
    'states another start': (_NEXT_START,),
    'lacks its start, and states another': (0, _NEXT_START),
    'is missing, and states another start': (None, _NEXT_START),
}


def _list_server(context: Context, started_at: int | None) -> None:
    servers = {}
    if started_at is not None:
        context.server = backend_server('s0', started_at=started_at)
        servers = {'s0': context.server}
    context.selector.update_fleet_view(FleetView(servers=servers))


@given('a server that states its start')
def start_with_server(context: Context) -> None:
    """List a server."""
    context.selector = Selector('a', Millis(12_000))
    _list_server(context, _START)


@given('a server that states no start')
def start_with_unstated_server(context: Context) -> None:
    """List a server without a start."""
    context.selector = Selector('a', Millis(12_000))
    _list_server(context, 0)


@when('it names a limit, a time without calls and that it leaves')
def record_statements(context: Context) -> None:
    """Record what an answer of the server says."""
    selector = context.selector
    selector.limits.record_answer('s0', 2.0, _NOW, _NOW)
    info = ResponseInfo(is_leaving=True, retry_after=_PAUSE)
    selector.statements.record(context.server, info, _NOW)


@when('its entry {changes}')
def change_entry(context: Context, changes: str) -> None:
    """List the entries one after the other."""
    for started_at in _CHANGES[changes]:
        _list_server(context, started_at)


def _held(context: Context) -> tuple[bool, bool, bool]:
    selector = context.selector
    server = context.server
    return (
        selector.limits.limit_of('s0') is not None,
        selector.statements.refused_until(server) > _NOW,
        selector.statements.is_leaving(server),
    )


@then('what it has said holds')
def check_held(context: Context) -> None:
    """Guard against calls that a server wants not, or not that often."""
    assert all(_held(context)), _held(context)


@then('nothing that it has said holds')
def check_forgotten(context: Context) -> None:
    """Guard against a new process that gets no calls, or few."""
    assert not any(_held(context)), _held(context)
