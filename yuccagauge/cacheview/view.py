"""Expected cache contents, from placements, usage and cache events."""

from collections import OrderedDict
from collections.abc import Iterable

from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.cacheview.level import EVICTED, RATE_WINDOW, LevelState
from yuccagauge.clock import Millis
from yuccagauge.load.base import EngineKey
from yuccagauge.prefixes.base import PrefixLevel, RequestPrefix

#: Length of the truncated digests that serve as keys of levels, also in the
#: notices to peers. A collision leads to no more than one wrong expectation.
KEY_BYTES = 6

#: Maximum levels in a view.
MAXIMUM_LEVELS = 20_000

#: Number of tokens that an engine computes between the last use of a level and
#: its eviction, used until eviction events give an estimate. Engines evict to
#: make room and not by time, so an idle engine keeps a level for long.
DEFAULT_LIFETIME_TOKENS = 30_000.0

#: Initial lifetime as a share of the cache capacity, if this is known. Prefixes
#: that are used repeatedly fill the rest of the cache.
INITIAL_LIFETIME_SHARE = 0.5

#: Limits of the estimated lifetime, in tokens.
MINIMUM_LIFETIME_TOKENS = 1000.0
MAXIMUM_LIFETIME_TOKENS = 10_000_000.0

#: Weight of a new sample in the moving average of the lifetime.
LIFETIME_WEIGHT = 0.02

# Up to the first share of the lifetime, a level counts as held for certain.
# From there the probability falls linearly to zero at the second share, but
# not below the minimum: if no better engine is known, an old holder is still
# the best choice.
HELD_LIFETIME_SHARE = 0.5
EVICTED_LIFETIME_SHARE = 2.0
MINIMUM_PROBABILITY = 0.1

#: Cache events arrive late. An eviction event that arrives within this time
#: after a use is assumed to be older than the use.
ASSUMED_EVENT_DELAY = Millis(1000)

_MILLIS_PER_SECOND = 1000

_NOT_HELD = (Millis(0), EVICTED, 0)


