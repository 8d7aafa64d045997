"""Steps for entries of other writers."""

import base64
import json
import random
import zlib
from typing import Any

from behave import given, then
from behave.runner import Context
from twisted.internet.task import Clock as TaskClock

from features.directory_fixtures import service_spec
from features.rollout_engines import VirtualClock
from yuccagauge.adoption.records import RecordError, decode_record
from yuccagauge.clock import Millis, SystemClock
from yuccagauge.directory.base import BackendServer
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.dispatch.fetch import Fetched
from yuccagauge.errors import UnavailableError
from yuccagauge.exchange.builder import MessageBuilder
from yuccagauge.exchange.merger import MessageMerger
from yuccagauge.membership import vmlist
from yuccagauge.peering.polling import parse_report
from yuccagauge.platform import engines, originlog, store
from yuccagauge.platform.pages import decode_newest_page
from yuccagauge.platform.records import PlatformRecordDecoder
from yuccagauge.quarantine.base import Quarantine
from yuccagauge.quarantine.parts import PartQuarantine
from yuccagauge.selection.base import FleetView, SelectionRequest
from yuccagauge.selection.load import ActiveCall
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire import codec

_SURROGATE = 'v1-\udce9'
_PEER = Endpoint('127.0.0.1', 7000)
_ENTRY_PERIOD_S = 1.0
#: Characters of drawn texts, with surrogates that are no Unicode.
_CHARACTERS = 'a1:.\udc80\ud83d\0é'
_SEED = 20261206

_ENTRY = {
    'service': 'model',
    'address': '10.9.9.9:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 8,
    'state': 'draining',
    'coldRemainingMs': 0,
    'seq': 1,
    'born': 1,
}

_VERSIONS = {
    'a raw surrogate': _SURROGATE,
    'an escaped surrogate': _SURROGATE,
    'another software version': 'v9',
}


def _encode(document: Any, *, is_raw: bool) -> bytes:
    text = json.dumps(document, ensure_ascii=not is_raw)
    return text.encode('utf-8', 'surrogatepass')


@given('another writer keeps an entry with {version} as its version')
def write_foreign_entry(context: Context, version: str) -> None:
    """Write an entry again and again, so that it does not lapse."""
    fleet = context.fleet
    entry = {**_ENTRY, 'version': _VERSIONS[version]}
    value = _encode(entry, is_raw='raw' in version)

    def write() -> None:
        fleet.store.append_entry('x-1', value)
        fleet.network.reactor.callLater(_ENTRY_PERIOD_S, write)

    write()
    fleet.run(_ENTRY_PERIOD_S)


@then('each router knows all others')
def check_known(context: Context) -> None:
    """Guard against exchanges that fail as long as an entry stands."""
    fleet = context.fleet
    fleet.run(3)
    names = set(fleet.router_names)
    for name in names:
        known = fleet.router(name).peer_names
        assert known == names - {name}, (name, known)


class _Side:
    """A router's part of the exchange, without connections."""

    def __init__(self, name: str) -> None:
        clock = SystemClock()
        self.clock = clock
        self.directory = Directory(PlatformRecordDecoder())
        self.selector = Selector('a', Millis(12_000))
        quarantine, part_quarantine = Quarantine(), PartQuarantine()
        self.merger = MessageMerger(
            name,
            self.directory,
            self.selector,
            quarantine,
            part_quarantine,
            clock,
        )
        self.builder = MessageBuilder(
            name,
            _PEER,
            'a',
            directory=self.directory,
            selector=self.selector,
            quarantine=quarantine,
            part_quarantine=part_quarantine,
            merger=self.merger,
            clock=clock,
            random_fraction=random.Random(name).random,
            confirmation_age=lambda topic, now: Millis(0),
        )
        self._offset = 0

    def write(self, key: str, value: bytes) -> None:
        """Apply an entry as if it was read from the store."""
        record = KeyedRecord(key=key, offset=self._offset, value=value)
        self._offset += 1
        now = self.clock.now()
        self.directory.apply_records(
            Topic.SERVERS, (record,), self._offset, now
        )
        servers = dict(self.directory.servers)
        self.selector.update_fleet_view(FleetView(servers=servers))
        self.selector.versions.observe(servers.values(), now)
        for server_id in servers:
            self.selector.load_of(server_id).own_calls['c'] = ActiveCall(
                sent_at=now
            )


