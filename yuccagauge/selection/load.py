"""Load and health of one backend server, as one router knows them."""

from dataclasses import dataclass, field

from yuccagauge.clock import Millis

#: Half-life of a failure in the failure rate.
FAILURE_HALF_LIFE_MS = 2500.0

#: Weight of one outcome in the failure rate.
FAILURE_SAMPLE_WEIGHT = 0.25

#: Pause of a server that is unreachable for the first time, and the longest
#: pause.
INITIAL_UNREACHABLE_PAUSE = Millis(250)
MAXIMUM_UNREACHABLE_PAUSE = Millis(4000)

#: Pause of a server that rejected a call because it was full.
FULL_SERVER_PAUSE = Millis(60)

#: How long the load that a peer reported is used.
PEER_LOAD_LIFETIME = Millis(1500)

#: Number of peers that must report a server as unresponsive before this router
#: avoids it. A single peer may have lost its own network link.
MINIMUM_UNRESPONSIVE_REPORTS = 2

#: How long a report of an unresponsive server is used. After that, a call
#: tries the server again.
UNRESPONSIVE_REPORT_LIFETIME = Millis(1500)

#: Weight of one first output in the slowdown of an engine, and the bounds of
#: a sample.
SLOWDOWN_SAMPLE_WEIGHT = 0.15
MINIMUM_SLOWDOWN = 0.7
MAXIMUM_SLOWDOWN = 6.0

#: Nominal prefill time below which a first output says nothing about the
#: slowdown.
MINIMUM_PREFILL_SAMPLE_MS = 15.0

#: Weight of one answer in the moving average of the service time.
SERVICE_TIME_SAMPLE_WEIGHT = 0.1


@dataclass(slots=True, kw_only=True)
class ActiveCall:
    """A call of this router that is in flight at a server."""

    sent_at: Millis
    #: Prompt tokens that the server has to prefill.
    prefill_tokens: int = 0
    #: KV memory that the call may use, in tokens.
    kv_tokens: int = 0
    has_output: bool = False
    #: Whether another server may continue the call if this one resets the
    #: connection.
    is_movable: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoad:
    """Calls in flight of one peer, or of all peers together, at one server."""

    active_calls: int
    waiting_tokens: int
    #: Number of calls that no other server may continue.
    unmovable_calls: int
    #: KV memory that the calls may use, in tokens.
    kv_tokens: int = 0
    #: When the report was received; for a sum, the oldest report.
    received_at: Millis


@dataclass(slots=True)
class PeerCoverage:
    """Extrapolates the load of the peers that reported to all live peers.

    Load pattern: in a large fleet, a router receives a report of each peer
    only now and then. At any time it knows the calls of only some of its
    peers, and would underestimate the load of each server.
    """

    #: Number of live peers for each peer whose load is known.
    scale_factor: float = 1
    #: Number of live routers, including this one.
    routers: int = 1

    def update(self, live_peers: int, reporting_peers: int) -> None:
        """Set the factor from the peers that are alive and those that reported.

        Parameters
        ----------
        live_peers
            Number of live peers.
        reporting_peers
            Number of peers whose load is known.
        """
        self.scale_factor = max(1.0, live_peers / max(1, reporting_peers))
        self.routers = live_peers + 1


