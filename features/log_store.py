"""A stand-in of the platform's log: keyed topics and conditions."""

import base64
import json
import struct
from typing import Any
from urllib.parse import parse_qs, urlsplit

from features.loop import wait_for_call
from features.scripted_server import Exchange, ScriptedServer

_ENDS = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


def pack_record(key: str, value: bytes) -> bytes:
    """Return one keyed record with its length."""
    content = bytes([len(key)]) + key.encode() + value
    return _LENGTH.pack(len(content)) + content


class LogStore:
    """Keeps keyed topics in memory."""

    def __init__(self) -> None:
        """Start empty, on a free port."""
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._body = b''
        #: Answered instead of everything else, if set.
        self.status = 0
        self.answer = b'{}'
        self.is_silent = False
        #: Calls that are carried out and get no answer.
        self.lost_answers = 0
        #: The oldest offset of each topic that can still be read on from.
        self._first: dict[str, int] = {}
        self._server = ScriptedServer(self._serve)

    @property
    def endpoint(self) -> Any:
        """Where it listens."""
        return self._server.endpoint

    def start(self) -> None:
        """Open the port."""
        wait_for_call(self._server.start)

    def close(self) -> None:
        """Close the port."""
        wait_for_call(self._server.close)

    def write(self, topic: str, key: str, value: bytes) -> None:
        """Append a record."""
        self._topics.setdefault(topic, []).append((key, value))

    def forget(self, topic: str) -> None:
        """Drop the history of a topic; the newest records stay."""
        self._first[topic] = len(self._topics[topic])

    def _serve(self, exchange: Exchange) -> None:
        if self.is_silent:
            return
        if self.status:
            exchange.answer(self.status, self.answer)
            return
        parts = urlsplit(exchange.path)
        query = {name: each[0] for name, each in parse_qs(parts.query).items()}
        self._body = exchange.body
        call = getattr(self, parts.path.rpartition('-')[2])
        status, body = call(query)
        if self.lost_answers:
            self.lost_answers -= 1
            return
        exchange.answer(status, body)

    def newest(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return the newest record of each key."""
        records = self._topics.get(query['topic'], [])
        newest = {key: (at, value) for at, (key, value) in enumerate(records)}
        items = [
            {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'offset': at,
            }
            for key, (at, value) in newest.items()
            if value
        ]
        document = {'items': items, 'more': False, 'end': len(records)}
        return 200, json.dumps(document).encode()

    def read(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Return the records from an offset on."""
        records = self._topics.get(query['topic'], [])
        start = int(query['from'])
        first = self._first.get(query['topic'], 0)
        if start < first:
            return 410, json.dumps({'first': first}).encode()
        packed = b''.join(
            pack_record(key, value) for key, value in records[start:]
        )
        return 200, _ENDS.pack(len(records), first) + packed

    def append(self, query: dict[str, str]) -> tuple[int, bytes]:
        """Append one keyed record if the topic still ends where it should."""
        records = self._topics.setdefault(query['topic'], [])
        if int(query['at']) != len(records):
            return 412, json.dumps({'end': len(records)}).encode()
        content = self._body[_LENGTH.size :]
        end = 1 + content[0]
        records.append((content[1:end].decode(), content[end:]))
        answer = {'offset': len(records) - 1, 'end': len(records)}
        return 200, json.dumps(answer).encode()
