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


@then("any split and order of a topic's records gives the same newest records")
def check_merge(context: Context) -> None:
    """Guard against a state that depends on the order of arrival."""

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
            _record(key, offset, b'%d' % offset if has_value else None)
            for offset, (key, has_value) in enumerate(writes)
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


@given('a topic with the keys "{keys}" read up to offset {next_offset:d}')
def topic_with_keys(context: Context, keys: str, next_offset: int) -> None:
    """Apply one record per key, the last one just below the offset."""
    context.topic = KeyedRecords()
    words = keys.split()
    first = next_offset - len(words)
    records = [
        _record(key, first + number, b'v') for number, key in enumerate(words)
    ]
    context.topic.apply_records(records, next_offset)


@when('a listing begun at offset {next_offset:d} has the keys "{keys}"')
def merge_listing(context: Context, next_offset: int, keys: str) -> None:
    """Apply a listing whose records are older than all known ones."""
    records = [_record(key, 0, b'v') for key in keys.split()]
    context.topic.apply_listing(records, next_offset)


@then('the topic has the keys "{keys}"')
def check_keys(context: Context, keys: str) -> None:
    """Check which keys have a value."""
    assert sorted(_values(context.topic)) == keys.split()


@given('a directory with configuration {version:d}')
def directory_with_configuration(context: Context, version: int) -> None:
    """Create a directory and apply a configuration."""
    context.directory = Directory(PlainDecoder())
    _apply(context, Topic.OPERATIONS, 'config', 1, b'%d' % version)


@when('configuration {version:d} arrives at a later offset')
def apply_configuration(context: Context, version: int) -> None:
    """Apply a configuration with a higher offset than the first one."""
    _apply(context, Topic.OPERATIONS, 'config', 2, b'%d' % version)


@then('configuration {version:d} is in force')
def check_configuration(context: Context, version: int) -> None:
    """Check the version in force."""
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
    """Create a directory, apply an entry and record notifications."""
    context.directory = Directory(PlainDecoder())
    context.notifications = []
    context.directory.listeners.append(
        lambda: context.notifications.append(server)
    )
    _apply(context, Topic.SERVERS, server, 1, b'{}')


@given('the store {state} at {now:d} ms')
def store_state(context: Context, state: str, now: int) -> None:
    """Let the store answer, be out, or come back from an outage."""
    if state != 'answers':
        context.directory.record_store_outage()
    if state != 'is out':
        context.directory.record_store_answer(Millis(now))


@when('the entry of "{server}" is removed at {now:d} ms')
def remove_entry(context: Context, server: str, now: int) -> None:
    """Apply the removal of an entry."""
    _apply(context, Topic.SERVERS, server, 2, None, now)


@when('the entry of "{server}" is written at {now:d} ms')
def write_entry(context: Context, server: str, now: int) -> None:
    """Apply an entry with a higher offset than the removal."""
    _apply(context, Topic.SERVERS, server, 3, b'{}', now)


@then('server "{server}" is {state} at {now:d} ms')
def check_server(
    context: Context,
    server: str,
    state: str,
    now: int,
) -> None:
    """Check whether the server is known once lapsed ones are removed."""
    context.directory.remove_lapsed_servers(Millis(now))
    assert (server in context.directory.servers) is (state == 'known')


