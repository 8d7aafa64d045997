"""The expected cache contents, corrected by usage and by events."""

from collections import OrderedDict
from collections.abc import Iterable

from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.cacheview.level import EVICTED, RATE_WINDOW, LevelState
from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.prefixes.base import PrefixLevel, RequestPrefix

#: Bytes of a digest by which levels are known. A collision costs one wrong
#: expectation, and notices to peers carry no more than this.
KEY_BYTES = 6

#: Bound on the levels that a router remembers.
MAXIMUM_LEVELS = 20_000

#: Tokens that an engine computes between the last use of a level and its
#: eviction, until events tell. Engines evict by what comes in and not by
#: time, so an idle engine keeps a level for long.
DEFAULT_LIFETIME = 30_000.0

#: The same as a share of the capacity, where that is known. Prefixes that
#: are used again and again hold the rest.
LIFETIME_OF_CAPACITY = 0.5

#: Bounds on the learned lifetime, in tokens.
SHORTEST_LIFETIME = 1000.0
LONGEST_LIFETIME = 10_000_000.0

#: Weight of one sample in the learned lifetime.
LIFETIME_WEIGHT = 0.02

# A level is surely held up to this share of the lifetime, and the chance
# falls to its least value at the other share. It never falls to zero: with
# no better engine known, an old holder is still the best guess.
SURE_SHARE = 0.5
DOUBTFUL_SHARE = 2.0
LEAST_CHANCE = 0.1

#: An eviction is older than a use this recent, since events are late.
EVENT_GRACE = Millis(1000)

_MILLIS_PER_SECOND = 1000

