"""Calls to the platform's log: keyed topics and records of the lead."""

import base64
import json
import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import urlencode

from twisted.internet.defer import Deferred, inlineCallbacks

from yuccagauge.clock import Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Topic
from yuccagauge.directory.store import (
    StoreGapError,
    StorePage,
    StoreUnavailableError,
)
from yuccagauge.dispatch.base import BackendMessage
from yuccagauge.dispatch.fetch import Fetched, FetchError
from yuccagauge.platform import names
from yuccagauge.rollout.base import LeaseState

_OK = 200
_GONE = 410
_CONDITION_FAILED = 412

_TOPICS = {Topic.OPERATIONS: 'keyed.op', Topic.SERVERS: 'keyed.servers'}

#: Topic and key of the records of the lead.
_LEAD_TOPIC = 'keyed.lead'
_LEAD_KEY = 'lead'

#: Ends the name of the holder in a record.
_HELD = '\n'

#: Time for an answer, beyond the time that the store may wait.
_PATIENCE = Millis(1200)

_LENGTH = struct.Struct('>I')
_ENDS = struct.Struct('>QQ')

#: Sends a message to the store and returns a Deferred of its answer.
StoreCall = Callable[[BackendMessage, Millis], Deferred[Fetched]]


class PlatformStore:
    """Reads the keyed topics, and writes the records of the lead.

    Parameters
    ----------
    call
        Sends a message to the store.
    """

    def __init__(self, call: StoreCall) -> None:
        """Prepare without calling."""
        self._call = call

    @inlineCallbacks
    def list_newest(self, topic: Topic) -> Any:
        """Return a ``StorePage`` of the newest record of each key."""
        records: list[KeyedRecord] = []
        next_offset: int | None = None
        after = ''
        has_more = True
        while has_more:
            query = {'topic': _TOPICS[topic], 'part': 0}
            if after:
                query['after'] = after
            found = yield self._get(names.NEWEST_PATH, query, _PATIENCE)
            page = _newest_page(found)
            if next_offset is None:
                # Pages are no snapshot: what is written meanwhile is read
                # again from the first page's end.
                next_offset = page.end
            records.extend(page.records)
            has_more = page.has_more
            after = records[-1].key if records else ''
        return StorePage(records=tuple(records), next_offset=next_offset)

    @inlineCallbacks
    def read_from(self, topic: Topic, offset: int, wait: Millis) -> Any:
        """Return a ``StorePage`` of the records from an offset on."""
        query = {
            'topic': _TOPICS[topic],
            'part': 0,
            'from': offset,
            'waitMs': wait,
        }
        timeout = Millis(wait + _PATIENCE)
        found = yield self._get(names.READ_PATH, query, timeout)
        return decode_page(found.body, offset)

    @inlineCallbacks
    def read_lease(self) -> Any:
        """Return the ``LeaseState`` of the store."""
        query = {'topic': _LEAD_TOPIC, 'part': 0}
        found = yield self._get(names.NEWEST_PATH, query, _PATIENCE)
        page = _newest_page(found)
        holder = ''
        if page.records:
            held = page.records[0].value.decode('utf-8', 'replace')
            holder = held.removesuffix(_HELD)
        return LeaseState(record_count=page.end, holder=holder)

    @inlineCallbacks
    def append_lease(self, holder: str, expected_count: int) -> Any:
        """Write a record behind ``expected_count``; return whether it was written."""
        query = {'topic': _LEAD_TOPIC, 'part': 0, 'at': expected_count}
        key = _LEAD_KEY.encode()
        # A record without a value would remove the key, so each has one.
        content = bytes([len(key)]) + key + f'{holder}{_HELD}'.encode()
        message = BackendMessage(
            method='POST',
            path=f'{names.APPEND_PATH}?{urlencode(query)}',
            body=_LENGTH.pack(len(content)) + content,
        )
        found = yield self._ask(message, _PATIENCE, also=_CONDITION_FAILED)
        return found.head.status == _OK

    @inlineCallbacks
    def _get(self, path: str, query: dict[str, Any], timeout: Millis) -> Any:
        message = BackendMessage(
            method='GET',
            path=f'{path}?{urlencode(query)}',
        )
        found = yield self._ask(message, timeout)
        return found

    @inlineCallbacks
    def _ask(
        self,
        message: BackendMessage,
        timeout: Millis,
        also: int = _OK,
    ) -> Any:
        path = message.path.partition('?')[0]
        try:
            found = yield self._call(message, timeout)
        except FetchError as error:
            raise StoreUnavailableError(f'{path}: {error}') from None
        status = found.head.status
        if status == _GONE:
            raise StoreGapError(path)
        if status not in {_OK, also}:
            raise StoreUnavailableError(f'{path}: status {status}')
        return found


def decode_page(body: bytes, offset: int) -> StorePage:
    """Read the answer to a read that began at an offset.

    Raises
    ------
    StoreUnavailableError
        If the bytes are no such answer.
    """
    records: list[KeyedRecord] = []
    place = _ENDS.size
    try:
        _ENDS.unpack_from(body)
        while place < len(body):
            length = _LENGTH.unpack_from(body, place)[0]
            place += _LENGTH.size
            content = struct.unpack_from(f'{length}s', body, place)[0]
            place += length
            records.append(_keyed(content, offset + len(records)))
    except (struct.error, IndexError) as error:
        raise StoreUnavailableError(f'unreadable records: {error}') from None
    return StorePage(
        records=tuple(records),
        next_offset=offset + len(records),
    )


def _keyed(content: bytes, offset: int) -> KeyedRecord:
    """Read one keyed record; without a value it removes the key."""
    end = 1 + content[0]
    return KeyedRecord(
        key=content[1:end].decode('utf-8', 'replace'),
        offset=offset,
        value=content[end:] or None,
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class _NewestPage:
    """One page of the newest records of each key."""

    records: tuple[KeyedRecord, ...]
    end: int
    has_more: bool


def _newest_page(found: Fetched) -> _NewestPage:
    """Read one page.

    Raises
    ------
    StoreUnavailableError
        If the answer is no such page.
    """
    try:
        document = json.loads(found.body)
        records = tuple(_newest(item) for item in document['items'])
        return _NewestPage(
            records=records,
            end=int(document['end']),
            has_more=bool(document.get('more')) and bool(records),
        )
    except (LookupError, TypeError, ValueError) as error:
        kind = type(error).__name__
        raise StoreUnavailableError(f'unreadable answer: {kind}') from None


def _newest(item: dict[str, Any]) -> KeyedRecord:
    return KeyedRecord(
        key=str(item['key']),
        offset=int(item['offset']),
        value=base64.b64decode(item['value']),
    )
