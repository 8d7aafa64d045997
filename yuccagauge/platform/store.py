"""Calls to the platform's log: keyed topics and the group of routers."""

import base64
import json
import struct
from collections.abc import Callable
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
from yuccagauge.rollout.base import GroupView

_OK = 200
_GONE = 410

_TOPICS = {Topic.OPERATIONS: 'keyed.op', Topic.SERVERS: 'keyed.servers'}

#: Group and topic whose first partition belongs to the leader.
_GROUP = 'routers'
_LEAD_TOPIC = 'lead'
_LEAD_PARTITION = 0

#: Time for an answer, beyond the time that the store may wait.
_PATIENCE = Millis(1500)

_LENGTH = struct.Struct('>I')
_ENDS = struct.Struct('>QQ')

#: Sends a message to the store and returns a Deferred of its answer.
StoreCall = Callable[[BackendMessage, Millis], Deferred[Fetched]]


class PlatformStore:
    """Reads the keyed topics and keeps this router in the group.

    Parameters
    ----------
    call
        Sends a message to the store.
    member
        Name of this router in the group.
    lease
        Time after which the store drops a silent member.
    """

    def __init__(self, call: StoreCall, member: str, lease: Millis) -> None:
        """Prepare without calling."""
        self._call = call
        self._member = member
        self._lease = lease

    @inlineCallbacks
    def newest(self, topic: Topic) -> Any:
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
            document = _json(found)
            if next_offset is None:
                # Pages are no snapshot: what is written meanwhile is read
                # again from the first page's end.
                next_offset = document['end']
            records.extend(_newest(item) for item in document['items'])
            has_more = document.get('more', False) and document['items']
            after = records[-1].key if records else ''
        return StorePage(records=tuple(records), next_offset=next_offset)

    @inlineCallbacks
    def read(self, topic: Topic, offset: int, wait: Millis) -> Any:
        """Return a ``StorePage`` of the records from an offset on."""
        query = {
            'topic': _TOPICS[topic],
            'part': 0,
            'from': offset,
            'waitMs': wait,
        }
        patience = Millis(wait + _PATIENCE)
        found = yield self._get(names.READ_PATH, query, patience)
        return decode_page(found.body, offset)

    @inlineCallbacks
    def join(self, generation: int) -> Any:
        """Join, or stay in the group; return its ``GroupView``."""
        found = yield self._post(
            names.JOIN_PATH,
            {
                'group': _GROUP,
                'member': self._member,
                'topics': [_LEAD_TOPIC],
                'ttlMs': self._lease,
                'generation': generation,
            },
        )
        document = _json(found)
        parts = [(row[0], row[1]) for row in document['parts']]
        return GroupView(
            generation=document['generation'],
            is_leader=(_LEAD_TOPIC, _LEAD_PARTITION) in parts,
        )

    @inlineCallbacks
    def leave(self) -> Any:
        """Leave the group."""
        yield self._post(
            names.LEAVE_PATH,
            {'group': _GROUP, 'member': self._member},
        )

    @inlineCallbacks
    def _get(self, path: str, query: dict[str, Any], patience: Millis) -> Any:
        message = BackendMessage(
            method='GET',
            path=f'{path}?{urlencode(query)}',
        )
        found = yield self._ask(message, patience)
        return found

    @inlineCallbacks
    def _post(self, path: str, document: dict[str, Any]) -> Any:
        message = BackendMessage(
            method='POST',
            path=path,
            headers=((b'Content-Type', b'application/json'),),
            body=json.dumps(document).encode(),
        )
        found = yield self._ask(message, _PATIENCE)
        return found

    @inlineCallbacks
    def _ask(self, message: BackendMessage, patience: Millis) -> Any:
        path = message.path.partition('?')[0]
        try:
            found = yield self._call(message, patience)
        except FetchError as error:
            raise StoreUnavailableError(f'{path}: {error}') from None
        status = found.head.status
        if status == _GONE:
            raise StoreGapError(path)
        if status != _OK:
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


def _newest(item: dict[str, Any]) -> KeyedRecord:
    return KeyedRecord(
        key=item['key'],
        offset=item['offset'],
        value=base64.b64decode(item['value']),
    )


def _json(found: Fetched) -> dict[str, Any]:
    try:
        return json.loads(found.body)
    except ValueError:
        raise StoreUnavailableError('the answer is not JSON') from None