def _drawn_value(draw: random.Random) -> Any:
    """Return a value of any type that JSON has, some of them extreme."""
    text = ''.join(draw.choices(_CHARACTERS, k=4))
    if not draw.randrange(3):
        return text
    return draw.choice(
        (
            None,
            True,
            -1,
            0,
            draw.randrange(2**31),
            10**20,
            10**400,
            1.5,
            float('inf'),
            float('nan'),
            text,
            text * 4000,
            '',
            [text],
            {text: text},
            'ready',
            '127.0.0.1:99999',
            '[::1]:80',
        )
    )


def _drawn_entry(draw: random.Random) -> bytes:
    """Return the bytes of an entry with some drawn fields."""
    entry: dict[str, Any] = {**_ENTRY, 'models': [{'name': 'm', 'version': 1}]}
    for field in draw.sample(sorted(entry), draw.choice((1, 1, 1, 2, 3))):
        if not draw.randrange(5):
            entry.pop(field)
        else:
            entry[field] = _drawn_value(draw)
    value = _encode(entry, is_raw=draw.randrange(2) == 0)
    if not draw.randrange(10):
        position = draw.randrange(len(value))
        value = value[:position] + draw.randbytes(3) + value[position:]
    return value


@then(
    'after each of {count:d} drawn entries a peer learns of a router, its '
    'calls and its versions'
)
def check_drawn_entries(context: Context, count: int) -> None:
    """Guard against fields that go from an entry into all messages."""
    draw = random.Random(_SEED)
    for number in range(count):
        near, far = _Side('near'), _Side('far')
        near.write('i-1', _encode(_ENTRY, is_raw=False))
        near.write('i-2', _encode({**_ENTRY, 'version': 'v2'}, is_raw=False))
        value = _drawn_entry(draw)
        near.write('x-1', value)
        message = near.builder.build(asks=True, full_state=True)
        packed = codec.encode(message, 'near')
        received = codec.decode(packed, _PEER)
        far.merger.merge_message(received.message)
        assert [peer.name for peer in far.merger.peers] == ['near'], value
        known = far.selector.versions.versions_of('model')
        assert {'v1', 'v2'} <= known, (number, value, known)
        now = far.clock.now()
        assert far.selector.load_of('i-1').active_calls(now) == 1, value


def _decode_vm_list(value: bytes) -> None:
    vmlist.parse(value)


def _decode_record_of_versions(value: bytes) -> None:
    record = KeyedRecord(key='model', offset=0, value=value)
    found = store.decode_versions(record)
    if found == ('',):
        raise ValueError('not known')


def _decode_origin(value: bytes) -> None:
    content = len(value).to_bytes(2, 'big') + value
    originlog.decode_record(content)


def _decode_server(value: bytes) -> None:
    if PlatformRecordDecoder().decode_server('i-1', value) is None:
        raise ValueError('no server')


def _decode_operation(key: str) -> Any:
    def decode(value: bytes) -> None:
        found = PlatformRecordDecoder().decode_operator_record(key, value)
        if found is None:
            raise ValueError('no record')

    return decode


_VM = {'address': '10.1.1.1:80', 'data_centre': 'a', 'state': 'up'}
_LOAD = {
    'incarnation': 'i',
    'weights_version': 'w',
    'role': 'serve',
    'measured_ms': 0,
    **dict.fromkeys(
        ('running', 'queued', 'queued_tokens', 'used_blocks', 'total_blocks'),
        0,
    ),
}

