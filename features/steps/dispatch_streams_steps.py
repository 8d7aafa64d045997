"""Steps for streams through faults."""

import functools
import json

from behave import given, then, when
from behave.runner import Context

from features.loop import wait_for_call
from features.router_fleet import (
    RouterFleet,
    admin,
    ask,
    chat,
    chat_body,
)
from features.scripted_server import Exchange, ScriptedServer, frames
from yuccagauge.clock import Millis

_WORDS = ('one ', 'two ', 'three ')
_EVENTS = len(_WORDS) + 2
_SHORT_STALL = Millis(60)
MEGABYTE = 1_000_000
QUIET_SECONDS = 0.5
_TRIES = 40


def new_fleet(context: Context) -> RouterFleet:
    """Return a fleet that is closed after the scenario."""
    context.fleet = RouterFleet()
    context.add_cleanup(context.fleet.close)
    return context.fleet


def start_scripted(context: Context, *servers: ScriptedServer) -> None:
    """Start scripted engines and one router for them."""
    fleet = new_fleet(context)
    for server in servers:
        wait_for_call(server.start)
        context.add_cleanup(wait_for_call, server.close)
    fleet.publish_model(list(servers))
    context.router = fleet.router()
    fleet.wait_for_engines(len(servers))
    context.scripted = servers


def send_stream(exchange: Exchange, events: list[bytes], version: str) -> None:
    """Send events and end the stream."""
    exchange.open_stream('i1', version)
    for event in events:
        exchange.chunk(event)
    exchange.chunk(b'')


def answer(exchange: Exchange) -> None:
    """Answer a chat request properly, and no other."""
    if exchange.method != 'POST':
        exchange.answer(404, b'{}')
        return
    send_stream(exchange, _frames_for(exchange), 'w1')


def _frames_for(exchange: Exchange) -> list[bytes]:
    return frames(json.loads(exchange.body)['request_id'], *_WORDS)


def _lose_after(count: int) -> object:
    def script(exchange: Exchange) -> None:
        if exchange.method != 'POST':
            exchange.answer(404, b'{}')
            return
        exchange.open_stream('i1', 'w1')
        for event in _frames_for(exchange)[:count]:
            exchange.chunk(event)
        # The bytes have to leave before the connection is cut.
        exchange.transport.loseConnection()

    return script


def _resume_after(count: int) -> object:
    asked: dict[str, str] = {}

    def script(exchange: Exchange) -> None:
        after = -1
        if exchange.method == 'POST':
            asked['id'] = json.loads(exchange.body)['request_id']
        else:
            after = int(exchange.path.rpartition('=')[2])
        events = frames(asked['id'], *_WORDS)[after + 1 :]
        exchange.open_stream('i1', 'w1')
        for event in events[:count]:
            exchange.chunk(event)
        exchange.transport.loseConnection()

    return script


def _differ(exchange: Exchange) -> None:
    request_id = json.loads(exchange.body)['request_id']
    send_stream(exchange, frames(request_id, 'uno ', 'dos ', 'tres '), 'w1')


def _misbehave(fault: str) -> object:
    def script(exchange: Exchange) -> None:
        if exchange.method != 'POST':
            exchange.answer(404, b'{}')
            return
        events = _frames_for(exchange)
        if fault == 'sends events of another request':
            send_stream(exchange, frames('ygr-other', 'x ', 'y '), 'w1')
        elif fault == 'skips an event':
            send_stream(exchange, events[1:], 'w1')
        elif fault == 'has other weights':
            send_stream(exchange, events, 'w0')
        elif fault == 'sends no event stream':
            send_stream(exchange, [b'data: ' + bytes(2 * MEGABYTE)], 'w1')

    return script


@given('a routed model service with {count:d} engines')
def given_engines(context: Context, count: int) -> None:
    """Start engines and one router."""
    fleet = new_fleet(context)
    context.engines = [
        fleet.standin('engine', decode_tokens_per_second=1000)
        for _ in range(count)
    ]
    fleet.publish_model(context.engines)
    context.router = fleet.router()
    fleet.wait_for_engines(count)
    context.router.dispatcher.around.stall_time = _SHORT_STALL


@when('every engine connection stalls at each event boundary of a stream')
def when_every_boundary(context: Context) -> None:
    """Ask once for each number of events that a connection carries."""
    knob = 'stall_after_events'
    context.pairs = []
    for boundary in range(1, _EVENTS + 3):
        _set_knob(context, knob, boundary)
        prompt = f'Does worker {boundary} fit?'
        answered = chat(context.router, chat_body(prompt))
        _set_knob(context, knob, None)
        context.pairs.append((answered, _produced(context, answered)))


def _set_knob(context: Context, knob: str, bound: int | None) -> None:
    for engine in context.engines:
        change = functools.partial(engine.set_faults, **{knob: bound})
        wait_for_call(change)


def _produced(context: Context, answered: object) -> bytes:
    request_id = answered.headers['yuccagauge-request-id']
    for engine in context.engines:
        if any(each.get('request_id') == request_id for each in engine.records):
            path = f'/v1/streams/{request_id}?after=-1'
            return ask(engine.endpoint, 'GET', path).body
    raise AssertionError(f'no engine ran the request: {answered}')


@then('each routed stream equals what the engine produced')
def then_equal_streams(context: Context) -> None:
    """Compare byte for byte."""
    for answered, produced in context.pairs:
        assert answered.status == 200, answered
        assert not answered.broken
        assert produced.endswith(b'data: [DONE]\n\n')
        assert answered.body == produced, (answered.body, produced)


@given(
    'a scripted engine that loses its streams and a second that repeats them'
)
def given_repeating(context: Context) -> None:
    """Start both."""
    start_scripted(
        context,
        ScriptedServer(_lose_after(0)),
        ScriptedServer(answer),
    )