@dataclass(slots=True)
class ServerLoad:
    """Load and health of one server, as this router knows them."""

    peer_coverage: PeerCoverage = field(default_factory=PeerCoverage)
    own_calls: dict[str, ActiveCall] = field(default_factory=dict)
    #: When the server last sent anything to this router.
    last_activity_at: Millis = Millis(0)
    #: Time before which the server gets no call.
    paused_until: Millis = Millis(0)
    #: Time until which the server is expected to load weights.
    loading_until: Millis = Millis(0)
    #: Weights version by model, as the server's answers or peers reported.
    reported_weights: dict[str, int] = field(default_factory=dict)
    #: Moving average of the time that a plain call takes; 0 before the first
    #: answer.
    service_ms: float = 0
    #: How often the server was unreachable since its last successful call.
    unreachable_count: int = 0
    #: Ratio of the actual prefill time to the nominal one. Engines prefill
    #: slower than nominally while they decode other answers, and they differ
    #: from each other.
    slowdown: float = 1.3
    _peer_loads: dict[str, PeerLoad] = field(default_factory=dict)
    _peer_total: PeerLoad | None = None
    #: When each peer last reported that the server left a connection attempt
    #: unanswered.
    _unresponsive_reports: dict[str, Millis] = field(default_factory=dict)
    _failure_rate: float = 0
    _failure_rate_at: Millis = Millis(0)

    def update_peer_load(self, peer: str, load: PeerLoad) -> None:
        """Replace the calls that a peer has in flight at this server."""
        self._peer_loads[peer] = load
        self._peer_total = None

    def remove_peer_load(self, peer: str) -> None:
        """Remove the calls that a peer had in flight at this server."""
        if self._peer_loads.pop(peer, None) is not None:
            self._peer_total = None

    def active_calls(self, now: Millis) -> float:
        """Return the number of calls in flight of this router and its peers."""
        peers = self._total_peer_load(now)
        return (
            len(self.own_calls)
            + self.peer_coverage.scale_factor * peers.active_calls
        )

    def unmovable_calls(self, now: Millis) -> int:
        """Return how many calls in flight no other server may continue.

        The number is a lower bound: unlike ``active_calls``, it is not
        extrapolated to peers that have not reported.
        """
        own = sum(not call.is_movable for call in self.own_calls.values())
        return own + self._total_peer_load(now).unmovable_calls

    def waiting_tokens(self, now: Millis) -> float:
        """Return the prompt tokens that wait for prefill."""
        own = sum(
            call.prefill_tokens
            for call in self.own_calls.values()
            if not call.has_output
        )
        peers = self._total_peer_load(now)
        return own + self.peer_coverage.scale_factor * peers.waiting_tokens

    def kv_tokens(self, now: Millis) -> float:
        """Return the KV memory that the calls in flight may use, in tokens."""
        own = sum(call.kv_tokens for call in self.own_calls.values())
        peers = self._total_peer_load(now)
        return own + self.peer_coverage.scale_factor * peers.kv_tokens

    def time_without_response(self, now: Millis) -> Millis:
        """Return for how long a call has waited without any response.

        The time starts when the oldest call without output was sent, or when
        the server last sent anything, whichever is later.
        """
        waiting = [
            call.sent_at
            for call in self.own_calls.values()
            if not call.has_output
        ]
        if not waiting:
            return Millis(0)
        return Millis(now - max(min(waiting), self.last_activity_at))

    def record_unresponsive_report(self, peer: str, now: Millis) -> None:
        """Record that a peer's connection attempt was left unanswered."""
        self._unresponsive_reports[peer] = now

    def is_reported_unresponsive(self, now: Millis) -> bool:
        """Return whether enough peers reported the server as unresponsive.

        Load pattern: a server stops responding while the directory still
        lists it. Without the reports, each of many routers would lose a call
        before it noticed. A busy server still accepts connections, so nobody
        reports it. Reports from before the last response to this router are
        ignored.
        """
        valid_after = max(
            self.last_activity_at, Millis(now - UNRESPONSIVE_REPORT_LIFETIME)
        )
        reports = [
            reported_at
            for reported_at in self._unresponsive_reports.values()
            if reported_at > valid_after
        ]
        return len(reports) >= MINIMUM_UNRESPONSIVE_REPORTS

    def failure_rate(self, now: Millis) -> float:
        """Return the share of recent calls that failed, from 0 to 1."""
        age = max(0, now - self._failure_rate_at)
        return self._failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE_MS)

    def record_outcome(self, *, failed: bool, now: Millis) -> None:
        """Update the failure rate by the outcome of one call."""
        rate = self.failure_rate(now)
        sample = float(failed)
        self._failure_rate = rate + FAILURE_SAMPLE_WEIGHT * (sample - rate)
        self._failure_rate_at = now
        if not failed:
            self.unreachable_count = 0

    def record_service_time(self, duration: Millis) -> None:
        """Update the service time by the duration of one plain call."""
        if not self.service_ms:
            self.service_ms = float(duration)
        self.service_ms += SERVICE_TIME_SAMPLE_WEIGHT * (
            duration - self.service_ms
        )

    def record_first_output(
        self, elapsed_ms: float, nominal_prefill_ms: float
    ) -> None:
        """Update the slowdown by the time to one first output.

        Parameters
        ----------
        elapsed_ms
            Time that the engine spent on this and earlier prompts.
        nominal_prefill_ms
            Time that it should have spent on them by its data sheet.
        """
        if nominal_prefill_ms < MINIMUM_PREFILL_SAMPLE_MS:
            return
        sample = elapsed_ms / nominal_prefill_ms
        sample = max(MINIMUM_SLOWDOWN, min(MAXIMUM_SLOWDOWN, sample))
        self.slowdown += SLOWDOWN_SAMPLE_WEIGHT * (sample - self.slowdown)

    def is_available(self, now: Millis) -> bool:
        """Return whether the server is neither paused nor loading weights."""
        return now >= self.paused_until and now >= self.loading_until

    def record_unreachable(self, now: Millis) -> None:
        """Pause a server that cannot be reached at its address.

        The pause doubles each time until a call succeeds.
        """
        pause = min(
            MAXIMUM_UNREACHABLE_PAUSE,
            INITIAL_UNREACHABLE_PAUSE * 2**self.unreachable_count,
        )
        self.unreachable_count += 1
        self.paused_until = max(self.paused_until, Millis(now + pause))

    def record_full(self, now: Millis) -> None:
        """Pause a server that rejected a call because it was full."""
        self.paused_until = max(
            self.paused_until, Millis(now + FULL_SERVER_PAUSE)
        )

    def _total_peer_load(self, now: Millis) -> PeerLoad:
        """Return the sum of the current peer loads.

        Each selection reads the load of every server. The sum is therefore
        cached until a peer's load changes or expires.
        """
        total = self._peer_total
        if total is None or now - total.received_at >= PEER_LOAD_LIFETIME:
            total = self._sum_peer_loads(now)
            self._peer_total = total
        return total

    def _sum_peer_loads(self, now: Millis) -> PeerLoad:
        recent = {
            peer: load
            for peer, load in self._peer_loads.items()
            if now - load.received_at < PEER_LOAD_LIFETIME
        }
        self._peer_loads = recent
        loads = recent.values()
        return PeerLoad(
            active_calls=sum(load.active_calls for load in loads),
            waiting_tokens=sum(load.waiting_tokens for load in loads),
            unmovable_calls=sum(load.unmovable_calls for load in loads),
            kv_tokens=sum(load.kv_tokens for load in loads),
            received_at=min((load.received_at for load in loads), default=now),
        )
