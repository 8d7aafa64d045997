"""Steps for the ages of named weights."""

import json
import re
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock as TaskClock

from features.directory_fixtures import backend_server
from features.rollout_engines import MODEL, TargetDecoder, VirtualClock
from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, TargetEvidence
from yuccagauge.directory.heartbeats import SampledHeartbeat
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.directory.targetarchive import StoredTarget, TargetArchive
from yuccagauge.directory.targets import UNKNOWN_TIME
from yuccagauge.platform import targetrecords
from yuccagauge.selection.base import FleetView

_READ_AT = Millis(20_000)

#: Time from the storing of a naming to the start of all routers.
_DOWN_MS = 4000

_HEARTBEAT = Millis(1200)
_SERVERS = 10
_FIRST_ENTRIES = 70

#: Heartbeats of each server before the naming.
_COUNT = 7


@dataclass(frozen=True, slots=True, kw_only=True)
class _Stated:
    """What the entries of servers state."""

    #: The start until the naming, and after it; 0 for none.
    before: int = 1
    after: int = 1
    has_count: bool = True


class _Decoder(TargetDecoder):
    """Decodes an entry with the start and the count of a server."""

    def decode_server(self, key: str, value: bytes) -> BackendServer:
        """Return a server."""
        started_at, count = json.loads(value)
        server = backend_server(key)
        return replace(server, started_at=started_at, heartbeat_count=count)


class _SteppingClock(VirtualClock):
    """A clock whose time of day steps."""

    step = Millis(0)

    def wall_time(self) -> Millis:
        """Return the time of day after the step."""
        return Millis(1_000_000 + self.now() + self.step)


class _TargetStore:
    """Keeps the records of named weights."""

    def __init__(self) -> None:
        """Keep nothing."""
        self.targets: dict[str, Any] = {}

    def list_targets(self) -> Deferred[Any]:
        """Return all."""
        return succeed(dict(self.targets))

    def write_targets(self, model: str, targets: Any) -> Deferred[None]:
        """Replace those of a model."""
        self.targets[model] = targets
        return succeed(None)


def _read(
    directory: Directory, version: int, until: Millis | None, at: Millis
) -> None:
    record = KeyedRecord(
        key=f'v/{MODEL}', offset=version, value=b'%d' % version
    )
    directory.apply_records(Topic.OPERATIONS, (record,), version + 1, at, until)


def _check_superseded(directory: Directory, version: int, moment: str) -> None:
    view = FleetView(servers={}, named_weights=directory.named_weights)
    known: Millis | None
    if moment == 'never':
        known = None
    elif moment == 'at an unknown time':
        known = UNKNOWN_TIME
    else:
        known = Millis(int(moment.split()[1]))
    assert view.superseded_at(MODEL, version) == known, view.superseded_at(
        MODEL, version
    )


@given('a router that {knows}')
def start_directory(context: Context, knows: str) -> None:
    """Create a directory that was read before, or not."""
    context.directory = Directory(TargetDecoder())
    if knows.startswith('has read version'):
        _read(context.directory, int(knows.split()[-1]), Millis(0), Millis(100))
    elif knows.startswith('started at version'):
        _read(context.directory, int(knows.split()[-1]), None, Millis(100))


@when(
    'version {version:d} is read at {at:d} ms, and the store had no newer '
    'record until {until} ms'
)
def read_version(context: Context, version: int, at: int, until: str) -> None:
    """Apply a record of the operator."""
    known = None if until == 'none' else Millis(int(until))
    _read(context.directory, version, known, Millis(at))


@when(
    'it hears that versions after {previous:d} up to {version:d} were named '
    'after {ms:d} ms'
)
def merge(context: Context, previous: int, version: int, ms: int) -> None:
    """Apply what a peer or the store knows."""
    evidence = TargetEvidence(
        model=MODEL, version=version, previous=previous, named_after=Millis(ms)
    )
    context.directory.merge_target_evidence((evidence,))


@then('version {version:d} was superseded {moment}')
def check_superseded(context: Context, version: int, moment: str) -> None:
    """Guard against weights that count as newer than they are."""
    _check_superseded(context.directory, version, moment)


def _entries(
    counts: Sequence[int], next_offset: int, started_at: int = 1
) -> tuple[KeyedRecord, ...]:
    """Return an entry of each server, the last ones before an offset."""
    return tuple(
        KeyedRecord(
            key=f's{number}',
            offset=next_offset - len(counts) + number,
            value=b'[%d, %d]' % (started_at, count),
        )
        for number, count in enumerate(counts)
    )


