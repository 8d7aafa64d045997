"""Turn messages into bytes and back, by the capnp schema.

Only the serialisation of pycapnp is used. Its event loop and its calls
between processes are left alone, because the process has one reactor.
"""

import dataclasses
import typing
from functools import cache
from pathlib import Path
from typing import Any

import capnp

from yuccagauge.clock import Millis, SystemClock
from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.meter import counter
from yuccagauge.telemetry.recurring import RecurringLog
from yuccagauge.wire.base import (
    KINDS,
    PROTOCOL_VERSION,
    Message,
    Received,
    pack_endpoint,
    unpack_endpoint,
)
from yuccagauge.wire.errors import MalformedMessageError, UnknownKindError

capnp.remove_import_hook()
_SCHEMA = capnp.load(str(Path(__file__).with_name('messages.capnp')))

# Bounds on what a message may make the decoder read, against forged
# pointers: a few times the longest frame, and the depth of the schema.
_TRAVERSAL_LIMIT_WORDS = 2_097_152
_NESTING_LIMIT = 8


@dataclasses.dataclass(frozen=True, slots=True)
class _MessagePlan:
    """How the fields of a message map to those of its struct.

    Each field is given as its name, its name in the schema, and what else its
    form needs.
    """

    #: Numbers, text and bytes, with the value that an unset field has.
    plain: tuple[tuple[str, str, Any], ...]
    endpoints: tuple[tuple[str, str], ...]
    #: Lists, with the messages that they hold.
    lists: tuple[tuple[str, str, type[Message]], ...]


#: Errors of a field that its struct cannot hold.
_PACKING_ERRORS = (
    AttributeError,
    OverflowError,
    TypeError,
    ValueError,
    capnp.KjException,
)

_LEFT_OUT_PARTS = counter(
    'yuccagauge.wire.left_out_parts',
    'Parts that a message could not hold and left out, by field.',
    '{part}',
)

#: Time between two log lines about the same field.
_LOG_INTERVAL = Millis(10_000)

log_limiter = RecurringLog(SystemClock(), _LOG_INTERVAL)


def encode(message: Message, sender: str, sequence: int = 0) -> bytes:
    """Return the packed bytes of a message in its envelope.

    Parts that cannot be packed are left out, because the others would be lost
    with them for as long as they are sent.
    """
    try:
        return _encode(message, sender, sequence)
    except _PACKING_ERRORS:
        return _encode(_packable(message), sender, sequence)


def _encode(message: Message, sender: str, sequence: int) -> bytes:
    envelope = _SCHEMA.Envelope.new_message(
        version=PROTOCOL_VERSION,
        kind=message.kind,
        sender=sender,
        sequence=sequence,
    )
    body = envelope.body.as_struct(_struct(type(message)))
    _fill(body, message)
    return envelope.to_bytes_packed()


def decode(packed: bytes, source: Endpoint) -> Received:
    """Read the bytes of one message.

    Raises
    ------
    UnknownKindError
        If the version or the kind is not known here.
    MalformedMessageError
        If the bytes are not a message of the schema.
    """
    try:
        return _decode(packed, source)
    except (capnp.KjException, ValueError) as error:
        reason = str(error).partition('\n')[0]
        raise MalformedMessageError(f'from {source}: {reason}') from None


def part_size(part: Message) -> int:
    """Return an upper bound of the packed size of a part, in bytes."""
    struct = _struct(type(part)).new_message()
    _fill(struct, part)
    return len(struct.to_bytes_packed())


def _decode(packed: bytes, source: Endpoint) -> Received:
    envelope = _SCHEMA.Envelope.from_bytes_packed(
        packed,
        traversal_limit_in_words=_TRAVERSAL_LIMIT_WORDS,
        nesting_limit=_NESTING_LIMIT,
    )
    if envelope.version != PROTOCOL_VERSION:
        raise UnknownKindError(f'version {envelope.version} from {source}')
    message = KINDS.get(envelope.kind)
    if message is None:
        raise UnknownKindError(f'kind {envelope.kind} from {source}')
    return Received(
        message=_read(envelope.body.as_struct(_struct(message)), message),
        sender=envelope.sender,
        sequence=envelope.sequence,
        source=source,
    )


def _packable(message: Message) -> Message:
    """Return a message without the parts that cannot be packed."""
    changes: dict[str, tuple[Message, ...]] = {}
    for name, _, _ in _plan(type(message)).lists:
        parts = getattr(message, name)
        kept = tuple(part for part in parts if _is_packable(part, name))
        if len(kept) < len(parts):
            changes[name] = kept
    return dataclasses.replace(message, **changes)


def _is_packable(part: Message, field: str) -> bool:
    try:
        part_size(part)
    except _PACKING_ERRORS as error:
        _LEFT_OUT_PARTS.add(1, {'field': field})
        log_limiter.write(
            'part_left_out',
            field,
            kind=type(part).__name__,
            reason=f'{type(error).__name__}: {error}',
        )
        return False
    return True


@cache
def _struct(message: type[Message]) -> Any:
    name = message.__name__.removesuffix('Part')
    return getattr(_SCHEMA, name)


@cache
def _plan(message: type[Message]) -> _MessagePlan:
    hints = typing.get_type_hints(message)
    unset = _struct(message).new_message()
    plain: list[tuple[str, str, Any]] = []
    endpoints: list[tuple[str, str]] = []
    lists: list[tuple[str, str, type[Message]]] = []
    for field in dataclasses.fields(message):
        hint = hints[field.name]
        head, *rest = field.name.split('_')
        wire_name = head + ''.join(word.capitalize() for word in rest)
        if hint is Endpoint:
            endpoints.append((field.name, wire_name))
        elif typing.get_origin(hint) is tuple:
            part = typing.get_args(hint)[0]
            lists.append((field.name, wire_name, part))
        else:
            default = getattr(unset, wire_name)
            plain.append((field.name, wire_name, default))
    return _MessagePlan(tuple(plain), tuple(endpoints), tuple(lists))


def _fill(struct: Any, message: Message) -> None:
    """Set the fields that differ from those of an empty struct."""
    plan = _plan(type(message))
    for name, wire_name, default in plan.plain:
        value = getattr(message, name)
        if value != default:
            setattr(struct, wire_name, value)
    for name, wire_name in plan.endpoints:
        setattr(struct, wire_name, pack_endpoint(getattr(message, name)))
    for name, wire_name, _ in plan.lists:
        value = getattr(message, name)
        if value:
            parts = struct.init(wire_name, len(value))
            for index, part in enumerate(value):
                _fill(parts[index], part)


def _read(struct: Any, message: type[Message]) -> Message:
    plan = _plan(message)
    values = {
        name: getattr(struct, wire_name) for name, wire_name, _ in plan.plain
    }
    for name, wire_name in plan.endpoints:
        values[name] = unpack_endpoint(bytes(getattr(struct, wire_name)))
    for name, wire_name, part in plan.lists:
        found = getattr(struct, wire_name)
        values[name] = tuple([_read(each, part) for each in found])
    return message(**values)
