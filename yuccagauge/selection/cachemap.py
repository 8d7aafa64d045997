"""Which parts of prompts each engine holds, as far as is known."""

from collections import OrderedDict
from collections.abc import Iterable

#: Parts that are remembered over all engines; least recently used go first.
MAXIMUM_PARTS = 30_000


class CacheMap:
    """The engines that hold each part, by the part's scope and id.

    Engines and kept stores publish what they store and drop, late and with
    gaps. What a call was sent for is expected to be stored.
    """

    def __init__(self, maximum: int = MAXIMUM_PARTS) -> None:
        """Start empty."""
        self._maximum = maximum
        self._holders: OrderedDict[tuple[str, str], set[str]] = OrderedDict()

    def add(self, holder: str, scope: str, part_id: str) -> None:
        """Note that a holder has a part."""
        part = (scope, part_id)
        self._holders.setdefault(part, set()).add(holder)
        self._holders.move_to_end(part)
        if len(self._holders) > self._maximum:
            self._holders.popitem(last=False)

    def remove(self, holder: str, scope: str, part_id: str) -> None:
        """Note that a holder dropped a part."""
        part = (scope, part_id)
        holders = self._holders.get(part)
        if holders is None:
            return
        holders.discard(holder)
        if not holders:
            self._holders.pop(part)

    def forget(self, holder: str) -> None:
        """Drop everything that one holder was known to have."""
        emptied: list[tuple[str, str]] = []
        for part, holders in self._holders.items():
            holders.discard(holder)
            if not holders:
                emptied.append(part)
        for part in emptied:
            self._holders.pop(part)

    def depths(
        self,
        scope: str,
        parts: Iterable[tuple[str, int]],
    ) -> dict[str, int]:
        """Return how many leading tokens each holder has.

        A part counts only behind all parts before it.
        """
        found: dict[str, int] = {}
        alive: set[str] | None = None
        depth = 0
        for part_id, tokens in parts:
            holders = self._holders.get((scope, part_id), set())
            alive = set(holders) if alive is None else alive & holders
            if not alive:
                break
            depth += tokens
            found.update(dict.fromkeys(alive, depth))
        return found
