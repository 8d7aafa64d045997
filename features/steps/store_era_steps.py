"""Steps for the era that the store names in its answers."""

import base64
import json
import struct
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from yuccagauge.clock import Millis
from yuccagauge.directory.state import Topic
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.dispatch.base import BackendMessage, ResponseHead
from yuccagauge.dispatch.fetch import Fetched
from yuccagauge.platform import era as era_module
from yuccagauge.platform import leaserecords
from yuccagauge.platform.store import PlatformStore
from yuccagauge.rollout.base import LeaseEras
from yuccagauge.telemetry.meter import render_prometheus

_EMPTY_PAGE = struct.pack('>QQ', 0, 0)


class _Store:
    """Answers with an era that the steps set."""

    def __init__(self) -> None:
        self.era = 'none'
        self.bodies: list[bytes] = []

    def send(
        self, message: BackendMessage, timeout: Millis
    ) -> Deferred[Fetched]:
        """Return the next body, or a page without records."""
        headers = ((b'Store-Era', self.era.encode()),)
        head = ResponseHead(
            status=200, headers=() if self.era == 'none' else headers
        )
        body = self.bodies.pop(0) if self.bodies else _EMPTY_PAGE
        return succeed(Fetched(head=head, body=body))


@given('a client of the store')
def create_client(context: Context) -> None:
    """Create a client, and note its log lines."""
    context.store = _Store()
    context.time = Clock()
    context.client = PlatformStore(context.store.send, context.time.seconds)
    context.lines = []
    context.results = []

    def record(event: str, **fields: Any) -> None:
        context.lines.append((event, fields))

    patch = mock.patch.object(era_module, 'log_state_change', record)
    patch.start()
    context.add_cleanup(patch.stop)


def _read(context: Context) -> None:
    def note_failure(failure: Any) -> None:
        failure.trap(StoreUnavailableError)
        context.results.append('rejected')

    reading = context.client.read_from(Topic.SERVERS, 0, Millis(0))
    reading.addCallback(lambda page: context.results.append(str(page.era)))
    reading.addErrback(note_failure)


@when('answers to reads name the eras "{eras}", 1 s apart')
def read_eras(context: Context, eras: str) -> None:
    """Read once for each era."""
    for era in eras.split():
        context.store.era = era
        _read(context)
        context.time.advance(1)


@when('answers to reads name no era for {seconds:d} s, 10 times a second')
def read_without_era(context: Context, seconds: int) -> None:
    """Read for a long time."""
    for _ in range(10 * seconds):
        _read(context)
        context.time.advance(0.1)


@then('the reads have the eras "{expected}"')
def check_eras(context: Context, expected: str) -> None:
    """Compare the eras, or that the answer was rejected."""
    assert context.results == expected.split(), context.results


@then('{count:d} log lines say that an era is not usable, the first {reason:w}')
def check_lines(context: Context, count: int, reason: str) -> None:
    """Guard against a line for each answer."""
    assert len(context.lines) == count, context.lines
    if count:
        event, fields = context.lines[0]
        assert event == 'store_era_unusable'
        assert fields['reason'] == reason, fields


def _listing(key: str, offset: int, *, has_more: bool) -> bytes:
    value = base64.b64encode(b'{}').decode()
    item = {'key': key, 'offset': offset, 'value': value}
    document = {'items': [item], 'end': offset + 1, 'more': has_more}
    return json.dumps(document).encode()


@when('the second page of a listing is of a later era')
def list_two_eras(context: Context) -> None:
    """Let the store come back from a copy between two pages."""
    store = context.store
    store.era = '3'
    store.bodies = [
        _listing('lost', 90, has_more=True),
        _listing('z', 50, has_more=False),
        _listing('a', 40, has_more=True),
        _listing('z', 50, has_more=False),
    ]
    send = context.client._send  # noqa: SLF001

    def send_next(message: BackendMessage, timeout: Millis) -> Deferred[Any]:
        if len(store.bodies) == 3:
            store.era = '4'
        return send(message, timeout)

    context.client._send = send_next  # noqa: SLF001
    listing = context.client.list_newest(Topic.SERVERS)
    listing.addCallback(context.results.append)


@then('the listing has the records of the later era')
def check_listing(context: Context) -> None:
    """Guard against offsets of two eras in one listing."""
    page = context.results[0]
    found = [(record.key, record.offset) for record in page.records]
    assert found == [('a', 40), ('z', 50)], found
    assert (page.era, page.next_offset) == (4, 41), page


def _eras(words: str) -> LeaseEras:
    written, first = (int(word) for word in words.split())
    return LeaseEras(written=written, first=first)


@then('the lease record "{value}" has the holder "" and the eras {eras}')
@then(
    'the lease record "{value}" has the holder "{holder}" and the eras {eras}'
)
def check_record(
    context: Context, value: str, eras: str, holder: str = ''
) -> None:
    """Compare what is read from a record; ``;`` stands for the line feed."""
    found = leaserecords.decode(value.replace(';', '\n').encode())
    assert found == (holder, _eras(eras)), found


@then(
    'a lease record of the holder "" and the eras {eras} is read as it was '
    'written'
)
@then(
    'a lease record of the holder "{holder}" and the eras {eras} is read as it '
    'was written'
)
def check_same_record(context: Context, eras: str, holder: str = '') -> None:
    """Guard against an empty value, too, which would remove the key."""
    value = leaserecords.encode(holder, _eras(eras))
    assert value
    assert leaserecords.decode(value.encode()) == (holder, _eras(eras)), value


@when('an append that names the era {named:d} is answered in the era {era}')
def append(context: Context, named: int, era: str) -> None:
    """Read the lease in the named era, and append."""
    context.store.era = str(named)
    _read(context)
    context.store.era = era
    eras = LeaseEras(written=named, first=named)
    context.results.clear()
    appending = context.client.append_lease('r1', 3, eras)
    appending.addCallback(context.results.append)


@then('the append counts: {counts:w}')
def check_counts(context: Context, counts: str) -> None:
    """Guard against a record whose place another one may have had before."""
    assert context.results == [counts == 'yes'], context.results


def _counted(purpose: str) -> float:
    """Return how many calls for a purpose the metric shows."""
    label = f'yuccagauge_store_calls_total{{purpose="{purpose}"}}'
    lines = render_prometheus().decode().splitlines()
    found = [line for line in lines if line.startswith(label)]
    return sum(float(line.rpartition(' ')[-1]) for line in found)


@when("it reads the servers {count:d} times, and the operator's records once")
def read_topics(context: Context, count: int) -> None:
    """Read both topics."""
    context.counted = {
        purpose: _counted(purpose) for purpose in ('servers', 'operations')
    }
    for _ in range(count):
        context.client.read_from(Topic.SERVERS, 0, Millis(0))
    context.client.read_from(Topic.OPERATIONS, 0, Millis(0))


@then(
    'the metric of calls has grown by {servers:d} for "servers" and by '
    '{operations:d} for "operations"'
)
def check_counted(context: Context, servers: int, operations: int) -> None:
    """Guard against calls that count for another purpose, or none."""
    assert _counted('servers') - context.counted['servers'] == servers
    found = _counted('operations') - context.counted['operations']
    assert found == operations, found