@given('a scripted engine that resumes its streams and a second that answers')
def given_resuming(context: Context) -> None:
    """Start both."""
    start_scripted(
        context,
        ScriptedServer(_resume_after(1)),
        ScriptedServer(answer),
    )


@given('a scripted engine that loses its streams and a second that differs')
def given_differing(context: Context) -> None:
    """Start both."""
    start_scripted(
        context,
        ScriptedServer(_lose_after(0)),
        ScriptedServer(_differ),
    )


@given('a scripted engine that {fault} and a second that answers')
def given_faulty(context: Context, fault: str) -> None:
    """Start both."""
    script = _answer_late if fault == 'answers late' else _misbehave(fault)
    start_scripted(context, ScriptedServer(script), ScriptedServer(answer))


def _answer_late(exchange: Exchange) -> None:
    if exchange.method == 'POST':
        late = exchange.transport.reactor.callLater
        late(QUIET_SECONDS / 2, answer, exchange)


@given('the usual time to the first token of the routed service is known')
def given_latency(context: Context) -> None:
    """Fill the window from which the hedge delay is taken."""
    window = context.router.dispatcher.services['matcher-llm'].latency
    for _ in range(64):
        window.record(10)


@when('the first scripted engine is cut at each event boundary of a stream')
def when_scripted_boundaries(context: Context) -> None:
    """Ask for each boundary until the first engine was placed first."""
    context.cut_at = list(range(_EVENTS))
    context.answers = [
        _ask_first(context, _lose_after(count)) for count in context.cut_at
    ]


@when('every scripted connection is cut at each event boundary of a stream')
def when_resumable_boundaries(context: Context) -> None:
    """Ask for each number of events that a connection carries."""
    context.cut_at = list(range(1, _EVENTS))
    context.answers = [
        _ask_first(context, _resume_after(count)) for count in context.cut_at
    ]


@then('no cut stream was run a second time')
def then_resumed(context: Context) -> None:
    """Check the attempts in the explanation."""
    for answered in context.answers:
        request_id = answered.headers['yuccagauge-request-id']
        record = admin(context.router, f'/explain/{request_id}')
        kinds = [attempt['kind'] for attempt in record['attempts']]
        assert kinds[0] == 'run', kinds
        assert set(kinds[1:]) == {'resume'}, kinds


@when('the first scripted engine is cut after {count:d} events of a stream')
def when_scripted_cut(context: Context, count: int) -> None:
    """Ask until the first engine was placed first."""
    context.answers = [_ask_first(context, _lose_after(count))]


@when('a routed stream is asked for until the first scripted engine was used')
def when_asked_first(context: Context) -> None:
    """Ask until the first engine was placed first."""
    context.answers = [_ask_first(context, None)]


def _ask_first(context: Context, script: object) -> object:
    """Vary the prompt until placement begins with the first engine."""
    first = context.scripted[0]
    if script is not None:
        first.script = script
    for number in range(_TRIES):
        first.requests.clear()
        # An engine that broke a connection is suspended for a while.
        context.fleet.wait_for_engines(2)
        answered = chat(context.router, chat_body(f'shift {number}'))
        if first.requests:
            return answered
    raise AssertionError('placement never chose the first engine')


@then('each routed stream equals the scripted events')
@then('the routed stream equals the scripted events')
def then_scripted(context: Context) -> None:
    """Compare byte for byte."""
    for answered in context.answers:
        request_id = answered.headers['yuccagauge-request-id']
        expected = b''.join(frames(request_id, *_WORDS))
        assert answered.body == expected, answered


@then(
    'each cut stream was asked of the first engine and then run on the second'
)
def then_replayed(context: Context) -> None:
    """Check the attempts in the explanation."""
    for count, answered in zip(context.cut_at, context.answers, strict=True):
        request_id = answered.headers['yuccagauge-request-id']
        record = admin(context.router, f'/explain/{request_id}')
        kinds = [attempt['kind'] for attempt in record['attempts']]
        last = 'replay' if count else 'run'
        assert kinds == ['run', 'resume', last], (count, kinds)
        assert record['verdict'] == 'answered'


@then(
    'the routed stream has the first {count:d} events and an error event '
    '"{code}"',
)
def then_error_event(context: Context, count: int, code: str) -> None:
    """Check that nothing of the second run was added."""
    answered = context.answers[0]
    request_id = answered.headers['yuccagauge-request-id']
    passed_on = b''.join(frames(request_id, *_WORDS)[:count])
    assert answered.body.startswith(passed_on + b'event: error\n')
    assert b'[DONE]' not in answered.body
    assert answered.error['code'] == code, answered.error
    assert answered.error['verdict'] == 'may-have-run'


@then('the explanation of the routed stream names a hedge')
def then_hedge(context: Context) -> None:
    """Check the kinds of the attempts."""
    request_id = context.answers[0].headers['yuccagauge-request-id']
    record = admin(context.router, f'/explain/{request_id}')
    kinds = {attempt['kind'] for attempt in record['attempts']}
    assert 'hedge' in kinds, record


@when('the routed document asks for weights "{version}" that no engine has')
def when_other_weights(context: Context, version: str) -> None:
    """Publish the next version and ask."""
    context.fleet.publish_model(context.engines, weights_version=version)
    context.answer = chat(context.router)


@then(
    'the routed stream is refused as "{verdict}" with status {status:d} '
    'and code "{code}"',
)
def then_refused(
    context: Context,
    verdict: str,
    status: int,
    code: str,
) -> None:
    """Check status, header and body."""
    found = context.answer
    assert found.status == status, found
    assert found.verdict == found.error['verdict'] == verdict
    assert found.error['code'] == code
