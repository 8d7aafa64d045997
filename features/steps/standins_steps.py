"""Steps for the stand-ins of the platform and the backend servers."""

import base64
import json
import logging
from typing import Any

import httpx2
from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from features.loop import (
    join_thread,
    run_blocking,
    start_thread,
    wait_for_call,
    wait_until,
)
from yuccagauge.clock import Millis
from yuccagauge.standins import load_kinds
from yuccagauge.standins.answers import answer_tokens, parse_turns
from yuccagauge.standins.base import STANDINS
from yuccagauge.standins.batch import Batch, BatchRates, Sequence
from yuccagauge.standins.prefixcache import PrefixCache

#: No connection is reused, since a crash may have closed it.
_client = httpx2.Client(
    limits=httpx2.Limits(max_keepalive_connections=0),
    timeout=20,
)
_PREFIX_CHARACTERS = 1030
_PREFIX_TOKENS = 256
_MODEL = 'matcher-70b'
logging.getLogger('httpx2').setLevel(logging.WARNING)
_property_settings = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=60,
)


def start_standin(context: Context, kind: str, **sections: Any) -> Any:
    """Start a stand-in in this process until the scenario ends."""
    load_kinds()
    standin = STANDINS.get(kind)(sections)
    wait_for_call(standin.start)
    context.add_cleanup(wait_for_call, standin.close)
    return standin


def call(context: Context, method: str, path: str, **options: Any) -> Any:
    """Send one request to the stand-in of the scenario."""
    url = f'http://{context.standin.endpoint}{path}'
    return run_blocking(
        lambda: _client.request(method, url, **options),
    )


def words(text: str) -> list[str]:
    """Split a list in a step."""
    return [word.strip() for word in text.split(',') if word.strip()]


@given('a running {kind} stand-in')
def given_standin(context: Context, kind: str) -> None:
    """Start a stand-in with its defaults."""
    context.standin = start_standin(context, kind)


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


@given('the stand-in has the fault "{knob}" set to "{text}"')
@when('the stand-in gets the fault "{knob}" set to "{text}"')
def set_fault(context: Context, knob: str, text: str) -> None:
    """Set one knob over HTTP."""
    answer = call(context, 'PUT', '/_faults', json={knob: text})
    context.fault_status = answer.status_code


@then('the stand-in answers the fault with {status:d}')
def then_fault(context: Context, status: int) -> None:
    """Check the status and that no knob has been set."""
    assert context.fault_status == status
    assert call(context, 'PUT', '/_faults', json={}).json() == {}


@then('the stand-in has {count:d} records of kind "{kind}"')
def then_records(context: Context, count: int, kind: str) -> None:
    """Count the records of one kind."""
    found = [one for one in context.standin.records if one['kind'] == kind]
    assert len(found) == count, found


@when('the records "{texts}" are appended to the log stand-in')
def when_appended(context: Context, texts: str) -> None:
    """Append several records."""
    context.statuses = [append(context, text) for text in words(texts)]


@when('the record "{text}" is appended {count:d} times to the log stand-in')
def when_repeated(context: Context, text: str, count: int) -> None:
    """Append one record several times."""
    context.statuses = [append(context, text) for _ in range(count)]


def append(context: Context, text: str) -> int:
    """Append a record; return the status, or 0 without an answer."""
    path = '/streams/s/records'
    try:
        return call(context, 'POST', path, content=text).status_code
    except httpx2.TransportError:
        return 0


def read(context: Context, after: int, wait_ms: int = 0) -> Any:
    """Read a page of the log."""
    path = f'/streams/s/records?after={after}&wait_ms={wait_ms}'
    page = call(context, 'GET', path).json()
    payloads = [base64.b64decode(one['data']) for one in page['records']]
    return page, ', '.join(payload.decode() for payload in payloads)


@then('no append to the log stand-in was confirmed')
def then_unconfirmed(context: Context) -> None:
    """Check that both kinds of lost answers occurred, and no other."""
    assert set(context.statuses) == {0, 500}, context.statuses


@then('the appends to the log stand-in were answered "{statuses}"')
def then_statuses(context: Context, statuses: str) -> None:
    """Check each status."""
    assert context.statuses == [int(word) for word in words(statuses)]


