"""Steps for messages that crash engines."""

from behave import given, then, when
from behave.runner import Context

from features.router_fleet import chat, chat_body
from features.scripted_server import Exchange, ScriptedServer
from features.steps.dispatch_streams_steps import answer, start_scripted

_GUILTY = 'guilty message'
_RESTARTS = 5


@given(
    '{count:d} scripted engines that restart under conversations with a guilty '
    'message'
)
def start_engines(context: Context, count: int) -> None:
    """Start engines that break the connection and get a new incarnation."""
    context.restarts = 0

    def engine() -> ScriptedServer:
        def script(exchange: Exchange) -> None:
            if _GUILTY.encode() not in exchange.body:
                answer(exchange)
                return
            context.restarts += 1
            server.incarnation = f'restart{context.restarts}'
            exchange.cut()

        server = ScriptedServer(script)
        return server

    start_scripted(context, *(engine() for _ in range(count)))


@when('{count:d} different conversations begin with the guilty message')
def send_conversations(context: Context, count: int) -> None:
    """Send conversations, each once the engines are known to be back."""
    for number in range(count):
        context.fleet.wait_for_engines(len(context.scripted))
        messages = [
            {'role': 'system', 'content': _GUILTY},
            {'role': 'user', 'content': f'question {number}'},
        ]
        chat(context.router, chat_body(messages=messages))


@then('at most {count:d} of them reach engines after the fifth restart')
def check_restarts(context: Context, count: int) -> None:
    """Guard against a message that ends one engine after the other."""
    assert context.restarts <= _RESTARTS + count, context.restarts