class CacheView:
    """Estimates which prefix levels each engine holds in its cache.

    Parameters
    ----------
    maximum_levels
        Limit beyond which the least recently used levels are dropped.
    """

    def __init__(self, maximum_levels: int = MAXIMUM_LEVELS) -> None:
        """Create an empty view."""
        self._maximum_levels = maximum_levels
        self._levels: OrderedDict[bytes, LevelState] = OrderedDict()
        self._incarnations: dict[EngineKey, str] = {}
        self._lifetimes: dict[EngineKey, float] = {}
        #: Tokens that each engine has computed, as far as is known.
        self._computed_tokens: dict[EngineKey, float] = {}
        self._now = Millis(0)
        #: Sequence number of the last update.
        self._update = 0

    def __len__(self) -> int:
        """Return the number of levels in the view."""
        return len(self._levels)

    def lifetime(self, engine: EngineKey) -> float:
        """Return the estimated lifetime of levels at an engine, in tokens."""
        return self._lifetimes.get(engine, DEFAULT_LIFETIME_TOKENS)

    def set_capacity(self, engine: EngineKey, tokens: int) -> None:
        """Set the initial lifetime of an engine's levels from its capacity.

        Has no effect if a lifetime is known.
        """
        if engine not in self._lifetimes and tokens > 0:
            self._lifetimes[engine] = INITIAL_LIFETIME_SHARE * tokens

    def matched_tokens(self, prefix: RequestPrefix) -> dict[EngineKey, float]:
        """Return the tokens that each engine is expected to hold, if any.

        Engines hold no level without its parents. An eviction therefore ends
        the match for deeper levels whose last update was before it. A later
        update of a deeper level shows that the engine has stored the parent
        again and that the event for this was lost.
        """
        found: dict[EngineKey, float] = {}
        depths: dict[EngineKey, int] = {}
        evictions: dict[EngineKey, int] = {}
        totals = self._computed_tokens
        for level in prefix.levels:
            state = self._levels.get(level.digest[:KEY_BYTES])
            if state is None:
                continue
            tokens = level.tokens
            for engine, (_, computed_tokens, update) in state.holders.items():
                evicted = evictions.get(engine, -1)
                if computed_tokens < 0:
                    evictions[engine] = max(evicted, update)
                elif update > evicted:
                    gained = tokens - depths.get(engine, 0)
                    age = totals.get(engine, 0) - computed_tokens
                    if age > self._certain_age(engine):
                        gained *= self._holding_probability(engine, age)
                    found[engine] = found.get(engine, 0) + gained
                    depths[engine] = tokens
        return found

    def expected_tokens(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
    ) -> int:
        """Return the prompt tokens that the engine is expected to hold."""
        if self._incarnations.get(engine) != incarnation:
            return 0
        return int(self.matched_tokens(prefix).get(engine, 0))

    def recent_requests(self, digest: bytes, now: Millis) -> float:
        """Return the recent requests for a level at this router."""
        state = self._levels.get(digest[:KEY_BYTES])
        return 0 if state is None else state.recent_requests(now)

    def record_usage(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
        cached_tokens: int,
        now: Millis,
    ) -> None:
        """Expect the engine to hold the whole prompt after an answer.

        ``cached_tokens`` is not used.
        """
        self.expect_prompt(engine, incarnation, prefix, now)

    def expect_prompt(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
        now: Millis,
    ) -> None:
        """Expect the engine to hold the prompt that is sent to it."""
        self.expect_levels(engine, incarnation, prefix.levels, now)

    def expect_levels(
        self,
        engine: EngineKey,
        incarnation: str,
        levels: Iterable[PrefixLevel],
        now: Millis,
    ) -> None:
        """Expect the engine to hold the levels that are sent to it."""
        self._check_incarnation(engine, incarnation, now)
        computed_tokens = self._computed_tokens.get(engine, 0)
        self._update += 1
        for level in levels:
            state = self._refresh_level(level.digest, level.tokens)
            state.record_use(engine, now, computed_tokens, self._update)

    def record_computed_tokens(self, engine: EngineKey, tokens: int) -> None:
        """Add tokens that an engine computes, which age its levels."""
        self._computed_tokens[engine] = (
            self._computed_tokens.get(engine, 0) + tokens
        )

    def record_placement(
        self,
        engine: EngineKey,
        incarnation: str,
        prefix: RequestPrefix,
        now: Millis,
    ) -> None:
        """Count a request for its levels, and expect them at the engine."""
        self._check_incarnation(engine, incarnation, now)
        computed_tokens = self._computed_tokens.get(engine, 0)
        self._update += 1
        for level in prefix.levels:
            state = self._refresh_level(level.digest, level.tokens)
            state.count_request(now)
            state.record_use(engine, now, computed_tokens, self._update)

    def apply_stored_event(
        self,
        engine: EngineKey,
        incarnation: str,
        digest: bytes,
        tokens: int,
        now: Millis,
    ) -> None:
        """Apply the event that an engine stored a level."""
        self._check_incarnation(engine, incarnation, now)
        computed_tokens = self._computed_tokens.get(engine, 0)
        # Dates the event back, since it arrives late. Otherwise an eviction
        # event that follows it would be ignored.
        stored_at = Millis(now - ASSUMED_EVENT_DELAY)
        self._update += 1
        state = self._refresh_level(digest, tokens)
        state.record_use(engine, stored_at, computed_tokens, self._update)

    def apply_evicted_event(
        self,
        engine: EngineKey,
        incarnation: str,
        digest: bytes,
    ) -> None:
        """Apply the event that an engine evicted a level."""
        state = self._levels.get(digest[:KEY_BYTES])
        if state is None or self._incarnations.get(engine) != incarnation:
            return
        used_at, computed_tokens, _ = state.holders.get(engine, _NOT_HELD)
        if computed_tokens >= 0:
            if self._now - used_at < ASSUMED_EVENT_DELAY:
                return
            age = self._computed_tokens.get(engine, 0) - computed_tokens
            # While a router reads retained events after its start, it does not
            # know how much the engine computed between them. All ages are
            # then zero and are not samples of the lifetime.
            if age > 0:
                self._update_lifetime(engine, age)
        self._update += 1
        evicted_at = Millis(self._now - ASSUMED_EVENT_DELAY)
        state.record_eviction(engine, evicted_at, self._update)

    def record_event_gap(self, engine: EngineKey, now: Millis) -> None:
        """Record that cache events of an engine were lost.

        Drops no level: a wrong expectation costs one recomputation and ends
        with the lifetime of the level.
        """
        self._now = max(now, self._now)

    def remove_engine(self, engine: EngineKey) -> None:
        """Remove an engine as a holder of all levels."""
        self._incarnations.pop(engine, None)
        for state in self._levels.values():
            state.holders.pop(engine, None)

    def hot_prefixes(self, limit: int) -> tuple[HotPrefix, ...]:
        """Return the most requested levels with their holders, for peers."""
        used = sorted(
            self._levels.items(),
            key=lambda entry: (-entry[1].recent_requests(self._now), entry[0]),
        )
        found: list[HotPrefix] = []
        for digest, state in used[:limit]:
            rate = (
                state.recent_requests(self._now)
                * _MILLIS_PER_SECOND
                / RATE_WINDOW
            )
            found.extend(
                HotPrefix(
                    digest=digest,
                    tokens=state.tokens,
                    engine=engine,
                    incarnation=self._incarnations.get(engine, ''),
                    rate=rate,
                )
                for engine, (_, computed_tokens, _) in state.holders.items()
                if computed_tokens >= 0
            )
        return tuple(found[:limit])

    def add_hot_prefixes(
        self,
        prefixes: tuple[HotPrefix, ...],
        now: Millis | None = None,
    ) -> None:
        """Add the hot prefixes that a peer sent."""
        at = self._now if now is None else now
        for hot in prefixes:
            self.apply_stored_event(
                hot.engine,
                hot.incarnation,
                hot.digest,
                hot.tokens,
                at,
            )

    def _certain_age(self, engine: EngineKey) -> float:
        return HELD_LIFETIME_SHARE * self._lifetimes.get(
            engine, DEFAULT_LIFETIME_TOKENS
        )

    def _holding_probability(self, engine: EngineKey, age: float) -> float:
        """Return the probability that a level of this age is still held."""
        relative = age / self.lifetime(engine)
        fade = (relative - HELD_LIFETIME_SHARE) / (
            EVICTED_LIFETIME_SHARE - HELD_LIFETIME_SHARE
        )
        return max(MINIMUM_PROBABILITY, 1 - fade)

    def _update_lifetime(self, engine: EngineKey, age: float) -> None:
        known = self.lifetime(engine)
        updated = known + LIFETIME_WEIGHT * (age - known)
        self._lifetimes[engine] = min(
            max(updated, MINIMUM_LIFETIME_TOKENS),
            MAXIMUM_LIFETIME_TOKENS,
        )

    def _check_incarnation(
        self,
        engine: EngineKey,
        incarnation: str,
        now: Millis,
    ) -> None:
        """Remove the levels of an earlier incarnation of the engine."""
        self._now = max(now, self._now)
        known = self._incarnations.get(engine)
        if known != incarnation:
            if known is not None:
                self.remove_engine(engine)
            self._incarnations[engine] = incarnation

    def _refresh_level(self, digest: bytes, tokens: int) -> LevelState:
        key = digest[:KEY_BYTES]
        state = self._levels.get(key)
        if state is None:
            state = LevelState(tokens)
            self._levels[key] = state
            if len(self._levels) > self._maximum_levels:
                self._levels.popitem(last=False)
        else:
            self._levels.move_to_end(key)
        return state
