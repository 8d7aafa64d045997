"""Counts of one router in buckets of several lengths.

A bucket only grows, and only its own router adds to it. Two copies of a
router's state therefore merge by the higher value of each count: merging
in any order, and repeatedly, gives the same state.
"""

import itertools
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass

import numpy as np

from yuccagauge.burn.base import (
    NO_COUNTS,
    Counts,
    Series,
    add_counts,
    highest_counts,
)
from yuccagauge.clock import Millis

#: Largest number of series of one router, of 5 KB each; further customers
#: are counted together.
MAXIMUM_SERIES = 256

#: Name under which further customers are counted.
OTHER_CUSTOMERS = '(others)'

_MINUTE = 60_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Tier:
    """Buckets of one length."""

    #: Length of a bucket, in milliseconds.
    length: Millis
    #: Number of buckets that are kept.
    kept: int


#: Lengths so that each window has at least 5 buckets: minutes for windows
#: up to 1 h, 10 minutes up to 6 h, 2 h up to 3 d, and days up to 30 d.
TIERS = (
    Tier(length=Millis(_MINUTE), kept=66),
    Tier(length=Millis(10 * _MINUTE), kept=39),
    Tier(length=Millis(120 * _MINUTE), kept=39),
    Tier(length=Millis(1440 * _MINUTE), kept=31),
)

# First row of each tier, and the number of rows.
_STARTS = tuple(itertools.accumulate((tier.kept for tier in TIERS), initial=0))[
    :-1
]
_ROWS = sum(tier.kept for tier in TIERS)
_UNUSED = -1

#: A bucket by series, number of its tier and number since the epoch.
Place = tuple[Series, int, int]


class _Rings:
    """The buckets of one series, a ring for each tier.

    Rows are indexed by the bucket's number modulo the number that is kept,
    so that a new bucket takes the place of one that no window reaches. A
    series takes 175 rows of 28 bytes, whatever it counts.
    """

    __slots__ = ('_counts', '_numbers')

    def __init__(self) -> None:
        self._counts = np.zeros((_ROWS, len(NO_COUNTS)), dtype=np.uint32)
        self._numbers = np.full(_ROWS, _UNUSED, dtype=np.int64)

    def get(self, tier: int, number: int) -> Counts:
        row = _row(tier, number)
        if self._numbers[row] != number:
            return NO_COUNTS
        return tuple(self._counts[row].tolist())

    def put(self, tier: int, number: int, counts: Counts) -> bool:
        row = _row(tier, number)
        if self._numbers[row] > number:
            return False
        self._numbers[row] = number
        self._counts[row] = counts
        return True

    def used(self) -> Iterator[tuple[int, int]]:
        for tier, start in enumerate(_STARTS):
            for number in self._numbers[start : start + TIERS[tier].kept]:
                if number != _UNUSED:
                    yield tier, int(number)


class BurnState:
    """All buckets of one router."""

    def __init__(self) -> None:
        """Start without counts."""
        self._rings: dict[Series, _Rings] = {}
        self._changed: set[Place] = set()

    def __len__(self) -> int:
        """Return the number of series."""
        return len(self._rings)

    @property
    def series(self) -> frozenset[Series]:
        """All series that have counts."""
        return frozenset(self._rings)

    def add(self, series: Series, counts: Counts, wall: Millis) -> None:
        """Count a request at a wall time, in milliseconds."""
        for number, tier in enumerate(TIERS):
            place = (series, number, wall // tier.length)
            self._combine(place, counts, add_counts)

    def merge(self, buckets: Iterable[tuple[Place, Counts]]) -> None:
        """Take another copy of the same router's state."""
        for place, counts in buckets:
            self._combine(place, counts, highest_counts)

    def restore(self, buckets: Iterable[tuple[Place, Counts]]) -> None:
        """Add the state of an earlier process of this router, once."""
        for place, counts in buckets:
            self._combine(place, counts, add_counts)

    def counts(self, series: Series, tier: int, number: int) -> Counts:
        """Return the counts of one bucket."""
        rings = self._rings.get(series)
        return rings.get(tier, number) if rings else NO_COUNTS

    def buckets(self) -> Iterator[tuple[Place, Counts]]:
        """Return all buckets."""
        for series, rings in tuple(self._rings.items()):
            for tier, number in rings.used():
                yield (series, tier, number), rings.get(tier, number)

    def take_changed(self) -> tuple[tuple[Place, Counts], ...]:
        """Return the buckets that changed since the last call."""
        changed = tuple((place, self.counts(*place)) for place in self._changed)
        self._changed.clear()
        return changed

    def total(self, series: Series, window: Millis, wall: Millis) -> Counts:
        """Return the counts of the last ``window`` milliseconds.

        The window ends with the running bucket of the finest tier that
        reaches back far enough.
        """
        number = tier_for(window)
        tier = TIERS[number]
        last = wall // tier.length
        total = NO_COUNTS
        for index in range(last - window // tier.length + 1, last + 1):
            total = add_counts(total, self.counts(series, number, index))
        return total

    def _combine(
        self,
        place: Place,
        counts: Counts,
        function: Callable[[Counts, Counts], Counts],
    ) -> None:
        series, tier, number = place
        rings = self._rings.get(series)
        if rings is None:
            series = self._admit(series)
            rings = self._rings.setdefault(series, _Rings())
        combined = function(rings.get(tier, number), counts)
        if rings.put(tier, number, combined):
            self._changed.add((series, tier, number))

    def _admit(self, series: Series) -> Series:
        if len(self._rings) < MAXIMUM_SERIES:
            return series
        return Series(
            service=series.service,
            objective=series.objective,
            customer=OTHER_CUSTOMERS,
            priority=series.priority,
        )


def _row(tier: int, number: int) -> int:
    return _STARTS[tier] + number % TIERS[tier].kept


def tier_for(window: Millis) -> int:
    """Return the number of the finest tier that covers a window."""
    for number, tier in enumerate(TIERS):
        if window <= tier.length * (tier.kept - 1):
            return number
    return len(TIERS) - 1
