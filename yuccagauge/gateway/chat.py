"""Checks the body of a chat completion request."""

import hashlib
import json
from dataclasses import dataclass, field
from typing import Any

from yuccagauge.gateway.refusals import reject
from yuccagauge.prefixes.base import Message

_ADAPTER_MARK = ':'
_DIGEST_BYTES = 16

#: Fields that the router sets itself; a caller's values are dropped.
_OWN_FIELDS = frozenset(
    (
        'adapter',
        'cache_salt',
        'customer',
        'prefix_levels',
        'priority',
        'request_id',
    ),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class ChatBody:
    """A checked body."""

    model: str
    #: Empty for the model itself; ``NAME:ADAPTER`` asks for an adapter.
    adapter: str
    messages: tuple[Message, ...] = field(repr=False)
    stream: bool
    fields: dict[str, Any] = field(repr=False)

    def fingerprint(self, customer: str, service: str) -> bytes:
        """Return the digest by which the request is recognised."""
        digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
        parts = [customer, service, self.model, self.adapter]
        for message in self.messages:
            parts.extend((message.role, message.content))
        for part in parts:
            encoded = part.encode()
            digest.update(len(encoded).to_bytes(4, 'big'))
            digest.update(encoded)
        return digest.digest()


def parse_chat(body: bytes) -> ChatBody:
    """Check a body.

    Raises
    ------
    RefusedError
        If it is not JSON or a field is missing or wrong.
    """
    try:
        decoded = json.loads(body)
    except (ValueError, RecursionError):
        raise reject(400, 'malformed_json', 'the body is not JSON') from None
    if not isinstance(decoded, dict):
        raise _wrong('the body', 'a JSON object')
    model, _, adapter = _text(decoded, 'model').partition(_ADAPTER_MARK)
    stream = decoded.get('stream', False)
    if not isinstance(stream, bool):
        raise _wrong('stream', 'true or false')
    kept = {
        name: value
        for name, value in decoded.items()
        if name not in _OWN_FIELDS
    }
    return ChatBody(
        model=model,
        adapter=adapter,
        messages=_messages(decoded.get('messages')),
        stream=stream,
        fields=kept,
    )


def _messages(found: Any) -> tuple[Message, ...]:
    if not isinstance(found, list) or not found:
        raise _wrong('messages', 'a list of at least one message')
    return tuple(_message(each) for each in found)


def _message(found: Any) -> Message:
    if not isinstance(found, dict):
        raise _wrong('a message', 'a JSON object')
    return Message(_text(found, 'role'), _text(found, 'content'))


def _text(found: dict[str, Any], name: str) -> str:
    text = found.get(name)
    if not isinstance(text, str):
        raise _wrong(name, 'a text')
    try:
        text.encode()
    except UnicodeEncodeError:
        # JSON escapes can spell half of a surrogate pair.
        raise _wrong(name, 'a text of whole characters') from None
    return text


def _wrong(name: str, expected: str) -> Exception:
    return reject(400, 'invalid_field', f'{name}: expected {expected}')
