"""Steps for the load tool."""

import json
import uuid
from collections import Counter
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from yuccagauge.clock import Millis
from yuccagauge.loadgen import load_profiles
from yuccagauge.loadgen.audit import audit_calls, audit_chats
from yuccagauge.loadgen.base import PROFILES, Volume
from yuccagauge.loadgen.events import EventParser, StreamedAnswer
from yuccagauge.loadgen.outcomes import CallOutcome, ChatOutcome
from yuccagauge.loadgen.plans import CallPlan, ChatPlan, Plan
from yuccagauge.loadgen.waste import cache_figures
from yuccagauge.settings.document import build_document
from yuccagauge.settings.options import Endpoint

_VERSION = 'w2'
_OLD_VERSION = 'w1'
#: The request as which a call was executed.
_RAN_AS = 'request-1'
_STARTED = Millis(1_800_000_000_000)
_DURATION = Millis(9000)


def planned(profile: str, seed: int, count: int) -> list[Plan]:
    """Plan some traffic."""
    load_profiles()
    volume = Volume(requests=count, duration=_DURATION)
    return PROFILES.get(profile)(seed).plans(volume)


def chats(plans: list[Plan]) -> list[ChatPlan]:
    """Return the streamed requests of a plan."""
    return [plan for plan in plans if isinstance(plan, ChatPlan)]


def calls(plans: list[Plan]) -> list[CallPlan]:
    """Return the plain calls of a plan."""
    return [plan for plan in plans if isinstance(plan, CallPlan)]


def render_events(texts: list[str], ids: list[int]) -> bytes:
    """Return the events of a stream without its end mark."""
    frames = [
        f'id: {number}\ndata: '
        f'{json.dumps({"choices": [{"delta": {"content": text}}]})}\n\n'
        for number, text in zip(ids, texts, strict=True)
    ]
    return ''.join(frames).encode()


def answer_words(plan: ChatPlan, version: str = _VERSION) -> list[str]:
    """Return the tokens of the right answer."""
    return plan.answer(version).split(' ')


def received_bytes(kind: str, plan: ChatPlan, other: ChatPlan) -> bytes:
    """Return what arrives in one of the cases of the table."""
    tokens = [f'{word} ' for word in answer_words(plan)[:-1]]
    numbers = list(range(len(tokens)))
    end = b'data: [DONE]\n\n'
    error = b'event: error\ndata: {"error": {"code": "x"}}\n\n'
    whole = render_events(tokens, numbers)
    foreign = render_events([other.answer(_VERSION)], [0])
    old = render_events([plan.answer(_OLD_VERSION)], [0])
    twice = [*tokens, tokens[-1]]
    return {
        'the whole answer': whole + end,
        'the answer to another prompt': foreign + end,
        'the answer of old weights': old + end,
        'an answer without one token': render_events(tokens[1:], numbers[:-1])
        + end,
        'an answer without one event': render_events(tokens[1:], numbers[1:])
        + end,
        'an answer with a token twice': render_events(
            twice,
            [*numbers, numbers[-1]],
        )
        + end,
        'an answer without its end': whole,
        'an empty body': b'',
        'an answer and an error event': whole + error,
        'a broken connection': whole,
    }[kind]


@given('a load plan of one chat')
def given_chat(context: Context) -> None:
    """Plan two chats, of which the second is somebody else's."""
    context.plan, context.other = chats(planned('shiftline', 1, 20))[:2]
    context.records = []


@given("the engines' records for the load audit say it {started}")
def given_records(context: Context, started: str) -> None:
    """Record the prompt as started, or only another one."""
    plan = context.plan if started == 'was started' else context.other
    record = {'kind': 'started', 'prompt_sha256': plan.prompt_sha256}
    context.records = [record]


@when('the load tool receives "{kind}" with status {status:d}')
def when_received(context: Context, kind: str, status: int) -> None:
    """Feed the bytes of one case."""
    outcome = ChatOutcome(plan=context.plan, status=status)
    body = received_bytes(kind, context.plan, context.other)
    EventParser(outcome.answer).feed(body)
    if kind == 'a broken connection':
        outcome.failure = 'ResponseFailed'
    context.outcome = outcome


@when('the load tool is refused the chat with verdict "{verdict}"')
def when_refused(context: Context, verdict: str) -> None:
    """Take a refusal."""
    outcome = ChatOutcome(plan=context.plan, status=503, verdict=verdict)
    context.outcome = outcome


@then('the load audit of the chat finds "{kind}"')
def then_chat(context: Context, kind: str) -> None:
    """Check that this violation is among those found."""
    versions = frozenset((_VERSION,))
    found = audit_chats([context.outcome], context.records, versions)
    assert kind in {one.kind for one in found}, found


@then('the load audit of the chat finds ""')
def then_no_chat(context: Context) -> None:
    """Check that nothing is found."""
    versions = frozenset((_VERSION,))
    found = audit_chats([context.outcome], context.records, versions)
    assert not found, found


@given('a load plan of one call in copies')
def given_call(context: Context) -> None:
    """Plan a call."""
    context.plan = calls(planned('helvetreu', 1, 40))[0]


def call_outcome(plan: CallPlan, ending: str) -> CallOutcome:
    """Return one copy of a call that ended in some way."""
    outcome = CallOutcome(plan=plan, key=plan.key(_STARTED))
    if ending in {'answered', 'crossed'}:
        outcome.status = 200
        outcome.answered_key = outcome.key
        outcome.answered_body = plan.body_sha256
    if ending == 'crossed':
        outcome.answered_body = 'of another call'
    elif ending == 'broken':
        outcome.failure = 'ResponseFailed'
    elif ending == 'lied-not-run':
        outcome.verdict = 'not-run'
        outcome.request_id = _RAN_AS
    else:
        outcome.verdict = ending
    return outcome


