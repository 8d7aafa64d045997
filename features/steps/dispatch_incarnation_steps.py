"""Steps for streams of engines that may not state their incarnation."""

import json
from collections.abc import Callable

from behave import given, then
from behave.runner import Context

from features.scripted_server import Exchange, ScriptedServer, frames
from features.steps.dispatch_streams_steps import answer, start_scripted

_WORDS = ('one ', 'two ', 'three ')
_OTHER_WORDS = ('uno ', 'dos ', 'tres ')

#: Events that the first process sends.
_BEGUN = 2


def _restart_amid(first: str, second: str) -> Callable[[Exchange], None]:
    """Return a script of an engine that has another answer once it is back."""
    asked: dict[str, str] = {}

    def script(exchange: Exchange) -> None:
        if exchange.method == 'POST':
            asked['id'] = json.loads(exchange.body)['request_id']
            exchange.open_stream(first, 'w1')
            for event in frames(asked['id'], *_WORDS)[:_BEGUN]:
                exchange.chunk(event)
            # The bytes have to leave before the connection is cut.
            exchange.transport.loseConnection()
            return
        after = int(exchange.path.rpartition('=')[2])
        exchange.open_stream(second, 'w1')
        for event in frames(asked['id'], *_OTHER_WORDS)[after + 1 :]:
            exchange.chunk(event)
        exchange.chunk(b'')

    return script


def _without_numbers(request_id: str) -> list[bytes]:
    return [event.partition(b'\n')[2] for event in frames(request_id, *_WORDS)]


def _repeat_without_numbers(*, cuts: bool) -> Callable[[Exchange], None]:
    """Return a script of an engine that ignores which events are wanted."""
    asked: dict[str, str] = {}

    def script(exchange: Exchange) -> None:
        is_cut = cuts and exchange.method == 'POST'
        if exchange.method == 'POST':
            asked['id'] = json.loads(exchange.body)['request_id']
        events = _without_numbers(asked['id'])
        exchange.open_stream('i1', 'w1')
        for event in events[:_BEGUN] if is_cut else events:
            exchange.chunk(event)
        if is_cut:
            exchange.transport.loseConnection()
        else:
            exchange.chunk(b'')

    return script


def _incarnation(text: str) -> str:
    return '' if text == 'none' else text


@given(
    'a scripted engine of incarnation {first} that restarts amid its streams '
    'as {second}, and a second that answers'
)
def given_restarting(context: Context, first: str, second: str) -> None:
    """Start both."""
    script = _restart_amid(_incarnation(first), _incarnation(second))
    start_scripted(context, ScriptedServer(script), ScriptedServer(answer))


@given(
    'a scripted engine that repeats a stream without numbers, and a second '
    'that does'
)
def given_without_numbers(context: Context) -> None:
    """Start both; the first breaks its streams off."""
    start_scripted(
        context,
        ScriptedServer(_repeat_without_numbers(cuts=True)),
        ScriptedServer(_repeat_without_numbers(cuts=False)),
    )


@then('the routed stream equals the scripted events without numbers')
def check_without_numbers(context: Context) -> None:
    """Guard against events that come twice."""
    answered = context.answers[0]
    request_id = answered.headers['yuccagauge-request-id']
    expected = b''.join(_without_numbers(request_id))
    assert answered.body == expected, (answered.body, expected)
