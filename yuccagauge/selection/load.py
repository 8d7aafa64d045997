"""What a router knows about the load and health of one backend server."""

from dataclasses import dataclass, field

from yuccagauge.clock import Millis

#: Half-life of a failure in the failure rate, in ms.
FAILURE_HALF_LIFE = 2500.0

#: Weight of one outcome in the failure rate.
FAILURE_WEIGHT = 0.25

#: First pause of a server that refused a connection, and the longest one.
FIRST_PAUSE = Millis(250)
LONGEST_PAUSE = Millis(4000)

#: Pause of a server that refused a call as full, if it does not say more.
FULL_PAUSE = Millis(60)

#: What a peer said about its calls is believed for this long.
PEER_LOAD_LIFETIME = Millis(1500)

#: Peers that have to see a server silent before this router leaves it too:
#: one peer alone may have lost its own link.
LEAST_WITNESSES = 2

#: What a peer said about a silent server is believed for this long; then a
#: call tries it again.
WITNESS_LIFETIME = Millis(1500)

#: Weight of one first output in the slowdown of an engine, and its bounds.
SLOWDOWN_WEIGHT = 0.15
LEAST_SLOWDOWN = 0.7
LARGEST_SLOWDOWN = 6.0

#: Expected work below which a first output says nothing of the slowdown,
#: in ms.
LEAST_WORK_MS = 15.0

#: Weight of one answer in the mean service time.
SERVICE_TIME_WEIGHT = 0.1


@dataclass(slots=True, kw_only=True)
class ActiveCall:
    """A call of this router that a server works on."""

    sent_at: Millis
    #: Prompt tokens that the server has to read.
    prefill_tokens: int = 0
    #: Tokens of KV memory that the call may take.
    kv_tokens: int = 0
    has_output: bool = False
    #: Whether another server may continue it if this one resets it.
    is_movable: bool = False


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerLoad:
    """What one peer, or all of them, have in flight at one server."""

    active: int
    waiting_tokens: int
    #: Calls that no other server may continue.
    unmovable: int
    #: KV memory that the calls may take, in tokens.
    kv_tokens: int = 0
    #: When it was heard; of a sum, when the oldest part was heard.
    received_at: Millis


@dataclass(slots=True)
class PeerCoverage:
    """How much of the peers' calls is known at a time.

    Load pattern: a router of a large fleet hears each peer only now and
    then, so at any time it knows the calls of a part of its peers.
    """

    #: Peers that are alive for each one whose calls are known.
    factor: float = 1

    def update(self, alive: int, known: int) -> None:
        """Follow the number of peers that are alive and that are known."""
        self.factor = max(1.0, alive / max(1, known))


