"""Client of the platform's log: keyed topics, lease, crashes and origins."""

import json
import struct
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from time import monotonic
from typing import Any
from urllib.parse import urlencode

from twisted.internet.defer import Deferred, inlineCallbacks

from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Topic
from yuccagauge.directory.store import (
    StoreGapError,
    StorePage,
    StoreUnavailableError,
)
from yuccagauge.directory.targetarchive import StoredTarget
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.fetch import Fetched, FetchError
from yuccagauge.documents import parse_document
from yuccagauge.origins.base import StreamOrigin
from yuccagauge.platform import (
    leaserecords,
    names,
    originlog,
    targetrecords,
)
from yuccagauge.platform.era import EraTracker
from yuccagauge.platform.pages import decode_newest_page, split_page
from yuccagauge.quarantine.archive import StoredCrash
from yuccagauge.rollout.base import LeaseEras, LeaseState
from yuccagauge.telemetry.journal import log_state_change
from yuccagauge.telemetry.meter import counter

_OK = 200
_GONE = 410
_PRECONDITION_FAILED = 412

_TOPICS = {Topic.OPERATIONS: 'keyed.op', Topic.SERVERS: 'keyed.servers'}

#: Topic and key of the records of the leader lease.
_LEASE_TOPIC = 'keyed.lead'
_LEASE_KEY = 'lead'

#: Topic of the crashes of requests. The key of a record has the request's
#: fingerprint and the id of the crash.
_CRASHES_TOPIC = 'keyed.crashes'
_CRASH_KEY_SEPARATOR = '/'

#: Topic of the software versions of services that had several lately. The key
#: of a record is the service.
_VERSIONS_TOPIC = 'keyed.versions'

#: Topic of the times at which weights versions were named. The key of a record
#: is the model.
_TARGETS_TOPIC = 'keyed.targets'

#: Topic of the streams that routers begin while a service has several software
#: versions. It is not keyed, so its records expire.
_ORIGINS_TOPIC = 'origins'

#: What the calls on each topic are for, as the metric of calls names it.
_PURPOSES = {
    'keyed.op': 'operations',
    'keyed.servers': 'servers',
    _LEASE_TOPIC: 'lease',
    _CRASHES_TOPIC: 'crashes',
    _VERSIONS_TOPIC: 'versions',
    _TARGETS_TOPIC: 'targets',
    _ORIGINS_TOPIC: 'origins',
}

_CALLS = counter(
    'yuccagauge.store.calls',
    'Calls to the store, with what they are for.',
    '{call}',
)

#: Timeout of a reply, beyond the time for which the store may hold a read.
_REPLY_TIMEOUT = Millis(1200)

_RECORD_LENGTH = struct.Struct('>I')

#: Sends a request to the store and returns a Deferred of the response.
StoreCall = Callable[[BackendMessage, Millis], Deferred[Fetched]]


