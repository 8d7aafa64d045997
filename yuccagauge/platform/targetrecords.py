"""Records of the store with the times at which weights were named."""

import json
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.directory.heartbeats import SampledHeartbeat
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.targetarchive import StoredTarget
from yuccagauge.documents import parse_document
from yuccagauge.telemetry.journal import log_state_change

#: Numbers of one range of versions in a record.
_FIELDS = 5

#: Parts of one range of versions in a record of heartbeats, and of one server.
_SAMPLE_FIELDS = 3
_SERVER_FIELDS = 4

#: Largest version that messages between routers can hold.
_MAXIMUM_VERSION = 2**32 - 1

#: Begins the key of a record of heartbeats, which ends with the model. Routers
#: that know only the other records skip it, and would skip a longer row too.
_HEARTBEATS_PREFIX = 'heartbeats/'


def encode(model: str, targets: Sequence[StoredTarget]) -> dict[str, str]:
    """Return records by key; one of heartbeats only if there are any."""
    records = {
        model: json.dumps(
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
    }
    samples = [
        [
            target.version,
            target.previous,
            [
                [each.server_id, each.started_at, each.count, each.elapsed]
                for each in target.heartbeats
            ],
        ]
        for target in targets
        if target.heartbeats
    ]
    if samples:
        records[f'{_HEARTBEATS_PREFIX}{model}'] = json.dumps(
            samples, separators=(',', ':')
        )
    return records


def decode(
    records: Iterable[KeyedRecord],
) -> dict[str, tuple[StoredTarget, ...]]:
    """Return the times by model; none after logging a malformed record.

    Several routers write, and not all of them know heartbeats. Those that one
    has stored add to the times of another one on the same versions.
    """
    targets: dict[str, tuple[StoredTarget, ...]] = {}
    samples: dict[str, dict[tuple[int, int], _Sample]] = {}
    for record in records:
        model = record.key.removeprefix(_HEARTBEATS_PREFIX)
        if model == record.key:
            targets[model] = _decode_targets(record)
        else:
            samples[model] = _decode_samples(record)
    return {
        model: tuple(
            replace(
                target,
                heartbeats=samples.get(model, {}).get(
                    (target.version, target.previous), ()
                ),
            )
            for target in found
        )
        for model, found in targets.items()
    }


#: Heartbeats of several servers after one naming.
_Sample = tuple[SampledHeartbeat, ...]


def _decode_targets(record: KeyedRecord) -> tuple[StoredTarget, ...]:
    return tuple(_target(*row) for row in _sound_rows(record, _is_sound))


def _decode_samples(record: KeyedRecord) -> dict[tuple[int, int], _Sample]:
    return {
        (version, previous): tuple(_heartbeat(*server) for server in servers)
        for version, previous, servers in _sound_rows(record, _is_sound_sample)
    }


def _sound_rows(
    record: KeyedRecord, is_sound: Callable[[Any], bool]
) -> list[Any]:
    try:
        rows = parse_document(record.value)
    except (RecursionError, TypeError, ValueError):
        rows = None
    if isinstance(rows, list) and all(map(is_sound, rows)):
        return rows
    log_state_change(
        'record_unreadable', key=record.key[:80], reason='malformed times'
    )
    return []


def _is_sound(row: Any) -> bool:
    if not isinstance(row, list) or len(row) != _FIELDS:
        return False
    return all(map(_is_count, row)) and row[1] < row[0] <= _MAXIMUM_VERSION


def _is_sound_sample(row: Any) -> bool:
    if not isinstance(row, list) or len(row) != _SAMPLE_FIELDS:
        return False
    *versions, servers = row
    is_list = all(map(_is_count, versions)) and isinstance(servers, list)
    return is_list and all(map(_is_sound_server, servers))


def _is_sound_server(server: Any) -> bool:
    if not isinstance(server, list) or len(server) != _SERVER_FIELDS:
        return False
    server_id, started_at, count, elapsed = server
    if not isinstance(server_id, str) or not isinstance(elapsed, int):
        return False
    return all(map(_is_count, (started_at, count, abs(elapsed))))


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


def _heartbeat(
    server_id: str, started_at: int, count: int, elapsed: int
) -> SampledHeartbeat:
    return SampledHeartbeat(
        server_id=server_id,
        started_at=started_at,
        count=count,
        elapsed=Millis(elapsed),
    )
