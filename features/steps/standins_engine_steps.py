"""Steps for the stand-in of engines."""

import json
from typing import Any

import httpx2
from behave import given, then, when
from behave.runner import Context

from features.loop import (
    join_thread,
    run_blocking,
    start_thread,
    wait_until,
)
from features.steps.standins_steps import call, client, start_standin, words
from yuccagauge.standins.answers import answer_tokens, parse_turns

_PREFIX_CHARACTERS = 1030


_PREFIX_TOKENS = 256


_MODEL = 'matcher-70b'


@given('a running engine stand-in with {blocks:d} blocks')
def given_engine(context: Context, blocks: int) -> None:
    """Start an engine with a small cache."""
    engine = {'total_blocks': str(blocks), 'decode_tokens_per_second': '2000'}
    context.standin = start_standin(context, 'engine', engine=engine)
    context.first = context.standin
    context.answers = {}
    context.reported = []


@given('a second running engine stand-in with {blocks:d} blocks')
def given_second_engine(context: Context, blocks: int) -> None:
    """Start another engine beside the first."""
    engine = {'total_blocks': str(blocks), 'decode_tokens_per_second': '2000'}
    context.second = start_standin(
        context,
        'engine',
        engine=engine,
        standin={'seed': '2'},
    )


def prefix_text(number: int) -> str:
    """Return a system message of 256 tokens and a bit."""
    text = f'{number:08d}' * _PREFIX_CHARACTERS
    return text[:_PREFIX_CHARACTERS]


def chat(request_id: str, prefix: int, salt: str) -> dict[str, Any]:
    """Return the body of a chat request."""
    return {
        'model': _MODEL,
        'stream': True,
        'request_id': request_id,
        'cache_salt': salt,
        'seed': 5,
        'prefix_levels': [{'digest': str(prefix), 'tokens': _PREFIX_TOKENS}],
        'messages': [
            {'role': 'system', 'content': prefix_text(prefix)},
            {'role': 'user', 'content': f'Question of {request_id}'},
        ],
    }


def read_events(context: Context, request_id: str, response: Any) -> None:
    """Collect the events of one response."""
    answer = context.answers[request_id]
    answer['headers'] = response.headers
    for line in response.iter_lines():
        if line.startswith('data: '):
            answer['events'].append(line.removeprefix('data: '))
        if line.startswith('id: '):
            answer['ids'].append(int(line.removeprefix('id: ')))


def ask(context: Context, body: dict[str, Any]) -> None:
    """Stream one answer, keeping what arrived before a break."""
    request_id = body['request_id']
    context.answers[request_id] = {'events': [], 'ids': [], 'body': body}
    path = '/v1/chat/completions'
    run_blocking(stream, context, request_id, 'POST', path, {'json': body})


def stream(
    context: Context,
    request_id: str,
    method: str,
    path: str,
    options: dict[str, Any],
) -> None:
    """Read the events of one response until its end or a break."""
    url = f'http://{context.standin.endpoint}{path}'
    try:
        with client.stream(method, url, **options) as response:
            read_events(context, request_id, response)
    except httpx2.TransportError:
        return


def usage(context: Context, request_id: str) -> Any:
    """Return the usage of a whole answer."""
    answer = context.answers[request_id]
    return json.loads(answer['events'][-2])['usage']


@when(
    'the engine stand-in is asked "{request_id}" '
    'with prefix {prefix:d} and salt "{salt}"',
)
def when_asked(
    context: Context,
    request_id: str,
    prefix: int,
    salt: str,
) -> None:
    """Ask the first engine."""
    ask(context, chat(request_id, prefix, salt))


@when(
    'the second engine stand-in is asked "{request_id}" '
    'with prefix {prefix:d} and salt "{salt}"',
)
def when_second_asked(
    context: Context,
    request_id: str,
    prefix: int,
    salt: str,
) -> None:
    """Ask the second engine."""
    context.standin = context.second
    ask(context, chat(request_id, prefix, salt))


@when('the engine stand-in is asked for prefixes "{prefixes}"')
def when_prefixes(context: Context, prefixes: str) -> None:
    """Ask for one prefix after the other."""
    for index, prefix in enumerate(words(prefixes)):
        ask(context, chat(f'p{index}', int(prefix), 'x'))
        details = usage(context, f'p{index}')['prompt_tokens_details']
        context.reported.append(str(details['cached_tokens']))


@then('the engine stand-in reported "{counts}" cached tokens')
def then_reported(context: Context, counts: str) -> None:
    """Check the cached tokens of all answers."""
    assert context.reported == words(counts), context.reported


@then('the engine stand-in sent "{events}" as cache events')
def then_events(context: Context, events: str) -> None:
    """Check the cache events."""
    page = call(context, 'GET', '/cache-events?after=-1').json()
    found = [f'{one["kind"]} {one["digest"]}' for one in page['events']]
    assert found == words(events), found


