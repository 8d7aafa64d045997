"""The prefix cache of a model engine: blocks in LRU order."""

from collections import OrderedDict, defaultdict
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvent:
    """A level of a prompt prefix that was stored or evicted."""

    #: ``stored`` or ``evicted``.
    kind: str
    #: The digest that a request named for the level.
    digest: str
    #: Tokens from the start of the prompt to the end of the level.
    tokens: int


class PrefixCache:
    """Blocks by chained hash, bounded in number.

    Parameters
    ----------
    total_blocks
        Most blocks that are held; the least recently used go first, and of
        one chain the deepest.
    """

    def __init__(self, total_blocks: int) -> None:
        """Start empty."""
        self._total = total_blocks
        self._blocks: OrderedDict[bytes, None] = OrderedDict()
        self._levels: defaultdict[bytes, dict[str, int]] = defaultdict(dict)
        self._chains: dict[str, tuple[bytes, ...]] = {}

    @property
    def total_blocks(self) -> int:
        """The bound on the number of blocks."""
        return self._total

    @property
    def used_blocks(self) -> int:
        """The number of blocks held."""
        return len(self._blocks)

    def match(self, chain: tuple[bytes, ...]) -> int:
        """Return how many leading blocks are held, and mark them as used."""
        matched = 0
        for block in chain:
            if block not in self._blocks:
                break
            matched += 1
        self._touch(chain[:matched])
        return matched

    def store(self, chain: tuple[bytes, ...]) -> list[CacheEvent]:
        """Hold the blocks of a chain; return what was evicted for them."""
        kept = chain[: self._total]
        self._touch(kept)
        events: list[CacheEvent] = []
        while len(self._blocks) > self._total:
            block, _ = self._blocks.popitem(last=False)
            events.extend(self._evicted(block))
        return events

    def name_level(
        self,
        digest: str,
        tokens: int,
        chain: tuple[bytes, ...],
    ) -> list[CacheEvent]:
        """Note that a chain of held blocks is the level ``digest``."""
        if not chain or chain[-1] not in self._blocks:
            return []
        named = self._levels[chain[-1]]
        if digest in named:
            return []
        named[digest] = tokens
        self._chains[digest] = chain
        return [CacheEvent(kind='stored', digest=digest, tokens=tokens)]

    def chain_of(self, digest: str) -> tuple[bytes, ...] | None:
        """Return the blocks of a level that is completely held."""
        chain = self._chains.get(digest)
        if chain is None or self.match(chain) < len(chain):
            return None
        return chain

    def _touch(self, chain: tuple[bytes, ...]) -> None:
        for block in reversed(chain):
            self._blocks[block] = None
            self._blocks.move_to_end(block)

    def _evicted(self, block: bytes) -> list[CacheEvent]:
        named = self._levels.pop(block, {})
        for name in named:
            self._chains.pop(name, None)
        return [
            CacheEvent(kind='evicted', digest=digest, tokens=tokens)
            for digest, tokens in named.items()
        ]
