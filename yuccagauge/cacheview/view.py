"""The expected cache contents, corrected by usage and by events."""

from collections import OrderedDict
from dataclasses import dataclass

from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.prefixes.base import RequestPrefix

#: Bound on the levels that a router remembers.
MAXIMUM_LEVELS = 20_000

#: Time over which the rate of a level is averaged.
RATE_WINDOW = Millis(10_000)

_MILLIS_PER_SECOND = 1000


@dataclass(slots=True)
class LevelState:
    """What is known about one level digest."""

    tokens: int
    #: Holders and the time at which each was last known to hold the level.
    holders: dict[tuple[EngineKey, str], Millis]
    #: Requests in the window, decayed, at ``seen_at``.
    uses: float = 0
    seen_at: Millis = Millis(0)

    def count(self, now: Millis) -> None:
        """Count one request for the level."""
        self.uses = self.decayed(now) + 1
        self.seen_at = max(now, self.seen_at)

    def decayed(self, now: Millis) -> float:
        """Return the requests in the window that ends now."""
        age = max(0, now - self.seen_at)
        return self.uses * max(0, 1 - age / RATE_WINDOW)


class CacheView:
    """Levels that engines are expected to hold, bounded in number.

    Parameters
    ----------
    maximum_levels
        The least recently used levels beyond this number are dropped.
    """

    def __init__(self, maximum_levels: int = MAXIMUM_LEVELS) -> None:
        """Start empty."""
        self._maximum = maximum_levels
        self._levels: OrderedDict[bytes, LevelState] = OrderedDict()
        self._incarnations: dict[EngineKey, str] = {}

    def __len__(self) -> int:
        """Return the number of levels."""
        return len(self._levels)

    def expected_tokens(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
    ) -> int:
        """Return how many tokens of the prompt the engine should hold."""
        holder = (engine, incarnation)
        for level in reversed(prefix.levels):
            state = self._levels.get(level.digest)
            if state is not None and holder in state.holders:
                return level.tokens
        return 0

    def observed(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
        cached_tokens: int,
        now: Millis,
    ) -> None:
        """Learn from the usage of an answer.

        After a request the engine holds its whole prompt.
        """
        self.expect(engine, incarnation, prefix, now)

    def expect(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
        now: Millis,
    ) -> None:
        """Expect the engine to hold the prompt, since it is sent there."""
        self._enter(engine, incarnation)
        for level in prefix.levels:
            state = self._touch(level.digest, level.tokens)
            state.holders[engine, incarnation] = now
            state.count(now)

    def holders(self, digest: bytes) -> tuple[tuple[EngineKey, str], ...]:
        """Return engines and incarnations that should hold a level."""
        state = self._levels.get(digest)
        return () if state is None else tuple(state.holders)

    def stored(
        self,
        engine: EngineKey,
        incarnation: str,
        digest: bytes,
        tokens: int,
        now: Millis,
    ) -> None:
        """Take the event that an engine stored a level."""
        self._enter(engine, incarnation)
        state = self._touch(digest, tokens)
        state.holders[engine, incarnation] = now

    def evicted(
        self,
        engine: EngineKey,
        incarnation: str,
        digest: bytes,
    ) -> None:
        """Take the event that an engine evicted a level."""
        state = self._levels.get(digest)
        if state is not None:
            state.holders.pop((engine, incarnation), None)

    def gap(self, engine: EngineKey, now: Millis) -> None:
        """Note that events of an engine were lost."""

    def forget(self, engine: EngineKey) -> None:
        """Drop everything that is expected of an engine."""
        self._incarnations.pop(engine, None)
        for state in self._levels.values():
            gone = [holder for holder in state.holders if holder[0] == engine]
            for holder in gone:
                del state.holders[holder]

    def hot(self, limit: int) -> tuple[HotPrefix, ...]:
        """Return the levels with most uses, to tell peers."""
        used = sorted(
            self._levels.items(),
            key=lambda entry: (-entry[1].uses, entry[0]),
        )
        found: list[HotPrefix] = []
        for digest, state in used[:limit]:
            found.extend(
                HotPrefix(
                    digest=digest,
                    tokens=state.tokens,
                    engine=engine,
                    incarnation=incarnation,
                    rate=state.uses * _MILLIS_PER_SECOND / RATE_WINDOW,
                )
                for engine, incarnation in state.holders
            )
        return tuple(found[:limit])

    def preload(
        self,
        prefixes: tuple[HotPrefix, ...],
        now: Millis = Millis(0),
    ) -> None:
        """Take the hot levels of a peer."""
        for hot in prefixes:
            self.stored(
                hot.engine,
                hot.incarnation,
                hot.digest,
                hot.tokens,
                now,
            )

    def _enter(self, engine: EngineKey, incarnation: str) -> None:
        """Drop what an earlier incarnation of the engine held."""
        known = self._incarnations.get(engine)
        if known != incarnation:
            if known is not None:
                self.forget(engine)
            self._incarnations[engine] = incarnation

    def _touch(self, digest: bytes, tokens: int) -> LevelState:
        state = self._levels.get(digest)
        if state is None:
            state = LevelState(tokens, {})
            self._levels[digest] = state
            if len(self._levels) > self._maximum:
                self._levels.popitem(last=False)
        else:
            self._levels.move_to_end(digest)
        return state
