"""Steps that test the client of the platform's store."""

from functools import partial

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.log_store import LogStore, pack_record
from features.loop import wait_for_call
from yuccagauge.clock import Millis
from yuccagauge.directory.state import Topic
from yuccagauge.directory.store import (
    StoreGapError,
    StoreUnavailableError,
)
from yuccagauge.dispatch.fetch import fetch
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.platform.store import (
    PlatformStore,
    decode_page,
)
from yuccagauge.rollout.base import LeaseState

_PAGE_HEADER = bytes(16)
_SERVERS_TOPIC = 'keyed.servers'


_ERRORS = {
    'StoreGapError': StoreGapError,
    'StoreUnavailableError': StoreUnavailableError,
}


@then(
    'a page from offset {offset:d} has the keys "{keys}" and the next '
    'offset {following:d}'
)
def check_page(
    context: Context,
    offset: int,
    keys: str,
    following: int,
) -> None:
    """Compare keys and offsets."""
    packed = b''.join(pack_record(key, b'v') for key in keys.split())
    page = decode_page(_PAGE_HEADER + packed, offset)
    assert [record.key for record in page.records] == keys.split()
    assert page.records[-1].offset == following - 1
    assert page.next_offset == following


@then('a page that {fault} is rejected')
def check_truncated_page(context: Context, fault: str) -> None:
    """Guard against a truncated record that is decoded as a complete one."""
    complete = _PAGE_HEADER + pack_record('a', b'value')
    truncated = {
        'ends in its head': complete[:9],
        'ends in a length': complete[:18],
        'ends in a record': complete[:-2],
    }[fault]
    try:
        decode_page(truncated, 0)
    except StoreUnavailableError:
        return
    raise AssertionError('the page was accepted')


def _connect_store(context: Context) -> PlatformStore:
    if not hasattr(context, 'log_store'):
        context.log_store = LogStore()
        context.log_store.start()
        context.add_cleanup(context.log_store.close)
    pool = ConnectionPool(reactor)
    context.add_cleanup(pool.close)
    call = partial(fetch, reactor, pool, context.log_store.endpoint)
    return PlatformStore(call)


@then('a response {status:d} to a read raises {error:w}')
def check_read_error(context: Context, status: int, error: str) -> None:
    """Compare the error that the read raises."""
    store = _connect_store(context)
    context.log_store.status = status
    try:
        wait_for_call(store.read_from, Topic.SERVERS, 3, Millis(0))
    except (StoreGapError, StoreUnavailableError) as raised:
        assert isinstance(raised, _ERRORS[error]), raised
        return
    raise AssertionError('the read was answered')


@given('a store without a lease record')
def given_empty_store(context: Context) -> None:
    """Start a store and the store clients of two routers."""
    context.lease_stores = [_connect_store(context) for _ in range(2)]
    state = wait_for_call(context.lease_stores[0].read_lease)
    assert state == LeaseState(record_count=0, holder='')


@when('two routers append a lease record under the same condition')
def append_twice(context: Context) -> None:
    """Append twice under one condition."""
    context.append_results = [
        wait_for_call(lease_store.append_lease, f'r{number}', 0)
        for number, lease_store in enumerate(context.lease_stores)
    ]


@then('only the first record is written, and both routers read its holder')
def check_first_append(context: Context) -> None:
    """Compare the outcomes of both appends."""
    assert context.append_results == [True, False]
    states = {
        wait_for_call(lease_store.read_lease)
        for lease_store in context.lease_stores
    }
    assert states == {LeaseState(record_count=1, holder='r0')}


@then('a released lease has no holder')
def check_released_lease(context: Context) -> None:
    """Append the record by which a stopping router releases the lease."""
    assert wait_for_call(context.lease_stores[0].append_lease, '', 1)
    state = wait_for_call(context.lease_stores[1].read_lease)
    assert state == LeaseState(record_count=2, holder='')


@given('a store that never responds')
def given_unresponsive_store(context: Context) -> None:
    """Accept connections without responding."""
    context.store = _connect_store(context)
    context.log_store.is_unresponsive = True


@then('a read from it raises StoreUnavailableError within {limit:d} ms')
def check_timeout(context: Context, limit: int) -> None:
    """Guard against a follower that waits forever."""
    start = reactor.seconds()
    try:
        wait_for_call(context.store.read_from, Topic.SERVERS, 0, Millis(500))
    except StoreUnavailableError:
        assert reactor.seconds() - start <= limit / 1000
        return
    raise AssertionError('the read was answered')


@then('a listing "{body}" raises StoreUnavailableError')
def check_listing(context: Context, body: str) -> None:
    """Guard against a malformed response that ends the follower."""
    store = _connect_store(context)
    context.log_store.status = 200
    context.log_store.response_body = body.encode()
    try:
        wait_for_call(store.list_newest, Topic.SERVERS)
    except StoreUnavailableError:
        return
    raise AssertionError('the listing was accepted')


@given('a store with the servers "{servers}"')
def store_with_servers(context: Context, servers: str) -> None:
    """Write one record for each name, in order."""
    context.store = _connect_store(context)
    for server in servers.split():
        context.log_store.write(_SERVERS_TOPIC, server, b'{}')


@when('the store drops its old records and gets the server "{server}"')
def drop_old_records(context: Context, server: str) -> None:
    """Drop the old records and write a new one."""
    context.log_store.drop_old_records(_SERVERS_TOPIC)
    context.log_store.write(_SERVERS_TOPIC, server, b'{}')


@then('a read from offset {offset:d} finds a gap')
def check_gap(context: Context, offset: int) -> None:
    """Guard against a reader that skips dropped records without noticing."""
    try:
        wait_for_call(context.store.read_from, Topic.SERVERS, offset, Millis(0))
    except StoreGapError:
        return
    raise AssertionError('the read was answered')


@then(
    'a listing has the servers "{servers}" and continues at offset {offset:d}'
)
def check_listed_servers(context: Context, servers: str, offset: int) -> None:
    """Compare the newest record of each key."""
    page = wait_for_call(context.store.list_newest, Topic.SERVERS)
    assert sorted(record.key for record in page.records) == servers.split()
    assert page.next_offset == offset


@then('a read from offset {offset:d} has the servers "{servers}"')
def check_records(context: Context, offset: int, servers: str) -> None:
    """Compare the records from the offset on."""
    page = wait_for_call(
        context.store.read_from, Topic.SERVERS, offset, Millis(0)
    )
    assert [record.key for record in page.records] == servers.split()


@when('the response to an appended lease record is lost')
def lose_response(context: Context) -> None:
    """Append a record and drop the response."""
    context.log_store.lost_responses = 1
    context.has_append_failed = False
    try:
        wait_for_call(context.lease_stores[0].append_lease, 'r0', 0)
    except StoreUnavailableError:
        context.has_append_failed = True


@then('the append fails and the writer reads its own name as the holder')
def check_lost_response(context: Context) -> None:
    """Guard against a leader that gives up a lease that it holds."""
    assert context.has_append_failed
    state = wait_for_call(context.lease_stores[0].read_lease)
    assert state == LeaseState(record_count=1, holder='r0')


@then('a second record under the same condition is not written')
def check_second_append(context: Context) -> None:
    """Guard against two records under one condition."""
    assert not wait_for_call(context.lease_stores[1].append_lease, 'r1', 0)
