"""Records of the log of stream origins."""

import json
import struct
from collections.abc import Iterable, Iterator, Mapping, Sequence

from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.documents import parse_document
from yuccagauge.origins.base import KEY_BYTES, StreamOrigin
from yuccagauge.telemetry.journal import log_state_change

#: Keys of one record, so that it stays below the size that the store accepts.
_KEYS_PER_RECORD = 4096

_LENGTH = struct.Struct('>I')
_NAME_LENGTH = struct.Struct('>H')


def encode_records(
    streams: Mapping[StreamOrigin, Sequence[bytes]],
) -> bytes:
    """Return the records with the keys of streams by their origin."""
    return b''.join(
        _encode_record(origin, keys[start : start + _KEYS_PER_RECORD])
        for origin, keys in streams.items()
        for start in range(0, len(keys), _KEYS_PER_RECORD)
    )


def decode_records(
    contents: Iterable[bytes],
) -> Iterator[tuple[bytes, StreamOrigin]]:
    """Return the key and the origin of each stream.

    A malformed record is logged and left out.
    """
    for content in contents:
        try:
            origin, keys = decode_record(content)
        except (struct.error, ValueError, TypeError) as error:
            log_state_change(
                'record_unreadable', key='origins', reason=str(error)
            )
            continue
        for start in range(0, len(keys) - KEY_BYTES + 1, KEY_BYTES):
            yield keys[start : start + KEY_BYTES], origin


def first_offset(body: bytes) -> int:
    """Return the first offset that the store has, by its answer to a gap.

    Raises
    ------
    StoreUnavailableError
        If the answer is malformed.
    """
    try:
        return int(parse_document(body)['first'])
    except (LookupError, TypeError, ValueError) as error:
        kind = type(error).__name__
        raise StoreUnavailableError(f'malformed response: {kind}') from None


def _encode_record(origin: StreamOrigin, keys: Sequence[bytes]) -> bytes:
    name = json.dumps([origin.service, origin.software_version]).encode()
    content = _NAME_LENGTH.pack(len(name)) + name + b''.join(keys)
    return _LENGTH.pack(len(content)) + content


def decode_record(content: bytes) -> tuple[StreamOrigin, bytes]:
    end = _NAME_LENGTH.size + _NAME_LENGTH.unpack_from(content)[0]
    service, version = parse_document(content[_NAME_LENGTH.size : end])
    origin = StreamOrigin(service=str(service), software_version=str(version))
    return origin, content[end:]
