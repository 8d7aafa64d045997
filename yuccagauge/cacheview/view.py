"""The expected cache contents, corrected by usage and by events."""

from collections import OrderedDict
from dataclasses import dataclass

from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.cacheview.level import RATE_WINDOW, LevelState
from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.prefixes.base import RequestPrefix

#: Bound on the levels that a router remembers.
MAXIMUM_LEVELS = 20_000

#: Age at which engines are taken to evict until events or usage tell.
DEFAULT_LIFETIME = Millis(10_000)

#: Bounds on the learned age.
SHORTEST_LIFETIME = Millis(500)
LONGEST_LIFETIME = Millis(120_000)

#: Weight of one sample in the learned age.
LIFETIME_WEIGHT = 0.02

_MILLIS_PER_SECOND = 1000


@dataclass(frozen=True, slots=True)
class Match:
    """What one engine is expected to hold of a prompt."""

    #: Tokens of the deepest level.
    tokens: int
    #: Time since the engine was last known to use it, in ms.
    age: int


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
        self._lifetimes: dict[EngineKey, float] = {}
        self._now = Millis(0)

    def __len__(self) -> int:
        """Return the number of levels."""
        return len(self._levels)

    def lifetime(self, engine: EngineKey) -> float:
        """Return the age at which an engine evicts what it does not use."""
        return self._lifetimes.get(engine, DEFAULT_LIFETIME)

    def matches(
        self,
        prefix: RequestPrefix,
        now: Millis,
    ) -> dict[EngineKey, Match]:
        """Return what each engine is expected to hold, if anything.

        A level that is known to be evicted ends the match, since engines
        hold no level without its parents. A level that is not known does
        not, since many events are never seen.
        """
        found: dict[EngineKey, Match] = {}
        ended: set[EngineKey] = set()
        for level in prefix.levels:
            state = self._levels.get(level.digest)
            if state is None:
                continue
            for engine, used_at in state.holders.items():
                if engine in ended:
                    continue
                if used_at < 0:
                    ended.add(engine)
                elif now - used_at < self.lifetime(engine):
                    found[engine] = Match(level.tokens, now - used_at)
        return found

    def expected_tokens(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
    ) -> int:
        """Return how many tokens of the prompt the engine should hold."""
        if self._incarnations.get(engine) != incarnation:
            return 0
        match = self.matches(prefix, self._now).get(engine)
        return 0 if match is None else match.tokens

    def uses(self, digest: bytes, now: Millis) -> float:
        """Return the recent requests for a level at this router."""
        state = self._levels.get(digest)
        return 0 if state is None else state.decayed(now)

    def observed(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
        cached_tokens: int,
        now: Millis,
    ) -> None:
        """Learn from the usage of an answer.

        A level that was expected and not found shortens the lifetime; after
        the request the engine holds the whole prompt.
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
        self._enter(engine, incarnation, now)
        for level in prefix.levels:
            self._touch(level.digest, level.tokens).hold(engine, now)

    def count(self, prefix: RequestPrefix, now: Millis) -> None:
        """Count a request for its levels."""
        for level in prefix.levels:
            self._touch(level.digest, level.tokens).count(now)

    def stored(
        self,
        engine: EngineKey,
        incarnation: str,
        digest: bytes,
        tokens: int,
        now: Millis,
    ) -> None:
        """Take the event that an engine stored a level."""
        self._enter(engine, incarnation, now)
        self._touch(digest, tokens).hold(engine, now)

    def evicted(
        self,
        engine: EngineKey,
        incarnation: str,
        digest: bytes,
    ) -> None:
        """Take the event that an engine evicted a level."""
        state = self._levels.get(digest)
        if state is None or self._incarnations.get(engine) != incarnation:
            return
        used_at = state.holders.get(engine, -1)
        if used_at >= 0:
            self._learn_lifetime(engine, self._now - used_at)
        state.drop(engine, self._now)

    def gap(self, engine: EngineKey, now: Millis) -> None:
        """Note that events of an engine were lost.

        Nothing is dropped: an expectation that is wrong costs time once,
        and ends with its lifetime.
        """
        self._now = max(now, self._now)

    def forget(self, engine: EngineKey) -> None:
        """Drop everything that is expected of an engine."""
        self._incarnations.pop(engine, None)
        for state in self._levels.values():
            state.holders.pop(engine, None)

    def hot(self, limit: int) -> tuple[HotPrefix, ...]:
        """Return the levels with most uses and their holders, for peers."""
        used = sorted(
            self._levels.items(),
            key=lambda entry: (-entry[1].decayed(self._now), entry[0]),
        )
        found: list[HotPrefix] = []
        for digest, state in used[:limit]:
            rate = state.decayed(self._now) * _MILLIS_PER_SECOND / RATE_WINDOW
            found.extend(
                HotPrefix(
                    digest=digest,
                    tokens=state.tokens,
                    engine=engine,
                    incarnation=self._incarnations.get(engine, ''),
                    rate=rate,
                )
                for engine, used_at in state.holders.items()
                if used_at >= 0
            )
        return tuple(found[:limit])

    def preload(
        self,
        prefixes: tuple[HotPrefix, ...],
        now: Millis | None = None,
    ) -> None:
        """Take the hot levels of a peer."""
        at = self._now if now is None else now
        for hot in prefixes:
            self.stored(
                hot.engine,
                hot.incarnation,
                hot.digest,
                hot.tokens,
                at,
            )

    def _learn_lifetime(self, engine: EngineKey, age: float) -> None:
        known = self.lifetime(engine)
        learned = known + LIFETIME_WEIGHT * (age - known)
        self._lifetimes[engine] = min(
            max(learned, SHORTEST_LIFETIME),
            LONGEST_LIFETIME,
        )

    def _enter(
        self,
        engine: EngineKey,
        incarnation: str,
        now: Millis,
    ) -> None:
        """Drop what an earlier incarnation of the engine held."""
        self._now = max(now, self._now)
        known = self._incarnations.get(engine)
        if known != incarnation:
            if known is not None:
                self.forget(engine)
            self._incarnations[engine] = incarnation

    def _touch(self, digest: bytes, tokens: int) -> LevelState:
        state = self._levels.get(digest)
        if state is None:
            state = LevelState(tokens)
            self._levels[digest] = state
            if len(self._levels) > self._maximum:
                self._levels.popitem(last=False)
        else:
            self._levels.move_to_end(digest)
        return state
