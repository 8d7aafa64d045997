"""Requests towards model engines."""

import hashlib
import json
from typing import Any

from yuccagauge.dispatch.base import BackendMessage, Call

_SEED_BYTES = 4
_JSON_TYPE = (b'Content-Type', b'application/json')


def run_message(call: Call) -> BackendMessage:
    """Return the request that runs a chat call on any engine.

    Without a seed of the caller, one is derived from the request id, so
    that a second engine gives the same answer.
    """
    chat = call.chat
    cache_scope = chat.prefix.cache_scope
    levels = [
        {'digest': level.digest.hex(), 'tokens': level.tokens}
        for level in chat.prefix.levels
    ]
    fields: dict[str, Any] = {
        **chat.fields,
        'model': cache_scope.model,
        'adapter': cache_scope.adapter,
        'customer': cache_scope.customer,
        'stream': True,
        'request_id': call.request_id,
        'cache_salt': cache_scope.cache_salt,
        'prefix_levels': levels,
        'priority': call.priority,
    }
    if fields.get('seed') is None:
        fields['seed'] = _seed(call.request_id)
    return BackendMessage(
        method='POST',
        path='/v1/chat/completions',
        headers=(_JSON_TYPE, (b'Accept', b'text/event-stream')),
        body=json.dumps(fields).encode(),
    )


def resume_message(request_id: str, after: int) -> BackendMessage:
    """Return the request for the events behind one of them."""
    return BackendMessage(
        method='GET',
        path=f'/v1/streams/{request_id}?after={after}',
    )


def cancel_message(request_id: str) -> BackendMessage:
    """Return the request that stops a stream."""
    return BackendMessage(method='DELETE', path=f'/v1/streams/{request_id}')


def _seed(request_id: str) -> int:
    digest = hashlib.blake2b(request_id.encode(), digest_size=_SEED_BYTES)
    return int.from_bytes(digest.digest(), 'big')
