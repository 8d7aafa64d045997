"""Load and usability of all engines that a router knows."""

from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey, EngineReport
from yuccagauge.load.bias import PrefillBias
from yuccagauge.load.engine import RECENT_WINDOW, EngineState, OwnRequest
from yuccagauge.load.rate import DEFAULT_PREFILL_RATE, PrefillSpeed

#: Requests of this router without a first token that the backlog estimate is
#: taken to cover. Each further one counts as at least one mean prefill.
#: Otherwise, expected cache hits and late reports would make a burst of
#: requests look as if it cost nothing.
REQUESTS_COVERED_BY_BACKLOG = 3

#: Maximum age of the last report of an engine that gets work.
REPORT_LIFETIME = Millis(15_000)

#: Time for which an engine that refused or broke a connection gets no work,
#: unless a report that was measured after the failure arrives earlier.
SUSPENSION_TIME = Millis(10_000)


class EngineTable:
    """Tracks the load of the engines and which of them may get work.

    Parameters
    ----------
    prefill_rate
        Initial estimate of the prefill rate of an engine, in tokens/ms.
    """

    def __init__(self, prefill_rate: float = DEFAULT_PREFILL_RATE) -> None:
        """Create a table without engines."""
        self._speed = PrefillSpeed(prefill_rate)
        self._bias = PrefillBias()
        self._engines: dict[EngineKey, EngineState] = {}
        self._network_delays: dict[EngineKey, float] = {}
        self._sorted_engines: tuple[EngineKey, ...] = ()
        self._change_count = 0
        self._usable_cache: dict[
            str, tuple[int, Millis, tuple[EngineKey, ...]]
        ] = {}

    @property
    def engines(self) -> tuple[EngineKey, ...]:
        """All known engines, usable or not, in order of address.

        Returns the same tuple object until an engine is added or removed.
        """
        if len(self._sorted_engines) != len(self._engines):
            self._sorted_engines = tuple(sorted(self._engines))
        return self._sorted_engines

    @property
    def prefill_rate(self) -> float:
        """The estimated prefill rate of an engine, in tokens/ms."""
        return self._speed.tokens_per_ms

    def update_report(self, report: EngineReport, now: Millis) -> None:
        """Apply a report that the engine or a peer sent.

        Ignores a report that is older than the last one.
        """
        state = self._engines.setdefault(report.engine, EngineState())
        previous = state.report
        if previous is not None:
            if report.measured_at < previous.measured_at:
                return
            if previous.incarnation != report.incarnation:
                state.clear_work()
        state.apply_report(report, self.prefill_rate, now)
        is_back = report.measured_at > state.failed_at
        if state.suspended_until and is_back:
            state.suspended_until = Millis(0)
            self._change_count += 1
        if _affects_usability(previous, report):
            self._change_count += 1

    def record_send(
        self,
        engine: EngineKey,
        request_id: str,
        tokens: int,
        now: Millis,
    ) -> None:
        """Record a request that this router sends to an engine.

        ``tokens`` are the prompt tokens that the engine is expected to
        compute, since it has not cached them.
        """
        state = self._engines.setdefault(engine, EngineState())
        is_wait_expected = state.backlog_tokens(self.prefill_rate, now) > 0
        state.awaiting_first_token += 1
        state.requests[request_id] = OwnRequest(tokens, now, is_wait_expected)
        state.record_send(self._work_tokens(tokens), self.prefill_rate, now)

    def record_peer_send(
        self,
        engine: EngineKey,
        tokens: int,
        sent_at: Millis,
    ) -> None:
        """Record a request that another router sent to an engine."""
        state = self._engines.get(engine)
        if state is not None:
            state.record_send(
                self._work_tokens(tokens), self.prefill_rate, sent_at
            )

    def record_first_token(
        self, engine: EngineKey, request_id: str, now: Millis
    ) -> None:
        """Record the first token of a request, which ends its prefill."""
        state = self._engines.get(engine)
        if state is not None and request_id in state.requests:
            if state.requests[request_id].first_token_at is None:
                state.awaiting_first_token -= 1
            state.requests[request_id].first_token_at = now

    def record_end(
        self,
        engine: EngineKey,
        request_id: str,
        now: Millis,
        computed_tokens: int = 0,
    ) -> None:
        """Remove a request that completed, failed or was cancelled.

        ``computed_tokens`` are the prompt tokens that the engine did not
        find in its cache, from the usage of the answer; 0 if unknown.
        """
        state = self._engines.get(engine)
        if state is None:
            return
        request = state.requests.pop(request_id, None)
        if request is not None and request.first_token_at is None:
            state.awaiting_first_token -= 1
        if request is not None and request.first_token_at is not None:
            if computed_tokens > 0:
                self._bias.record_answer(request.tokens, computed_tokens)
            waited = request.first_token_at - request.sent_at
            network = 2 * self.network_delay_ms(engine)
            self._speed.record_answer(
                computed_tokens,
                waited - network,
                is_wait_expected=request.is_wait_expected,
            )

    def suspend_engine(self, engine: EngineKey, now: Millis) -> None:
        """Suspend an engine that refused or broke a connection."""
        state = self._engines.get(engine)
        if state is not None:
            state.failed_at = now
            state.suspended_until = Millis(now + SUSPENSION_TIME)
            self._change_count += 1

    def set_leaving(self, engine: EngineKey, leaving: bool) -> None:
        """Mark an engine as leaving, or remove the mark."""
        state = self._engines.setdefault(engine, EngineState())
        state.is_marked_leaving = leaving
        self._change_count += 1

    def set_network_delay(
        self, engine: EngineKey, network_delay_ms: float
    ) -> None:
        """Set the one-way network delay to an engine, in ms."""
        self._network_delays[engine] = network_delay_ms

    def network_delay_ms(self, engine: EngineKey) -> float:
        """Return the one-way network delay to an engine; 0 if unknown."""
        return self._network_delays.get(engine, 0)

    def remove_engine(self, engine: EngineKey) -> None:
        """Remove an engine that is no longer part of the service."""
        self._engines.pop(engine, None)
        self._sorted_engines = ()
        self._network_delays.pop(engine, None)
        self._change_count += 1

    def usable_engines(
        self,
        model_weights_version: str,
        now: Millis,
    ) -> tuple[EngineKey, ...]:
        """Return the engines that may get work, in order of address.

        Returns the same tuple object until a change, so that callers can
        cache what they derive from it.
        """
        cached = self._usable_cache.get(model_weights_version)
        if (
            cached is not None
            and cached[0] == self._change_count
            and now < cached[1]
        ):
            return cached[2]
        return self._compute_usable(model_weights_version, now)

    def incarnation(self, engine: EngineKey) -> str:
        """Return the incarnation in the last report; empty if none."""
        state = self._engines.get(engine)
        if state is None or state.report is None:
            return ''
        return state.report.incarnation

    def last_report(self, engine: EngineKey) -> EngineReport | None:
        """Return the last report of an engine; ``None`` if none came yet."""
        state = self._engines.get(engine)
        return None if state is None else state.report

    def in_flight(self, engine: EngineKey) -> int:
        """Return the number of unfinished requests of this router."""
        state = self._engines.get(engine)
        return 0 if state is None else len(state.requests)

    def queue_ms(self, engine: EngineKey, now: Millis) -> float:
        """Return the expected wait of a new request for its prefill, in ms."""
        state = self._engines.get(engine)
        if state is None:
            return 0
        rate = self.prefill_rate
        queue = state.backlog_tokens(rate, now)
        if state.awaiting_first_token > REQUESTS_COVERED_BY_BACKLOG:
            uncovered = state.awaiting_first_token - REQUESTS_COVERED_BY_BACKLOG
            queue = max(
                queue, uncovered * self._work_tokens(self._bias.mean_tokens)
            )
        return queue / rate

    def utilization(self, engine: EngineKey, now: Millis) -> float:
        """Return the share of recent time that prefills took."""
        state = self._engines.get(engine)
        if state is None:
            return 0
        return state.recent_tokens(now) / (self.prefill_rate * RECENT_WINDOW)

    def prefill_ms(self, tokens: float) -> float:
        """Return the time of a prefill of this many tokens, in ms."""
        return tokens / self.prefill_rate + self._speed.fixed_ms

    def explain(self, engine: EngineKey, now: Millis) -> str:
        """Return a sentence that says whether the engine gets work, and why."""
        state = self._engines.get(engine)
        if state is None:
            return 'unknown engine'
        if state.report is None:
            return 'gets no work: no load report so far'
        age = now - state.report.measured_at
        if state.is_leaving:
            return 'gets no work: it is leaving'
        if now < state.suspended_until:
            return 'gets no work: it refused or broke a connection just now'
        if age > REPORT_LIFETIME:
            return f'gets no work: its last load report is {age} ms old'
        queue = self.queue_ms(engine, now)
        return (
            f'gets work: weights version {state.report.weights_version}, '
            f'queue {queue:.0f} ms, {len(state.requests)} own requests, '
            f'report {age} ms old'
        )

    def _work_tokens(self, tokens: float) -> float:
        """Return the work of a prefill, expressed in tokens at the rate.

        Includes the correction for cache misses and the fixed time.
        """
        expected = tokens * self._bias.correction
        return expected + self._speed.fixed_ms * self.prefill_rate

    def _compute_usable(
        self, version: str, now: Millis
    ) -> tuple[EngineKey, ...]:
        """Build and cache the tuple for ``usable_engines`` with its expiry."""
        usable: list[EngineKey] = []
        until = now + REPORT_LIFETIME
        for engine, state in sorted(self._engines.items()):
            report = state.report
            if report is None or report.weights_version != version:
                continue
            ends = report.measured_at + REPORT_LIFETIME
            if state.is_leaving or now > ends:
                continue
            if now < state.suspended_until:
                until = min(until, state.suspended_until)
                continue
            until = min(until, ends + 1)
            usable.append(engine)
        found = tuple(usable)
        cached = self._usable_cache.get(version)
        if cached is not None and cached[2] == found:
            found = cached[2]
        self._usable_cache[version] = (self._change_count, Millis(until), found)
        return found


def _affects_usability(
    previous: EngineReport | None, report: EngineReport
) -> bool:
    """Return whether a report may change which engines are usable."""
    if previous is None:
        return True
    before = (previous.incarnation, previous.weights_version, previous.role)
    after = (report.incarnation, report.weights_version, report.role)
    return before != after
