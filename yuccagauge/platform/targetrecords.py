"""Records of the store with the times at which weights were named."""

import json
from collections.abc import Sequence
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.targetarchive import StoredTarget
from yuccagauge.telemetry.journal import log_state_change

#: Numbers of one range of versions in a record.
_FIELDS = 5

#: Largest version that messages between routers can hold.
_MAXIMUM_VERSION = 2**32 - 1


def encode(targets: Sequence[StoredTarget]) -> str:
    """Return the value of a record: a list of numbers for each range."""
    return json.dumps(
        [
            [
                target.version,
                target.previous,
                target.named_after,
                target.servers,
                target.entries,
            ]
            for target in targets
        ]
    )


def decode(record: KeyedRecord) -> tuple[StoredTarget, ...]:
    """Return the times; none after logging a malformed record."""
    try:
        rows = json.loads(record.value)
    except (TypeError, ValueError):
        rows = None
    if isinstance(rows, list) and all(map(_is_sound, rows)):
        return tuple(_target(*row) for row in rows)
    log_state_change(
        'record_unreadable', key=record.key[:80], reason='malformed times'
    )
    return ()


def _is_sound(row: Any) -> bool:
    if not isinstance(row, list) or len(row) != _FIELDS:
        return False
    return all(map(_is_count, row)) and row[1] < row[0] <= _MAXIMUM_VERSION


def _is_count(number: Any) -> bool:
    is_whole = isinstance(number, int) and not isinstance(number, bool)
    return is_whole and number >= 0


def _target(
    version: int, previous: int, named_after: int, servers: int, entries: int
) -> StoredTarget:
    return StoredTarget(
        version=version,
        previous=previous,
        named_after=Millis(named_after),
        servers=servers,
        entries=entries,
    )
