"""Consistent-hash ring that orders the engines for a digest."""

import bisect
import functools
import hashlib
from collections.abc import Iterator

from yuccagauge.load.base import EngineKey

#: Points of each engine on the ring.
POINTS_PER_ENGINE = 64

_POINT_BYTES = 8


class HashRing:
    """Orders engines by consistent hashing.

    Each engine has several pseudo-random points on the ring. The order for a
    digest starts at the next point after the digest and continues clockwise.

    Parameters
    ----------
    engines
        The engines on the ring.
    """

    def __init__(self, engines: tuple[EngineKey, ...]) -> None:
        """Compute the points of all engines."""
        points = sorted(
            (point, index)
            for index, engine in enumerate(engines)
            for point in _points(engine)
        )
        self._engines = engines
        self._points = [point for point, _ in points]
        self._owners = [index for _, index in points]

    def engines_for(self, digest: bytes) -> Iterator[EngineKey]:
        """Yield each engine once, in the order for a digest."""
        count = len(self._points)
        start = bisect.bisect_left(
            self._points,
            int.from_bytes(digest[:_POINT_BYTES], 'big'),
        )
        seen: set[int] = set()
        for step in range(count):
            owner = self._owners[(start + step) % count]
            if owner not in seen:
                seen.add(owner)
                yield self._engines[owner]


@functools.lru_cache(maxsize=8192)
def _points(engine: EngineKey) -> tuple[int, ...]:
    name = str(engine).encode()
    size = POINTS_PER_ENGINE * _POINT_BYTES
    stream = hashlib.shake_128(name).digest(size)
    return tuple(
        int.from_bytes(stream[start : start + _POINT_BYTES], 'big')
        for start in range(0, size, _POINT_BYTES)
    )
