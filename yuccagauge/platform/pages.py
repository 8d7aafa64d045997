"""Framing of the records in the answers of the platform's log."""

import base64
import json
import struct
from dataclasses import dataclass
from typing import Any

from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.dispatch.fetch import Fetched
from yuccagauge.documents import replace_surrogates

_RECORD_LENGTH = struct.Struct('>I')

#: End of the log, and the first offset that it has.
_PAGE_HEADER = struct.Struct('>QQ')


@dataclass(frozen=True, slots=True, kw_only=True)
class NewestPage:
    """One page of the newest records of each key."""

    records: tuple[KeyedRecord, ...]
    #: Offset of the next record that is written to the topic.
    end_offset: int
    has_more: bool


def split_page(body: bytes) -> tuple[int, tuple[bytes, ...]]:
    """Return the end offset of the log, and the records of one answer.

    Raises
    ------
    StoreUnavailableError
        If the answer is malformed or truncated.
    """
    contents: list[bytes] = []
    position = _PAGE_HEADER.size
    try:
        end, _ = _PAGE_HEADER.unpack_from(body)
        while position < len(body):
            length = _RECORD_LENGTH.unpack_from(body, position)[0]
            position += _RECORD_LENGTH.size
            contents.extend(struct.unpack_from(f'{length}s', body, position))
            position += length
    except struct.error as error:
        raise StoreUnavailableError(f'malformed records: {error}') from None
    return end, tuple(contents)


def decode_newest_page(response: Fetched) -> NewestPage:
    """Decode one page.

    Raises
    ------
    StoreUnavailableError
        If the body is malformed.
    """
    try:
        document = json.loads(response.body)
        records = tuple(
            _decode_newest_record(item) for item in document['items']
        )
        return NewestPage(
            records=records,
            end_offset=int(document['end']),
            has_more=bool(document.get('more')) and bool(records),
        )
    except (LookupError, TypeError, ValueError) as error:
        kind = type(error).__name__
        raise StoreUnavailableError(f'malformed response: {kind}') from None


def _decode_newest_record(item: dict[str, Any]) -> KeyedRecord:
    return KeyedRecord(
        key=replace_surrogates(str(item['key'])),
        offset=int(item['offset']),
        value=base64.b64decode(item['value']),
    )