class PlatformStore:
    """Reads the keyed topics, and appends records of the leader lease.

    Parameters
    ----------
    send
        Sends a request to the store.
    seconds
        Returns a time that does not step, in s, for the rate of log lines.
    """

    def __init__(
        self, send: StoreCall, seconds: Callable[[], float] = monotonic
    ) -> None:
        """Create the client; does not connect."""
        self._send = send
        #: Answers of an older era are rejected, so any answer that a call
        #: returns is of the newest one.
        self._eras = EraTracker(seconds)

    @inlineCallbacks
    def list_newest(self, topic: Topic) -> Any:
        """Return a ``StorePage`` of the newest record of each key."""
        page = yield self._list_topic(_TOPICS[topic])
        return page

    @inlineCallbacks
    def _list_topic(self, topic: str) -> Any:
        records: list[KeyedRecord] = []
        next_offset: int | None = None
        era = self._eras.newest
        after = ''
        has_more = True
        while has_more:
            query = {'topic': topic, 'part': 0}
            if after:
                query['after'] = after
            response = yield self._get(
                names.LOG_NEWEST_PATH, query, _REPLY_TIMEOUT
            )
            page = decode_newest_page(response)
            if after and era != self._eras.newest:
                # The pages before are of the older era.
                after = ''
                records.clear()
                next_offset = None
                continue
            era = self._eras.newest
            if next_offset is None:
                # Records may be written between two pages. Reading from
                # the end offset of the first page covers all of these.
                next_offset = page.end_offset
            records.extend(page.records)
            has_more = page.has_more
            after = records[-1].key if records else ''
        return StorePage(
            records=tuple(records), next_offset=next_offset, era=era
        )

    @inlineCallbacks
    def read_from(self, topic: Topic, offset: int, wait: Millis) -> Any:
        """Return a ``StorePage`` of the records from ``offset`` on."""
        query = {
            'topic': _TOPICS[topic],
            'part': 0,
            'from': offset,
            'waitMs': wait,
        }
        timeout = Millis(wait + _REPLY_TIMEOUT)
        response = yield self._get(names.LOG_READ_PATH, query, timeout)
        page = decode_page(response.body, offset)
        return replace(page, era=self._eras.newest)

    @inlineCallbacks
    def read_lease(self) -> Any:
        """Return the ``LeaseState`` that the store has."""
        query = {'topic': _LEASE_TOPIC, 'part': 0}
        response = yield self._get(names.LOG_NEWEST_PATH, query, _REPLY_TIMEOUT)
        page = decode_newest_page(response)
        value = page.records[0].value if page.records else b''
        holder, eras = leaserecords.decode(value)
        return LeaseState(
            record_count=page.end_offset,
            holder=holder,
            era=self._eras.newest,
            eras=eras,
        )

    @inlineCallbacks
    def append_lease(
        self, holder: str, expected_count: int, eras: LeaseEras = LeaseEras()
    ) -> Any:
        """Append a record if the topic has ``expected_count`` of them.

        Returns whether the record was written, in the era that it names.
        """
        query = {'topic': _LEASE_TOPIC, 'part': 0, 'at': expected_count}
        record = _encode_record(_LEASE_KEY, leaserecords.encode(holder, eras))
        response = yield self._append(
            query, record, also_accepted=_PRECONDITION_FAILED
        )
        is_same_era = eras.written in {UNKNOWN_ERA, self._eras.newest}
        return response.head.status == _OK and is_same_era

    @inlineCallbacks
    def write_crashes(self, crashes: tuple[StoredCrash, ...]) -> Any:
        """Add or remove crashes, all or none of them."""
        body = b''.join(
            _encode_record(
                f'{each.fingerprint.hex()}{_CRASH_KEY_SEPARATOR}{each.crash}',
                '' if each.crashed_at is None else str(each.crashed_at),
            )
            for each in crashes
        )
        yield self._append({'topic': _CRASHES_TOPIC, 'part': 0}, body)

    @inlineCallbacks
    def list_crashes(self) -> Any:
        """Return all crashes as a tuple of ``StoredCrash``."""
        page = yield self._list_topic(_CRASHES_TOPIC)
        decoded = map(_decode_crash, page.records)
        return tuple(crash for crash in decoded if crash is not None)

    @inlineCallbacks
    def write_versions(self, service: str, versions: tuple[str, ...]) -> Any:
        """Store the versions of a service, or remove it if there are none."""
        value = json.dumps(versions) if versions else ''
        query = {'topic': _VERSIONS_TOPIC, 'part': 0}
        yield self._append(query, _encode_record(service, value))

    @inlineCallbacks
    def list_versions(self) -> Any:
        """Return the versions of all services that are stored."""
        page = yield self._list_topic(_VERSIONS_TOPIC)
        return {record.key: decode_versions(record) for record in page.records}

    @inlineCallbacks
    def write_targets(self, model: str, targets: Sequence[StoredTarget]) -> Any:
        """Replace the times at which versions of a model were named."""
        query = {'topic': _TARGETS_TOPIC, 'part': 0}
        records = targetrecords.encode(model, targets)
        body = b''.join(_encode_record(*each) for each in records.items())
        yield self._append(query, body)

    @inlineCallbacks
    def list_targets(self) -> Any:
        """Return the times at which versions of each model were named."""
        page = yield self._list_topic(_TARGETS_TOPIC)
        return targetrecords.decode(page.records)

    @inlineCallbacks
    def append_origins(
        self, streams: Mapping[StreamOrigin, Sequence[bytes]]
    ) -> Any:
        """Append the keys of streams by their origin."""
        query = {'topic': _ORIGINS_TOPIC, 'part': 0}
        yield self._append(query, originlog.encode_records(streams))

    @inlineCallbacks
    def read_origins(self) -> Any:
        """Return the origin of each stream in the log, by its key."""
        contents: list[bytes] = []
        offset = 0
        has_more = True
        while has_more:
            query = {'topic': _ORIGINS_TOPIC, 'part': 0, 'from': offset}
            response = yield self._get(
                names.LOG_READ_PATH, query, _REPLY_TIMEOUT, _GONE
            )
            if response.head.status == _GONE:
                offset = max(offset + 1, originlog.first_offset(response.body))
                continue
            end, records = split_page(response.body)
            if not records and offset < end:
                raise StoreUnavailableError('the page ends before its records')
            contents += records
            offset += len(records)
            has_more = offset < end
        return dict(originlog.decode_records(contents))

    @inlineCallbacks
    def _append(
        self, query: dict[str, Any], body: bytes, also_accepted: int = _OK
    ) -> Any:
        _CALLS.add(1, {'purpose': _PURPOSES[query['topic']]})
        message = BackendMessage(
            method='POST',
            path=f'{names.LOG_APPEND_PATH}?{urlencode(query)}',
            body=body,
        )
        response = yield self._request(message, _REPLY_TIMEOUT, also_accepted)
        return response

    @inlineCallbacks
    def _get(
        self,
        path: str,
        query: dict[str, Any],
        timeout: Millis,
        also_accepted: int = _OK,
    ) -> Any:
        _CALLS.add(1, {'purpose': _PURPOSES[query['topic']]})
        message = BackendMessage(
            method='GET',
            path=f'{path}?{urlencode(query)}',
        )
        response = yield self._request(message, timeout, also_accepted)
        return response

    @inlineCallbacks
    def _request(
        self,
        message: BackendMessage,
        timeout: Millis,
        also_accepted: int = _OK,
    ) -> Any:
        path = message.path.partition('?')[0]
        try:
            response = yield self._send(message, timeout)
        except FetchError as error:
            raise StoreUnavailableError(f'{path}: {error}') from None
        if not self._eras.observe(response.head):
            raise StoreUnavailableError(f'{path}: answer of an older era')
        status = response.head.status
        if status == _GONE and also_accepted != _GONE:
            raise StoreGapError(path)
        if status not in {_OK, also_accepted}:
            raise StoreUnavailableError(f'{path}: unexpected status {status}')
        return response


