"""State of one prefix level: its holders and how often it is requested."""

from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey

#: Time over which the requests for a level are counted.
RATE_WINDOW = Millis(10_000)

#: Maximum holders of one level; beyond this the oldest is dropped.
MAXIMUM_HOLDERS = 16

#: Value instead of the computed tokens if the engine evicted the level.
EVICTED = -1.0


class LevelState:
    """Tracks the holders of a prefix level and the requests for it.

    Parameters
    ----------
    tokens
        Tokens from the start of the prompt to the end of the level.
    """

    __slots__ = ('holders', 'requested_at', 'tokens', 'requests')

    def __init__(self, tokens: int) -> None:
        """Create a level without holders."""
        self.tokens = tokens
        #: By engine: the time of the last known use, the number of tokens
        #: that the engine had computed by then, and the number of the update
        #: that reported it. ``EVICTED`` instead of the tokens means that the
        #: engine evicted the level.
        self.holders: dict[EngineKey, tuple[Millis, float, int]] = {}
        #: Decayed number of requests in the window until ``requested_at``.
        self.requests: float = 0
        self.requested_at = Millis(0)

    def count_request(self, now: Millis) -> None:
        """Count one request for the level."""
        self.requests = self.recent_requests(now) + 1
        self.requested_at = max(now, self.requested_at)

    def recent_requests(self, now: Millis) -> float:
        """Return the decayed number of requests in the window until now."""
        age = max(0, now - self.requested_at)
        return self.requests * max(0, 1 - age / RATE_WINDOW)

    def record_use(
        self,
        engine: EngineKey,
        now: Millis,
        computed_tokens: float,
        update: int,
    ) -> None:
        """Record that an engine used the level, unless a later use is known."""
        holders = self.holders
        known = holders.get(engine)
        if known is not None and known[0] > now:
            return
        holders[engine] = (now, computed_tokens, update)
        if len(holders) > MAXIMUM_HOLDERS:
            del holders[min(holders, key=holders.__getitem__)]

    def record_eviction(
        self, engine: EngineKey, now: Millis, update: int
    ) -> None:
        """Record that an engine evicted the level."""
        self.holders[engine] = (now, EVICTED, update)
