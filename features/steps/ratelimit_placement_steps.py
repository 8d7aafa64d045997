"""Steps for calls to servers that name a rate limit."""

import dataclasses

from behave import given, then, when
from behave.runner import Context

from features.selection_fixture import NOW, new_request, start_selector
from yuccagauge.clock import Millis
from yuccagauge.ratelimit.schedule import PermitGrant, PermitSchedule
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.selection.kvcachestores import cache_scope_of

_SERVER = 's0'
_SHARED_PART = ('shared', 2000)


def _name_limit(context: Context, per_second: float) -> None:
    context.selector.limits.record_answer(
        _SERVER, per_second, context.now, context.now
    )


def _new_request(context: Context) -> SelectionRequest:
    """Return a call that arrives now, with a part that others share."""
    request = new_request(context, parts=(_SHARED_PART,))
    late = context.now - request.received_at
    return dataclasses.replace(
        request,
        received_at=context.now,
        objective_at=Millis(request.objective_at + late),
        deadline=Millis(request.deadline + late),
    )


def _decide(context: Context, request: object) -> None:
    context.request = request
    context.decision = context.selector.choose(request, (), context.now)


@given(
    '{count:d} engine of version 1, of which s0 has the prompt cached and '
    'takes {limit:g} calls a second'
)
@given(
    '{count:d} engines of version 1, of which s0 has the prompt cached and '
    'takes {limit:g} calls a second'
)
def start_limited(context: Context, count: int, limit: float) -> None:
    """Start with idle engines, of which one names a limit."""
    context.now = NOW
    start_selector(context, count, 1)
    request = _new_request(context)
    scope = cache_scope_of(request, 1)
    for part_id, _ in request.parts:
        context.selector.cache_map.add(_SERVER, scope, part_id)
    context.asked = []
    context.selector.permits.on_request = (
        lambda server_id, permit_count, within: context.asked.append(server_id)
    )
    _name_limit(context, limit)


@given('a permit for s0 that is usable now')
def grant_now(context: Context) -> None:
    """Grant a permit at once."""
    grant_later(context, 0)


@given('a permit for s0 that is usable in {wait:d} ms')
def grant_later(context: Context, wait: int) -> None:
    """Grant a permit for later."""
    grant = PermitGrant(count=1, wait=Millis(wait))
    context.selector.permits.record_grant(_SERVER, grant, context.now)


@given('no permit for s0 is to be had before {wait:d} ms')
def refuse_permit(context: Context, wait: int) -> None:
    """Tell when the next permit is to be had."""
    grant = PermitGrant(count=0, wait=Millis(wait))
    context.selector.permits.record_grant(_SERVER, grant, context.now)


@when('a call is decided upon')
def decide(context: Context) -> None:
    """Decide upon a new call."""
    context.first_request = _new_request(context)
    _decide(context, context.first_request)


@when('{wait:d} ms later another call is decided upon')
def decide_later(context: Context, wait: int) -> None:
    """Decide upon a call that arrives after the first one."""
    context.now = Millis(context.now + wait)
    _decide(context, _new_request(context))


@when('the first call is decided upon again {wait:d} ms later')
def decide_again(context: Context, wait: int) -> None:
    """Decide upon the call that waits."""
    context.now = Millis(context.now + wait)
    _decide(context, context.first_request)


@when('{count:d} calls are decided upon and sent')
def decide_many(context: Context, count: int) -> None:
    """Decide upon calls one after the other at the same time."""
    context.decisions = []
    for _ in range(count):
        request = _new_request(context)
        _decide(context, request)
        context.decisions.append(context.decision)
        if context.decision.placement is not None:
            context.selector.record_send(
                request, context.decision.placement, context.now
            )


@when('s0 lowers its limit to {limit:g} a second')
def lower_limit(context: Context, limit: float) -> None:
    """Name a lower limit in a later answer."""
    context.now = Millis(context.now + 1)
    _name_limit(context, limit)


@then('it goes to {server}')
def check_server(context: Context, server: str) -> None:
    """Guard against calls without a permit, and against unused permits."""
    placement = context.decision.placement
    assert placement is not None, context.decision
    assert placement.server.server_id == server, placement


@then('they go to {servers}')
def check_servers(context: Context, servers: str) -> None:
    """Guard against a permit that serves two calls."""
    found = [
        decision.placement.server.server_id for decision in context.decisions
    ]
    assert found == servers.split(', '), found


@then('a permit for s0 is asked for')
def check_asked(context: Context) -> None:
    """Guard against a limited server that gets no call at all."""
    assert context.asked == [_SERVER], context.asked


@then('it waits, because of {reason}')
def check_wait(context: Context, reason: str) -> None:
    """Guard against a refusal of a call that can be served."""
    decision = context.decision
    assert decision.wait_until is not None, decision
    assert decision.reason == reason, decision


@then('it is refused, because of {reason}, for {wait:d} ms')
def check_refusal(context: Context, reason: str, wait: int) -> None:
    """Guard against a call that waits in vain, and an untrue wait."""
    decision = context.decision
    assert decision.retry_after == wait, decision
    assert decision.reason == reason, decision


@then(
    'those that wait expect at most half of their remaining time, and the '
    'others are refused'
)
def check_many(context: Context) -> None:
    """Guard against calls that all wait for the same permit."""
    remaining = context.request.deadline - context.now
    waits = [
        decision
        for decision in context.decisions
        if decision.wait_until is not None
    ]
    refused = [
        decision.retry_after
        for decision in context.decisions
        if decision.retry_after is not None
    ]
    half = remaining / 2
    interval = 500
    assert len(waits) <= half / interval + 1, (len(waits), remaining)
    assert len(waits) + len(refused) == len(context.decisions)
    assert refused and min(refused) >= half, refused


@given('a schedule of {limit:g} calls a second')
def start_schedule(context: Context, limit: float) -> None:
    """Start an empty schedule."""
    context.limit = limit
    context.schedule = PermitSchedule(NOW)


@when(
    '{count:d} calls are reserved at once, and then the share of the home '
    'falls to a half'
)
def lower_share(context: Context, count: int) -> None:
    """Reserve calls ahead, and one more with half of the limit."""
    within = Millis(5000)
    schedule = context.schedule
    context.sends = [
        NOW + schedule.reserve(context.limit, 1, within, NOW).wait
        for _ in range(count)
    ]
    context.grant = schedule.reserve(context.limit, 1, within, NOW, share=0.5)


@then('the next call is scheduled after them')
def check_next_call(context: Context) -> None:
    """Guard against two permits for the same time."""
    assert NOW + context.grant.wait > max(context.sends), context.grant


@when(
    'calls are reserved one by one over {seconds:d} s, with a pause of '
    '{pause:d} s'
)
def reserve_calls(context: Context, seconds: int, pause: int) -> None:
    """Reserve each call as soon as it can be sent, but for a pause."""
    context.sends = []
    now = NOW
    pause_at = NOW + seconds * 500
    while now < NOW + seconds * 1000:
        if pause_at <= now < pause_at + pause * 1000:
            now = Millis(pause_at + pause * 1000)
        grant = context.schedule.reserve(context.limit, 1, Millis(0), now)
        if grant.count:
            context.sends.append(now)
        else:
            now = Millis(now + grant.wait)


@then('any 4 s have at most {most:d} calls')
def check_schedule(context: Context, most: int) -> None:
    """Guard against calls that make up for unused time."""
    sends = context.sends
    worst = max(sum(end - 4000 < at <= end for at in sends) for end in sends)
    assert worst <= most, worst
