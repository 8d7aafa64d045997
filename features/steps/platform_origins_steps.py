"""Steps for the log of stream origins in the platform's store."""

import json
import struct
from collections import Counter
from collections.abc import Mapping, Sequence
from itertools import repeat

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock

from yuccagauge.clock import Millis
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.dispatch.base import BackendMessage, ResponseHead
from yuccagauge.dispatch.fetch import Fetched
from yuccagauge.origins.base import KEY_BYTES, StreamOrigin
from yuccagauge.origins.log import OriginLog
from yuccagauge.platform.originlog import encode_records
from yuccagauge.platform.store import PlatformStore

_OK = 200
_GONE = 410
_STEP_S = 0.05
_LENGTH = struct.Struct('>I')

_MALFORMED = {
    'is empty': b'',
    'ends in its name': b'\x00\x40["s",',
    'has no version': b'\x00\x05["s"]',
    'is not JSON': b'\x00\x04abcd',
    'ends in a key': b'\x00\x0a["s","v1"]' + b'k' * (KEY_BYTES - 1),
}


def _keys(version: str, count: int) -> tuple[bytes, ...]:
    return tuple(
        f'{version}{number}'.encode().ljust(KEY_BYTES, b'.')
        for number in range(count)
    )


def _record(version: str, count: int) -> bytes:
    origin = StreamOrigin(service='s', software_version=version)
    return encode_records({origin: _keys(version, count)})


def _page(records: bytes, end: int) -> bytes:
    return struct.pack('>QQ', end, 0) + records


def _fetched(status: int, body: bytes) -> Fetched:
    return Fetched(head=ResponseHead(status=status, headers=()), body=body)


class _Store:
    """Answers reads by their offset."""

    def __init__(self, answers: dict[int, Fetched]) -> None:
        self._answers = answers

    def send(self, message: BackendMessage, wait: Millis) -> Deferred[Fetched]:
        """Return the answer for the offset of a read."""
        offset = int(message.path.partition('from=')[2])
        return succeed(self._answers[offset])


@given(
    'a log of origins with {old:d} streams of "v1" and {new:d} of "v2", of '
    'which the first record has expired'
)
def expire(context: Context, old: int, new: int) -> None:
    """Answer a read from the start with the first offset that is left."""
    context.reads = _Store(
        {
            0: _fetched(_GONE, json.dumps({'first': old}).encode()),
            # 5000 keys take two records.
            old: _fetched(_OK, _page(_record('v2', new), old + 2)),
        }
    )


@given(
    'a log of origins with {old:d} streams of "v1" and {new:d} of "v2", and a '
    'record that {fault}'
)
def spoil(context: Context, old: int, new: int, fault: str) -> None:
    """Put a malformed record between sound ones."""
    content = _MALFORMED[fault]
    middle = _LENGTH.pack(len(content)) + content
    records = _record('v1', old) + middle + _record('v2', new)
    context.reads = _Store({0: _fetched(_OK, _page(records, 3))})


@given('a log of origins whose answer {fault}')
def break_answer(context: Context, fault: str) -> None:
    """Break the answer itself."""
    answer = {
        'is empty': _fetched(_OK, b''),
        'ends in a record': _fetched(_OK, _page(_record('v1', 1), 1)[:-1]),
        'ends before its records': _fetched(_OK, _page(b'', 1)),
        'tells of a gap without JSON': _fetched(_GONE, b'gone'),
    }[fault]
    context.reads = _Store({0: answer})


@when('a router reads the log')
def read_log(context: Context) -> None:
    """Read the log through the client of the store."""
    context.streams = {}
    context.failure = None
    read = PlatformStore(context.reads.send).read_origins()
    read.addCallbacks(
        context.streams.update,
        lambda failure: setattr(context, 'failure', failure),
    )


@then('it knows {new:d} streams of "v2" and {old:d} of "v1"')
def check_streams(context: Context, new: int, old: int) -> None:
    """Guard against streams that are lost, or get another version."""
    assert context.failure is None, context.failure
    versions = Counter(
        origin.software_version for origin in context.streams.values()
    )
    assert versions == Counter({'v2': new, 'v1': old}), versions
    assert all(
        key.startswith(origin.software_version.encode())
        for key, origin in context.streams.items()
    )


@then('the read fails as unavailable')
def check_failure(context: Context) -> None:
    """Guard against a broken answer that ends the router's duty."""
    assert context.failure.check(StoreUnavailableError), context.failure


class _DownStore:
    """Answers nothing until it is back, and counts the calls."""

    def __init__(self) -> None:
        self.is_down = True
        self.reads = 0
        self.appends = 0
        self.keys: list[bytes] = []

    def append_origins(
        self, streams: Mapping[StreamOrigin, Sequence[bytes]]
    ) -> Deferred[None]:
        """Keep the keys, or fail."""
        self.appends += 1
        if self.is_down:
            return fail(StoreUnavailableError('down'))
        for keys in streams.values():
            self.keys += keys
        return succeed(None)

    def read_origins(self) -> Deferred[None]:
        """Fail as a store that is down."""
        self.reads += 1
        return fail(StoreUnavailableError('down'))


@given('a store of origins that is down')
def start_log(context: Context) -> None:
    """Create a log before a store that is down."""
    context.down = _DownStore()
    context.time = Clock()
    context.log = OriginLog(context.down, context.time)


@when('a router looks for what must be read {times:d} times')
def look(context: Context, times: int) -> None:
    """Read while the log asks for it."""
    for _ in range(times):
        if context.log.must_be_read:
            context.log.read(lambda key, origin: None)


@then('the log was read {times:d} times, and nothing was raised')
def check_reads(context: Context, times: int) -> None:
    """Guard against calls to the store that never end."""
    assert context.down.reads == times, context.down.reads


@given('a router appends {count:d} streams')
def append_streams(context: Context, count: int) -> None:
    """Add streams of one version."""
    context.keys = _keys('v1', count)
    origin = StreamOrigin(service='s', software_version='v1')
    for key in context.keys:
        context.log.add(key, origin)


@when('the store is back after {seconds:d} s')
def bring_back(context: Context, seconds: int) -> None:
    """Pass the time of the outage, and some time after it."""
    context.time.pump(repeat(_STEP_S, 20 * seconds))
    context.down.is_down = False
    context.time.pump(repeat(_STEP_S, 40))


@then('the log has the last {kept:d} of them, after at most {calls:d} calls')
def check_appended(context: Context, kept: int, calls: int) -> None:
    """Guard against streams that are lost, and calls that repeat all."""
    assert sorted(context.down.keys) == sorted(context.keys[-kept:])
    assert context.down.appends <= calls, context.down.appends