class FlakyStore:
    """An in-memory store with injectable read failures."""

    def __init__(self) -> None:
        """Create an empty store without failures."""
        self.records: list[KeyedRecord] = []
        self.first = 0
        self.listings = 0
        self.failures = 0
        self.raises_unexpected_error = False
        #: For each read, whether it failed as unavailable, and its wait in ms.
        self.reads: list[tuple[bool, int]] = []
        self.waiting: list[tuple[int, Deferred[StorePage]]] = []

    def write(self, key: str) -> None:
        """Append a record and answer the waiting reads."""
        offset = len(self.records)
        self.records.append(_record(key, offset, b'v'))
        waiting, self.waiting = self.waiting, []
        for start, reader in waiting:
            self._answer(start, reader)

    def list_newest(self, topic: Topic) -> Deferred[StorePage]:
        """Return all records."""
        self.listings += 1
        page = StorePage(
            records=tuple(self.records),
            next_offset=len(self.records),
        )
        return succeed(page)

    def read_from(self, topic: Topic, offset: int, wait: Millis) -> Any:
        """Fail if so set; otherwise answer as soon as there is a record."""
        self.reads.append((self.failures > 0, wait))
        if self.raises_unexpected_error:
            self.raises_unexpected_error = False
            return fail(KeyError('injected error'))
        if self.failures:
            self.failures -= 1
            return fail(StoreUnavailableError('injected outage'))
        reader: Deferred[StorePage] = Deferred()
        if offset < len(self.records) or offset < self.first:
            self._answer(offset, reader)
        else:
            self.waiting.append((offset, reader))
        return reader

    def _answer(self, start: int, reader: Deferred[StorePage]) -> None:
        if start < self.first:
            reader.errback(StoreGapError('records were dropped'))
            return
        page = StorePage(
            records=tuple(self.records[start:]),
            next_offset=len(self.records),
        )
        reader.callback(page)


@given('a follower of a store with the keys "{keys}"')
def start_follower(
    context: Context, keys: str, on_entry: Any = lambda *_: None
) -> None:
    """Start a follower on simulated time."""
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
    follower.on_entry = on_entry
    follower.start()
    context.follower = follower
    context.add_cleanup(follower.close)


def _advance(context: Context) -> None:
    for _ in range(40):
        context.reactor.advance(0.2)


@when('the store drops its history and gets the key "{key}"')
def drop_history(context: Context, key: str) -> None:
    """Drop all records, so that the next read meets a gap."""
    _advance(context)
    context.flaky.first = len(context.flaky.records) + 1
    context.flaky.write(key)
    _advance(context)


@when('the store fails {times:d} times and gets the key "{key}"')
def fail_store(context: Context, times: int, key: str) -> None:
    """Let a number of reads fail before one is answered."""
    context.flaky.failures = times
    context.flaky.write(key)
    _advance(context)


@then('the follower has the keys "{keys}"')
def check_followed(context: Context, keys: str) -> None:
    """Check the servers of the directory."""
    assert sorted(context.directory.servers) == keys.split()


@when(
    'a read of the store raises an unexpected error between the keys '
    '"{first}" and "{second}"'
)
def break_read(context: Context, first: str, second: str) -> None:
    """Guard against a follower that stops after an unexpected error.

    The first key completes the waiting read; the next read raises the error.
    """
    context.flaky.raises_unexpected_error = True
    context.flaky.write(first)
    _advance(context)
    assert not context.flaky.raises_unexpected_error
    context.flaky.write(second)
    _advance(context)


@then(
    'a periodic task that fails in its first {count:d} calls is called again '
    'each time'
)
def check_periodic_task(context: Context, count: int) -> None:
    """Guard against a periodic task that ends with its first error."""
    calls: list[int] = []

    def fail_at_first() -> None:
        calls.append(len(calls))
        if len(calls) <= count:
            raise ValueError('injected error')

    reactor = TaskClock()
    task = PeriodicTask('test', fail_at_first, reactor)
    task.start(1)
    for _ in range(count + 1):
        reactor.advance(1)
    task.close()
    assert len(calls) == count + 2, calls


@then(
    'the reads after a failure waited for {probe:d} ms and the others for '
    '{wait:d} ms'
)
def check_waits(context: Context, probe: int, wait: int) -> None:
    """Guard against a long read that delays detecting the outage's end."""
    reads = context.flaky.reads
    for before, after in zip(reads, reads[1:], strict=False):
        assert after[1] == (probe if before[0] else wait), reads
    assert sum(failed for failed, _ in reads) == 3, reads


@then('the directory notified its listeners of {count:d} change')
def check_notifications(context: Context, count: int) -> None:
    """Guard against a notification for each repeated entry of a server."""
    assert len(context.notifications) == count, context.notifications
