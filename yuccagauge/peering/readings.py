"""Engine readings in 8 bytes each.

A reading has the hash of the engine's address (4 bytes), a tag of its
identity, the running requests, the waiting tokens on a logarithmic scale
and one byte with the waiting requests and the share of used blocks. What
is lost by rounding is below 3.4 % of the waiting tokens, 1/15 of the
blocks and a factor of two of the waiting requests.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

import numpy as np
import xxhash

from yuccagauge.load.base import EngineReport
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.base import pack_endpoint
from yuccagauge.wire.messages import EngineIdentity

_LAYOUT = np.dtype(
    [
        ('engine', '<u4'),
        ('tag', 'u1'),
        ('running', 'u1'),
        ('queued_tokens', 'u1'),
        ('occupancy', 'u1'),
    ]
)

#: Bytes of one reading.
READING_BYTES = _LAYOUT.itemsize

# Steps for each doubling of the waiting tokens.
_STEPS = 10
# Engines whose hashes and tags are kept.
_CACHED = 2048

_HIGHEST_BYTE = 255
_HIGHEST_NIBBLE = 15
_NIBBLE_BITS = 4


@dataclass(frozen=True, slots=True, kw_only=True)
class Reading:
    """An unpacked reading."""

    #: Hash of the engine's address.
    engine: int
    tag: int
    running: int
    queued: int
    queued_tokens: int
    #: Used blocks as a share of all.
    used_share: float


@lru_cache(maxsize=_CACHED)
def hash_engine(engine: Endpoint) -> int:
    """Return the 32-bit hash that stands for an engine."""
    return xxhash.xxh32_intdigest(pack_endpoint(engine))


@lru_cache(maxsize=_CACHED)
def tag_of(identity: EngineIdentity) -> int:
    """Return the byte by which a reading refers to an identity."""
    text = '\0'.join(
        (
            identity.incarnation,
            identity.weights_version,
            identity.role,
            str(identity.total_blocks),
        )
    )
    return xxhash.xxh32_intdigest(text.encode()) & _HIGHEST_BYTE


def identity_of(report: EngineReport) -> EngineIdentity:
    """Return what changes rarely in a report."""
    return EngineIdentity(
        engine=report.engine,
        incarnation=report.incarnation,
        weights_version=report.weights_version,
        role=report.role,
        total_blocks=report.total_blocks,
    )


def pack_readings(reports: Iterable[EngineReport]) -> bytes:
    """Return the readings of the reports."""
    rows = [_row(report) for report in reports]
    return np.array(rows, dtype=_LAYOUT).tobytes()


def unpack_readings(packed: bytes) -> tuple[Reading, ...]:
    """Read what ``pack_readings`` wrote; a torn end is left out."""
    whole = len(packed) // READING_BYTES * READING_BYTES
    rows = np.frombuffer(packed[:whole], dtype=_LAYOUT).tolist()
    return tuple(
        Reading(
            engine=engine,
            tag=tag,
            running=running,
            queued=_from_scale(occupancy >> _NIBBLE_BITS, 1),
            queued_tokens=_from_scale(tokens, _STEPS),
            used_share=(occupancy & _HIGHEST_NIBBLE) / _HIGHEST_NIBBLE,
        )
        for engine, tag, running, tokens, occupancy in rows
    )


def _row(report: EngineReport) -> tuple[int, int, int, int, int]:
    share = report.used_blocks / max(1, report.total_blocks)
    blocks = min(_HIGHEST_NIBBLE, max(0, round(share * _HIGHEST_NIBBLE)))
    queued = min(_HIGHEST_NIBBLE, _to_scale(report.queued, 1))
    return (
        hash_engine(report.engine),
        tag_of(identity_of(report)),
        min(_HIGHEST_BYTE, max(0, report.running)),
        min(_HIGHEST_BYTE, _to_scale(report.queued_tokens, _STEPS)),
        queued << _NIBBLE_BITS | blocks,
    )


def _to_scale(number: int, steps: int) -> int:
    return round(math.log2(max(0, number) + 1) * steps)


def _from_scale(scaled: int, steps: int) -> int:
    return round(2 ** (scaled / steps)) - 1
