"""The expected cache contents, corrected by usage and by events."""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.cacheview.level import EVICTED, RATE_WINDOW, LevelState
from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.prefixes.base import PrefixLevel, RequestPrefix

#: Bound on the levels that a router remembers.
MAXIMUM_LEVELS = 20_000

#: Tokens that an engine computes between the last use of a level and its
#: eviction, until events tell. Engines evict by what comes in and not by
#: time, so an idle engine keeps a level for long.
DEFAULT_LIFETIME = 30_000.0

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


@dataclass(frozen=True, slots=True)
class Match:
    """What one engine is expected to hold of a prompt."""

    #: Expected tokens; less than the depth where levels may be gone.
    tokens: float
    #: Tokens from the start of the prompt to the end of the deepest level.
    depth: int


_NOTHING = Match(0, 0)


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

    def __len__(self) -> int:
        """Return the number of levels."""
        return len(self._levels)

    def lifetime(self, engine: EngineKey) -> float:
        """Return the tokens after which an engine evicts a level."""
        return self._lifetimes.get(engine, DEFAULT_LIFETIME)

    def matches(
        self,
        prefix: RequestPrefix,
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
            for engine, (_, work) in state.holders.items():
                if work < 0:
                    ended.add(engine)
                elif engine not in ended:
                    known = found.get(engine, _NOTHING)
                    found[engine] = self._deepen(engine, known, level, work)
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
        match = self.matches(prefix).get(engine)
        return 0 if match is None else int(match.tokens)

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
        for level in levels:
            self._touch(level.digest, level.tokens).hold(engine, now, work)

    def computed(self, engine: EngineKey, tokens: int) -> None:
        """Count the tokens that a request makes an engine compute."""
        self._work[engine] = self._work.get(engine, 0) + tokens

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
        work = self._work.get(engine, 0)
        # The event is late; an eviction that follows it has to count.
        stored_at = Millis(now - EVENT_GRACE)
        self._touch(digest, tokens).hold(engine, stored_at, work)

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
        used_at, work = state.holders.get(engine, (self._now, EVICTED))
        if work >= 0:
            if self._now - used_at < EVENT_GRACE:
                return
            self._learn_lifetime(engine, self._work.get(engine, 0) - work)
        state.drop(engine, Millis(self._now - EVENT_GRACE))

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
                for engine, (_, work) in state.holders.items()
                if work >= 0
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

    def _deepen(
        self,
        engine: EngineKey,
        known: Match,
        level: PrefixLevel,
        work: float,
    ) -> Match:
        """Extend a match by a deeper level, as far as it may still be held."""
        age = self._work.get(engine, 0) - work
        relative = age / self.lifetime(engine)
        chance = 1 - (relative - SURE_SHARE) / (DOUBTFUL_SHARE - SURE_SHARE)
        chance = min(1, max(LEAST_CHANCE, chance))
        gained = chance * max(0, level.tokens - known.depth)
        return Match(known.tokens + gained, level.tokens)

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
