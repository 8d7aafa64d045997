"""Steps for answers that are not those of their requests."""

from unittest import mock

from behave import given, then, when
from behave.runner import Context

from features.marked_answers import BODY, FRAMINGS, answer_with
from features.scripted_server import Exchange
from features.steps.relay_steps import (
    call_route,
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


@given('the log of answers without an owner is read')
def read_owner_log(context: Context) -> None:
    """Record the log lines about answers that are not those of a request."""
    context.owner_lines = []
    write = exchanges.log_decision

    def record(name: str, request_id: str, **fields: object) -> None:
        context.owner_lines.append((name, fields))
        write(name, request_id, **fields)

    patch = mock.patch.object(exchanges, 'log_decision', record)
    patch.start()
    context.add_cleanup(patch.stop)


@when('a caller calls "{route}" for each framing')
def call_for_each_framing(context: Context, route: str) -> None:
    """Call a route once for each way in which an answer may end."""
    context.answers = {}
    for framing in FRAMINGS:
        context.framing = framing
        call_route(context, route)
        caller = context.caller
        received = caller.read_until(_HEAD_END)
        if received.startswith(b'HTTP/1.1 2'):
            received = caller.read_until(BODY)
        context.answers[framing] = received


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
