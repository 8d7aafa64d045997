"""The prefix cache of an engine fake."""

from collections import OrderedDict
from collections.abc import Callable

from yuccagauge.prefixes.base import PrefixLevel

#: Told about each change: kind, digest and cumulative tokens.
CacheListener = Callable[[str, bytes, int], None]


class PrefixCache:
    """Levels in order of eviction, with pins of running requests.

    Parameters
    ----------
    capacity
        Tokens that fit.
    is_lru
        Whether use moves a level to the end of the order.
    listener
        Told about each stored and evicted level.
    """

    def __init__(
        self,
        capacity: int,
        *,
        is_lru: bool,
        listener: CacheListener,
    ) -> None:
        """Start empty."""
        self._capacity = capacity
        self._is_lru = is_lru
        self._listener = listener
        #: Own tokens of each level, without those of its parents.
        self._levels: OrderedDict[bytes, int] = OrderedDict()
        self._pins: dict[bytes, int] = {}
        self._used = 0
        self._used_at: dict[bytes, float] = {}

    @property
    def used_tokens(self) -> int:
        """Tokens that are held."""
        return self._used

    @property
    def free_tokens(self) -> int:
        """Tokens that fit without an eviction."""
        return max(0, self._capacity - self._used)

    @property
    def oldest_use(self) -> float:
        """When the level that is evicted next was last used, in ms."""
        if not self._levels:
            return 0
        return self._used_at[next(iter(self._levels))]

    def __contains__(self, digest: bytes) -> bool:
        """Return whether a level is held."""
        return digest in self._levels

    def match(self, levels: tuple[PrefixLevel, ...]) -> int:
        """Return the tokens of the longest held prefix."""
        held = 0
        for level in levels:
            if level.digest not in self._levels:
                break
            held = level.tokens
        return held

    def insert(self, levels: tuple[PrefixLevel, ...], now: float) -> None:
        """Store and pin all levels of a prompt, and evict what overflows."""
        before = 0
        for level in levels:
            if level.digest not in self._levels:
                self._levels[level.digest] = level.tokens - before
                self._used += level.tokens - before
                self._listener('stored', level.digest, level.tokens)
            before = level.tokens
            self._pins[level.digest] = self._pins.get(level.digest, 0) + 1
        # Parents are used after their children, so they are evicted later.
        for level in reversed(levels):
            self._used_at[level.digest] = now
            if self._is_lru:
                self._levels.move_to_end(level.digest)
        self._evict()

    def unpin(self, levels: tuple[PrefixLevel, ...]) -> None:
        """End the use of a prompt by a running request."""
        for level in levels:
            pins = self._pins.get(level.digest, 0)
            if pins > 1:
                self._pins[level.digest] = pins - 1
            else:
                self._pins.pop(level.digest, None)

    def _evict(self) -> None:
        """Drop levels from the front; pinned ones go to the end."""
        left = len(self._levels)
        while self._used > self._capacity and left:
            left -= 1
            digest, tokens = self._levels.popitem(last=False)
            if digest in self._pins:
                self._levels[digest] = tokens
                continue
            self._used -= tokens
            self._used_at.pop(digest)
            self._listener('evicted', digest, tokens)
