"""The load of all engines that a router may use."""

from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey, EngineReport
from yuccagauge.load.bias import WorkBias
from yuccagauge.load.engine import RECENT_WINDOW, EngineState, OwnRequest
from yuccagauge.load.rate import DEFAULT_PREFILL_RATE, PrefillSpeed

#: With more own requests than this without a first token, an engine has at
#: least a mean prefill to do for each. Expectations of cached prefixes, and
#: reports that lag, would otherwise admit a burst as if it cost nothing.
FEW_UNSTARTED = 3

#: An engine without a report for this long gets no work.
REPORT_LIFETIME = Millis(15_000)

#: An engine that refused or broke a connection gets no work until a report
#: that was measured later shows that it is back, or for this long.
SUSPENSION = Millis(10_000)


class EngineTable:
    """Reports, own requests in flight, and who may get work.

    Parameters
    ----------
    prefill_rate
        Prefill rate of an engine that is assumed at first, in tokens/ms.
    """

    def __init__(self, prefill_rate: float = DEFAULT_PREFILL_RATE) -> None:
        """Start without engines."""
        self._speed = PrefillSpeed(prefill_rate)
        self._bias = WorkBias()
        self._engines: dict[EngineKey, EngineState] = {}
        self._network_delays: dict[EngineKey, float] = {}
        self._known: tuple[EngineKey, ...] = ()
        self._version = 0
        self._usable: dict[str, tuple[int, Millis, tuple[EngineKey, ...]]] = {}

    @property
    def engines(self) -> tuple[EngineKey, ...]:
        """All known engines, usable or not, in order of address.

        The same tuple object is returned until an engine is added or
        forgotten.
        """
        if len(self._known) != len(self._engines):
            self._known = tuple(sorted(self._engines))
        return self._known

    @property
    def prefill_rate(self) -> float:
        """The prefill rate that estimates assume, in tokens/ms."""
        return self._speed.tokens_per_ms

    def update_report(self, report: EngineReport, now: Millis) -> None:
        """Take a report, from the engine itself or shared by a peer.

        A report that is older than the one that is held is ignored.
        """
        state = self._engines.setdefault(report.engine, EngineState())
        previous = state.report
        if previous is not None:
            if report.measured_at < previous.measured_at:
                return
            if previous.incarnation != report.incarnation:
                state.restart()
        state.accept(report, self.prefill_rate, now)
        is_back = report.measured_at > state.failed_at
        if state.suspended_until and is_back:
            state.suspended_until = Millis(0)
            self._version += 1
        if _changes_use(previous, report):
            self._version += 1

    def record_send(
        self,
        engine: EngineKey,
        request_id: str,
        tokens: int,
        now: Millis,
    ) -> None:
        """Count a request that is sent to an engine.

        ``tokens`` are those that the engine has to compute: the prompt
        without the part that it is expected to hold.
        """
        state = self._engines.setdefault(engine, EngineState())
        has_waited = state.backlog(self.prefill_rate, now) > 0
        state.unstarted += 1
        state.requests[request_id] = OwnRequest(tokens, now, has_waited)
        state.add(self._work(tokens), self.prefill_rate, now)

    def record_peer_send(
        self,
        engine: EngineKey,
        tokens: int,
        sent_at: Millis,
    ) -> None:
        """Count a request that another router sent to an engine."""
        state = self._engines.get(engine)
        if state is not None:
            state.add(self._work(tokens), self.prefill_rate, sent_at)

    def record_first_token(
        self, engine: EngineKey, request_id: str, now: Millis
    ) -> None:
        """Note the first token of a request, which ends its prefill."""
        state = self._engines.get(engine)
        if state is not None and request_id in state.requests:
            if state.requests[request_id].started_at is None:
                state.unstarted -= 1
            state.requests[request_id].started_at = now

    def record_end(
        self,
        engine: EngineKey,
        request_id: str,
        now: Millis,
        computed_tokens: int = 0,
    ) -> None:
        """Forget a request that ended in whatever way.

        ``computed_tokens`` are the prompt tokens that the engine did not
        find in its cache, by the usage of the answer; 0 if not known.
        """
        state = self._engines.get(engine)
        if state is None:
            return
        request = state.requests.pop(request_id, None)
        if request is not None and request.started_at is None:
            state.unstarted -= 1
        if request is not None and request.started_at is not None:
            if computed_tokens > 0:
                self._bias.learn(request.tokens, computed_tokens)
            waited = request.started_at - request.sent_at
            network = 2 * self.network_delay_ms(engine)
            self._speed.learn(
                computed_tokens,
                waited - network,
                has_waited=request.has_waited,
            )

    def suspend_engine(self, engine: EngineKey, now: Millis) -> None:
        """Suspend an engine that refused or broke a connection."""
        state = self._engines.get(engine)
        if state is not None:
            state.failed_at = now
            state.suspended_until = Millis(now + SUSPENSION)
            self._version += 1

    def set_leaving(self, engine: EngineKey, leaving: bool) -> None:
        """Take an engine out of use, or back into it."""
        state = self._engines.setdefault(engine, EngineState())
        state.leaving = leaving
        self._version += 1

    def set_network_delay(
        self, engine: EngineKey, network_delay_ms: float
    ) -> None:
        """Take the one-way network delay to an engine, in ms."""
        self._network_delays[engine] = network_delay_ms

    def network_delay_ms(self, engine: EngineKey) -> float:
        """Return the one-way network delay to an engine; 0 if not known."""
        return self._network_delays.get(engine, 0)

    def remove_engine(self, engine: EngineKey) -> None:
        """Drop an engine that is no longer part of the service."""
        self._engines.pop(engine, None)
        self._known = ()
        self._network_delays.pop(engine, None)
        self._version += 1

    def usable_engines(
        self,
        model_weights_version: str,
        now: Millis,
    ) -> tuple[EngineKey, ...]:
        """Return the engines that may get work, in order of address.

        The same tuple object is returned until something changes, so that
        callers may keep what they derive from it.
        """
        held = self._usable.get(model_weights_version)
        if held is not None and held[0] == self._version and now < held[1]:
            return held[2]
        return self._collect(model_weights_version, now)

    def incarnation(self, engine: EngineKey) -> str:
        """Return the incarnation in the last report; empty if none."""
        state = self._engines.get(engine)
        if state is None or state.report is None:
            return ''
        return state.report.incarnation

    def last_report(self, engine: EngineKey) -> EngineReport | None:
        """Return the last report of an engine."""
        state = self._engines.get(engine)
        return None if state is None else state.report

    def in_flight(self, engine: EngineKey) -> int:
        """Return the number of own requests that have not finished."""
        state = self._engines.get(engine)
        return 0 if state is None else len(state.requests)

    def queue_ms(self, engine: EngineKey, now: Millis) -> float:
        """Estimate how long a new request waits for its prefill, in ms."""
        state = self._engines.get(engine)
        if state is None:
            return 0
        rate = self.prefill_rate
        queue = state.backlog(rate, now)
        if state.unstarted > FEW_UNSTARTED:
            uncounted = state.unstarted - FEW_UNSTARTED
            queue = max(queue, uncounted * self._work(self._bias.mean_tokens))
        return queue / rate

    def utilization(self, engine: EngineKey, now: Millis) -> float:
        """Return the share of the last seconds that prefills took."""
        state = self._engines.get(engine)
        if state is None:
            return 0
        return state.recent(now) / (self.prefill_rate * RECENT_WINDOW)

    def prefill_ms(self, tokens: float) -> float:
        """Return the time that an engine needs to compute tokens, in ms."""
        return tokens / self.prefill_rate + self._speed.fixed_ms

    def explain(self, engine: EngineKey, now: Millis) -> str:
        """Say in one sentence whether the engine gets work, and why."""
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

    def _work(self, tokens: float) -> float:
        """Return tokens that take as long as the prefill is going to."""
        expected = tokens * self._bias.factor
        return expected + self._speed.fixed_ms * self.prefill_rate

    def _collect(self, version: str, now: Millis) -> tuple[EngineKey, ...]:
        """Build the tuple for ``usable_engines`` and note how long it holds."""
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
        held = self._usable.get(version)
        if held is not None and held[2] == found:
            found = held[2]
        self._usable[version] = (self._version, Millis(until), found)
        return found


def _changes_use(previous: EngineReport | None, report: EngineReport) -> bool:
    if previous is None:
        return True
    before = (previous.incarnation, previous.weights_version, previous.role)
    after = (report.incarnation, report.weights_version, report.role)
    return before != after
