"""Steps for parts of prompts that may crash engines."""

import itertools

from behave import given, then, when
from behave.runner import Context

from yuccagauge.clock import ManualClock, Millis
from yuccagauge.exchange.parts import part_evidence
from yuccagauge.quarantine.evidence import PartCrash, PartEvidence
from yuccagauge.quarantine.parts import EVIDENCE_DURATION, PartQuarantine
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.codec import decode, encode
from yuccagauge.wire.fleetmessages import FleetExchange

#: Time from the send of a run to its end, and between two runs.
_RUN = Millis(100)
_PAUSE = Millis(200)
_LIMIT = 24

_ENDPOINT = Endpoint('127.0.0.1', 1)


def _crash(
    context: Context,
    quarantine: PartQuarantine,
    parts: str,
    request: str | None = None,
) -> None:
    """Send a run and let its engine crash."""
    number = next(context.numbers)
    sent_at = context.clock.now()
    context.clock.advance(_RUN)
    quarantine.record_crash(
        parts.split(','),
        PartCrash(
            crash=f'crash{number}',
            request=request or f'request{number}',
            sent_at=sent_at,
            noticed_at=context.clock.now(),
        ),
        context.clock.now(),
    )
    context.clock.advance(_PAUSE)


def _answer(context: Context, quarantine: PartQuarantine, parts: str) -> None:
    now = context.clock.now()
    quarantine.record_sound(parts.split(','), now, now)
    context.clock.advance(_PAUSE)


@given('a part quarantine')
def create_quarantine(context: Context) -> None:
    """Create a quarantine without evidence."""
    context.clock = ManualClock()
    context.clock.advance(Millis(1000))
    context.numbers = itertools.count()
    context.parts = PartQuarantine()


@given('a part quarantine that tracks {maximum:d} parts')
def create_small_quarantine(context: Context, maximum: int) -> None:
    """Create a quarantine that soon forgets parts."""
    create_quarantine(context)
    context.parts = PartQuarantine(maximum)


@when('requests with {count:d} other parts are answered')
def answer_others(context: Context, count: int) -> None:
    """Answer requests with parts that no other one has."""
    for number in range(count):
        _answer(context, context.parts, f'other{number}')


@given('a part quarantine that tests parts as the fifth router')
def create_fifth_quarantine(context: Context) -> None:
    """Create a quarantine of a router that four others come before."""
    create_quarantine(context)
    context.parts.probe_rank = lambda part_id: 4


@when('engines crash under {count:d} request with "{parts}"')
@when('engines crash under {count:d} requests with "{parts}"')
def crash_requests(context: Context, count: int, parts: str) -> None:
    """Crash one engine after the other, each under another request."""
    for _ in range(count):
        _crash(context, context.parts, parts)


@when('engines crash under the same request with "{parts}" {count:d} times')
def crash_same_request(context: Context, parts: str, count: int) -> None:
    """Crash one engine after the other under one request."""
    for _ in range(count):
        _crash(context, context.parts, parts, request='same')


@when('runs with "{parts}" on {count:d} engines break at once')
def break_at_once(context: Context, parts: str, count: int) -> None:
    """Break runs that were all sent before the first break."""
    sent_at = context.clock.now()
    for number in range(count):
        context.clock.advance(Millis(10))
        now = context.clock.now()
        context.parts.record_crash(
            parts.split(','),
            PartCrash(
                crash=f'c{number}',
                request=f'r{number}',
                sent_at=sent_at,
                noticed_at=now,
            ),
            now,
        )


@given('requests with "{parts}" are answered')
@when('requests with "{parts}" are answered')
def answer_requests(context: Context, parts: str) -> None:
    """Answer a request."""
    _answer(context, context.parts, parts)


@when('a run with "{parts}" begins to be answered')
def begin_answer(context: Context, parts: str) -> None:
    """Remember when the answer began."""
    context.began = parts.split(','), context.clock.now()
    context.clock.advance(_PAUSE)


