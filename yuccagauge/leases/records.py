"""Records of the lease stream and their encoding."""

import json
from dataclasses import dataclass
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.errors import YuccagaugeError

#: Name of the stream that carries all leases.
LEASE_STREAM = 'leases'

#: Longest time to live. It bounds how long a lease can last whose record
#: was trimmed before a reader saw it.
MAXIMUM_TTL = Millis(60_000)

#: A holder stops this long before its lease ends. It covers the difference
#: between its clock's rate and the log's, and the time between its check of
#: the lease and the moment its order leaves.
MARGIN = Millis(500)


class LeaseRecordError(YuccagaugeError):
    """Bytes that are no lease record."""


class LeaseTtlError(YuccagaugeError):
    """A time to live that no lease can have."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Acquire:
    """Ask for a lease; its fence is the record's offset."""

    resource: str
    holder: str
    #: Random; a second copy of the record changes nothing.
    nonce: str
    ttl: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class Renew:
    """Move the end of a lease to the record's log time plus its ttl."""

    resource: str
    fence: int
    nonce: str
    ttl: Millis


@dataclass(frozen=True, slots=True, kw_only=True)
class GiveBack:
    """End a lease early."""

    resource: str
    fence: int
    nonce: str


LeaseRecord = Acquire | Renew | GiveBack

_KINDS = {'acquire': Acquire, 'renew': Renew, 'release': GiveBack}
_NAMES = {kind: name for name, kind in _KINDS.items()}


def encode_lease(record: LeaseRecord) -> bytes:
    """Return the JSON form of a record."""
    fields = {name: getattr(record, name) for name in record.__slots__}
    fields['kind'] = _NAMES[type(record)]
    return json.dumps(fields, sort_keys=True).encode()


def decode_lease(payload: bytes) -> LeaseRecord:
    """Return the record that ``encode_lease`` encoded.

    Raises
    ------
    LeaseRecordError
        If the bytes are no lease record.
    """
    try:
        fields: dict[str, Any] = json.loads(payload)
        kind = _KINDS[fields.pop('kind')]
        record = kind(**fields)
    except (ValueError, LookupError, TypeError, AttributeError) as error:  # noqa: WPS239
        raise LeaseRecordError(f'lease record: {error!r}') from error
    if not isinstance(getattr(record, 'ttl', 0), int):
        raise LeaseRecordError('lease record: ttl is not a number')
    return record
