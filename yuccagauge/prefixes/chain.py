"""A running hash over a prompt that gives the digests of its levels."""

import hashlib

from yuccagauge.prefixes.base import (
    BYTES_PER_TOKEN,
    DIGEST_BYTES,
    CacheScope,
    PrefixLevel,
)

# These bytes never occur in UTF-8, so no content can imitate a boundary.
_START = b'\xff'
_END = b'\xfe'


class PrefixChain:
    """Hashes messages in order and returns a level at any position.

    Parameters
    ----------
    cache_scope
        Provides the key of the hash, so that the levels of equal prompts of
        two customers differ.
    """

    def __init__(self, cache_scope: CacheScope) -> None:
        """Create a chain without messages."""
        self._hasher = hashlib.blake2b(
            key=cache_scope.hash_key,
            digest_size=DIGEST_BYTES,
        )
        self._bytes = 0

    @property
    def tokens(self) -> int:
        """The estimated number of tokens hashed so far, rounded up."""
        return -(-self._bytes // BYTES_PER_TOKEN)

    def open_message(self, role: str) -> None:
        """Begin a message, and hash its role."""
        encoded = role.encode()
        self._hasher.update(_START + encoded + _START)
        self._bytes += len(encoded)

    def add_content(self, content: bytes | memoryview) -> None:
        """Hash the next part of the content of the open message."""
        self._hasher.update(content)
        self._bytes += len(content)

    def close_message(self) -> None:
        """End the open message."""
        self._hasher.update(_END)

    def current_level(self) -> PrefixLevel:
        """Return the level that ends at the current position."""
        return PrefixLevel(self._hasher.digest(), self.tokens)
