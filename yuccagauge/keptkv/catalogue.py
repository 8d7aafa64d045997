"""Which prefixes the store is known to hold, and which are worth keeping."""

from collections import OrderedDict

from yuccagauge.prefixes.base import PrefixLevel, RequestPrefix

#: Levels that are followed; one entry takes about 200 bytes.
MAXIMUM_LEVELS = 20_000

#: Requests that share a level before it is exported.
EXPORT_AFTER_REQUESTS = 3

#: Shorter levels are recomputed faster than they are fetched.
SHORTEST_EXPORT_TOKENS = 512


class KeptCatalogue:
    """A bounded memory of kept levels and of demand for the others."""

    def __init__(self, maximum_levels: int = MAXIMUM_LEVELS) -> None:
        """Start without knowledge of the store."""
        self._maximum = maximum_levels
        self._kept: OrderedDict[bytes, None] = OrderedDict()
        self._requests: OrderedDict[bytes, int] = OrderedDict()

    @property
    def kept_count(self) -> int:
        """Number of levels that are believed to be kept."""
        return len(self._kept)

    def deepest(self, prefix: RequestPrefix) -> PrefixLevel | None:
        """Return the longest level of a prefix that the store holds."""
        for level in reversed(prefix.levels):
            if level.digest in self._kept:
                self._kept.move_to_end(level.digest)
                return level
        return None

    def kept(self, digest: bytes) -> None:
        """Note that the store holds a level."""
        self._requests.pop(digest, None)
        self._kept[digest] = None
        self._kept.move_to_end(digest)
        if len(self._kept) > self._maximum:
            self._kept.popitem(last=False)

    def gone(self, digest: bytes) -> None:
        """Note that the store does not hold a level."""
        self._kept.pop(digest, None)

    def requested(self, prefix: RequestPrefix) -> PrefixLevel | None:
        """Count one request; return a level that is due for export.

        Only levels that end before the last message are counted, since
        the last message is seldom shared.
        """
        due: PrefixLevel | None = None
        for level in prefix.levels[: prefix.stable_levels]:
            if level.tokens < SHORTEST_EXPORT_TOKENS:
                continue
            if level.digest in self._kept:
                continue
            if self._count(level.digest) == EXPORT_AFTER_REQUESTS:
                due = level
        return due

    def _count(self, digest: bytes) -> int:
        count = self._requests.pop(digest, 0) + 1
        self._requests[digest] = count
        if len(self._requests) > self._maximum:
            self._requests.popitem(last=False)
        return count