@when(
    'the copies of the call end as "{endings}" after {executed:d} executions',
)
def when_called(context: Context, endings: str, executed: int) -> None:
    """Take the outcomes of the copies and the records."""
    outcomes = [
        call_outcome(context.plan, ending) for ending in endings.split(', ')
    ]
    record = {
        'kind': 'executed',
        'idempotency_key': outcomes[0].key,
        'request_id': _RAN_AS,
    }
    records = [record for _ in range(executed)]
    context.found = audit_calls(outcomes, records)


@then('the load audit of the call finds "{kind}"')
def then_call(context: Context, kind: str) -> None:
    """Check the violations."""
    assert [one.kind for one in context.found] == [kind], context.found


@then('the load audit of the call finds ""')
def then_no_call(context: Context) -> None:
    """Check that nothing is found."""
    assert not context.found, context.found


@then('the load tool parses any cut of a stream alike')
def then_cuts(context: Context) -> None:
    """Cut one stream at random places."""
    plan, other = chats(planned('shiftline', 1, 20))[:2]
    body = received_bytes('the whole answer', plan, other)
    whole = StreamedAnswer()
    tokens = EventParser(whole).feed(body)

    @settings(derandomize=True, database=None, deadline=None)
    @for_all(st.sets(st.integers(0, len(body)), max_size=9))
    def check(places: set[int]) -> None:
        cuts = [0, *sorted(places), len(body)]
        answer = StreamedAnswer()
        parser = EventParser(answer)
        counts = [
            parser.feed(body[start:end])
            for start, end in zip(cuts[:-1], cuts[1:], strict=True)
        ]
        assert answer == whole
        assert sum(counts) == tokens

    check()
    assert whole.text == plan.answer(_VERSION)
    assert whole.is_done


@when('engine "{server}" stored a level of {tokens:d} tokens and then "{kind}"')
def when_stored(context: Context, server: str, tokens: int, kind: str) -> None:
    """Take the records of one engine."""
    common = {'server': server, 'digest': 'd', 'tokens': tokens}
    context.records = [
        {'kind': 'stored', 'time_ms': 1, **common},
        {'kind': kind, 'time_ms': 2, **common},
    ]


@then(
    'a prompt of that level with {cached:d} tokens cached '
    'wastes {waste:d} by the load tool',
)
def then_waste(context: Context, cached: int, waste: int) -> None:
    """Start a prompt on another engine."""
    prefill: dict[str, Any] = {
        'kind': 'prefill',
        'time_ms': 3,
        'server': 'b',
        'levels': [['d', 100], ['e', 140]],
        'prompt_tokens': 140,
        'cached_tokens': cached,
    }
    figures = cache_figures([prefill, *context.records])
    assert figures.wasted_tokens == waste, figures
    assert figures.prompt_tokens == 140
    assert figures.cached_tokens == cached


@when(
    '{count:d} requests of "{profile}" are planned '
    'with seed {one:d} and seed {other:d}',
)
def when_planned(
    context: Context,
    count: int,
    profile: str,
    one: int,
    other: int,
) -> None:
    """Plan the same traffic twice, and other traffic."""
    context.plans = planned(profile, one, count)
    context.repeated = planned(profile, one, count)
    context.different = planned(profile, other, count)


@then(
    'the load plan of seed {one:d} is repeated exactly '
    'and that of seed {other:d} differs',
)
def then_repeated(context: Context, one: int, other: int) -> None:
    """Compare the plans."""
    assert context.plans == context.repeated
    assert context.plans != context.different
    times = [plan.at for plan in context.plans]
    assert times == sorted(times)


@then('the load plan has prompts that share levels and no equal prompts')
def then_prompts(context: Context) -> None:
    """Count the distinct levels."""
    found = chats(context.plans)
    files = Counter(plan.turns[0] for plan in found)
    persons = Counter(plan.turns[:2] for plan in found)
    assert len(files) < len(persons) < len(found)
    assert len({plan.prompt_sha256 for plan in found}) == len(found)


@then('the load plan has keys that are distinct UUIDv7 of the sending time')
def then_keys(context: Context) -> None:
    """Read the keys back."""
    found = calls(context.plans)
    keys = [uuid.UUID(plan.key(_STARTED)) for plan in found]
    assert keys
    assert len(set(keys)) == len(keys)
    for plan, key in zip(found, keys, strict=True):
        assert (key.version, key.variant) == (7, uuid.RFC_4122)
        assert key.int >> 80 == _STARTED + plan.at


@then('the documents of the load plan\'s "{profile}" are valid')
def then_documents(context: Context, profile: str) -> None:
    """Build both documents."""
    kind = PROFILES.get(profile)
    servers = {Endpoint('127.0.0.1', 9000): 'centre-a'}
    documents = kind(1).documents(servers, servers, _VERSION)
    assert set(documents) == {kind.model_service, kind.plain_service}
    for service, sections in documents.items():
        document = build_document(sections, service)
        assert len(document.customers) == len(kind.customers)


@then(
    'at least {count:d} requests of the load plan fall into a third '
    'of the time',
)
def then_bursts(context: Context, count: int) -> None:
    """Count the requests in the busiest third of tenths of seconds."""
    slots = Counter(plan.at // 100 for plan in context.plans)
    busiest = slots.most_common(_DURATION // 100 // 3)
    assert sum(number for _, number in busiest) >= count
