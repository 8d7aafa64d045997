"""Which engine a call tries next."""

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import Call
from yuccagauge.dispatch.service import ServiceState
from yuccagauge.placement.base import Candidate, Decision
from yuccagauge.quarantine.base import QuarantineStatus
from yuccagauge.settings.options import Endpoint


class CandidateList:
    """Engines in the order of the latest decision, each tried once.

    Parameters
    ----------
    service
        Places the call.
    call
        The call.
    """

    def __init__(self, service: ServiceState, call: Call) -> None:
        """Start without a decision."""
        self._service = service
        self._call = call
        self._tried: set[Endpoint] = set()
        self._latest = Decision(())
        self._rounds = 0

    @property
    def latest(self) -> Decision:
        """The latest decision."""
        return self._latest

    def first(self, now: Millis) -> Candidate | None:
        """Place the call; ``None`` if no engine can take it."""
        return self._place(now)

    def following(self, now: Millis) -> Candidate | None:
        """Return the next engine that was not tried yet."""
        cache_scope = self._call.chat.prefix.cache_scope
        blocked = self._blocked(now)
        for candidate in self._latest.candidates:
            if candidate.engine in blocked:
                continue
            version = cache_scope.weights_version
            if self._service.is_usable(candidate, version, now):
                self._tried.add(candidate.engine)
                return candidate
        return self._place(now)

    def put_back(self, candidate: Candidate) -> None:
        """Take it that an engine was not tried after all."""
        self._tried.discard(candidate.engine)

    def start_again(self) -> int:
        """Allow all engines once more; return how often this was done."""
        self._tried.clear()
        self._rounds += 1
        return self._rounds

    def _place(self, now: Millis) -> Candidate | None:
        decision = self._service.place(self._call, self._blocked(now), now)
        if not decision.candidates:
            return None
        self._latest = decision
        chosen = decision.candidates[0]
        self._tried.add(chosen.engine)
        return chosen

    def _blocked(self, now: Millis) -> frozenset[Endpoint]:
        """Return engines that were tried or run another suspect."""
        quarantine = self._service.quarantine
        status = quarantine.status(self._call.fingerprint, now)
        if status is QuarantineStatus.CLEAR:
            return frozenset(self._tried)
        occupied = quarantine.engines_with_other_suspects(
            self._call.fingerprint, now
        )
        return occupied.union(self._tried)