@dataclass(slots=True)
class ServerLoad:
    """Load and health of one server, as far as this router knows."""

    peer_coverage: PeerCoverage = field(default_factory=PeerCoverage)
    calls: dict[str, ActiveCall] = field(default_factory=dict)
    #: When the server last sent anything.
    last_activity_at: Millis = Millis(0)
    #: The server gets no call before this time.
    paused_until: Millis = Millis(0)
    #: Until when it loads weights, as far as is known.
    loading_until: Millis = Millis(0)
    #: Weights version that it showed in an answer, by model.
    reported_weights: dict[str, int] = field(default_factory=dict)
    #: Mean time that a plain call takes, in ms; 0 before the first.
    service_ms: float = 0
    refusals_in_row: int = 0
    #: How much longer prompts take than by the data sheet: engines read
    #: slower beside running answers, and differ from each other.
    slowdown: float = 1.3
    _peers: dict[str, PeerLoad] = field(default_factory=dict)
    _peer_sum: PeerLoad | None = None
    #: When peers told that it leaves their connection attempts unanswered.
    _witnesses: dict[str, Millis] = field(default_factory=dict)
    _failure_rate: float = 0
    _failure_at: Millis = Millis(0)

    def update_peer_load(self, name: str, load: PeerLoad) -> None:
        """Take what a peer has in flight here."""
        self._peers[name] = load
        self._peer_sum = None

    def remove_peer_load(self, name: str) -> None:
        """Drop what a peer had in flight here."""
        if self._peers.pop(name, None) is not None:
            self._peer_sum = None

    def active_calls(self, now: Millis) -> float:
        """Return the calls in flight of this router and its peers."""
        peers = self._sum_of_peers(now)
        return len(self.calls) + self.peer_coverage.factor * peers.active

    def unmovable_calls(self, now: Millis) -> int:
        """Return the calls in flight that no other server may continue."""
        own = sum(not call.is_movable for call in self.calls.values())
        return own + self._sum_of_peers(now).unmovable

    def waiting_tokens(self, now: Millis) -> float:
        """Return the prompt tokens that wait to be read."""
        own = sum(
            call.prefill_tokens
            for call in self.calls.values()
            if not call.has_output
        )
        peers = self._sum_of_peers(now)
        return own + self.peer_coverage.factor * peers.waiting_tokens

    def kv_tokens(self, now: Millis) -> float:
        """Return the KV memory that the calls in flight take, in tokens."""
        own = sum(call.kv_tokens for call in self.calls.values())
        peers = self._sum_of_peers(now)
        return own + self.peer_coverage.factor * peers.kv_tokens

    def time_without_response(self, now: Millis) -> Millis:
        """Return for how long a call has waited without a sign of life."""
        waiting = [
            call.sent_at for call in self.calls.values() if not call.has_output
        ]
        if not waiting:
            return Millis(0)
        return Millis(now - max(min(waiting), self.last_activity_at))

    def record_unresponsive_report(self, peer: str, now: Millis) -> None:
        """Take that the server left a peer's connection attempt unanswered."""
        self._witnesses[peer] = now

    def is_reported_unresponsive(self, now: Millis) -> bool:
        """Return whether peers see the server silent.

        Load pattern: a server falls silent while its entry stays, and each
        of many routers would lose a call to see it. A busy server accepts
        connections, so it is never told silent. What this router hears from
        the server itself later counts more.
        """
        oldest = max(self.last_activity_at, Millis(now - WITNESS_LIFETIME))
        witnesses = [at for at in self._witnesses.values() if at > oldest]
        return len(witnesses) >= LEAST_WITNESSES

    def failure_rate(self, now: Millis) -> float:
        """Return the recent share of calls that failed, 0 to 1."""
        age = max(0, now - self._failure_at)
        return self._failure_rate * 0.5 ** (age / FAILURE_HALF_LIFE)

    def record_outcome(self, *, failed: bool, now: Millis) -> None:
        """Count one call that failed or not."""
        rate = self.failure_rate(now)
        sample = float(failed)
        self._failure_rate = rate + FAILURE_WEIGHT * (sample - rate)
        self._failure_at = now
        if not failed:
            self.refusals_in_row = 0

    def record_service_time(self, duration: Millis) -> None:
        """Count how long a plain call took."""
        if not self.service_ms:
            self.service_ms = float(duration)
        self.service_ms += SERVICE_TIME_WEIGHT * (duration - self.service_ms)

    def record_first_output(
        self, took_ms: float, nominal_prefill_ms: float
    ) -> None:
        """Learn the slowdown from one first output.

        Parameters
        ----------
        took_ms
            What the engine spent on this and earlier prompts.
        nominal_prefill_ms
            The same by its data sheet.
        """
        if nominal_prefill_ms < LEAST_WORK_MS:
            return
        sample = took_ms / nominal_prefill_ms
        sample = max(LEAST_SLOWDOWN, min(LARGEST_SLOWDOWN, sample))
        self.slowdown += SLOWDOWN_WEIGHT * (sample - self.slowdown)

    def record_unreachable(self, now: Millis) -> None:
        """Pause a server that accepts no connection, longer each time."""
        pause = min(LONGEST_PAUSE, FIRST_PAUSE * 2**self.refusals_in_row)
        self.refusals_in_row += 1
        self.paused_until = max(self.paused_until, Millis(now + pause))

    def record_full(self, now: Millis) -> None:
        """Pause a server that refused a call because it is full."""
        self.paused_until = max(self.paused_until, Millis(now + FULL_PAUSE))

    def _sum_of_peers(self, now: Millis) -> PeerLoad:
        """Return the sum of what peers said lately.

        A choice looks at every server, so the sum is kept until a peer's
        calls change or become too old.
        """
        found = self._peer_sum
        if found is None or now - found.received_at >= PEER_LOAD_LIFETIME:
            found = self._add_up_peers(now)
            self._peer_sum = found
        return found

    def _add_up_peers(self, now: Millis) -> PeerLoad:
        known = {
            name: load
            for name, load in self._peers.items()
            if now - load.received_at < PEER_LOAD_LIFETIME
        }
        self._peers = known
        loads = known.values()
        return PeerLoad(
            active=sum(load.active for load in loads),
            waiting_tokens=sum(load.waiting_tokens for load in loads),
            unmovable=sum(load.unmovable for load in loads),
            kv_tokens=sum(load.kv_tokens for load in loads),
            received_at=min((load.received_at for load in loads), default=now),
        )
