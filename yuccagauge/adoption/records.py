"""The records of configuration streams and their encoding."""

import json
import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.documents import parse_document
from yuccagauge.errors import YuccagaugeError
from yuccagauge.settings.document import DocumentChange
from yuccagauge.settings.reader import RawSections

#: The version in force before the first publication.
NO_VERSION = -1

#: Incremented when a record's meaning changes in a way that old readers would
#: misinterpret.
RECORD_FORMAT = 1

#: Maximum size of a decompressed record; a document of 7,700 customers has
#: 460 KB.
MAXIMUM_RECORD_BYTES = 16_000_000


class RecordError(YuccagaugeError):
    """The bytes are not a valid configuration record."""


class RecordFormatError(RecordError):
    """The format of a record is not supported by this program version."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Publication:
    """A change of a document that requires a certain version in force."""

    #: Random id, by which the publisher finds its record and copies of it.
    publication_id: str
    #: The version that the change was made from, and that it requires.
    replaces: int
    change: DocumentChange
    #: Digest of the whole document after the change.
    digest: str


@dataclass(frozen=True, slots=True, kw_only=True)
class Checkpoint:
    """The complete document in force after the record ``as_of``."""

    version: int
    as_of: int
    sections: RawSections
    #: When the log took the publication of the version; 0 if it is not known.
    published_at: Millis = Millis(0)


def config_stream(service: str) -> str:
    """Return the name of the configuration stream of a service."""
    return f'config-{service}'


def encode_record(record: Publication | Checkpoint) -> bytes:
    """Return a record as compressed JSON."""
    if isinstance(record, Publication):
        fields = {
            'kind': 'publish',
            'id': record.publication_id,
            'replaces': record.replaces,
            'changed': record.change.changed,
            'removed': list(record.change.removed),
            'digest': record.digest,
        }
    else:
        fields = {
            'kind': 'checkpoint',
            'version': record.version,
            'as_of': record.as_of,
            'sections': record.sections,
            'published_ms': record.published_at,
        }
    fields['format'] = RECORD_FORMAT
    return zlib.compress(json.dumps(fields, sort_keys=True).encode())


def decode_record(payload: bytes) -> Publication | Checkpoint:
    """Decode the output of ``encode_record``.

    Raises
    ------
    RecordFormatError
        If the record has another format than ``RECORD_FORMAT``.
    RecordError
        If the bytes are not a valid record.
    """
    fields = _decode_fields(payload)
    if fields.get('format') != RECORD_FORMAT:
        raise RecordFormatError(
            f'unsupported record format {fields.get("format")!r}'
        )
    try:
        return _build_record(fields)
    except (LookupError, TypeError, ValueError) as error:
        raise RecordError(
            f'malformed configuration record: {error!r}'
        ) from error


def _decode_fields(payload: bytes) -> Mapping[str, Any]:
    unpacker = zlib.decompressobj()
    try:
        text = unpacker.decompress(payload, MAXIMUM_RECORD_BYTES)
        fields = parse_document(text)
    except (zlib.error, ValueError, RecursionError) as error:
        raise RecordError(
            f'malformed configuration record: {error!r}'
        ) from error
    if not isinstance(fields, dict):
        raise RecordError('configuration record is not a JSON object')
    return fields


def _build_record(fields: Mapping[str, Any]) -> Publication | Checkpoint:
    if fields['kind'] == 'publish':
        change = DocumentChange(
            changed=_decode_sections(fields['changed']),
            removed=tuple(map(str, fields['removed'])),
        )
        return Publication(
            publication_id=str(fields['id']),
            replaces=int(fields['replaces']),
            change=change,
            digest=str(fields['digest']),
        )
    if fields['kind'] == 'checkpoint':
        return Checkpoint(
            version=int(fields['version']),
            as_of=int(fields['as_of']),
            sections=_decode_sections(fields['sections']),
            published_at=Millis(int(fields.get('published_ms', 0))),
        )
    raise ValueError(fields['kind'])


def _decode_sections(raw: Mapping[str, Mapping[str, str]]) -> RawSections:
    return {
        str(section): {str(key): str(text) for key, text in dict(keys).items()}
        for section, keys in dict(raw).items()
    }