def _start_archive(
    context: Context, records: tuple[KeyedRecord, ...], entries: int
) -> Directory:
    """Start a router that reads what servers and the operator wrote."""
    reactor = context.task_clock
    directory = Directory(_Decoder())
    now = context.clock.now()
    directory.apply_listing(Topic.SERVERS, records, entries, now)
    config = KeyedRecord(key='config', offset=0, value=b'1')
    directory.apply_records(Topic.OPERATIONS, (config,), 1, now)
    archive = TargetArchive(
        directory,
        context.target_store,
        reactor,
        context.clock,
        heartbeat=_HEARTBEAT,
        is_writer=lambda: True,
        servers_known_until=lambda: now,
    )
    archive.start()
    context.add_cleanup(archive.close)
    return directory


def _prepare_naming(context: Context) -> None:
    context.task_clock = TaskClock()
    context.task_clock.advance(_READ_AT / 1000)
    context.clock = _SteppingClock(context.task_clock)
    context.target_store = _TargetStore()


@given('weights that were named {ago:d} ms before they were stored')
def store_naming(context: Context, ago: int) -> None:
    """Let a router store when a version was named."""
    _prepare_naming(context)
    records = _entries((0,) * _SERVERS, _FIRST_ENTRIES)
    directory = _start_archive(context, records, _FIRST_ENTRIES)
    now = context.clock.now()
    _read(directory, 2, Millis(now - ago), now)
    assert context.target_store.targets


@given(
    'weights that were named {ago:d} ms before they were stored, by a router '
    'that had read heartbeats for {ms:d} ms'
)
def store_naming_with_heartbeats(context: Context, ago: int, ms: int) -> None:
    """Let a router store a naming with the counts of servers."""
    _prepare_naming(context)
    stated = context.stated if 'stated' in context else _Stated()
    count = _COUNT if stated.has_count else 0
    records = _entries(
        (max(0, count - 1),) * _SERVERS,
        _FIRST_ENTRIES - _SERVERS,
        stated.before,
    )
    directory = _start_archive(context, records, _FIRST_ENTRIES - _SERVERS)
    now = context.clock.now()
    directory.apply_records(
        Topic.SERVERS,
        _entries((count,) * _SERVERS, _FIRST_ENTRIES, stated.before),
        _FIRST_ENTRIES,
        now,
        Millis(now - ms),
    )
    _read(directory, 2, Millis(now - ago), now)
    assert context.target_store.targets


@when(
    'all routers start {ms:d} ms later, and clocks have stepped by {step:d} ms'
)
def restart(context: Context, ms: int, step: int) -> None:
    """Let time pass, and step the clock."""
    assert ms == _DOWN_MS
    context.task_clock.advance(ms / 1000)
    context.clock.step = Millis(step)


@when('{servers:d} servers have written {entries:d} entries since')
def write_entries(context: Context, servers: int, entries: int) -> None:
    """Start a router that knows the naming from the store alone."""
    next_offset = _FIRST_ENTRIES + entries
    records = _entries((0,) * servers, next_offset)
    context.directory = _start_archive(context, records, next_offset)
    now = context.clock.now()
    _read(context.directory, 2, None, now)


@when('servers have counted {beats} heartbeats since, {restarted}')
def count_heartbeats(context: Context, beats: str, restarted: str) -> None:
    """Start a router that knows the naming from the store alone."""
    counts = [_COUNT + int(number) for number in beats.split(',')]
    context.next_offset = _FIRST_ENTRIES + sum(map(int, beats.split(',')))
    started_at = 1 if restarted == 'none has restarted' else 2
    records = _entries(counts, context.next_offset, started_at)
    context.directory = _start_archive(context, records, context.next_offset)
    _read(context.directory, 2, None, context.clock.now())


@given(
    'servers whose entries state the start {before:d} until the naming and '
    '{after:d} after it'
)
def choose_starts(context: Context, before: int, after: int) -> None:
    """Note which start entries state; 0 for none."""
    context.stated = _Stated(before=before, after=after)


@given('servers whose entries state the start {start:d} and no count')
def choose_no_count(context: Context, start: int) -> None:
    """Note that entries have no count."""
    context.stated = _Stated(before=start, after=start, has_count=False)


@when(
    'servers have written {entries:d} entries since, and each has counted '
    '{count:d} heartbeats in all'
)
def count_anew(context: Context, entries: int, count: int) -> None:
    """Start a router that knows the naming from the store alone."""
    next_offset = _FIRST_ENTRIES + entries
    records = _entries((count,) * _SERVERS, next_offset, context.stated.after)
    context.directory = _start_archive(context, records, next_offset)
    _read(context.directory, 2, None, context.clock.now())


