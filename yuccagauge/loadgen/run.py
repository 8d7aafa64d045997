"""Send a plan in time and collect the outcomes."""

from dataclasses import dataclass, field

from twisted.internet import defer, reactor, task

from yuccagauge.clock import Clock
from yuccagauge.loadgen.client import LoadClient
from yuccagauge.loadgen.outcomes import CallOutcome, ChatOutcome
from yuccagauge.loadgen.plans import ChatPlan, Plan

_MILLISECONDS_PER_SECOND = 1000


@dataclass(slots=True, kw_only=True)
class LoadResult:
    """The outcomes of a plan, in the order of their ends."""

    chats: list[ChatOutcome] = field(default_factory=list)
    calls: list[CallOutcome] = field(default_factory=list)


@defer.inlineCallbacks
def run_plans(
    client: LoadClient,
    plans: list[Plan],
    clock: Clock,
) -> defer.Deferred[LoadResult]:
    """Send each request at its time; fire when all have ended."""
    result = LoadResult()
    started = clock.wall_time()
    running: list[defer.Deferred[None]] = []
    for plan in plans:
        if isinstance(plan, ChatPlan):
            work = _later(plan.at, client.chat, plan)
            running.append(work.addCallback(result.chats.append))
            continue
        key = plan.key(started)
        for delay in plan.copies:
            work = _later(plan.at + delay, client.call, plan, key)
            running.append(work.addCallback(result.calls.append))
    yield defer.gatherResults(running, consumeErrors=True)
    return result


def _later(at: int, send: object, *arguments: object) -> defer.Deferred:
    seconds = at / _MILLISECONDS_PER_SECOND
    return task.deferLater(reactor, seconds, send, *arguments)
