"""What is known about one level digest."""

from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey

#: Time over which the uses of a level are counted.
RATE_WINDOW = Millis(10_000)

#: Holders that are remembered of one level; the oldest are dropped.
MAXIMUM_HOLDERS = 16

#: Stands in the place of the work clock when the level was evicted.
EVICTED = -1.0


class LevelState:
    """Holders and uses of one level.

    Parameters
    ----------
    tokens
        Tokens from the start of the prompt.
    """

    __slots__ = ('holders', 'seen_at', 'tokens', 'uses')

    def __init__(self, tokens: int) -> None:
        """Start without holders."""
        self.tokens = tokens
        #: Engines with the time of the last known use, the work clock of the
        #: engine then, and the number of the update that told; a negative
        #: clock says that the engine evicted the level.
        self.holders: dict[EngineKey, tuple[Millis, float, int]] = {}
        #: Requests in the window, decayed, at ``seen_at``.
        self.uses: float = 0
        self.seen_at = Millis(0)

    def count(self, now: Millis) -> None:
        """Count one request for the level."""
        self.uses = self.decayed(now) + 1
        self.seen_at = max(now, self.seen_at)

    def decayed(self, now: Millis) -> float:
        """Return the requests in the window that ends now."""
        age = max(0, now - self.seen_at)
        return self.uses * max(0, 1 - age / RATE_WINDOW)

    def hold(
        self,
        engine: EngineKey,
        now: Millis,
        work: float,
        update: int,
    ) -> None:
        """Note that an engine uses the level."""
        holders = self.holders
        known = holders.get(engine)
        if known is not None and known[0] > now:
            return
        holders[engine] = (now, work, update)
        if len(holders) > MAXIMUM_HOLDERS:
            del holders[min(holders, key=holders.__getitem__)]

    def drop(self, engine: EngineKey, now: Millis, update: int) -> None:
        """Note that an engine does not hold the level."""
        self.holders[engine] = (now, EVICTED, update)
