"""A test double of the platform's log, with conditional appends."""

import base64
import json
import struct
from collections.abc import Iterator
from typing import Any
from urllib.parse import parse_qs, urlsplit

from features.loop import wait_for_call
from features.scripted_server import Exchange, ScriptedServer

_PAGE_HEADER = struct.Struct('>QQ')
_RECORD_LENGTH = struct.Struct('>I')


def pack_record(key: str, value: bytes) -> bytes:
    """Encode one keyed record, preceded by its length."""
    content = bytes([len(key)]) + key.encode() + value
    return _RECORD_LENGTH.pack(len(content)) + content


class LogStore:
    """Keeps keyed topics in memory."""

    def __init__(self) -> None:
        """Create an empty store on a free port; does not listen yet."""
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._body = b''
        #: Status and body of every response; used only if the status is set.
        self.status = 0
        self.response_body = b'{}'
        self.is_unresponsive = False
        #: Number of requests to carry out without a response.
        self.lost_responses = 0
        #: The oldest offset of each topic from which records can be read.
        self._first_offsets: dict[str, int] = {}
        self._server = ScriptedServer(self._serve)

    @property
    def endpoint(self) -> Any:
        """The address at which the store listens."""
        return self._server.endpoint

    def start(self) -> None:
        """Start to listen."""
        wait_for_call(self._server.start)

    def close(self) -> None:
        """Stop listening."""
        wait_for_call(self._server.close)

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record."""
        self._topics.setdefault(topic, []).append((key, value))

    def drop_old_records(self, topic: str) -> None:
        """Drop the old records of a topic; keep the newest of each key."""
        self._first_offsets[topic] = len(self._topics[topic])

    def _serve(self, exchange: Exchange) -> None:
        if self.is_unresponsive:
            return
        if self.status:
            exchange.answer(self.status, self.response_body)
            return
        parts = urlsplit(exchange.path)
        query = {name: each[0] for name, each in parse_qs(parts.query).items()}
        self._body = exchange.body
        # The methods below are named after the last word of the path.
        handler = getattr(self, parts.path.rpartition('-')[2])
        status, body = handler(query)
        if self.lost_responses:
            self.lost_responses -= 1
            return
        exchange.answer(status, body)

    def newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return the newest record of each key."""
        records = self._topics.get(query['topic'], [])
        newest = {
            key: (offset, value) for offset, (key, value) in enumerate(records)
        }
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': offset,
            }
            for key, (offset, value) in newest.items()
            if value
        ]
        document = {'items': items, 'more': False, 'end': len(records)}
        return 200, json.dumps(document).encode()

    def read(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return the records from an offset on, or 410 if they were dropped."""
        records = self._topics.get(query['topic'], [])
        start = int(query['from'])
        first = self._first_offsets.get(query['topic'], 0)
        if start < first:
            return 410, json.dumps({'first': first}).encode()
        packed = b''.join(
            pack_record(key, value) for key, value in records[start:]
        )
        return 200, _PAGE_HEADER.pack(len(records), first) + packed

    def append(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Append keyed records if the topic ends at the given offset."""
        records = self._topics.setdefault(query['topic'], [])
        if int(query.get('at', len(records))) != len(records):
            return 412, json.dumps({'end': len(records)}).encode()
        first = len(records)
        records.extend(_unpack_records(self._body))
        answer = {'offset': first, 'end': len(records)}
        return 200, json.dumps(answer).encode()


def _unpack_records(body: bytes) -> Iterator[tuple[str, bytes]]:
    while body:
        end = _RECORD_LENGTH.size + _RECORD_LENGTH.unpack_from(body)[0]
        content = body[_RECORD_LENGTH.size : end]
        body = body[end:]
        key_end = 1 + content[0]
        yield content[1:key_end].decode(), content[key_end:]