#: A decoder, a sound document, and how a text of it is set.
_DOCUMENTS = {
    'entry of a server': (
        _decode_server,
        lambda text: {**_ENTRY, 'zone': text},
    ),
    'configuration': (
        _decode_operation('config'),
        lambda text: {
            'version': 1,
            'routes': [],
            'services': [],
            'tenants': [{'name': text, 'apiKeys': []}],
        },
    ),
    'target of weights': (
        _decode_operation('version/m'),
        lambda text: {'version': 1, 'model': text},
    ),
    'VM list': (
        _decode_vm_list,
        lambda text: {'vms': [{**_VM, 'service': text}]},
    ),
    'adoption record': (
        lambda value: decode_record(zlib.compress(value)),
        lambda text: {
            'format': 1,
            'kind': 'publish',
            'id': text,
            'replaces': 0,
            'digest': 'd',
            'changed': {},
            'removed': [],
        },
    ),
    'record of versions': (_decode_record_of_versions, lambda text: [text]),
    'record of an origin': (_decode_origin, lambda text: ['model', text]),
    'report of an engine': (
        lambda value: engines.json_object(
            Fetched(head=ResponseHead(status=200, headers=()), body=value)
        ),
        lambda text: {'born': 1, 'stage': text},
    ),
    'load of an engine': (
        lambda value: parse_report(_PEER, value, SystemClock()),
        lambda text: {**_LOAD, 'incarnation': text},
    ),
}


@then('the {document} is rejected with a surrogate as {form}')
def check_rejected(context: Context, document: str, form: str) -> None:
    """Guard against texts that fail wherever they are sent on."""
    decode, build = _DOCUMENTS[document]
    decode(_encode(build('sound é'), is_raw=form == 'raw'))
    value = _encode(build(_SURROGATE), is_raw=form == 'raw')
    try:
        decode(value)
    except (RecordError, UnavailableError, ValueError):
        return
    raise AssertionError(f'{document} was taken')


def _fetched(document: Any) -> Fetched:
    head = ResponseHead(status=200, headers=())
    return Fetched(head=head, body=_encode(document, is_raw=False))


@then('a page with a key that is no Unicode has all its records')
def check_page(context: Context) -> None:
    """Guard against a key that silences all other keys."""
    value = base64.b64encode(b'{}').decode()
    items = [
        {'key': key, 'value': value, 'offset': offset}
        for offset, key in enumerate(('i-1', _SURROGATE, 'i-2'))
    ]
    page = decode_newest_page(_fetched({'items': items, 'end': 3}))
    keys = [record.key for record in page.records]
    assert len(keys) == len(items), keys
    assert {'i-1', 'i-2'} <= set(keys), keys
    ''.join(keys).encode()


@then('a poll with rows that are no events has the others')
def check_events(context: Context) -> None:
    """Guard against a row that ends the feed of an engine."""
    rows = [
        [1, '+', 's', 'p1', 5, 'm'],
        [2, '+'],
        None,
        [3, '+', None, 'p2', 5, 'm'],
        [4, '+', 's', 7, 5, 'm'],
        [5, '-', 's', 'p3', 5, 'm'],
    ]
    document = {'bootEpoch': _SURROGATE, 'next': 6, 'lost': False}
    found = engines.event_batch({**document, 'events': rows})
    parts = [event.part_id for event in found.events]
    assert parts == ['p1', 'p3'], found
    found.epoch.encode()


@then(
    'an entry with {digits:d} digits as its {field} leaves calls of its '
    'service placed'
)
def check_large_number(context: Context, digits: int, field: str) -> None:
    """Guard against numbers that end the selection for a whole service."""
    side = _Side('near')
    entry = {**_ENTRY, 'service': 'plain', 'state': 'ready'}
    side.write('i-1', _encode(entry, is_raw=False))
    large = {**entry, field: int('9' * digits)}
    side.write('i-2', _encode(large, is_raw=False))
    now = VirtualClock(TaskClock()).now()
    request = SelectionRequest(
        call_id='c',
        service=service_spec('plain'),
        received_at=now,
        objective_at=Millis(now + 400),
        deadline=Millis(now + 4000),
        first_output_deadline=Millis(now + 4000),
    )
    decision = side.selector.choose(request, (), now)
    assert isinstance(decision.placement.server, BackendServer), decision
