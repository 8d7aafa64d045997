"""Cap'n Proto encoding of records and of messages between routers."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import capnp

from yuccagauge.claims.base import (
    DIGEST_BYTES,
    Claim,
    ClaimDecision,
    ClaimRecordError,
    Expired,
    Granted,
    Held,
    InvalidKey,
    Mismatch,
    Outcome,
    Record,
    Release,
    Replay,
    Unavailable,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.position import UNKNOWN_ERA

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name('records.capnp')))

#: Largest message that is decoded.
MAXIMUM_MESSAGE_BYTES = 4_000_000


@dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """The content of one log record."""

    records: tuple[Record, ...]
    #: The newest era of the log that the writer knew.
    era: int = UNKNOWN_ERA


def encode_batch(records: Iterable[Record], era: int = UNKNOWN_ERA) -> bytes:
    """Return the payload of one log record."""
    entries = tuple(records)
    message = _SCHEMA.Batch.new_message(era=era)
    builders = message.init('records', len(entries))
    for builder, record in zip(builders, entries, strict=True):
        _write_record(builder, record)
    return message.to_bytes_packed()


def decode_batch(payload: bytes) -> tuple[Record, ...]:
    """Return the records of one log record.

    Raises
    ------
    ClaimRecordError
        If the bytes are no batch.
    """
    return decode_whole_batch(payload).records


def decode_whole_batch(payload: bytes) -> Batch:
    """Return the content of one log record.

    Raises
    ------
    ClaimRecordError
        If the bytes are no batch.
    """
    return _decode(payload, _SCHEMA.Batch, _read_batch)


def encode_forwarded(record: Record, timeout: Millis) -> bytes:
    """Return the message that passes a record on to another router."""
    message = _SCHEMA.Forwarded.new_message(timeoutMs=timeout)
    _write_record(message.init('record'), record)
    return message.to_bytes_packed()


def decode_forwarded(payload: bytes) -> tuple[Record, Millis]:
    """Return a passed-on record and the time for it, in milliseconds.

    Raises
    ------
    ClaimRecordError
        If the bytes are no such message.
    """
    return _decode(payload, _SCHEMA.Forwarded, _read_forwarded)


def encode_decision(decision: ClaimDecision | None) -> bytes:
    """Return the answer to a passed-on record; ``None`` if recorded."""
    message = _SCHEMA.Decision.new_message()
    if isinstance(decision, Replay):
        outcome = message.init('replay')
        _write_answer(outcome, decision.status, decision.body)
    elif isinstance(decision, Unavailable):
        message.unavailable = decision.appended
    else:
        setattr(message, _DECISION_NAMES[type(decision)], None)
    return message.to_bytes_packed()


def decode_decision(payload: bytes, claim: Record) -> ClaimDecision | None:
    """Return the decision on a passed-on record; ``None`` if recorded.

    Raises
    ------
    ClaimRecordError
        If the bytes are no decision.
    """
    return _decode(
        payload,
        _SCHEMA.Decision,
        lambda message: _read_decision(message, claim),
    )


_DECISION_NAMES = {
    Granted: 'granted',
    Held: 'held',
    Mismatch: 'mismatch',
    Expired: 'expired',
    InvalidKey: 'invalidKey',
    type(None): 'recorded',
}


def _write_record(builder: Any, record: Record) -> None:
    builder.key = record.key
    builder.claimId = record.claim_id
    builder.keyTime = record.key_time
    if isinstance(record, Claim):
        builder.claim = record.fingerprint
    elif isinstance(record, Release):
        builder.release = None
    else:
        _write_answer(builder.init('outcome'), record.status, record.body)


def _write_answer(builder: Any, status: int, body: bytes | None) -> None:
    builder.status = status
    if body is None:
        builder.dropped = None
    else:
        builder.body = body


def _read_batch(message: Any) -> Batch:
    return Batch(
        records=tuple(_read_record(entry) for entry in message.records),
        era=message.era,
    )


def _read_forwarded(message: Any) -> tuple[Record, Millis]:
    return _read_record(message.record), Millis(message.timeoutMs)


def _read_record(message: Any) -> Record:
    fields = {
        'key': _digest(message.key),
        'claim_id': _digest(message.claimId),
        'key_time': Millis(message.keyTime),
    }
    kind = message.which()
    if kind == 'claim':
        return Claim(fingerprint=_digest(message.claim), **fields)
    if kind == 'release':
        return Release(**fields)
    answer = message.outcome
    return Outcome(status=answer.status, body=_read_body(answer), **fields)


def _read_body(answer: Any) -> bytes | None:
    return bytes(answer.body) if answer.which() == 'body' else None


def _digest(field: bytes) -> bytes:
    if len(field) != DIGEST_BYTES:
        raise ClaimRecordError(f'digest of {len(field)} bytes')
    return bytes(field)


def _read_decision(message: Any, claim: Record) -> ClaimDecision | None:
    kind = message.which()
    if kind == 'granted':
        return Granted(
            claim_id=claim.claim_id,
            key=claim.key,
            key_time=claim.key_time,
        )
    if kind == 'replay':
        answer = message.replay
        return Replay(status=answer.status, body=_read_body(answer))
    if kind == 'unavailable':
        return Unavailable(appended=message.unavailable)
    if kind == 'invalidKey':
        return InvalidKey(reason='refused by the preferred router')
    plain = {'held': Held, 'mismatch': Mismatch, 'expired': Expired}
    return plain[kind]() if kind in plain else None


def _decode(payload: bytes, schema: Any, read: Callable[[Any], Any]) -> Any:
    if len(payload) > MAXIMUM_MESSAGE_BYTES:
        raise ClaimRecordError(f'message of {len(payload)} bytes')
    try:
        return read(schema.from_bytes_packed(payload))
    except (capnp.KjException, ValueError, KeyError) as error:
        first_line = str(error).partition('\n')[0]
        raise ClaimRecordError(f'not a message: {first_line}') from error
