"""What is recorded while a model call runs: load, view, records, metrics."""

from dataclasses import dataclass

from yuccagauge.burn.base import RequestSample
from yuccagauge.clock import Millis, in_seconds
from yuccagauge.dispatch import metrics
from yuccagauge.dispatch.attempt import ModelAttempt, Outcome
from yuccagauge.dispatch.base import Call
from yuccagauge.dispatch.recorder import Recorder
from yuccagauge.dispatch.recovery import Ending
from yuccagauge.dispatch.sampling import SampleBuilder
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.dispatch.sse import usage_of
from yuccagauge.explain.base import (
    CandidateRecord,
)
from yuccagauge.placement.base import Decision
from yuccagauge.verdict import Verdict

_UNKNOWN = -1


@dataclass(frozen=True, slots=True, kw_only=True)
class _Run:
    """What was known of an engine when an attempt was sent to it."""

    #: The last report may be that of a restarted engine when the end of the
    #: run is noticed.
    incarnation: str
    known_crashes: frozenset[str]


class RequestRecorder(Recorder):
    """Tells the service's state what becomes of one call.

    Parameters
    ----------
    service
        The state of the service.
    call
        The call.
    """

    def __init__(self, service: ServiceState, call: Call) -> None:
        """Open the decision record."""
        super().__init__(service, call)
        self._cached = _UNKNOWN
        self._runs: dict[int, _Run] = {}
        #: Prompt tokens that the engine computed; 0 while not known.
        self._computed = 0
        self._sample = SampleBuilder(call)
        prefix = call.chat.prefix
        self._open(
            weights_version=prefix.cache_scope.weights_version,
            prompt_tokens=prefix.prompt_tokens,
            levels=len(prefix.levels),
        )

    def placed(self, decision: Decision) -> None:
        """Record the candidates."""
        self._sample.placed(decision)
        candidates = tuple(
            CandidateRecord(
                backend_server=str(candidate.engine),
                cost_ms=float(candidate.cost_ms),
                expected_tokens=candidate.expected_tokens,
                queue_ms=float(candidate.queue_ms),
            )
            for candidate in decision.candidates
        )
        self._log.change(self._call.request_id, candidates=candidates)

    def started(self, attempt: ModelAttempt, kind: str) -> None:
        """Count an attempt that is about to be sent."""
        self._kinds[id(attempt)] = (kind, self._now())
        self._start_run(attempt)

    def asked_again(self, attempt: ModelAttempt) -> None:
        """Note a second connection to a run, which adds no load."""
        self._kinds[id(attempt)] = ('resume', self._now())

    def took_over(self, attempt: ModelAttempt) -> None:
        """Count a run on the connection that carries it now."""
        self._start_run(attempt)

    def begun(self, attempt: ModelAttempt) -> None:
        """Record the first token."""
        now = self._now()
        self._sample.begun(now)
        table = self._service.table_of(attempt.engine)
        table.record_first_token(attempt.engine, self._call.request_id, now)
        duration = Millis(now - self._call.received_at)
        self._service.latency.record(duration)
        self._log.change(
            self._call.request_id,
            time_to_first_token_ms=duration,
        )
        metrics.FIRST_TOKEN.record(
            in_seconds(duration),
            {'service': self._service.name},
        )

    def look_for_usage(
        self,
        attempt: ModelAttempt,
        events: list[bytes],
    ) -> None:
        """Correct the cache view by the tokens an engine had cached."""
        for event in events:
            usage = usage_of(event)
            if usage is not None:
                self._take_usage(attempt, usage)

    def ended(self, attempt: ModelAttempt, outcome: Outcome) -> None:
        """Record an attempt that ended without a complete answer."""
        run = self._release(attempt)
        now = self._now()
        engine = attempt.engine
        # A stream that broke after it opened is resumed first, which tells
        # whether the engine is up.
        is_down = outcome.ending in {Ending.BROKEN, Ending.NOT_RUN}
        if is_down and not attempt.opened:
            self._service.table_of(engine).suspend_engine(engine, now)
        is_broken = outcome.ending is Ending.BROKEN and attempt.was_sent
        if is_broken and run is not None:
            self._service.quarantine.record_broken_connection(
                self._call.fingerprint,
                engine,
                attempt.incarnation or run.incarnation,
                now,
                known=run.known_crashes,
            )
        if outcome.ending is Ending.NOT_RUN and outcome.status:
            # A truthful refusal of a healthy server means that it leaves.
            self._service.rest(engine, spread=True)
        self._record(attempt, outcome.ending, outcome.verdict, outcome.reason)

    def abandoned(self, attempt: ModelAttempt) -> None:
        """Record an attempt that nobody waits for any more."""
        self._release(attempt)
        self._record(attempt, Ending.ABANDONED, attempt.verdict, '')

    def finished(self, attempt: ModelAttempt) -> None:
        """Record the attempt that completed the answer."""
        self._sample.finished(self._now())
        self._release(attempt)
        self._service.quarantine.record_completion(self._call.fingerprint)
        self._record(attempt, Ending.DONE, Verdict.ANSWERED, '')

    def _build_sample(self, verdict: Verdict) -> RequestSample:
        return self._sample.build(verdict)

    def _start_run(self, attempt: ModelAttempt) -> None:
        now = self._now()
        missing = self._call.chat.prefix.prompt_tokens
        missing -= attempt.plan.expected_tokens
        if attempt.plan.resumes:
            missing = 0
        known_crashes = self._service.quarantine.record_start(
            self._call.fingerprint,
            attempt.engine,
        )
        table = self._service.table_of(attempt.engine)
        self._runs[id(attempt)] = _Run(
            incarnation=table.incarnation(attempt.engine),
            known_crashes=known_crashes,
        )
        table.record_send(
            attempt.engine,
            self._call.request_id,
            max(0, missing),
            now,
        )

    def _release(self, attempt: ModelAttempt) -> _Run | None:
        """Return what was known of the run that an attempt carried."""
        run = self._runs.pop(id(attempt), None)
        if run is None:
            return None
        self._service.quarantine.record_end(
            self._call.fingerprint, attempt.engine
        )
        self._service.table_of(attempt.engine).record_end(
            attempt.engine,
            self._call.request_id,
            self._now(),
            self._computed,
        )
        return run

    def _take_usage(
        self,
        attempt: ModelAttempt,
        usage: dict[str, object],
    ) -> None:
        details = usage.get('prompt_tokens_details') or {}
        cached = int(details.get('cached_tokens') or 0)
        self._cached = cached
        self._service.view.record_usage(
            attempt.engine,
            attempt.incarnation,
            self._call.chat.prefix,
            cached,
            self._now(),
        )
        prompt = int(usage.get('prompt_tokens') or 0)
        self._computed = max(0, prompt - cached)
        completion = int(usage.get('completion_tokens') or 0)
        self._sample.used(prompt, cached, completion)
        name = self._service.name
        metrics.PROMPT_TOKENS.add(cached, {'service': name, 'cached': True})
        metrics.PROMPT_TOKENS.add(
            self._computed,
            {'service': name, 'cached': False},
        )

    def _record(
        self,
        attempt: ModelAttempt,
        ending: Ending,
        verdict: Verdict,
        reason: str,
    ) -> None:
        self._record_attempt(
            attempt,
            attempt.engine,
            ending,
            verdict,
            reason,
            expected_tokens=attempt.plan.expected_tokens,
            cached_tokens=self._cached,
        )
