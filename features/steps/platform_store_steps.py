"""Steps for the calls to the platform's store."""

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
from yuccagauge.dispatch.connection import ConnectionPool
from yuccagauge.dispatch.fetch import fetch
from yuccagauge.platform.store import (
    PlatformStore,
    decode_page,
)
from yuccagauge.rollout.base import LeaseState

_ENDS = bytes(16)
_SERVERS = 'keyed.servers'


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
    page = decode_page(_ENDS + packed, offset)
    assert [record.key for record in page.records] == keys.split()
    assert page.records[-1].offset == following - 1
    assert page.next_offset == following


@then('a page that {fault} is refused')
def check_torn_page(context: Context, fault: str) -> None:
    """Guard against half a record that is taken for a whole one."""
    whole = _ENDS + pack_record('a', b'value')
    torn = {
        'ends in its head': whole[:9],
        'ends in a length': whole[:18],
        'ends in a record': whole[:-2],
    }[fault]
    try:
        decode_page(torn, 0)
    except StoreUnavailableError:
        return
    raise AssertionError('the page was taken')


def _store(context: Context) -> PlatformStore:
    if not hasattr(context, 'log_store'):
        context.log_store = LogStore()
        context.log_store.start()
        context.add_cleanup(context.log_store.close)
    pool = ConnectionPool(reactor)
    context.add_cleanup(pool.close)
    call = partial(fetch, reactor, pool, context.log_store.endpoint)
    return PlatformStore(call)


@then('an answer {status:d} to a read raises {error:w}')
def check_error(context: Context, status: int, error: str) -> None:
    """Compare the error of a read."""
    store = _store(context)
    context.log_store.status = status
    try:
        wait_for_call(store.read_from, Topic.SERVERS, 3, Millis(0))
    except (StoreGapError, StoreUnavailableError) as raised:
        assert isinstance(raised, _ERRORS[error]), raised
        return
    raise AssertionError('the read was answered')


@given('a store without a record of the lead')
def empty_store(context: Context) -> None:
    """Start a store, and two routers that read the lead."""
    context.lease_stores = [_store(context) for _ in range(2)]
    state = wait_for_call(context.lease_stores[0].read_lease)
    assert state == LeaseState(record_count=0, holder='')


@when('two routers write the same next record')
def race_for_lead(context: Context) -> None:
    """Write twice under one condition."""
    context.written = [
        wait_for_call(lease_store.append_lease, f'r{number}', 0)
        for number, lease_store in enumerate(context.lease_stores)
    ]


@then('one of them has written it, and both read its name')
def check_race(context: Context) -> None:
    """Compare the outcomes of both."""
    assert context.written == [True, False]
    states = {
        wait_for_call(lease_store.read_lease)
        for lease_store in context.lease_stores
    }
    assert states == {LeaseState(record_count=1, holder='r0')}


@then('a lead that was given up has no holder')
def check_given_up(context: Context) -> None:
    """Write the record of a router that stops."""
    assert wait_for_call(context.lease_stores[0].append_lease, '', 1)
    state = wait_for_call(context.lease_stores[1].read_lease)
    assert state == LeaseState(record_count=2, holder='')


@given('a store that answers nothing')
def silent_store(context: Context) -> None:
    """Accept connections and stay silent."""
    context.store = _store(context)
    context.log_store.is_silent = True


@then('a read of it fails as unavailable within {limit:d} ms')
def check_silence(context: Context, limit: int) -> None:
    """Guard against a follower that waits for ever."""
    start = reactor.seconds()
    try:
        wait_for_call(context.store.read_from, Topic.SERVERS, 0, Millis(500))
    except StoreUnavailableError:
        assert reactor.seconds() - start <= limit / 1000
        return
    raise AssertionError('the read was answered')


@then('a listing "{body}" raises StoreUnavailableError')
def check_listing(context: Context, body: str) -> None:
    """Guard against an answer that ends the follower."""
    store = _store(context)
    context.log_store.status = 200
    context.log_store.answer = body.encode()
    try:
        wait_for_call(store.list_newest, Topic.SERVERS)
    except StoreUnavailableError:
        return
    raise AssertionError('the listing was taken')


@given('a store with the servers "{servers}"')
def store_with_servers(context: Context, servers: str) -> None:
    """Write an entry after the other."""
    context.store = _store(context)
    for server in servers.split():
        context.log_store.write(_SERVERS, server, b'{}')


@when('the store forgets its history and gets the server "{server}"')
def forget_history(context: Context, server: str) -> None:
    """Drop old records and write a new one."""
    context.log_store.forget(_SERVERS)
    context.log_store.write(_SERVERS, server, b'{}')


@then('a read from offset {offset:d} finds a gap')
def check_gap(context: Context, offset: int) -> None:
    """Guard against a reader that goes on behind records it never saw."""
    try:
        wait_for_call(context.store.read_from, Topic.SERVERS, offset, Millis(0))
    except StoreGapError:
        return
    raise AssertionError('the read was answered')


@then(
    'a listing has the servers "{servers}" and continues at offset {offset:d}'
)
def check_listed(context: Context, servers: str, offset: int) -> None:
    """Compare the newest records."""
    page = wait_for_call(context.store.list_newest, Topic.SERVERS)
    assert sorted(record.key for record in page.records) == servers.split()
    assert page.next_offset == offset


@then('a read from offset {offset:d} has the servers "{servers}"')
def check_read(context: Context, offset: int, servers: str) -> None:
    """Compare the records that follow."""
    page = wait_for_call(
        context.store.read_from, Topic.SERVERS, offset, Millis(0)
    )
    assert [record.key for record in page.records] == servers.split()


@when('the answer to a record of the lead is lost')
def lose_answer(context: Context) -> None:
    """Carry out an append without an answer."""
    context.log_store.lost_answers = 1
    context.is_unanswered = False
    try:
        wait_for_call(context.lease_stores[0].append_lease, 'r0', 0)
    except StoreUnavailableError:
        context.is_unanswered = True


@then('the writer gets no answer and reads its own name as the holder')
def check_lost_answer(context: Context) -> None:
    """Guard against a leader that gives up what it holds."""
    assert context.is_unanswered
    state = wait_for_call(context.lease_stores[0].read_lease)
    assert state == LeaseState(record_count=1, holder='r0')


@then('a second record under the same condition is not written')
def check_not_repeated(context: Context) -> None:
    """Guard against two records for one condition."""
    assert not wait_for_call(context.lease_stores[1].append_lease, 'r1', 0)