@when('that run is answered to its end')
def end_answer(context: Context) -> None:
    """Record the run as sound."""
    context.parts.record_sound(*context.began, context.clock.now())


@then('no part is blamed')
def check_nothing_blamed(context: Context) -> None:
    """Guard against sound requests that are refused."""
    now = context.clock.now()
    blamed = context.parts.blamed
    found = [part for part in blamed if context.parts.blamed_part((part,), now)]
    assert not found, found


@then('"{parts}" is blamed')
def check_blamed(context: Context, parts: str) -> None:
    """Guard against a missed part, and against a false accusation."""
    found = ','.join(sorted(context.parts.blamed))
    assert found == parts, found


@then('a request with "{part}" is no probe {ms:d} ms later')
def check_no_probe(context: Context, part: str, ms: int) -> None:
    """Guard against probes in close succession."""
    context.clock.advance(Millis(ms))
    assert not context.parts.try_probe((part,), context.clock.now())


@then('a request with "{part}" is a probe {ms:d} ms later')
def check_probe(context: Context, part: str, ms: int) -> None:
    """Guard against a sound part that stays refused, and a second probe."""
    context.clock.advance(Millis(ms))
    now = context.clock.now()
    assert context.parts.try_probe((part,), now)
    assert not context.parts.try_probe((part,), now)


def _probe_for(
    context: Context, part: str, minutes: int, *, is_guilty: bool
) -> None:
    context.crashed_at = context.clock.now() - _PAUSE
    context.probed_at = []
    end = context.clock.now() + minutes * 60_000
    while context.clock.now() < end and context.parts.blamed:
        if context.parts.try_probe((part,), context.clock.now()):
            context.probed_at.append(context.clock.now())
            if is_guilty:
                _crash(context, context.parts, part)
            else:
                _answer(context, context.parts, part)
        context.clock.advance(Millis(1000))


@when(
    'requests with "{part}" come each second for {minutes:d} minutes, and '
    'probes crash engines'
)
def probe_guilty(context: Context, part: str, minutes: int) -> None:
    """Let the part crash engines for good."""
    _probe_for(context, part, minutes, is_guilty=True)


@when(
    'requests with "{part}" come each second for {minutes:d} minute, and '
    'probes are answered'
)
def probe_sound(context: Context, part: str, minutes: int) -> None:
    """Let the part crash no more engines."""
    _probe_for(context, part, minutes, is_guilty=False)


@then(
    'there were {count:d} probes, the first {seconds:d} s after the last crash'
)
def check_probes(context: Context, count: int, seconds: int) -> None:
    """Guard against probes that crash engines without end."""
    assert len(context.probed_at) == count, context.probed_at
    first = (context.probed_at[0] - context.crashed_at) / 1000
    assert seconds <= first <= seconds + 1, first


@given(
    '{count:d} part quarantines that each see a crash under a request with '
    '"{parts}"'
)
def create_quarantines(context: Context, count: int, parts: str) -> None:
    """Let each see one crash, one after the other."""
    create_quarantine(context)
    context.quarantines = [PartQuarantine() for _ in range(count)]
    for quarantine in context.quarantines:
        _crash(context, quarantine, parts)


@when('they exchange their evidence')
def exchange_evidence(context: Context) -> None:
    """Merge the evidence of each into all others."""
    now = context.clock.now()
    sent = [each.evidence(_LIMIT, now) for each in context.quarantines]
    context.clock.advance(Millis(10))
    for quarantine in context.quarantines:
        for evidence in sent:
            quarantine.merge(evidence, context.clock.now())


@when('{ms:d} ms later the first of them sees an answer on "{part}"')
def answer_at_first(context: Context, ms: int, part: str) -> None:
    """Answer a request at one router."""
    context.clock.advance(Millis(ms))
    _answer(context, context.quarantines[0], part)