_NOT_HELD = (Millis(0), EVICTED, 0)


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
        #: Tokens that each engine has computed, as far as is known.
        self._work: dict[EngineKey, float] = {}
        self._now = Millis(0)
        #: Numbers what is learned, in the order in which it is learned.
        self._update = 0

    def __len__(self) -> int:
        """Return the number of levels."""
        return len(self._levels)

    def lifetime(self, engine: EngineKey) -> float:
        """Return the tokens after which an engine evicts a level."""
        return self._lifetimes.get(engine, DEFAULT_LIFETIME)

    def set_capacity(self, engine: EngineKey, tokens: int) -> None:
        """Take the size of a cache, until evictions tell its lifetime."""
        if engine not in self._lifetimes and tokens > 0:
            self._lifetimes[engine] = LIFETIME_OF_CAPACITY * tokens

    def matches(self, prefix: RequestPrefix) -> dict[EngineKey, float]:
        """Return the tokens that each engine is expected to hold, if any.

        Engines hold no level without its parents. So an eviction ends the
        match at levels that were last heard of before it; those heard of
        later show that the parent is back, and that its event was lost.
        """
        found: dict[EngineKey, float] = {}
        depths: dict[EngineKey, int] = {}
        evictions: dict[EngineKey, int] = {}
        clocks = self._work
        for level in prefix.levels:
            state = self._levels.get(level.digest[:KEY_BYTES])
            if state is None:
                continue
            tokens = level.tokens
            for engine, (_, work, update) in state.holders.items():
                evicted = evictions.get(engine, -1)
                if work < 0:
                    evictions[engine] = max(evicted, update)
                elif update > evicted:
                    gained = tokens - depths.get(engine, 0)
                    age = clocks.get(engine, 0) - work
                    if age > self._sure_age(engine):
                        gained *= self._chance(engine, age)
                    found[engine] = found.get(engine, 0) + gained
                    depths[engine] = tokens
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
        return int(self.matches(prefix).get(engine, 0))

    def uses(self, digest: bytes, now: Millis) -> float:
        """Return the recent requests for a level at this router."""
        state = self._levels.get(digest[:KEY_BYTES])
        return 0 if state is None else state.decayed(now)

    def record_usage(
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
        self.expect_levels(engine, incarnation, prefix.levels, now)

    def expect_levels(
        self,
        engine: EngineKey,
        incarnation: str,
        levels: Iterable[PrefixLevel],
        now: Millis,
    ) -> None:
        """Expect the engine to hold levels that a router sends to it."""
        self._enter(engine, incarnation, now)
        work = self._work.get(engine, 0)
        self._update += 1
        for level in levels:
            state = self._touch(level.digest, level.tokens)
            state.hold(engine, now, work, self._update)

    def computed(self, engine: EngineKey, tokens: int) -> None:
        """Count the tokens that a request makes an engine compute."""
        self._work[engine] = self._work.get(engine, 0) + tokens

    def record_placement(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
        now: Millis,
    ) -> None:
        """Count a request for its levels, and expect them at the engine."""
        self._enter(engine, incarnation, now)
        work = self._work.get(engine, 0)
        self._update += 1
        for level in prefix.levels:
            state = self._touch(level.digest, level.tokens)
            state.count(now)
            state.hold(engine, now, work, self._update)

    def apply_stored_event(
        self,
        engine: EngineKey,
        incarnation: str,
        digest: bytes,
        tokens: int,
        now: Millis,
    ) -> None:
        """Take the event that an engine stored a level."""
        self._enter(engine, incarnation, now)
        work = self._work.get(engine, 0)
        # The event is late; an eviction that follows it has to count.
        stored_at = Millis(now - EVENT_GRACE)
        self._update += 1
        state = self._touch(digest, tokens)
        state.hold(engine, stored_at, work, self._update)

    def apply_evicted_event(
        self,
        engine: EngineKey,
        incarnation: str,
        digest: bytes,
    ) -> None:
        """Take the event that an engine evicted a level."""
        state = self._levels.get(digest[:KEY_BYTES])
        if state is None or self._incarnations.get(engine) != incarnation:
            return
        used_at, work, _ = state.holders.get(engine, _NOT_HELD)
        if work >= 0:
            if self._now - used_at < EVENT_GRACE:
                return
            age = self._work.get(engine, 0) - work
            # While retained events are read after a start nothing is known
            # of the work between them, and all ages are zero.
            if age > 0:
                self._learn_lifetime(engine, age)
        self._update += 1
        evicted_at = Millis(self._now - EVENT_GRACE)
        state.drop(engine, evicted_at, self._update)

    def record_event_gap(self, engine: EngineKey, now: Millis) -> None:
        """Note that events of an engine were lost.

        Nothing is dropped: an expectation that is wrong costs time once,
        and ends with its lifetime.
        """
        self._now = max(now, self._now)

    def remove_engine(self, engine: EngineKey) -> None:
        """Drop everything that is expected of an engine."""
        self._incarnations.pop(engine, None)
        for state in self._levels.values():
            state.holders.pop(engine, None)

    def hot_prefixes(self, limit: int) -> tuple[HotPrefix, ...]:
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
                for engine, (_, work, _) in state.holders.items()
                if work >= 0
            )
        return tuple(found[:limit])

    def add_hot_prefixes(
        self,
        prefixes: tuple[HotPrefix, ...],
        now: Millis | None = None,
    ) -> None:
        """Take the hot levels of a peer."""
        at = self._now if now is None else now
        for hot in prefixes:
            self.apply_stored_event(
                hot.engine,
                hot.incarnation,
                hot.digest,
                hot.tokens,
                at,
            )

    def _sure_age(self, engine: EngineKey) -> float:
        return SURE_SHARE * self._lifetimes.get(engine, DEFAULT_LIFETIME)

    def _chance(self, engine: EngineKey, age: float) -> float:
        """Return the chance that a level of this age is still held."""
        relative = age / self.lifetime(engine)
        fade = (relative - SURE_SHARE) / (DOUBTFUL_SHARE - SURE_SHARE)
        return max(LEAST_CHANCE, 1 - fade)

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
                self.remove_engine(engine)
            self._incarnations[engine] = incarnation

    def _touch(self, digest: bytes, tokens: int) -> LevelState:
        key = digest[:KEY_BYTES]
        state = self._levels.get(key)
        if state is None:
            state = LevelState(tokens)
            self._levels[key] = state
            if len(self._levels) > self._maximum:
                self._levels.popitem(last=False)
        else:
            self._levels.move_to_end(key)
        return state
