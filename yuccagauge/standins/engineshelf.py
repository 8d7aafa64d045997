"""Export and import of cached prefixes with their manifests."""

from collections.abc import Mapping
from typing import Any

from yuccagauge.standins.answers import BLOCK_TOKENS
from yuccagauge.standins.base import BadRequestError
from yuccagauge.standins.chat import ChatRequest
from yuccagauge.standins.prefixcache import CacheEvent, PrefixCache

#: Manifests beyond this number push out the oldest.
_MAXIMUM_MANIFESTS = 50_000


class EngineShelf:
    """The cache of an engine and the manifests of its named levels."""

    def __init__(self, cache: PrefixCache) -> None:
        """Start without manifests."""
        self._cache = cache
        self._manifests: dict[str, dict[str, Any]] = {}

    def note(self, chat: ChatRequest, weights_version: str) -> None:
        """Keep the manifests of the levels that a request names."""
        for digest, tokens in chat.levels:
            self._manifests[digest] = {
                'customer': chat.customer,
                'model': chat.model,
                'adapter': chat.adapter,
                'weights_version': weights_version,
                'digest': digest,
                'tokens': tokens,
            }
        while len(self._manifests) > _MAXIMUM_MANIFESTS:
            self._manifests.pop(next(iter(self._manifests)))

    def tokens_of(self, blocks: int) -> int:
        """Return the tokens in a number of full blocks."""
        return blocks * BLOCK_TOKENS

    def export(self, digest: str) -> dict[str, Any] | None:
        """Return manifest and blocks of a level, if it is held."""
        chain = self._cache.chain_of(digest)
        manifest = self._manifests.get(digest)
        if chain is None or manifest is None:
            return None
        return {
            'manifest': manifest,
            'blocks': [block.hex() for block in chain],
        }

    def load(
        self,
        digest: str,
        document: Mapping[str, Any],
    ) -> tuple[int, list[CacheEvent]]:
        """Hold the blocks of an export; return its tokens and the events.

        Raises
        ------
        BadRequestError
            If the export has no manifest or no blocks.
        """
        try:
            chain = tuple(bytes.fromhex(one) for one in document['blocks'])
            manifest = dict(document['manifest'])
            tokens = int(manifest['tokens'])
        except (KeyError, TypeError, ValueError) as error:
            raise BadRequestError(f'not an export: {error!r}') from None
        self._manifests[digest] = manifest
        events = self._cache.store(chain)
        events += self._cache.name_level(digest, tokens, chain)
        return self.tokens_of(len(chain)), events

    def clear(self) -> PrefixCache:
        """Drop everything and return the new, empty cache."""
        self._cache = PrefixCache(self._cache.total_blocks)
        self._manifests.clear()
        return self._cache
