"""Steps for the directory."""

from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import strategies as st
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock as TaskClock

from features.directory_fixtures import backend_server
from features.properties import REPEATABLE
from yuccagauge.clock import ManualClock, Millis
from yuccagauge.directory.base import (
    BackendServer,
    CallerLimits,
    Configuration,
)
from yuccagauge.directory.follower import TopicFollower
from yuccagauge.directory.records import KeyedRecord, KeyedRecords
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.directory.store import (
    StoreGapError,
    StorePage,
    StoreUnavailableError,
)
from yuccagauge.tasks import PeriodicTask


class PlainDecoder:
    """Reads ``NUMBER`` as a configuration and any entry as a server."""

    def decode_operator_record(self, key: str, value: bytes) -> Configuration:
        """Return a configuration without routes."""
        return Configuration(
            version=int(value),
            routes=(),
            services={},
            customers=(),
            limits=CallerLimits(),
        )

    def decode_server(self, key: str, value: bytes) -> BackendServer:
        """Return a server."""
        return backend_server(key)


def _record(key: str, offset: int, value: bytes | None) -> KeyedRecord:
    return KeyedRecord(key=key, offset=offset, value=value)


def _values(records: KeyedRecords) -> dict[str, bytes]:
    return {
        record.key: record.value
        for record in records.changes_since(0)
        if record.value is not None
    }


@then(
    "any split and order of a topic's records leads to the same newest records"
)
def check_merge(context: Context) -> None:
    """Guard against a state that depends on who told what first."""

    @REPEATABLE
    @forall(
        st.lists(
            st.tuples(st.sampled_from('abc'), st.booleans()),
            max_size=12,
        ),
        st.randoms(use_true_random=False),
    )
    def merge(writes: list[tuple[str, bool]], random: Any) -> None:
        log = [
            _record(key, offset, b'%d' % offset if stays else None)
            for offset, (key, stays) in enumerate(writes)
        ]
        newest = {record.key: record.value for record in log}
        expected = {
            key: value for key, value in newest.items() if value is not None
        }
        shuffled = [*log, *log]
        random.shuffle(shuffled)
        state = KeyedRecords()
        for record in shuffled:
            state.apply_records((record,), 0)
        assert _values(state) == expected
        peer = KeyedRecords()
        peer.apply_records(state.changes_since(0), len(log))
        assert _values(peer) == expected

    merge()


@given('a topic with the keys "{keys}" read up to offset {mark:d}')
def topic_with_keys(context: Context, keys: str, mark: int) -> None:
    """Apply one record a key below the mark."""
    context.topic = KeyedRecords()
    words = keys.split()
    first = mark - len(words)
    records = [
        _record(key, first + number, b'v') for number, key in enumerate(words)
    ]
    context.topic.apply_records(records, mark)


@when('a listing begun at offset {mark:d} has the keys "{keys}"')
def take_listing(context: Context, mark: int, keys: str) -> None:
    """Take a listing of records that were written long before."""
    records = [_record(key, 0, b'v') for key in keys.split()]
    context.topic.apply_listing(records, mark)


@then('the topic has the keys "{keys}"')
def check_keys(context: Context, keys: str) -> None:
    """Compare the keys that have a value."""
    assert sorted(_values(context.topic)) == keys.split()


@given('a directory with configuration {version:d}')
def directory_with_configuration(context: Context, version: int) -> None:
    """Apply one configuration."""
    context.directory = Directory(PlainDecoder())
    _apply(context, Topic.OPERATIONS, 'config', 1, b'%d' % version)


@when('configuration {version:d} arrives at a later offset')
def apply_configuration(context: Context, version: int) -> None:
    """Apply a record with a higher offset and a lower version."""
    _apply(context, Topic.OPERATIONS, 'config', 2, b'%d' % version)


@then('configuration {version:d} is in force')
def check_configuration(context: Context, version: int) -> None:
    """Compare the version in force."""
    assert context.directory.configuration.version == version


def _apply(
    context: Context,
    topic: Topic,
    key: str,
    offset: int,
    value: bytes | None,
    now: int = 0,
) -> None:
    record = _record(key, offset, value)
    context.directory.apply_records(topic, (record,), offset + 1, Millis(now))


@given('a directory with server "{server}"')
def directory_with_server(context: Context, server: str) -> None:
    """Apply one entry."""
    context.directory = Directory(PlainDecoder())
    context.told = []
    context.directory.listeners.append(lambda: context.told.append(server))
    _apply(context, Topic.SERVERS, server, 1, b'{}')


@given('the store {state} at {now:d} ms')
def store_state(context: Context, state: str, now: int) -> None:
    """Set what the router knows of the store."""
    if state != 'answers':
        context.directory.note_outage()
    if state != 'is out':
        context.directory.note_answer(Millis(now))


@when('the entry of "{server}" is removed at {now:d} ms')
def remove_entry(context: Context, server: str, now: int) -> None:
    """Apply a removal."""
    _apply(context, Topic.SERVERS, server, 2, None, now)


@when('the entry of "{server}" is written at {now:d} ms')
def write_entry(context: Context, server: str, now: int) -> None:
    """Apply a new entry."""
    _apply(context, Topic.SERVERS, server, 3, b'{}', now)