def decode_page(body: bytes, offset: int) -> StorePage:
    """Decode the response to a read that started at ``offset``.

    Raises
    ------
    StoreUnavailableError
        If the body is malformed or truncated.
    """
    end, contents = split_page(body)
    try:
        records = tuple(
            _decode_record(content, number)
            for number, content in enumerate(contents, offset)
        )
    except IndexError as error:
        raise StoreUnavailableError(f'malformed records: {error}') from None
    return StorePage(
        records=records,
        next_offset=offset + len(records),
        is_last=offset + len(records) >= end,
    )


def _encode_record(key: str, value: str) -> bytes:
    """Return a keyed record; an empty value removes the key."""
    encoded_key = key.encode()
    content = bytes([len(encoded_key)]) + encoded_key + value.encode()
    return _RECORD_LENGTH.pack(len(content)) + content


def _decode_crash(record: KeyedRecord) -> StoredCrash | None:
    """Return the crash, or ``None`` after logging a malformed record."""
    fingerprint, _, crash = record.key.partition(_CRASH_KEY_SEPARATOR)
    try:
        return StoredCrash(
            fingerprint=bytes.fromhex(fingerprint),
            crash=crash,
            crashed_at=Millis(int(record.value)),
        )
    except ValueError as error:
        log_state_change(
            'record_unreadable', key=record.key[:80], reason=str(error)
        )
        return None


def decode_versions(record: KeyedRecord) -> tuple[str, ...]:
    """Return the versions.

    A malformed record is logged and stands for one that is not known, because
    the service had several.
    """
    try:
        versions = parse_document(record.value)
    except ValueError as error:
        versions = str(error)
    if isinstance(versions, list):
        return tuple(map(str, versions))
    log_state_change(
        'record_unreadable', key=record.key[:80], reason=str(versions)
    )
    return ('',)


def _decode_record(content: bytes, offset: int) -> KeyedRecord:
    """Decode one keyed record; an empty value removes the key."""
    key_end = 1 + content[0]
    return KeyedRecord(
        key=content[1:key_end].decode('utf-8', 'replace'),
        offset=offset,
        value=content[key_end:] or None,
    )
