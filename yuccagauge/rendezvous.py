"""Rendezvous hashing: every router ranks the same names in the same order."""

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def rendezvous_rank(names: Iterable[str], key: str) -> tuple[str, ...]:
    """Return the names in their order of preference for a key.

    Adding or removing a name does not change the order of the others.
    """
    return tuple(sorted(names, key=lambda name: (_weight(name, key), name)))


def _weight(name: str, key: str) -> bytes:
    text = f'{len(name)}:{name}/{key}'.encode()
    return hashlib.blake2b(text, digest_size=_DIGEST_BYTES).digest()