@then('server "{server}" is {state} at {now:d} ms')
def check_server(
    context: Context,
    server: str,
    state: str,
    now: int,
) -> None:
    """Compare whether the server is known after upkeep."""
    context.directory.remove_lapsed_servers(Millis(now))
    assert (server in context.directory.servers) is (state == 'known')


class FlakyStore:
    """A store in memory whose reads fail as told."""

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[KeyedRecord] = []
        self.first = 0
        self.failures = 0
        self.is_broken = False
        #: Whether each read failed, and how long it would have waited.
        self.reads: list[tuple[bool, int]] = []
        self.waiting: list[tuple[int, Deferred[StorePage]]] = []

    def write(self, key: str) -> None:
        """Append a record and wake the readers."""
        offset = len(self.records)
        self.records.append(_record(key, offset, b'v'))
        waiting, self.waiting = self.waiting, []
        for start, reader in waiting:
            self._answer(start, reader)

    def list_newest(self, topic: Topic) -> Deferred[StorePage]:
        """Return everything."""
        page = StorePage(
            records=tuple(self.records),
            next_offset=len(self.records),
        )
        return succeed(page)

    def read_from(self, topic: Topic, offset: int, wait: Millis) -> Any:
        """Fail as told, or answer with the first record."""
        self.reads.append((self.failures > 0, wait))
        if self.is_broken:
            self.is_broken = False
            return fail(KeyError('unexpected'))
        if self.failures:
            self.failures -= 1
            return fail(StoreUnavailableError('told to fail'))
        reader: Deferred[StorePage] = Deferred()
        if offset < len(self.records) or offset < self.first:
            self._answer(offset, reader)
        else:
            self.waiting.append((offset, reader))
        return reader

    def _answer(self, start: int, reader: Deferred[StorePage]) -> None:
        if start < self.first:
            reader.errback(StoreGapError('dropped'))
            return
        page = StorePage(
            records=tuple(self.records[start:]),
            next_offset=len(self.records),
        )
        reader.callback(page)


@given('a follower of a store with the keys "{keys}"')
def start_follower(context: Context, keys: str) -> None:
    """Start a follower on a virtual clock."""
    context.flaky = FlakyStore()
    for key in keys.split():
        context.flaky.write(key)
    context.reactor = TaskClock()
    context.clock = ManualClock()
    context.directory = Directory(PlainDecoder())
    follower = TopicFollower(
        Topic.SERVERS,
        context.flaky,
        context.directory,
        context.reactor,
        context.clock,
        lambda: 0.5,
    )
    follower.start()
    context.follower = follower
    context.add_cleanup(follower.close)


def _advance(context: Context) -> None:
    for _ in range(40):
        context.reactor.advance(0.2)


@when('the store drops its history and gets the key "{key}"')
def drop_history(context: Context, key: str) -> None:
    """Let the next read be answered with a gap."""
    _advance(context)
    context.flaky.first = len(context.flaky.records) + 1
    context.flaky.write(key)
    _advance(context)


@when('the store fails {times:d} times and gets the key "{key}"')
def fail_store(context: Context, times: int, key: str) -> None:
    """Let some reads fail before one is answered."""
    context.flaky.failures = times
    context.flaky.write(key)
    _advance(context)


@then('the follower has the keys "{keys}"')
def check_followed(context: Context, keys: str) -> None:
    """Compare the servers of the directory."""
    assert sorted(context.directory.servers) == keys.split()


@when(
    'a read of the store raises an unexpected error between the keys '
    '"{first}" and "{second}"'
)
def break_read(context: Context, first: str, second: str) -> None:
    """Guard against a follower that ends with one bad answer.

    The first key ends the read that waits; the next read fails.
    """
    context.flaky.is_broken = True
    context.flaky.write(first)
    _advance(context)
    assert not context.flaky.is_broken
    context.flaky.write(second)
    _advance(context)


@then(
    'a duty that fails in its first {count:d} calls is called again each time'
)
def check_steady(context: Context, count: int) -> None:
    """Guard against a router that goes on without one of its duties."""
    calls: list[int] = []

    def duty() -> None:
        calls.append(len(calls))
        if len(calls) <= count:
            raise ValueError('told to fail')

    reactor = TaskClock()
    loop = PeriodicTask('test', duty, reactor)
    loop.start(1)
    for _ in range(count + 1):
        reactor.advance(1)
    loop.close()
    assert len(calls) == count + 2, calls


@then(
    'the reads after a failure waited for {probe:d} ms and the others for '
    '{wait:d} ms'
)
def check_waits(context: Context, probe: int, wait: int) -> None:
    """Guard against a read that hides the return of the store."""
    reads = context.flaky.reads
    for before, after in zip(reads, reads[1:], strict=False):
        assert after[1] == (probe if before[0] else wait), reads
    assert sum(failed for failed, _ in reads) == 3, reads


@then('the directory told of {count:d} change')
def check_told(context: Context, count: int) -> None:
    """Guard against work for each heartbeat of each server."""
    assert len(context.told) == count, context.told