@when(
    'the first of them saw an answer on "{part}" {before_ms:d} ms before the '
    'crashes, and its message takes {delay_ms:d} ms'
)
def delay_message(
    context: Context, part: str, before_ms: int, delay_ms: int
) -> None:
    """Deliver evidence late, so that its age is too small."""
    first, second, *_ = context.quarantines
    crashed_at = min(
        crash.noticed_at for crash in first._records[part].crashes.values()
    )
    now = context.clock.now()
    first.record_sound((part,), Millis(crashed_at - before_ms), now)
    sent = first.evidence(_LIMIT, now)
    context.clock.advance(Millis(delay_ms))
    second.merge(sent, context.clock.now())


@then('"{parts}" is blamed by each of them')
def check_all_blame(context: Context, parts: str) -> None:
    """Guard against routers that each crash as many engines as one may."""
    found = {','.join(sorted(each.blamed)) for each in context.quarantines}
    assert found == {parts}, found


@then('"{parts}" is blamed by the second of them')
def check_second_blames(context: Context, parts: str) -> None:
    """Guard against a late message that hides crashes."""
    found = ','.join(sorted(context.quarantines[1].blamed))
    assert found == parts, found


@when('one run each of {count:d} other parts breaks')
def break_others(context: Context, count: int) -> None:
    """Break one run of each part."""
    for number in range(count):
        now = context.clock.now()
        context.parts.record_crash(
            (f'p{number}',),
            PartCrash(
                crash=f'c{number}', request='r', sent_at=now, noticed_at=now
            ),
            now,
        )


@then('the evidence that is sent first has "{part}"')
def check_sent(context: Context, part: str) -> None:
    """Guard against a suspect that harmless parts crowd out."""
    sent = context.parts.evidence(_LIMIT, context.clock.now())
    assert len(sent) == _LIMIT
    assert sent[0].part_id == part


@then('the part quarantine tracks at most {count:d} parts')
def check_size(context: Context, count: int) -> None:
    """Guard against memory without bound."""
    assert len(context.parts) <= count, len(context.parts)


@when('10 minutes pass')
def pass_duration(context: Context) -> None:
    """Pass the time for which crashes are evidence."""
    context.clock.advance(EVIDENCE_DURATION)


@when('90 days pass')
def pass_days(context: Context) -> None:
    """Pass more time than 32 bits of milliseconds hold."""
    context.clock.advance(Millis(90 * 86_400_000))


@then('the message with the evidence can be encoded')
def check_encoding(context: Context) -> None:
    """Guard against a number that ends all exchanges."""
    sent = context.parts.evidence(_LIMIT, context.clock.now())
    message = FleetExchange(
        name='r', endpoint=_ENDPOINT, data_centre='a', parts=part_evidence(sent)
    )
    assert decode(encode(message, 'r'), _ENDPOINT).message == message


@when('a peer sends crashes of "{part}" with ages that no run has')
def send_implausible(context: Context, part: str) -> None:
    """Send a run that was noticed before it was sent, and an endless one."""
    now = context.clock.now()
    crashes = tuple(
        PartCrash(
            crash=f'c{sent_age}',
            request='r',
            sent_at=Millis(sent_age),
            noticed_at=Millis(500),
        )
        for sent_age in (100, 2**32 - 1)
    )
    evidence = PartEvidence(part_id=part, crashes=crashes, sound_age=None)
    context.quarantines[0].merge((evidence,), now)


@then('no evidence on "{part}" is sent')
def check_ignored(context: Context, part: str) -> None:
    """Guard against a peer whose message spoils those of this router."""
    sent = context.quarantines[0].evidence(_LIMIT, context.clock.now())
    assert part not in {each.part_id for each in sent}, sent


@then('no evidence is sent')
def check_no_evidence(context: Context) -> None:
    """Guard against messages that never end."""
    sent = context.parts.evidence(_LIMIT, context.clock.now())
    assert not sent, sent
