"""Steps for streams of engines that may not state their incarnation."""

import json
from collections.abc import Callable

from behave import given
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
