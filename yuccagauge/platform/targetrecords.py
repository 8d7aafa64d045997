"""Records of the store with the times at which weights were named."""

import json
from collections.abc import Sequence

from yuccagauge.clock import Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.targetarchive import StoredTarget
from yuccagauge.telemetry.journal import log_state_change


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
        return tuple(
            StoredTarget(
                version=int(version),
                previous=int(previous),
                named_after=Millis(int(named_after)),
                servers=int(servers),
                entries=int(entries),
            )
            for version, previous, named_after, servers, entries in json.loads(
                record.value
            )
        )
    except (TypeError, ValueError) as error:
        log_state_change(
            'record_unreadable', key=record.key[:80], reason=str(error)
        )
        return ()
