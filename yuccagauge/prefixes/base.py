"""Nested prefixes of a prompt and the interface of prefix schemes."""

import abc
import functools
import hashlib
from collections.abc import Sequence
from dataclasses import dataclass
from typing import ClassVar

from yuccagauge.errors import NotFoundError
from yuccagauge.registry import Registry

#: Size of a level digest.
DIGEST_BYTES = 16

#: Mean size of a token. Routers have no tokenizer, so they estimate tokens.
BYTES_PER_TOKEN = 4

_KEY_BYTES = 32
_LENGTH_BYTES = 8


class SchemeNotFoundError(NotFoundError):
    """No prefix scheme has this name."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CacheScope:
    """Fields that are equal for all prompts that may share cached blocks."""

    customer: str
    model: str
    adapter: str
    weights_version: str

    @property
    def hash_key(self) -> bytes:
        """The hash key of all level digests in this scope."""
        return _scope_key(
            self.customer,
            self.model,
            self.adapter,
            self.weights_version,
        )

    @property
    def cache_salt(self) -> str:
        """The ``cache_salt`` that engines mix into their block hashes."""
        return hashlib.blake2b(
            b'cache_salt',
            key=self.hash_key,
            digest_size=DIGEST_BYTES,
        ).hexdigest()


@dataclass(frozen=True, slots=True)
class Message:
    """One message of a prompt."""

    role: str
    content: str


@dataclass(frozen=True, slots=True)
class PrefixLevel:
    """One nested prefix of a prompt."""

    #: Chained BLAKE2b-128, keyed by the cache scope.
    digest: bytes
    #: Estimated tokens from the start of the prompt to the end of the level.
    tokens: int


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestPrefix:
    """The nested prefixes of one prompt, shallowest first."""

    cache_scope: CacheScope
    levels: tuple[PrefixLevel, ...]
    #: Estimated tokens of the whole prompt.
    prompt_tokens: int
    #: Number of levels that end before the last message. Deeper levels are
    #: seldom requested again before another message follows the last one.
    stable_levels: int = 0


class PrefixScheme(abc.ABC):
    """Splits a prompt into levels; each depends only on the text it covers."""

    name: ClassVar[str]
    aliases: ClassVar[tuple[str, ...]] = ()

    @abc.abstractmethod
    def derive_levels(
        self,
        cache_scope: CacheScope,
        messages: Sequence[Message],
    ) -> RequestPrefix:
        """Return the levels of a prompt."""


#: All prefix schemes by name.
prefix_schemes: Registry[type[PrefixScheme]] = Registry(
    'prefix scheme',
    SchemeNotFoundError,
)


@functools.lru_cache(maxsize=1024)
def _scope_key(*fields: str) -> bytes:
    hasher = hashlib.blake2b(digest_size=_KEY_BYTES, person=b'yuccagauge-id')
    for field in fields:
        encoded = field.encode()
        hasher.update(len(encoded).to_bytes(_LENGTH_BYTES, 'big'))
        hasher.update(encoded)
    return hasher.digest()
