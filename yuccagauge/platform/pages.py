"""Framing of the records in the answers of the platform's log."""

import struct

from yuccagauge.directory.store import StoreUnavailableError

_RECORD_LENGTH = struct.Struct('>I')

#: End of the log, and the first offset that it has.
_PAGE_HEADER = struct.Struct('>QQ')


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
