"""Rendezvous hashing: every router ranks the same names in the same order."""

import hashlib
from collections.abc import Iterable
from functools import lru_cache

_DIGEST_BYTES = 8

#: Rankings that are kept at a time: some keys for the live routers, for those
#: of each data centre, and for those that can lead.
_KEPT_RANKINGS = 256


def rendezvous_rank(names: Iterable[str], key: str) -> tuple[str, ...]:
    """Return the names in their order of preference for a key.

    Adding or removing a name does not change the order of the others.
    """
    return tuple(sorted(names, key=lambda name: (_weight(name, key), name)))


@lru_cache(maxsize=_KEPT_RANKINGS)
def kept_rank(names: frozenset[str], key: str) -> tuple[str, ...]:
    """Return the same as ``rendezvous_rank``, kept for the next time.

    Load pattern: hundreds of routers seldom change, and are ranked for the
    same keys several times a second.
    """
    return rendezvous_rank(names, key)


def _weight(name: str, key: str) -> bytes:
    text = f'{len(name)}:{name}/{key}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
