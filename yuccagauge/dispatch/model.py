"""One call of a model service, from placement to the last event."""

from twisted.internet.defer import Deferred

from yuccagauge.clock import Millis
from yuccagauge.dispatch import metrics
from yuccagauge.dispatch.attempt import ModelAttempt, Outcome
from yuccagauge.dispatch.base import AnswerSink, Call
from yuccagauge.dispatch.candidates import CandidateList
from yuccagauge.dispatch.delivery import Delivery
from yuccagauge.dispatch.errors import BackendProtocolError
from yuccagauge.dispatch.outputs import CollectedOutput, StreamOutput
from yuccagauge.dispatch.recording import RequestRecorder
from yuccagauge.dispatch.recovery import (
    MAXIMUM_RUNS,
    Ending,
    Progress,
    Recovery,
    Step,
    next_step,
)
from yuccagauge.dispatch.refusals import (
    deadline_passed,
    given_up,
    no_server,
    quarantined,
)
from yuccagauge.dispatch.running import RunningAttempts
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.dispatch.timers import Timers
from yuccagauge.placement.base import Candidate
from yuccagauge.verdict import Refusal, Verdict

#: Wait before a resume or before engines are tried a second time, in ms;
#: it doubles each time.
_FIRST_WAIT = 20

#: Request ids of this fleet start so; see ``_check_owner``.
REQUEST_ID_PREFIX = 'ygr-'

_QUOTED_PREFIX = f'"{REQUEST_ID_PREFIX}'.encode()


