"""The attempts of one model call that are at work."""

from collections.abc import Iterable

from yuccagauge.dispatch.attempt import (
    AttemptListener,
    AttemptPlan,
    ModelAttempt,
    Outcome,
)
from yuccagauge.dispatch.base import BackendMessage, Call
from yuccagauge.dispatch.delivery import Delivery
from yuccagauge.dispatch.messages import resume_message, run_message
from yuccagauge.dispatch.recording import RequestRecorder
from yuccagauge.dispatch.recovery import Ending
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.dispatch.sidecalls import cancel_stream
from yuccagauge.placement.base import Candidate
from yuccagauge.verdict import Verdict


class RunningAttempts:
    """Sends and drops attempts, and says which of them carries the answer.

    Beside the attempt that carries the answer there may be a standby: a second
    connection to the same run, which is asked for while the first is silent.

    Parameters
    ----------
    service
        The state of the service.
    call
        The call; its ``chat`` is set.
    delivery
        What was passed on so far.
    recorder
        Is told about each attempt.
    listener
        Hears the attempts.
    """

    def __init__(
        self,
        service: ServiceState,
        call: Call,
        delivery: Delivery,
        recorder: RequestRecorder,
        listener: AttemptListener,
    ) -> None:
        """Start without attempts."""
        self._service = service
        self._call = call
        self._delivery = delivery
        self._recorder = recorder
        self._listener = listener
        self._active: list[ModelAttempt] = []
        self._standby: ModelAttempt | None = None
        self._message: BackendMessage | None = None

    def __len__(self) -> int:
        """Return the number of attempts at work."""
        return len(self._active)

    @property
    def standby(self) -> ModelAttempt | None:
        """The second connection to a silent run, if there is one."""
        return self._standby

    @property
    def verdict(self) -> Verdict:
        """Whether any attempt at work may have run."""
        verdict = Verdict.NOT_RUN
        for attempt in self._active:
            verdict = verdict.combine(attempt.verdict)
        return verdict

    def run(self, candidate: Candidate, kind: str) -> None:
        """Run the call at an engine, from its first event."""
        if self._message is None:
            self._message = run_message(self._call)
        cache_scope = self._call.chat.prefix.cache_scope
        attempt = self._create(
            AttemptPlan(
                engine=candidate.engine,
                message=self._message,
                weights_version=cache_scope.weights_version,
                truthful=self._service.is_truthful(candidate.engine),
                expected_tokens=candidate.expected_tokens,
            ),
        )
        self._recorder.started(attempt, kind)
        if self._delivery.delivered:
            self._delivery.replay(attempt)
        attempt.start()

    def resume_on(self, broken: ModelAttempt) -> None:
        """Continue a run whose connection is gone."""
        attempt = self._create(self._resume_plan(broken))
        self._recorder.started(attempt, 'resume')
        if self._delivery.delivered:
            self._delivery.resume(attempt)
        attempt.start()

    def add_standby(self, silent: ModelAttempt) -> None:
        """Ask for a silent run on a second connection."""
        attempt = self._create(self._resume_plan(silent))
        self._standby = attempt
        self._recorder.asked_again(attempt)
        attempt.start()

    def take_standby(self) -> None:
        """Let the standby carry the answer."""
        standby = self._standby
        self._standby = None
        current = self._delivery.current
        if current in self._active:
            self._drop(current)
        self._delivery.interrupt()
        self._delivery.resume(standby)
        self._recorder.took_over(standby)

    def drop_standby(self) -> None:
        """Keep the first connection alone; the run goes on."""
        if self._standby is not None:
            self._drop(self._standby)

    def give_up(self, silent: ModelAttempt, reason: str) -> None:
        """End a silent run whose replacement is certain."""
        self.drop_standby()
        verdict = silent.verdict
        silent.abandon()
        self._delivery.interrupt()
        outcome = Outcome(ending=Ending.BROKEN, verdict=verdict, reason=reason)
        self.ended(silent, outcome)

    def ended(self, attempt: ModelAttempt, outcome: Outcome) -> None:
        """Forget an attempt that ended."""
        self._forget(attempt)
        self._recorder.ended(attempt, outcome)

    def finish(self, attempt: ModelAttempt) -> None:
        """Let an attempt whose answer is complete end by itself."""
        self._forget(attempt)
        attempt.finish()
        self._recorder.finished(attempt)

    def abandon_others(self, attempt: ModelAttempt) -> None:
        """Cancel all but one."""
        self._abandon(other for other in self._active if other is not attempt)

    def abandon(self) -> None:
        """Cancel all."""
        self._abandon(self._active)

    def cancel_at(self, attempt: ModelAttempt) -> None:
        """Stop the work at the engine of an attempt."""
        if attempt.verdict is not Verdict.NOT_RUN:
            cancel_stream(
                self._service.around.pool,
                attempt.engine,
                self._call.request_id,
            )

    def pause(self) -> None:
        """Stop reading from engines."""
        for attempt in self._active:
            attempt.pause()

    def resume(self) -> None:
        """Read from engines again."""
        for attempt in self._active:
            attempt.resume()

    def _create(self, plan: AttemptPlan) -> ModelAttempt:
        attempt = ModelAttempt(self._service.around.pool, plan, self._listener)
        self._active.append(attempt)
        return attempt

    def _resume_plan(self, attempt: ModelAttempt) -> AttemptPlan:
        plan = attempt.plan
        after = self._delivery.delivered - 1
        return AttemptPlan(
            engine=plan.engine,
            message=resume_message(self._call.request_id, after),
            weights_version=plan.weights_version,
            truthful=plan.truthful,
            incarnation=attempt.incarnation,
            resumes=True,
            expected_tokens=plan.expected_tokens,
        )

    def _abandon(self, attempts: Iterable[ModelAttempt]) -> None:
        for attempt in tuple(attempts):
            self._drop(attempt)
            self.cancel_at(attempt)

    def _drop(self, attempt: ModelAttempt) -> None:
        attempt.abandon()
        self._forget(attempt)
        self._recorder.abandoned(attempt)

    def _forget(self, attempt: ModelAttempt) -> None:
        self._active.remove(attempt)
        if attempt is self._standby:
            self._standby = None
