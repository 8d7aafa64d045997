"""The compact form in which routers exchange counts."""

import json
import zlib
from collections.abc import Iterable

from yuccagauge.burn.base import Counts, Series
from yuccagauge.burn.state import TIERS, Place
from yuccagauge.documents import parse_document
from yuccagauge.errors import YuccagaugeError

# Longest decompressed text, in bytes, against a forged message.
_MAXIMUM_TEXT = 64_000_000
_COUNTS = 5


class BurnFormatError(YuccagaugeError):
    """Bytes that are not encoded counts."""


def encode_buckets(buckets: Iterable[tuple[Place, Counts]]) -> bytes:
    """Return the buckets, grouped by series and compressed."""
    grouped: dict[Series, list[list[int]]] = {}
    for (series, tier, index), counts in buckets:
        grouped.setdefault(series, []).append([tier, index, *counts])
    rows = [_row(*pair) for pair in sorted(grouped.items())]
    return zlib.compress(json.dumps(rows, separators=(',', ':')).encode())


def decode_buckets(packed: bytes) -> tuple[tuple[Place, Counts], ...]:
    """Read what ``encode_buckets`` wrote.

    Raises
    ------
    BurnFormatError
        If the bytes are of another form.
    """
    try:
        text = zlib.decompressobj().decompress(packed, _MAXIMUM_TEXT)
        return tuple(
            bucket for row in parse_document(text) for bucket in _read_row(row)
        )
    except (zlib.error, ValueError, TypeError) as error:
        raise BurnFormatError(f'counts cannot be read: {error}') from None


def _row(series: Series, lines: list[list[int]]) -> list[object]:
    return [
        series.service,
        series.objective,
        series.customer,
        series.priority,
        sorted(lines),
    ]


def _read_row(row: list[object]) -> list[tuple[Place, Counts]]:
    service, objective, customer, priority, lines = row
    series = Series(
        service=str(service),
        objective=str(objective),
        customer=str(customer),
        priority=int(priority),
    )
    return [
        ((series, _tier(line[0]), int(line[1])), _counts(line[2:]))
        for line in lines
    ]


def _tier(number: object) -> int:
    if number not in range(len(TIERS)):
        raise ValueError(f'no tier {number}')
    return int(number)


def _counts(numbers: list[object]) -> Counts:
    counts = tuple(int(number) for number in numbers)
    if len(counts) != _COUNTS or min(counts) < 0:
        raise ValueError('wrong counts')
    return counts
