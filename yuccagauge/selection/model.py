"""Selection of a model engine by expected time and additional costs."""

from collections.abc import Iterable
from dataclasses import dataclass

from yuccagauge.clock import Millis
from yuccagauge.selection.base import Candidate, SelectionRequest
from yuccagauge.selection.spread import tie_break

#: Prompt tokens that an engine prefills in a millisecond by its data sheet.
PREFILL_TOKENS_PER_MS = 90.0

#: Tokens that an engine fetches from the KV cache store in a millisecond.
STORE_FETCH_TOKENS_PER_MS = 320.0

#: Time to the first token of an empty prompt on an idle engine.
IDLE_FIRST_TOKEN_MS = 80.0

#: Duration of one decoding step of an engine, and what each running call adds.
DECODE_STEP_MS = 4.4
DECODE_STEP_MS_PER_CALL = 0.11

#: Weight of the prefill time in the additional costs. Prefilling tokens again
#: that an engine or the KV cache store already holds delays later calls and
#: repeats work.
RECOMPUTE_WEIGHT = 1.0

#: Cost of an engine in another data centre: the round trip and the traffic.
REMOTE_COST_MS = 4.0

#: Cost of a failed call, as an equivalent waiting time.
FAILURE_COST_MS = 2000.0

#: Time after newer weights were named from which engines with older ones count
#: as outdated, and their answers as worth less.
OUTDATED_GRACE = Millis(1000)

#: Cost of an answer on outdated weights.
OUTDATED_COST_MS = 40.0

#: Cost of each token beyond the KV memory, since it preempts another call.
OVERFLOW_MS_PER_TOKEN = 0.05

#: Longest backlog of an engine that still takes a late call, and the growth of
#: this limit for each ms that the call has waited.
LATE_BACKLOG_MS = 120.0
LATE_BACKLOG_GROWTH = 0.1

#: Delay of the first token for each call beyond the slots of an engine.
QUEUED_CALL_MS = 12.0


@dataclass(frozen=True, slots=True, kw_only=True)
class EngineEstimate:
    """Estimated times and costs of a call on one engine."""

    #: Expected time to the first token.
    first_token_ms: float
    #: Expected time plus additional costs, by which engines are compared.
    cost_ms: float
    #: Prompt tokens that the engine has to prefill.
    prefill_tokens: int
    #: Time that the engine needs for the prompts ahead of this one.
    backlog_ms: float
    #: Time for this prompt and those ahead of it by the data sheet.
    nominal_prefill_ms: float


def estimate_call(
    candidate: Candidate, request: SelectionRequest, now: Millis
) -> EngineEstimate:
    """Estimate the times and costs of a call on one engine.

    Load patterns:

    - Prompts have thousands of shared tokens, and engines hold different ones.
      Tokens to prefill and to fetch therefore count as time.
    - Long prompts keep one engine in prefill while others are idle. The tokens
      that wait at an engine therefore count.
    - Several routers have calls in flight of which the engine's own report
      says nothing yet. The calls of peers therefore count.
    - Each of many routers has few calls and hardly knows what engines hold.
      The preferred engine is therefore cheaper than the others.
    """
    load = candidate.load
    cached_tokens = min(candidate.cached_tokens, request.prompt_tokens)
    fetched_tokens = max(
        0, min(candidate.stored_tokens, request.prompt_tokens) - cached_tokens
    )
    prefill_tokens = max(
        0, request.prompt_tokens - cached_tokens - fetched_tokens
    )
    active_calls = load.active_calls(now)
    queued_ms = load.waiting_tokens(now) / PREFILL_TOKENS_PER_MS
    prefill_ms = prefill_tokens / PREFILL_TOKENS_PER_MS
    fetch_ms = fetched_tokens / STORE_FETCH_TOKENS_PER_MS
    decode_step_ms = DECODE_STEP_MS + DECODE_STEP_MS_PER_CALL * active_calls
    nominal_prefill_ms = queued_ms + prefill_ms + fetch_ms
    first_token_ms = (
        IDLE_FIRST_TOKEN_MS
        + load.slowdown * nominal_prefill_ms
        + decode_step_ms
    )
    queued_calls = max(0, active_calls + 1 - max(1, candidate.server.slots))
    first_token_ms += queued_calls * QUEUED_CALL_MS
    cost_ms = first_token_ms + RECOMPUTE_WEIGHT * prefill_ms
    cost_ms += FAILURE_COST_MS * load.failure_rate(now)
    cost_ms += _kv_overflow_cost(
        candidate, request, prefill_tokens + fetched_tokens, now
    )
    if candidate.is_outdated:
        cost_ms += OUTDATED_COST_MS
    cost_ms += candidate.spread_cost_ms
    if not candidate.is_local:
        cost_ms += REMOTE_COST_MS
        first_token_ms += REMOTE_COST_MS / 2
    return EngineEstimate(
        first_token_ms=first_token_ms,
        cost_ms=cost_ms,
        prefill_tokens=prefill_tokens,
        backlog_ms=load.slowdown * queued_ms,
        nominal_prefill_ms=nominal_prefill_ms,
    )


def cheapest_engine(
    candidates: Iterable[Candidate],
    request: SelectionRequest,
    now: Millis,
) -> tuple[Candidate, EngineEstimate] | None:
    """Return the engine with the lowest cost and its estimate.

    An engine at which the call would begin too late for the weights there is
    left out.
    """
    estimates = [
        (candidate, estimate_call(candidate, request, now))
        for candidate in candidates
    ]
    return min(
        (pair for pair in estimates if _begins_in_time(*pair)),
        key=lambda pair: (pair[1].cost_ms, tie_break(pair[0], request)),
        default=None,
    )


def may_send_late_call(backlog_ms: float, waited: Millis) -> bool:
    """Return whether a late call may go to an engine now.

    Load pattern: engines fail under full load, and prompts queue for longer
    than their objective. If all calls queued alike, all would be late. A late
    call therefore waits for an engine with a short backlog and leaves the
    others to calls that can still be on time. The backlog that it accepts
    grows with its waiting time, so that no call starves.
    """
    return backlog_ms <= LATE_BACKLOG_MS + LATE_BACKLOG_GROWTH * waited


def _begins_in_time(candidate: Candidate, estimate: EngineEstimate) -> bool:
    bound = candidate.time_to_begin
    return bound is None or estimate.first_token_ms <= bound


def _kv_overflow_cost(
    candidate: Candidate,
    request: SelectionRequest,
    added_tokens: int,
    now: Millis,
) -> float:
    """Return the cost of the KV memory that the engine lacks, in ms.

    Load pattern: long prompts of many routers fill the memory of an engine
    long before its slots. Once the memory is full, the engine preempts or
    refuses calls.
    """
    capacity = request.service.kv_tokens
    if not capacity:
        return 0
    needed_tokens = (
        candidate.load.kv_tokens(now) + added_tokens + request.output_tokens
    )
    return OVERFLOW_MS_PER_TOKEN * max(0, needed_tokens - capacity)
