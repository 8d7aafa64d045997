"""The choice of a model engine: by expected first token and by waste."""

from collections.abc import Iterable
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.selection.base import Candidate, SelectionRequest

#: Prompt tokens that an engine reads in a millisecond, by its data sheet.
READ_TOKENS_PER_MS = 90.0

#: Tokens that come from the kept store in a millisecond.
FETCH_TOKENS_PER_MS = 320.0

#: Time to the first token of an empty prompt on an idle engine, in ms.
IDLE_FIRST_TOKEN_MS = 80.0

#: Time of one step of an engine and what each running call adds, in ms.
STEP_MS = 4.4
STEP_PER_CALL_MS = 0.11

#: Weight of prompt tokens that are read though an engine or the kept store
#: has them: they delay later calls and were paid for before.
REREAD_WEIGHT = 1.0

#: Cost of leaving the data centre: the way there and back, and the bytes.
DISTANCE_COST_MS = 4.0

#: Cost of an engine that is not the home of shared parts, in ms: about the
#: time in which they come from the kept store.
AWAY_COST_MS = 15.0

#: Cost of a call that fails, in ms of waiting.
FAILURE_COST_MS = 2000.0

#: Cost of an answer on older weights than the newest named ones.
OUTDATED_COST_MS = 40.0

#: Cost of each token beyond the KV memory, which preempts another call.
OVERFLOW_MS_PER_TOKEN = 0.05

#: Backlog of an engine that takes a call that will be late, in ms, and how
#: it grows with each ms that the call has waited.
LATE_BACKLOG_MS = 120.0
LATE_BACKLOG_GROWTH = 0.1

#: Cost of each call beyond the slots of an engine, in ms.
QUEUED_CALL_MS = 12.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Estimate:
    """What one engine would make of a call."""

    #: Expected time to the first token.
    first_ms: float
    #: Expected time and side costs, in ms; engines are compared by it.
    cost_ms: float
    #: Tokens that the engine has to read itself.
    prefill_tokens: int
    #: Time that the engine needs for the prompts before this one.
    backlog_ms: float
    #: Time for this prompt and those before it by the data sheet.
    nominal_prefill_ms: float


def estimate(
    candidate: Candidate, request: SelectionRequest, now: Millis
) -> Estimate:
    """Return what one engine would make of a call.

    Load patterns: prompts of thousands of shared tokens, of which engines
    hold different ones; long prompts that keep an engine reading while
    others are idle; calls of several routers in flight at once, of which
    the engine's own report says nothing yet; many routers, each with few
    calls and hardly any news of what engines hold.
    """
    load = candidate.load
    cached = min(candidate.cached_tokens, request.prompt_tokens)
    fetched = max(
        0, min(candidate.stored_tokens, request.prompt_tokens) - cached
    )
    missing = max(0, request.prompt_tokens - cached - fetched)
    active = load.active_calls(now)
    waiting = load.waiting_tokens(now) / READ_TOKENS_PER_MS
    reading = missing / READ_TOKENS_PER_MS
    fetching = fetched / FETCH_TOKENS_PER_MS
    step = STEP_MS + STEP_PER_CALL_MS * active
    work = waiting + reading + fetching
    first = IDLE_FIRST_TOKEN_MS + load.slowdown * work + step
    queued = max(0, active + 1 - max(1, candidate.server.slots))
    first += queued * QUEUED_CALL_MS
    cost = first + REREAD_WEIGHT * reading
    cost += FAILURE_COST_MS * load.failure_rate(now)
    cost += _overflow(candidate, request, missing + fetched, now)
    if candidate.is_outdated:
        cost += OUTDATED_COST_MS
    if not candidate.is_preferred:
        cost += AWAY_COST_MS
    if not candidate.is_local:
        cost += DISTANCE_COST_MS
        first += DISTANCE_COST_MS / 2
    return Estimate(
        first_ms=first,
        cost_ms=cost,
        prefill_tokens=missing,
        backlog_ms=load.slowdown * waiting,
        nominal_prefill_ms=work,
    )


def cheapest(
    candidates: Iterable[Candidate],
    request: SelectionRequest,
    now: Millis,
) -> tuple[Candidate, Estimate] | None:
    """Return the engine with the least cost and its estimate."""
    estimates = [
        (candidate, estimate(candidate, request, now))
        for candidate in candidates
    ]
    return min(
        estimates,
        key=lambda pair: (pair[1].cost_ms, pair[0].server.server_id),
        default=None,
    )


def may_send_late(backlog_ms: float, waited: Millis) -> bool:
    """Return whether a call that will be late goes to an engine now.

    Load pattern: engines are lost under full load, and prompts queue for
    longer than their objective. If all calls queued alike, all would be
    late. A call that is late anyway waits for an engine with a short
    backlog and leaves the others to calls that can still be on time; the
    backlog that it accepts grows with its wait, so that none starves.
    """
    return backlog_ms <= LATE_BACKLOG_MS + LATE_BACKLOG_GROWTH * waited


def _overflow(
    candidate: Candidate,
    request: SelectionRequest,
    added: int,
    now: Millis,
) -> float:
    """Return the cost of KV memory that the engine lacks, in ms.

    Load pattern: long prompts of many routers fill an engine's memory long
    before its slots. Beyond it, the engine preempts calls or turns them away.
    """
    capacity = request.service.kv_tokens
    if not capacity:
        return 0
    needed = candidate.load.kv_tokens(now) + added + request.output_tokens
    return OVERFLOW_MS_PER_TOKEN * max(0, needed - capacity)
