"""Steps for answers that are not those of their requests."""

from behave import given, then, when
from behave.runner import Context

from features.marked_answers import BODY, FRAMINGS, answer_with
from features.recorded_log import record_decisions
from features.relay_servers import BEHAVIOURS
from features.scripted_server import Exchange
from features.steps.relay_steps import (
    call_route,
    start_relay_with_engine,
    start_relay_with_plain_server,
)
from yuccagauge.relay import exchanges

_HEAD_END = b'\r\n\r\n'


@given('a relay before a plain server that answers {status:d} with {marks}')
def relay_with_marked_answers(
    context: Context, status: int, marks: str
) -> None:
    """Start a relay with a server whose answers have these marks."""
    context.framing = FRAMINGS[0]

    def script(exchange: Exchange) -> None:
        answer_with(status, marks, context.framing)(exchange)

    start_relay_with_plain_server(context, script)


@given(
    'a relay before a plain server that first answers {status:d} with {marks}, then '
    'the call'
)
def relay_with_late_answer(context: Context, status: int, marks: str) -> None:
    """Start a relay with a server that first sends what belongs elsewhere."""

    def script(exchange: Exchange) -> None:
        answer_with(status, marks)(exchange)
        BEHAVIOURS['answers'](exchange)

    start_relay_with_plain_server(context, script)


@given('a relay before a model engine that answers {status:d} with {marks}')
def relay_with_marked_engine(context: Context, status: int, marks: str) -> None:
    """Start a relay with an engine whose answers have these marks."""
    start_relay_with_engine(context, answer_with(status, marks))


@given('the log of answers without an owner is read')
def read_owner_log(context: Context) -> None:
    """Record the log lines about answers that are not those of a request."""
    context.owner_lines = record_decisions(context, exchanges)


@when('a caller calls "{route}" for each framing')
def call_for_each_framing(context: Context, route: str) -> None:
    """Call a route once for each way in which an answer may end."""
    context.answers = {}
    context.callers_by_framing = {}
    for framing in FRAMINGS:
        context.framing = framing
        call_route(context, route)
        context.callers_by_framing[framing] = context.caller
        context.answers[framing] = context.caller.read_until(_HEAD_END)


@then('the log tells an answer of {owner} with "{summary}" for each framing')
def check_owner_log(context: Context, owner: str, summary: str) -> None:
    """Guard against wrong bytes that the log shows as an answer."""
    found = [
        (fields['owner'], fields['marks'], fields['framing'])
        for name, fields in context.owner_lines
        if name == 'answer_not_owned'
    ]
    assert set(found) == {(owner, summary, framing) for framing in FRAMINGS}, (
        found
    )


@then('each caller gets status {status:d} and no byte of the server')
def check_withheld(context: Context, status: int) -> None:
    """Guard against answers of nobody that callers take for theirs."""
    for framing, received in context.answers.items():
        assert received.startswith(b'HTTP/1.1 %d' % status), (framing, received)
        assert BODY not in received, (framing, received)
        assert b'Server-Stamp' not in received, (framing, received)


@then('each caller gets status {status:d} and the body of the server')
def check_passed_on(context: Context, status: int) -> None:
    """Guard against whole answers that are turned away."""
    for framing, received in context.answers.items():
        assert received.startswith(b'HTTP/1.1 %d' % status), (framing, received)
        assert b'X-Yuccagauge-Server-Stamp: s' in received, (framing, received)
        body = context.callers_by_framing[framing].read_until(BODY)
        assert BODY in body, (framing, body)


@then('the server got {requests:d} requests on {connections:d} connections')
def check_connections(
    context: Context, requests: int, connections: int
) -> None:
    """Guard against repeats, and against reuse of a faulty connection."""
    server = context.servers[0]
    assert len(server.headers) == requests, server.headers
    used = {id(exchange) for exchange in server.exchanges}
    assert len(used) == connections, used


@then('the failures of the server count')
def check_failure_rate(context: Context) -> None:
    """Guard against a faulty server that gets as many calls as others."""
    fixture = context.fixture
    now = fixture.relay_context.clock.now()
    assert fixture.selector.load_of('i0').failure_rate(now) > 0


@then('the server has stated nothing')
def check_no_statement(context: Context) -> None:
    """Guard against limits and departures that no server has stated."""
    selector = context.fixture.selector
    assert selector.limits.limit_of('i0') is None
    assert not selector.statements.is_leaving(selector.view.servers['i0'])