@then(
    'reading the log stand-in after {after:d} returns "{texts}" '
    'with first {first:d} and next {following:d}',
)
def then_read(
    context: Context,
    after: int,
    texts: str,
    first: int,
    following: int,
) -> None:
    """Check a page."""
    page, found = read(context, after)
    assert found == texts, found
    assert page['first_offset'] == first
    assert page['next_offset'] == following


@then(
    'reading the log stand-in after {after:d} returns "" '
    'with first {first:d} and next {following:d}',
)
def then_read_nothing(
    context: Context,
    after: int,
    first: int,
    following: int,
) -> None:
    """Check an empty page."""
    then_read(context, after, '', first, following)


@when('a reader waits at the log stand-in for records after {after:d}')
def when_reader(context: Context, after: int) -> None:
    """Read in another thread."""
    found = context.waiting = []
    arguments = (context, after, 10_000)
    context.reader = start_thread(lambda: found.append(read(*arguments)))


@then('the waiting reader of the log stand-in gets "{texts}"')
def then_reader(context: Context, texts: str) -> None:
    """Check what the waiting reader got."""
    join_thread(context.reader)
    assert context.waiting[0][1] == texts


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
        with _client.stream(method, url, **options) as response:
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
    answer = run_blocking(lambda: _client.put(url, json=exported))
    assert answer.status_code == 200


@when('the plain stand-in gets a booking with key "{key}"')
def when_booked(context: Context, key: str) -> None:
    """Send a call, keeping the status or "nothing"."""
    context.booked = 'nothing'
    headers = {'Idempotency-Key': key}
    options = {'content': 'shift=kasse', 'headers': headers}
    try:
        answer = call(context, 'POST', '/bookings', **options)
    except httpx2.TransportError:
        return
    context.booked = str(answer.status_code)


@then('the plain stand-in answers "{answer}"')
def then_booked(context: Context, answer: str) -> None:
    """Check the status."""
    assert context.booked == answer


def make_sequence(number: int, shape: tuple[int, int, int]) -> Sequence:
    """Return a sequence of some priority, prompt and answer length."""
    priority, prompt, length = shape
    return Sequence(
        request_id=str(number),
        priority=priority,
        prompt_tokens=prompt,
        answer=tuple(f'{number}.{index}' for index in range(length)),
        chain=(),
        levels=(),
    )


@then(
    'every batch of the engine stand-in emits each answer once, in order',
)
def then_batches(context: Context) -> None:
    """Run random batches to their end."""
    shapes = st.tuples(
        st.integers(0, 3),
        st.integers(1, 300),
        st.integers(1, 9),
    )
    rates = BatchRates(
        prefill_tokens_per_second=3000,
        decode_tokens_per_second=150,
        max_running=3,
    )

    @_property_settings
    @for_all(st.lists(shapes, max_size=8))
    def check(drawn: list[tuple[int, int, int]]) -> None:
        started: list[Sequence] = []

        def start(sequence: Sequence) -> None:
            sequence.missing_tokens = sequence.prompt_tokens
            started.append(sequence)

        batch = Batch(rates, started=start, prefilled=lambda _: None)
        sequences = [make_sequence(*pair) for pair in enumerate(drawn)]
        for submitted in sequences:
            batch.submit(submitted)
        emitted: dict[str, list[str]] = {}
        while not batch.is_idle:
            for one in batch.step(Millis(10)):
                tokens = emitted.setdefault(one.sequence.request_id, [])
                tokens.extend(one.tokens)
            assert batch.running <= rates.max_running
        for expected in sequences:
            assert emitted[expected.request_id] == list(expected.answer)
        priorities = [sequence.priority for sequence in started]
        assert priorities == sorted(priorities)

    check()


@then('every prefix cache of the engine stand-in keeps its bound')
def then_caches(context: Context) -> None:
    """Store random chains and compare with the set of all stored blocks."""
    chains = st.lists(st.binary(min_size=1, max_size=2), unique=True)

    @_property_settings
    @for_all(st.integers(1, 6), st.lists(chains, max_size=12))
    def check(total: int, drawn: list[list[bytes]]) -> None:
        cache = PrefixCache(total)
        stored: set[bytes] = set()
        for chain in map(tuple, drawn):
            matched = cache.match(chain)
            assert set(chain[:matched]) <= stored
            cache.store(chain)
            stored |= set(chain)
            assert cache.used_blocks <= total
            assert cache.match(chain) == min(len(chain), total)

    check()
