"""Rendezvous hashing: every router computes the same owners of a key."""

import heapq
from collections.abc import Iterable

import xxhash


def score(key: str, name: str) -> int:
    """Return the weight of a name for a key; the highest owns it."""
    return xxhash.xxh3_64_intdigest(f'{key}\0{name}')


def rank_names(key: str, names: Iterable[str], count: int) -> tuple[str, ...]:
    """Return the first owners of a key, best first."""
    return tuple(
        heapq.nlargest(count, names, key=lambda name: (score(key, name), name)),
    )


def owner_of(key: str, names: Iterable[str]) -> str | None:
    """Return the owner of a key, or ``None`` without names."""
    ranked = rank_names(key, names, 1)
    return ranked[0] if ranked else None