@then('the cache events of the engine stand-in have gaps')
def then_gaps(context: Context) -> None:
    """Check that some numbers are missing and the rest are in order."""
    page = call(context, 'GET', '/cache-events?after=-1').json()
    numbers = [one['seq'] for one in page['events']]
    assert numbers == sorted(set(numbers))
    assert 0 < len(numbers) < page['next'], page


@then('answer "{request_id}" of the engine stand-in is whole and exact')
def then_exact(context: Context, request_id: str) -> None:
    """Compare every event with the deterministic function."""
    answer = context.answers[request_id]
    events = answer['events']
    assert answer['ids'] == list(range(len(events)))
    assert events[-1] == '[DONE]'
    deltas = [json.loads(event)['choices'] for event in events[:-2]]
    tokens = [choices[0]['delta'].get('content', '') for choices in deltas]
    expected = answer_tokens(
        parse_turns(answer['body']['messages']),
        seed=answer['body']['seed'],
        model=_MODEL,
        weights_version=answer['headers']['X-Weights-Version'],
        max_tokens=64,
    )
    assert tuple(tokens) == (*expected, '')
    assert usage(context, request_id)['completion_tokens'] == len(expected)


@then(
    'answer "{request_id}" of the engine stand-in '
    'reports {count:d} cached tokens',
)
def then_cached(context: Context, request_id: str, count: int) -> None:
    """Check the usage."""
    details = usage(context, request_id)['prompt_tokens_details']
    assert details['cached_tokens'] == count, details


@when('the engine stand-in crashes and restarts')
def when_crashed(context: Context) -> None:
    """Crash the engine and wait until it is back."""
    knobs = {'restart_ms': 20, 'crash': True}
    call(context, 'PUT', '/_faults', json=knobs)
    wait_until(lambda: context.standin.records[-1]['kind'] == 'restarted')


@then(
    'answers "{one}" and "{other}" of the engine stand-in '
    'have different incarnations',
)
def then_incarnations(context: Context, one: str, other: str) -> None:
    """Compare the response heads."""
    first, second = (
        context.answers[name]['headers']['X-Engine-Incarnation']
        for name in (one, other)
    )
    assert first != second


@then('stream "{request_id}" of the engine stand-in is unknown')
def then_unknown(context: Context, request_id: str) -> None:
    """Try to resume."""
    assert call(context, 'GET', f'/v1/streams/{request_id}').status_code == 404


@when(
    'the engine stand-in is asked "{request_id}" with prefix {prefix:d} '
    'and salt "{salt}", resuming until it is whole',
)
def when_resumed(
    context: Context,
    request_id: str,
    prefix: int,
    salt: str,
) -> None:
    """Resume after each break from the last event that arrived."""
    ask(context, chat(request_id, prefix, salt))
    answer = context.answers[request_id]
    path = f'/v1/streams/{request_id}'
    assert answer['events'][-1] != '[DONE]'
    while answer['events'][-1] != '[DONE]':
        last = answer['ids'][-1]
        options = {'params': {'after': str(last)}}
        run_blocking(stream, context, request_id, 'GET', path, options)
        assert answer['ids'][-1] > last


@when(
    'the engine stand-in is asked "{request_id}" with prefix {prefix:d} '
    'and salt "{salt}", and it is cancelled',
)
def when_cancelled(
    context: Context,
    request_id: str,
    prefix: int,
    salt: str,
) -> None:
    """Cancel while the stream stalls."""
    slow = {'prefill_tokens_per_second': '10'}
    context.standin = start_standin(context, 'engine', engine=slow)
    body = chat(request_id, prefix, salt)
    thread = start_thread(ask, context, body)
    wait_until(lambda: bool(context.standin.records))
    answer = call(context, 'DELETE', f'/v1/streams/{request_id}')
    assert answer.status_code == 200
    join_thread(thread)
    assert not context.answers[request_id]['events']


@when(
    'the engine stand-in is ordered to load version "{version}" '
    'with fence {fence:d}',
)
def when_ordered(context: Context, version: str, fence: int) -> None:
    """Send an order."""
    order = {'kind': 'load-version', 'version': version, 'fence': fence}
    answer = call(context, 'POST', '/orders', json=order)
    context.order_status = answer.status_code


@then('the last order to the engine stand-in was answered {status:d}')
def then_order(context: Context, status: int) -> None:
    """Check the answer to the order."""
    assert context.order_status == status


@then('the engine stand-in runs version "{version}"')
def then_version(context: Context, version: str) -> None:
    """Read the version from the load report."""
    assert call(context, 'GET', '/load').json()['weights_version'] == version


@when('prefix {prefix:d} is carried to the second engine stand-in')
def when_carried(context: Context, prefix: int) -> None:
    """Export from the first engine and import into the second."""
    exported = call(context, 'GET', f'/kv/{prefix}').json()
    url = f'http://{context.second.endpoint}/kv/{prefix}'
    answer = run_blocking(lambda: client.put(url, json=exported))
    assert answer.status_code == 200
