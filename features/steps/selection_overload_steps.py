"""Steps for choices under overload."""

import dataclasses
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.selection_world import (
    NOW,
    new_request,
    place,
)
from yuccagauge.clock import Millis
from yuccagauge.selection import model
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.selection.load import ActiveCall


@when(
    '{count:d} prompts of {tokens:d} own tokens arrive at once, and 2 more '
    'each {ms:d} ms for {seconds:d} s'
)
def overload(
    context: Context,
    count: int,
    tokens: int,
    ms: int,
    seconds: int,
) -> None:
    """Replay arrivals beyond what the engines read, on a virtual clock.

    Each engine reads its prompts one after the other, at the rate of the
    data sheet.
    """
    rate = 93.6
    end = seconds * 1000
    queues: dict[str, list[list[Any]]] = {}
    waiting: list[tuple[int, SelectionRequest]] = []
    context.first: list[tuple[int, int]] = []
    context.seconds = seconds
    for now in range(0, end + 6000, 10):
        at = Millis(NOW + now)
        if now < end and now % ms == 0:
            arriving = count if now == 0 else 2
            for _ in range(arriving):
                parts = ((f'p{context.number}', tokens),)
                request = new_request(context, parts)
                request = dataclasses.replace(
                    request,
                    received_at=at,
                    objective_at=Millis(at + 500),
                    deadline=Millis(at + 5000),
                    first_output_deadline=Millis(at + 5000),
                )
                waiting.append((now, request))
        _place_due(context, waiting, queues, now)
        for name, queue in queues.items():
            for request, placement, sent_at in _read(queue, 10 * rate):
                load = context.selector.load_of(name)
                load.calls.pop(request.call_id)
                took = int(at - sent_at)
                load.record_first_output(took, placement.nominal_prefill_ms)
                first = at + model.IDLE_FIRST_TOKEN_MS - request.received_at
                context.first.append((now, int(first)))


def _place_due(
    context: Context,
    waiting: list[tuple[int, SelectionRequest]],
    queues: dict[str, list[list[Any]]],
    now: int,
) -> None:
    """Decide for the calls whose time to decide has come."""
    at = Millis(NOW + now)
    due = [entry for entry in waiting if entry[0] <= now]
    for entry in due:
        waiting.remove(entry)
        decision = context.selector.choose(entry[1], (), at)
        if decision.wait_until is not None:
            again = int(decision.wait_until - NOW)
            waiting.append((max(again, now + 10), entry[1]))
        elif decision.placement is not None:
            context.selector.record_send(entry[1], decision.placement, at)
            name = decision.placement.server.server_id
            queues.setdefault(name, []).append(
                [entry[1], entry[1].prompt_tokens, decision.placement, at],
            )


def _read(queue: list[list[Any]], tokens: float) -> list[tuple[Any, ...]]:
    """Read tokens of the prompts in a queue; return those that are whole."""
    done: list[tuple[Any, ...]] = []
    while queue and tokens > 0:
        entry = queue[0]
        part = min(tokens, entry[1])
        tokens -= part
        entry[1] -= part
        if not entry[1]:
            queue.pop(0)
            done.append((entry[0], entry[2], entry[3]))
    return done


@then('at least {count:d} calls a second start within their objective')
def check_on_time(context: Context, count: int) -> None:
    """Compare the calls whose first token was on time."""
    on_time = sum(took <= 500 for _, took in context.first)
    assert on_time >= count * context.seconds, (on_time, len(context.first))


@then('no call waits for longer than {ms:d} ms')
def check_starving(context: Context, ms: int) -> None:
    """Guard against calls that wait until their deadline."""
    assert max(took for _, took in context.first) <= ms, context.first


@given('the engine has {ms:d} ms of prompts before it')
def backlog(context: Context, ms: int) -> None:
    """Put one long prompt in flight."""
    load = context.selector.load_of('s0')
    load.slowdown = 1.0
    load.calls['before'] = ActiveCall(
        sent_at=NOW,
        prefill_tokens=int(ms * model.READ_TOKENS_PER_MS),
    )


@given('late calls {before}')
def late_calls(context: Context, before: str) -> None:
    """Note how the waits before this call ended."""
    if before == 'have not waited lately':
        return
    ago = 4000 if before.endswith('4 s ago') else 0
    refused = 'refused' in before
    waited = Millis(2000 if refused else 200)
    for _ in range(20):
        context.selector.late.note(
            waited,
            Millis(NOW - ago),
            refused=refused,
        )


@then('a prompt that waits at most {ms:d} ms {outcome}')
def check_late(context: Context, ms: int, outcome: str) -> None:
    """Guard against calls that are held and then refused."""
    request = dataclasses.replace(
        new_request(context),
        first_output_deadline=Millis(NOW + 5200 + ms),
    )
    decision = place(context, request)
    if outcome == 'waits':
        assert decision.wait_until is not None, decision
    else:
        assert decision.retry_after is not None, decision