@when('after {ms:d} ms without an entry the first server has counted {beats:d}')
def count_next(context: Context, ms: int, beats: int) -> None:
    """Let the router read an entry."""
    context.task_clock.advance(ms / 1000)
    now = context.clock.now()
    records = _entries([_COUNT + beats], context.next_offset + 1)
    context.directory.apply_records(
        Topic.SERVERS, records, context.next_offset + 1, now, now
    )
    context.task_clock.pump([0.25])


@then('these weights count as named {ms:d} ms ago')
def check_age(context: Context, ms: int) -> None:
    """Guard against a time that one wrong clock makes too short."""
    named_at = context.clock.now() - ms
    _check_superseded(context.directory, 1, f'after {named_at} ms')


@when(
    'entries of a server with {counts} heartbeats are read, one every {period:d} '
    'ms from {start:d} ms on'
)
def read_entries(
    context: Context, counts: str, period: int, start: int
) -> None:
    """Note what the directory knows after each entry."""
    directory = Directory(_Decoder())
    context.known = []
    for number, count in enumerate(_numbers(counts), start=1):
        now = Millis(start + (number - 1) * period)
        records = _entries((count,), number)
        directory.apply_records(Topic.SERVERS, records, number, now)
        context.known.append(directory.heartbeats['s0'])


@then('it had {counts} heartbeats, read at {times} ms')
def check_heartbeats(context: Context, counts: str, times: str) -> None:
    """Guard against a count that decreases, or counts as newer than it is."""
    found = [(each.count, each.written_before) for each in context.known]
    assert found == list(zip(_numbers(counts), _numbers(times), strict=True)), (
        found
    )


def _numbers(text: str) -> list[int]:
    return [int(number) for number in re.findall(r'\d+', text)]


_TARGET = StoredTarget(
    version=2, previous=0, named_after=Millis(5), servers=3, entries=4
)
_SAMPLED_TARGET = replace(
    _TARGET,
    heartbeats=(
        SampledHeartbeat(
            server_id='i-1', started_at=1, count=2, elapsed=Millis(-3)
        ),
    ),
)


def _decode(values: dict[str, str]) -> dict[str, tuple[StoredTarget, ...]]:
    return targetrecords.decode(
        KeyedRecord(key=key, offset=0, value=value.encode())
        for key, value in values.items()
    )


@when('the store has the record {record}')
def read_record(context: Context, record: str) -> None:
    """Decode a record."""
    context.decoded = _decode({MODEL: record})[MODEL]
    values = targetrecords.encode(MODEL, (_TARGET,))
    assert _decode(values) == {MODEL: (_TARGET,)}


@then('no time is taken from it')
def check_nothing(context: Context) -> None:
    """Guard against errors, or wrong ages, by malformed records."""
    assert not context.decoded, context.decoded


@when('a naming is stored with heartbeats, and again by a router without')
def store_twice(context: Context) -> None:
    """Let two routers write."""
    context.values = targetrecords.encode(MODEL, (_SAMPLED_TARGET,))
    context.later = replace(_TARGET, named_after=Millis(9))
    context.values |= targetrecords.encode(MODEL, (context.later,))


@then('the later time is read, with the heartbeats')
def check_joined(context: Context) -> None:
    """Guard against a router that deletes what another one knows."""
    heartbeats = _SAMPLED_TARGET.heartbeats
    joined = replace(context.later, heartbeats=heartbeats)
    assert _decode(context.values) == {MODEL: (joined,)}


@then('the record of the model has rows of five numbers')
def check_known_form(context: Context) -> None:
    """Guard against records that routers of former versions reject."""
    for row in json.loads(context.values.pop(MODEL)):
        assert len(row) == 5
        assert all(isinstance(number, int) for number in row)
    # They would take a record of five numbers a row for another model's.
    other = json.loads(next(iter(context.values.values())))
    assert all(len(row) != 5 for row in other)


@when('heartbeats are stored as {record}')
def read_heartbeats(context: Context, record: str) -> None:
    """Decode a record of heartbeats beside a sound one."""
    values = targetrecords.encode(MODEL, (_SAMPLED_TARGET,))
    key = next(iter(values.keys() - {MODEL}))
    assert _decode(values) == {MODEL: (_SAMPLED_TARGET,)}
    context.decoded = _decode({**values, key: record})


@then('the naming is read without heartbeats')
def check_no_heartbeats(context: Context) -> None:
    """Guard against malformed heartbeats that make the times unknown."""
    assert context.decoded == {MODEL: (_TARGET,)}, context.decoded
