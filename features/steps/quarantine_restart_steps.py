"""Steps for an engine that restarts before its end is noticed."""

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.loop import wait_until
from features.router_fleet import MODEL_SERVICE, chat
from features.scripted_server import Exchange, ScriptedServer
from features.steps.dispatch_streams_steps import start_scripted

_CHECK_S = 0.02


@given(
    'a scripted engine that restarts under a request and then breaks the '
    'connection'
)
def start_restarting_engine(context: Context) -> None:
    """Break the connection once the new incarnation is known."""

    def restart(exchange: Exchange) -> None:
        if exchange.method != 'POST':
            exchange.answer(404, b'{}')
            return
        server.incarnation = 'i2'
        cut_when_known(exchange)

    def cut_when_known(exchange: Exchange) -> None:
        if _reported_incarnation(context) == 'i2':
            exchange.cut()
        else:
            reactor.callLater(_CHECK_S, cut_when_known, exchange)

    server = ScriptedServer(restart)
    start_scripted(context, server)


def _reported_incarnation(context: Context) -> str:
    service = context.router.dispatcher.services[MODEL_SERVICE]
    endpoint = context.scripted[0].endpoint
    return service.table_of(endpoint).incarnation(endpoint)


@when('a chat request is sent to it and its load is reported again')
def send_chat(context: Context) -> None:
    """Send the request, and wait for a report after the broken connection."""
    chat(context.router)
    endpoint = context.scripted[0].endpoint
    quarantine = context.router.dispatcher.around.quarantine
    wait_until(lambda: not quarantine._watched_runs(endpoint))


@then('the quarantine of the router has {count:d} crash that counts')
def check_crashes(context: Context, count: int) -> None:
    """Guard against a crash that the restarted engine seems to disprove."""
    around = context.router.dispatcher.around
    sent = around.quarantine.recent_suspicions(9, around.clock.now())
    found = sum(len(each.crashes - each.cleared) for each in sent)
    assert found == count, sent