class ModelRequest:
    """Runs one call until its answer is complete or given up.

    Parameters
    ----------
    service
        The state of the service.
    call
        The call; its ``chat`` is set.
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
        output = StreamOutput if call.chat.stream else CollectedOutput
        self._output = output(sink)
        self._delivery = Delivery(self._output)
        self._candidates = CandidateList(service, call)
        self._timers = Timers(service.around.call_later)
        self._recorder = RequestRecorder(service, call)
        self._attempts = RunningAttempts(
            service, call, self._delivery, self._recorder, self
        )
        self._verdict = Verdict.NOT_RUN
        self._done: Deferred[Verdict] = Deferred()
        self._admitted = False
        self._ended = False
        self._paused = False
        self._runs = 0
        self._recovery = Recovery(call)
        self._owner = f'"{call.request_id}"'.encode()
        self._event_at = call.received_at

    def start(self) -> Deferred[Verdict]:
        """Place the call and send it; fires with the final verdict."""
        self._sink.watch(self)
        now = self._now()
        self._service.budget.record_request(now)
        if self._service.is_quarantined(self._call, now):
            self._refuse_quarantined()
            return self._done
        candidate = self._candidates.first(now)
        self._recorder.placed(self._candidates.latest)
        refusal = self._admit(candidate, now)
        if refusal is not None:
            self._give_up(refusal)
            return self._done
        self._admitted = True
        self._timers.start('deadline', self._call.deadline - now, self._late)
        self._run(candidate, 'run')
        self._plan_hedge()
        return self._done

    def pause(self) -> None:
        """Stop reading from engines: the caller is slow."""
        self._paused = True
        self._attempts.pause()

    def resume(self) -> None:
        """Read from engines again."""
        self._paused = False
        self._event_at = self._now()
        self._attempts.resume()

    def left(self) -> None:
        """Cancel the work for a caller that is gone."""
        if self._ended:
            return
        metrics.CALLERS_LEFT.add(1, {'service': self._service.name})
        self._attempts.abandon()
        self._end(self._verdict.combine(self._attempts.verdict))

    def attempt_events(
        self,
        attempt: ModelAttempt,
        events: list[bytes],
    ) -> None:
        """Pass events on."""
        if self._ended:
            return
        self._check_owner(events)
        self._event_at = self._now()
        if self._attempts.standby is not None:
            self._end_silence(attempt)
        is_first = self._delivery.delivered == 0
        self._delivery.events(attempt, events)
        if is_first:
            self._begun(attempt)
        self._recorder.look_for_usage(attempt, events)
        if self._paused:
            attempt.pause()
        if self._delivery.done:
            self._finish(attempt)

    def attempt_ended(self, attempt: ModelAttempt, outcome: Outcome) -> None:
        """Decide what follows an attempt."""
        is_standby = attempt is self._attempts.standby
        self._attempts.ended(attempt, outcome)
        if self._ended:
            return
        if outcome.ending is not Ending.REJECTED:
            self._verdict = self._verdict.combine(outcome.verdict)
        if is_standby:
            self._recovery.note_refusal(outcome.ending)
            if not self._paused:
                self._replace(outcome.reason)
            return
        if self._attempts.standby is not None:
            self._attempts.take_standby()
            return
        if self._attempts and attempt is not self._delivery.current:
            return
        was_replaying = self._delivery.replaying
        self._delivery.interrupt()
        self._recovery.note_break(self._delivery.delivered, self._now())
        progress = Progress(
            begun=self._delivery.delivered > 0,
            resumable=attempt.is_resumable and not was_replaying,
            runs=self._runs,
            resumes=self._recovery.resumes,
            idempotent=self._call.idempotent,
            late=self._now() >= self._recovery.late_at,
        )
        step = next_step(outcome.ending, outcome.verdict, progress)
        self._follow(step, attempt, outcome)

    def _admit(
        self,
        candidate: Candidate | None,
        now: Millis,
    ) -> Refusal | None:
        if candidate is None:
            return no_server(self._verdict)
        return self._service.admit_request(self._call, candidate.cost_ms, now)

    def _run(self, candidate: Candidate, kind: str) -> None:
        self._runs += kind != 'hedge'
        self._event_at = self._now()
        self._attempts.run(candidate, kind)

    def _follow(
        self,
        step: Step,
        attempt: ModelAttempt,
        outcome: Outcome,
    ) -> None:
        if step is Step.PASS_ON:
            self._pass_on(outcome)
        elif step is Step.RESUME:
            wait = _FIRST_WAIT << self._recovery.resumes
            self._recovery.resumes += 1
            self._timers.start('retry', wait, self._resume_on, attempt)
        elif step is Step.GIVE_UP:
            self._give_up(self._last_word(outcome))
        elif step is Step.RERUN or self._spend():
            self._rerun(attempt)
        else:
            self._give_up(
                given_up(
                    'retry_budget_spent',
                    f'{outcome.reason}; the retry budget is spent',
                    self._verdict,
                ),
            )

    def _resume_on(self, attempt: ModelAttempt) -> None:
        self._event_at = self._now()
        self._attempts.resume_on(attempt)

    def _rerun(self, attempt: ModelAttempt | None) -> None:
        now = self._now()
        if self._service.is_quarantined(self._call, now):
            self._refuse_quarantined()
            return
        candidate = self._candidates.following(now)
        self._recorder.placed(self._candidates.latest)
        if candidate is None:
            self._wait_for_engine()
            return
        if attempt is not None and candidate.engine != attempt.engine:
            self._attempts.cancel_at(attempt)
        kind = 'replay' if self._delivery.delivered else 'run'
        self._run(candidate, kind)

    def _wait_for_engine(self) -> None:
        """Try all engines once more after a pause that grows."""
        wait = _FIRST_WAIT << self._candidates.start_again()
        if self._now() + wait >= self._recovery.late_at:
            self._give_up(no_server(self._verdict))
            return
        self._timers.start('retry', wait, self._rerun, None)

    def _plan_hedge(self) -> None:
        delay = self._service.latency.hedge_delay
        if self._call.idempotent and delay is not None and self._attempts:
            self._timers.start('hedge', max(1, delay), self._hedge)

    def _hedge(self) -> None:
        if self._delivery.delivered or len(self._attempts) != 1:
            return
        now = self._now()
        candidate = self._candidates.following(now)
        if candidate is not None and self._spend():
            metrics.HEDGES.add(1, {'service': self._service.name})
            self._run(candidate, 'hedge')

    def _begun(self, attempt: ModelAttempt) -> None:
        self._timers.stop('hedge')
        if self._call.chat.stream:
            self._timers.stop('deadline')
        self._attempts.abandon_others(attempt)
        self._recorder.begun(attempt)
        stall_time = self._service.around.stall_time
        self._timers.start('stall', stall_time, self._check_stall)

    def _check_stall(self) -> None:
        """Look after an answer that makes no progress."""
        stall_time = self._service.around.stall_time
        quiet = self._now() - self._event_at
        waits = self._paused or self._timers.is_running('retry')
        if not waits and quiet >= stall_time:
            self._handle_silence(quiet)
        if not self._ended:
            left = stall_time - quiet if quiet < stall_time else stall_time
            self._timers.start('stall', left, self._check_stall)

    def _handle_silence(self, quiet: int) -> None:
        """Give a silent attempt up for something better, or at the end."""
        now = self._now()
        reason = f'no event for {quiet} ms'
        current = self._delivery.current
        if current is None:
            return
        self._recovery.note_break(self._delivery.delivered, now)
        if self._recovery.has_run_out(quiet, now):
            self._attempts.drop_standby()
            current.break_off(reason)
            return
        standby = self._attempts.standby
        if standby is not None and standby.opened:
            self._attempts.take_standby()
            current = standby
        elif standby is not None or not current.opened:
            # A resume or a rerun has longer to open its stream.
            return
        can_resume = current.is_resumable and not self._delivery.replaying
        if can_resume and self._recovery.may_ask_again:
            self._recovery.resumes += 1
            self._attempts.add_standby(current)
        else:
            self._replace(reason)

    def _end_silence(self, attempt: ModelAttempt) -> None:
        """Go on with the connection on which the run is heard again."""
        if attempt is self._attempts.standby:
            self._attempts.take_standby()
        else:
            self._attempts.drop_standby()

    def _replace(self, reason: str) -> None:
        """Run the call anew if engine, budget and time are there for it."""
        now = self._now()
        silent = self._delivery.current
        is_allowed = now < self._recovery.late_at and self._runs < MAXIMUM_RUNS
        if not is_allowed or self._service.is_quarantined(self._call, now):
            return
        candidate = self._candidates.following(now)
        if candidate is None and self._recovery.is_gone:
            self._candidates.start_again()
            candidate = self._candidates.following(now)
        if candidate is None:
            return
        if not self._spend():
            self._candidates.put_back(candidate)
            return
        self._recorder.placed(self._candidates.latest)
        self._verdict = self._verdict.combine(silent.verdict)
        self._attempts.give_up(silent, reason)
        if candidate.engine != silent.engine:
            self._attempts.cancel_at(silent)
        self._run(candidate, 'replay')

    def _check_owner(self, events: list[bytes]) -> None:
        """Refuse events that name another request of this fleet."""
        first = events[0]
        if _QUOTED_PREFIX in first and self._owner not in first:
            raise BackendProtocolError('an event of another request')

    def _finish(self, attempt: ModelAttempt) -> None:
        self._attempts.finish(attempt)
        self._delivery.end()
        self._output.done()
        self._end(Verdict.ANSWERED)

    def _pass_on(self, outcome: Outcome) -> None:
        verdict = (b'Yuccagauge-Verdict', Verdict.ANSWERED.value.encode())
        self._sink.begin(outcome.status, (verdict, *outcome.headers))
        self._sink.write(outcome.body)
        self._sink.finish()
        self._end(Verdict.ANSWERED)

    def _late(self) -> None:
        verdict = self._verdict.combine(self._attempts.verdict)
        self._attempts.abandon()
        self._give_up(deadline_passed(verdict))

    def _refuse_quarantined(self) -> None:
        remaining = self._service.quarantine.remaining_time(
            self._call.fingerprint,
            self._now(),
        )
        self._give_up(quarantined(remaining, self._verdict))

    def _last_word(self, outcome: Outcome) -> Refusal:
        if self._now() >= self._recovery.late_at:
            return deadline_passed(self._verdict)
        code = outcome.ending.value.replace('-', '_')
        return given_up(f'backend_{code}', outcome.reason, self._verdict)

    def _give_up(self, refusal: Refusal) -> None:
        self._recorder.refused(refusal)
        self._delivery.end()
        self._sink.refuse(refusal)
        self._end(refusal.verdict)

    def _end(self, verdict: Verdict) -> None:
        self._ended = True
        self._timers.close()
        self._recorder.closed(verdict)
        if self._admitted:
            self._service.admission.finish_request(
                self._call.customer, self._now()
            )
        self._done.callback(verdict)

    def _spend(self) -> bool:
        return self._service.spend_retry(self._now())

    def _now(self) -> Millis:
        return self._service.around.clock.now()
