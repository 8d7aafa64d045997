"""Which engines and KV cache stores hold which parts of prompts."""

from collections import OrderedDict
from collections.abc import Iterable

#: Parts that are tracked over all holders. The part that no holder has stored
#: for the longest time is dropped first.
MAXIMUM_PARTS = 30_000


class CacheMap:
    """Tracks the holders of each part, by the part's cache scope and id.

    A holder is an engine or a KV cache store. Holders publish what they store
    and evict, but events arrive late and some are lost. The router therefore
    also adds the parts of each call that it sends to an engine.
    """

    def __init__(self, maximum: int = MAXIMUM_PARTS) -> None:
        """Create an empty map."""
        self._maximum = maximum
        self._holders: OrderedDict[tuple[str, str], set[str]] = OrderedDict()

    def add(self, holder: str, cache_scope: str, part_id: str) -> None:
        """Record that a holder stored a part."""
        part = (cache_scope, part_id)
        self._holders.setdefault(part, set()).add(holder)
        self._holders.move_to_end(part)
        if len(self._holders) > self._maximum:
            self._holders.popitem(last=False)

    def remove(self, holder: str, cache_scope: str, part_id: str) -> None:
        """Record that a holder evicted a part."""
        part = (cache_scope, part_id)
        holders = self._holders.get(part)
        if holders is None:
            return
        holders.discard(holder)
        if not holders:
            self._holders.pop(part)

    def remove_holder(self, holder: str) -> None:
        """Remove one holder from all parts."""
        parts_without_holder: list[tuple[str, str]] = []
        for part, holders in self._holders.items():
            holders.discard(holder)
            if not holders:
                parts_without_holder.append(part)
        for part in parts_without_holder:
            self._holders.pop(part)

    def prefix_tokens(
        self,
        cache_scope: str,
        parts: Iterable[tuple[str, int]],
    ) -> dict[str, int]:
        """Return how many leading tokens of a prompt each holder has.

        A part counts only if the holder has all parts before it too, since
        KV cache can be reused only for an unbroken prefix.
        """
        tokens_by_holder: dict[str, int] = {}
        matching: set[str] | None = None
        leading_tokens = 0
        for part_id, tokens in parts:
            holders = self._holders.get((cache_scope, part_id), set())
            matching = set(holders) if matching is None else matching & holders
            if not matching:
                break
            leading_tokens += tokens
            tokens_by_holder.update(dict.fromkeys(matching, leading_tokens))
        return tokens_by_holder
