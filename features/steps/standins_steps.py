"""Steps for the stand-ins of the platform and the backend servers."""

import base64
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
)
from yuccagauge.clock import Millis
from yuccagauge.standins import load_kinds
from yuccagauge.standins.base import STANDINS
from yuccagauge.standins.batch import Batch, BatchRates, Sequence
from yuccagauge.standins.prefixcache import PrefixCache

#: No connection is reused, since a crash may have closed it.
client = httpx2.Client(
    limits=httpx2.Limits(max_keepalive_connections=0),
    timeout=20,
)
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
        lambda: client.request(method, url, **options),
    )


def words(text: str) -> list[str]:
    """Split a list in a step."""
    return [word.strip() for word in text.split(',') if word.strip()]


@given('a running {kind} stand-in')
def given_standin(context: Context, kind: str) -> None:
    """Start a stand-in with its defaults."""
    context.standin = start_standin(context, kind)


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


@when('the plain stand-in is asked for the options of the whole server')
def when_asked_for_options(context: Context) -> None:
    """Ask as a router does that looks whether the process lives."""
    answer = call(context, 'OPTIONS', '/', extensions={'target': b'*'})
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
