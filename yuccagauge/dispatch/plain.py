"""One call of a plain service."""

from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from yuccagauge.clock import Millis
from yuccagauge.dispatch import metrics
from yuccagauge.dispatch.attempt import Outcome
from yuccagauge.dispatch.base import AnswerSink, BackendMessage, Call
from yuccagauge.dispatch.claiming import claim_of, judge
from yuccagauge.dispatch.plainattempt import PlainAttempt, PlainPlan
from yuccagauge.dispatch.plainrecording import PlainRecorder
from yuccagauge.dispatch.recovery import (
    MAXIMUM_RUNS,
    Ending,
    Progress,
    Step,
    next_step,
)
from yuccagauge.dispatch.refusals import (
    claims_unavailable,
    deadline_passed,
    given_up,
    no_server,
    quarantined,
)
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.dispatch.timers import Timers
from yuccagauge.quarantine.base import QuarantineStatus
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import VERDICT_HEADER, Refusal, Verdict

#: Longest wait for a proof that an answer is whole if the call can be repeated
#: instead, and shortest one otherwise.
_PROOF_LIMIT = Millis(250)


class PlainRequest:
    """Runs one call until its answer is complete or given up.

    Parameters
    ----------
    service
        The state of the service.
    call
        The call.
    sink
        The way to the caller.
    """

    def __init__(
        self,
        service: ServiceState,
        call: Call,
        sink: AnswerSink,
    ) -> None:
        """Prepare without sending."""
        self._service = service
        self._call = call
        self._sink = sink
        self._timers = Timers(service.around.call_later)
        self._recorder = PlainRecorder(service, call)
        self._done: Deferred[Verdict] = Deferred()
        self._active: list[PlainAttempt] = []
        self._tried: set[Endpoint] = set()
        self._verdict = Verdict.NOT_RUN
        self._claim: Any = None
        self._admitted = False
        self._answered = False
        self._runs = 0
        self._message = BackendMessage(
            method=call.method,
            path=call.path,
            headers=call.headers,
            body=call.body,
        )

    def start(self) -> Deferred[Verdict]:
        """Claim the call if need be and send it."""
        self._sink.watch(self)
        now = self._now()
        self._service.budget.record_request(now)
        refusal = self._quarantine_refusal() or self._service.admit_request(
            self._call, 0, now
        )
        if refusal is not None:
            self._refuse(refusal)
            return self._done
        self._admitted = True
        self._timers.start('deadline', self._call.deadline - now, self._late)
        if self._call.idempotent:
            self._run()
            self._plan_hedge()
        elif self._service.around.claims is None:
            self._refuse(claims_unavailable())
        else:
            self._ask_for_claim(now)
        return self._done

    def pause(self) -> None:
        """Answers are sent whole, so there is nothing to pause."""

    def resume(self) -> None:
        """Answers are sent whole, so there is nothing to resume."""

    def left(self) -> None:
        """Stop; a call that must not be repeated goes on for its outcome."""
        if self._answered:
            return
        metrics.CALLERS_LEFT.add(1, {'service': self._service.name})
        verdict = self._started_verdict()
        self._stop_attempts(verdict)
        self._end(verdict)

    def _quarantine_refusal(self) -> Refusal | None:
        now = self._now()
        if not self._service.is_quarantined(self._call, now):
            return None
        remaining = self._service.quarantine.remaining_time(
            self._call.fingerprint, now
        )
        return quarantined(remaining, self._verdict)

    def _ask_for_claim(self, now: Millis) -> None:
        timeout = Millis(self._call.deadline - now)
        claims = self._service.around.claims
        asked = claims.claim(claim_of(self._call), timeout)
        asked.addCallbacks(self._claimed, self._claim_failed)

    def _claimed(self, decision: Any) -> None:
        judgement = judge(decision)
        if judgement.granted is None:
            if not self._answered:
                self._answer_claim(judgement.refusal, judgement.replay)
            return
        self._claim = judgement.granted
        if self._answered:
            # The deadline passed or the caller left; nothing was sent.
            self._release_claim()
            return
        refusal = self._quarantine_refusal()
        if refusal is not None:
            self._release_claim()
            self._refuse(refusal)
            return
        self._run()

    def _claim_failed(self, failure: Failure) -> None:
        if not self._answered:
            self._refuse(claims_unavailable())

    def _answer_claim(
        self,
        refusal: Refusal | None,
        replay: Outcome | None,
    ) -> None:
        if replay is None:
            self._refuse(refusal)
        else:
            self._answer(replay)

    def _run(self) -> None:
        now = self._now()
        server = self._service.servers.choose(self._blocked(now), now)
        if server is None and self._tried:
            self._tried.clear()
            server = self._service.servers.choose(self._blocked(now), now)
        if server is None:
            self._release_claim()
            self._refuse(no_server(self._verdict))
            return
        self._runs += 1
        self._send(server, 'run')

    def _send(self, server: Endpoint, kind: str) -> None:
        self._tried.add(server)
        plan = PlainPlan(
            server=server,
            message=self._message,
            truthful=self._service.is_truthful(server),
            once=not self._call.idempotent,
            may_end_unframed=self._service.servers.may_end_unframed(server),
            proof_limit=self._proof_limit,
        )
        attempt = PlainAttempt(
            self._service.around.pool,
            plan,
            self._attempt_ended,
            self._service.around.call_later,
        )
        self._active.append(attempt)
        self._recorder.started(attempt, kind)
        attempt.start()

    def _proof_limit(self) -> Millis:
        """Return how long to wait for a proof that an answer is whole."""
        now = self._now()
        can_repeat = self._call.idempotent and self._runs < MAXIMUM_RUNS
        if can_repeat and self._service.budget.has_retry(now):
            return _PROOF_LIMIT
        return max(_PROOF_LIMIT, Millis(self._call.deadline - now))

    def _blocked(self, now: Millis) -> frozenset[Endpoint]:
        quarantine = self._service.quarantine
        if (
            quarantine.status(self._call.fingerprint, now)
            is QuarantineStatus.CLEAR
        ):
            return frozenset(self._tried)
        occupied = quarantine.engines_with_other_suspects(
            self._call.fingerprint, now
        )
        return occupied.union(self._tried)

    def _attempt_ended(self, attempt: PlainAttempt, outcome: Outcome) -> None:
        self._active.remove(attempt)
        self._recorder.ended(attempt, outcome)
        if outcome.ending is Ending.DONE:
            self._complete_claim(outcome)
            if not self._answered:
                self._abandon()
                self._answer(outcome)
            return
        self._verdict = self._verdict.combine(outcome.verdict)
        if self._answered:
            self._settle_unheard(outcome)
        elif not self._active:
            self._decide(outcome)

    def _decide(self, outcome: Outcome) -> None:
        progress = Progress(
            begun=False,
            resumable=False,
            runs=self._runs,
            resumes=0,
            idempotent=self._call.idempotent,
            late=self._now() >= self._call.deadline,
        )
        step = next_step(outcome.ending, outcome.verdict, progress)
        refusal = self._quarantine_refusal()
        if step is Step.RERUN or (
            step is Step.RERUN_WITHIN_BUDGET and self._spend()
        ):
            if refusal is None:
                self._run()
                return
        self._settle_unheard(outcome)
        self._refuse(refusal or self._last_word(outcome))

    def _last_word(self, outcome: Outcome) -> Refusal:
        if self._now() >= self._call.deadline:
            return deadline_passed(self._verdict)
        code = outcome.ending.value.replace('-', '_')
        return given_up(f'backend_{code}', outcome.reason, self._verdict)

    def _plan_hedge(self) -> None:
        delay = self._service.latency.hedge_delay
        if delay is not None and self._active:
            self._timers.start('hedge', max(1, delay), self._hedge)

    def _hedge(self) -> None:
        now = self._now()
        server = self._service.servers.choose(self._blocked(now), now)
        if server is not None and len(self._active) == 1 and self._spend():
            metrics.HEDGES.add(1, {'service': self._service.name})
            self._send(server, 'hedge')

    def _complete_claim(self, outcome: Outcome) -> None:
        if self._claim is not None:
            self._service.around.claims.complete(
                self._claim,
                outcome.status,
                outcome.body,
            )

    def _settle_unheard(self, outcome: Outcome) -> None:
        """Free the key of a call that was certainly not run."""
        if outcome.verdict is Verdict.NOT_RUN:
            self._release_claim()

    def _release_claim(self) -> None:
        if self._claim is not None and self._verdict is Verdict.NOT_RUN:
            self._service.around.claims.release(self._claim)
            self._claim = None

    def _answer(self, outcome: Outcome) -> None:
        duration = Millis(self._now() - self._call.received_at)
        self._service.latency.record(duration)
        verdict = (
            VERDICT_HEADER.encode(),
            Verdict.ANSWERED.value.encode(),
        )
        length = (b'Content-Length', str(len(outcome.body)).encode())
        self._sink.begin(outcome.status, (*outcome.headers, length, verdict))
        self._sink.write(outcome.body)
        self._sink.finish()
        self._end(Verdict.ANSWERED)

    def _late(self) -> None:
        verdict = self._started_verdict()
        self._stop_attempts(verdict)
        self._refuse(deadline_passed(verdict))

    def _refuse(self, refusal: Refusal) -> None:
        self._recorder.refused(refusal)
        self._sink.refuse(refusal)
        self._end(refusal.verdict)

    def _end(self, verdict: Verdict) -> None:
        self._answered = True
        self._timers.close()
        self._recorder.closed(verdict)
        if self._admitted:
            self._service.admission.finish_request(
                self._call.customer, self._now()
            )
        self._done.callback(verdict)

    def _stop_attempts(self, verdict: Verdict) -> None:
        """Stop for want of a caller, unless a run must not be repeated.

        What has not been sent is never sent then: the verdict says so.
        """
        if self._call.idempotent or verdict is Verdict.NOT_RUN:
            self._abandon()
            self._release_claim()

    def _abandon(self) -> None:
        for attempt in self._active:
            attempt.abandon()
            self._recorder.abandoned(attempt)
        self._active.clear()

    def _started_verdict(self) -> Verdict:
        verdict = self._verdict
        for attempt in self._active:
            verdict = verdict.combine(attempt.verdict)
        return verdict

    def _spend(self) -> bool:
        return self._service.spend_retry(self._now())

    def _now(self) -> Millis:
        return self._service.around.clock.now()
