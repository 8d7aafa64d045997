"""Steps for the ages of named weights."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock as TaskClock

from features.directory_fixtures import backend_server
from features.rollout_engines import MODEL, TargetDecoder, VirtualClock
from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer, TargetEvidence
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


class _Decoder(TargetDecoder):
    """Decodes any entry as a server."""

    def decode_server(self, key: str, value: bytes) -> BackendServer:
        """Return a server."""
        return backend_server(key)


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


def _start_archive(context: Context, entries: int) -> Directory:
    """Start a router that reads what servers and the operator wrote."""
    reactor = context.task_clock
    directory = Directory(_Decoder())
    now = context.clock.now()
    records = tuple(
        KeyedRecord(key=f's{number}', offset=number, value=b'{}')
        for number in range(_SERVERS)
    )
    directory.apply_records(Topic.SERVERS, records, entries, now)
    config = KeyedRecord(key='config', offset=0, value=b'1')
    directory.apply_records(Topic.OPERATIONS, (config,), 1, now)
    archive = TargetArchive(
        directory,
        context.target_store,
        reactor,
        context.clock,
        heartbeat=_HEARTBEAT,
        is_writer=lambda: True,
    )
    archive.start()
    context.add_cleanup(archive.close)
    return directory


@given('weights that were named {ago:d} ms before they were stored')
def store_naming(context: Context, ago: int) -> None:
    """Let a router store when a version was named."""
    context.task_clock = TaskClock()
    context.task_clock.advance(_READ_AT / 1000)
    context.clock = _SteppingClock(context.task_clock)
    context.target_store = _TargetStore()
    directory = _start_archive(context, _FIRST_ENTRIES)
    now = context.clock.now()
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
    assert servers == _SERVERS
    context.directory = _start_archive(context, _FIRST_ENTRIES + entries)
    now = context.clock.now()
    _read(context.directory, 2, None, now)


@then('these weights count as named {ms:d} ms ago')
def check_age(context: Context, ms: int) -> None:
    """Guard against a time that one wrong clock makes too short."""
    named_at = context.clock.now() - ms
    _check_superseded(context.directory, 1, f'after {named_at} ms')


@when('the store has the record {record}')
def read_record(context: Context, record: str) -> None:
    """Decode a record."""
    context.decoded = targetrecords.decode(
        KeyedRecord(key=MODEL, offset=0, value=record.encode())
    )
    sound = StoredTarget(
        version=2, previous=0, named_after=Millis(5), servers=3, entries=4
    )
    value = targetrecords.encode((sound,)).encode()
    assert targetrecords.decode(
        KeyedRecord(key=MODEL, offset=0, value=value)
    ) == (sound,)


@then('no time is taken from it')
def check_nothing(context: Context) -> None:
    """Guard against errors, or wrong ages, by malformed records."""
    assert not context.decoded, context.decoded
