"""Steps for the servers whose entries were removed lately."""

from behave import given, then, when
from behave.runner import Context

from features.directory_fixtures import backend_server
from yuccagauge.clock import Millis
from yuccagauge.directory.removed import RemovedServers


@given('an empty memory of removed servers')
def given_memory(context: Context) -> None:
    """Start without servers."""
    context.removed = RemovedServers()


@when(
    'the servers "{first}" are removed at {at:d} s, and "{last}" at {later:d} s'
)
def when_removed(
    context: Context, first: str, at: int, last: str, later: int
) -> None:
    """Remove them in turn."""
    for server_id in first.split():
        context.removed.add(backend_server(server_id), Millis(at * 1000))
    context.removed.add(backend_server(last), Millis(later * 1000))


@when('the server "{server_id}" is listed again')
def when_listed(context: Context, server_id: str) -> None:
    """List a server that was removed."""
    context.removed.discard(server_id)


@then('the servers removed lately are "{names}" at {at:d} s')
@then('the servers removed lately are "" at {at:d} s')
def then_removed(context: Context, at: int, names: str = '') -> None:
    """Compare with what is remembered."""
    found = context.removed.recent(Millis(at * 1000))
    assert [server.server_id for server in found] == names.split(), found
