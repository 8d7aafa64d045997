"""Steps for calls whose prompt has a part that crashes engines."""

from behave import given, then
from behave.runner import Context
from twisted.internet import reactor

from features.loop import wait_for_call, wait_until
from features.relay_servers import CHUNKED, event, open_event_stream
from features.scripted_server import Exchange
from features.steps.relay_steps import start_relay_with_engine
from yuccagauge.clock import Millis
from yuccagauge.quarantine.evidence import PartCrash
from yuccagauge.quarantine.parts import PROBE_DELAY, PartQuarantine
from yuccagauge.relay.base import PromptPart, shared_part_ids

_LIMIT = 24


def _parts(context: Context) -> PartQuarantine:
    return context.fixture.relay_context.part_quarantine


def _blame(context: Context, part: str, age: Millis) -> None:
    now = context.fixture.relay_context.clock.now()
    for number in range(3):
        noticed_at = Millis(now - age - 100 + 10 * number)
        crash = PartCrash(
            crash=f'c{number}',
            request=f'r{number}',
            sent_at=noticed_at,
            noticed_at=noticed_at,
        )
        wait_for_call(_parts(context).record_crash, (part,), crash, now)


@given('the part "{part}" of prompts is blamed for crashes')
def blame_part(context: Context, part: str) -> None:
    """Let three engines have crashed under the part just now."""
    _blame(context, part, Millis(0))


@given('the part "{part}" of prompts is blamed for crashes and may be tested')
def blame_part_long_ago(context: Context, part: str) -> None:
    """Let three engines have crashed so long ago that a probe is due."""
    _blame(context, part, PROBE_DELAY)


@given(
    'a relay with a model engine that streams {count:d} event and resets '
    '{ms:d} ms after another one'
)
def relay_with_late_reset(context: Context, count: int, ms: int) -> None:
    """Start a relay with one engine that breaks its streams late."""

    def stream(exchange: Exchange) -> None:
        open_event_stream(exchange, CHUNKED)
        for number in range(1, count + 1):
            exchange.chunk(event(number))
        reactor.callLater(ms / 1000, exchange.chunk, event(count + 1))
        reactor.callLater(ms / 1000 + 0.05, exchange.cut)

    start_relay_with_engine(context, stream)


@then('the evidence on parts is a crash under "{part}"')
def check_crash(context: Context, part: str) -> None:
    """Guard against a crash that no router counts for the part."""
    context.caller.read_until(b'\r\n\r\n')
    wait_until(lambda: bool(_evidence(context)))
    found = [(each.part_id, len(each.crashes)) for each in _evidence(context)]
    assert found == [(part, 1)], found


@then('there is no evidence on parts')
def check_no_crash(context: Context) -> None:
    """Guard against sound parts that are accused by a later crash."""
    context.caller.read_all()
    running = context.fixture.relay_context.running_calls
    wait_until(lambda: not running)
    assert not _evidence(context), _evidence(context)


def _evidence(context: Context) -> tuple:
    now = context.fixture.relay_context.clock.now()
    return _parts(context).evidence(_LIMIT, now)


@then('the answer has no header "{name}"')
def check_no_header(context: Context, name: str) -> None:
    """Guard against callers that are told to come back."""
    assert name.lower().encode() not in context.caller.received.lower()


@then('the second server got {times:d} requests')
def check_second_server(context: Context, times: int) -> None:
    """Compare the number of requests that the second server received."""
    assert len(context.servers[1].headers) == times


@given(
    'the prompt parts "{first}", one of {length:d} characters, one with a line '
    'break and "{last}"'
)
def create_prompt(context: Context, first: str, length: int, last: str) -> None:
    """Create the parts of a prompt with unusual ids."""
    context.prompt = tuple(
        PromptPart(part_id=part_id, tokens=1)
        for part_id in (first, 'x' * length, 'a\nb', last)
    )


@then('their shared ids are "{first}" and two of {length:d} characters')
def check_shared_ids(context: Context, first: str, length: int) -> None:
    """Guard against ids that fill the memory or break a message."""
    found, *digests = shared_part_ids(context.prompt)
    assert found == first
    assert [len(digest) for digest in digests] == [length, length], digests
