"""Turn messages into bytes and back, by the capnp schema.

Only the serialisation of pycapnp is used. Its event loop and its calls
between processes are left alone, because the process has one reactor.
"""

import dataclasses
import typing
from collections.abc import Callable
from functools import cache
from pathlib import Path
from typing import Any

import capnp

from yuccagauge.settings.options import Endpoint
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
class _FieldPlan:
    """How one field of a message maps to its struct."""

    name: str
    wire_name: str
    #: ``plain``, ``endpoint`` or ``list``.
    form: str
    part: type[Message] | None


def encode(message: Message, sender: str, sequence: int = 0) -> bytes:
    """Return the packed bytes of a message in its envelope."""
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


@cache
def _struct(message: type[Message]) -> Any:
    name = message.__name__.removesuffix('Part')
    return getattr(_SCHEMA, name)


@cache
def _plan(message: type[Message]) -> tuple[_FieldPlan, ...]:
    hints = typing.get_type_hints(message)
    plans: list[_FieldPlan] = []
    for field in dataclasses.fields(message):
        hint = hints[field.name]
        form = 'endpoint' if hint is Endpoint else 'plain'
        part = None
        if typing.get_origin(hint) is tuple:
            form = 'list'
            part = typing.get_args(hint)[0]
        head, *rest = field.name.split('_')
        wire_name = head + ''.join(word.capitalize() for word in rest)
        plans.append(_FieldPlan(field.name, wire_name, form, part))
    return tuple(plans)


def _fill(struct: Any, message: Message) -> None:
    for plan in _plan(type(message)):
        value = getattr(message, plan.name)
        if plan.form == 'plain':
            setattr(struct, plan.wire_name, value)
        elif plan.form == 'endpoint':
            setattr(struct, plan.wire_name, pack_endpoint(value))
        elif value:
            parts = struct.init(plan.wire_name, len(value))
            for index, part in enumerate(value):
                _fill(parts[index], part)


def _read(struct: Any, message: type[Message]) -> Message:
    return message(
        **{
            plan.name: _READERS[plan.form](
                getattr(struct, plan.wire_name), plan
            )
            for plan in _plan(message)
        }
    )


def _read_plain(value: Any, plan: _FieldPlan) -> Any:
    return value


def _read_endpoint(value: bytes, plan: _FieldPlan) -> Endpoint:
    return unpack_endpoint(bytes(value))


def _read_list(value: Any, plan: _FieldPlan) -> tuple[Message, ...]:
    return tuple(_read(part, plan.part) for part in value)


_READERS: dict[str, Callable[[Any, _FieldPlan], Any]] = {
    'plain': _read_plain,
    'endpoint': _read_endpoint,
    'list': _read_list,
}
