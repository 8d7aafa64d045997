"""Steps for the server selection under overload."""

import dataclasses
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.selection_fixture import (
    NOW,
    new_request,
    place,
)
from yuccagauge.clock import Millis
from yuccagauge.selection import model
from yuccagauge.selection.base import SelectionRequest
from yuccagauge.selection.load import ActiveCall


@when(
    '{count:d} prompts of {tokens:d} unshared tokens arrive at once, and 2 '
    'more every {ms:d} ms for {seconds:d} s'
)
def overload_engines(
    context: Context,
    count: int,
    tokens: int,
    ms: int,
    seconds: int,
) -> None:
    """Simulate more arrivals than the engines can prefill.

    Time is simulated. Each engine prefills its prompts one after the other, at
    the rate of the data sheet.
    """
    tokens_per_ms = 93.6
    end = seconds * 1000
    queues: dict[str, list[list[Any]]] = {}
    waiting: list[tuple[int, SelectionRequest]] = []
    context.first_token_ms: list[tuple[int, int]] = []
    context.seconds = seconds
    for now in range(0, end + 6000, 10):
        at = Millis(NOW + now)
        if now < end and now % ms == 0:
            arrivals = count if now == 0 else 2
            for _ in range(arrivals):
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
            for request, placement, sent_at in _prefill(
                queue, 10 * tokens_per_ms
            ):
                load = context.selector.load_of(name)
                load.own_calls.pop(request.call_id)
                elapsed_ms = int(at - sent_at)
                load.record_first_output(
                    elapsed_ms, placement.nominal_prefill_ms
                )
                first_token_ms = (
                    at + model.IDLE_FIRST_TOKEN_MS - request.received_at
                )
                context.first_token_ms.append((now, int(first_token_ms)))


def _place_due(
    context: Context,
    waiting: list[tuple[int, SelectionRequest]],
    queues: dict[str, list[list[Any]]],
    now: int,
) -> None:
    """Decide about the calls that arrive now or have waited long enough."""
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


def _prefill(queue: list[list[Any]], tokens: float) -> list[tuple[Any, ...]]:
    """Prefill tokens of the queued prompts; return the finished prompts."""
    finished: list[tuple[Any, ...]] = []
    while queue and tokens > 0:
        entry = queue[0]
        part = min(tokens, entry[1])
        tokens -= part
        entry[1] -= part
        if not entry[1]:
            queue.pop(0)
            finished.append((entry[0], entry[2], entry[3]))
    return finished


@then('at least {count:d} calls a second start within their objective')
def check_on_time(context: Context, count: int) -> None:
    """Check the number of calls whose first token was on time."""
    on_time = sum(elapsed_ms <= 500 for _, elapsed_ms in context.first_token_ms)
    assert on_time >= count * context.seconds, (
        on_time,
        len(context.first_token_ms),
    )


@then('no call waits for longer than {ms:d} ms')
def check_longest_wait(context: Context, ms: int) -> None:
    """Guard against calls that wait until their deadline."""
    assert max(elapsed_ms for _, elapsed_ms in context.first_token_ms) <= ms, (
        context.first_token_ms
    )


@given('the engine has a backlog of {ms:d} ms of prompts')
def add_backlog(context: Context, ms: int) -> None:
    """Put one long prompt in flight."""
    load = context.selector.load_of('s0')
    load.slowdown = 1.0
    load.own_calls['before'] = ActiveCall(
        sent_at=NOW,
        prefill_tokens=int(ms * model.PREFILL_TOKENS_PER_MS),
    )


@given('late calls {before}')
def record_late_waits(context: Context, before: str) -> None:
    """Record how the waits of earlier late calls ended."""
    if before == 'have not waited lately':
        return
    ago = 4000 if before.endswith('4 s ago') else 0
    refused = 'refused' in before
    waited = Millis(2000 if refused else 200)
    for _ in range(20):
        context.selector.late_waits.record_wait(
            waited,
            Millis(NOW - ago),
            refused=refused,
        )


@then('a prompt that waits at most {ms:d} ms {outcome}')
def check_late_call(context: Context, ms: int, outcome: str) -> None:
    """Guard against calls that wait and are then refused."""
    request = dataclasses.replace(
        new_request(context),
        first_output_deadline=Millis(NOW + 5200 + ms),
    )
    decision = place(context, request)
    if outcome == 'waits':
        assert decision.wait_until is not None, decision
    else:
        assert decision.retry_after is not None, decision
