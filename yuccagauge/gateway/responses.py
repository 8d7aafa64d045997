"""The form of a refusal towards the caller."""

import json
import math

from yuccagauge.verdict import VERDICT_HEADER, Refusal

#: The response header that names a request.
REQUEST_ID_HEADER = 'Yuccagauge-Request-Id'

_MILLISECONDS_PER_SECOND = 1000
_TYPES = {4: 'invalid_request_error', 5: 'server_error'}
_REASONS = {
    400: 'Bad Request',
    408: 'Request Timeout',
    413: 'Content Too Large',
    431: 'Request Header Fields Too Large',
    503: 'Service Unavailable',
}


def error_body(refusal: Refusal, request_id: str) -> bytes:
    """Return the JSON body, in the usual form of model services."""
    error = {
        'message': refusal.message,
        'type': _TYPES[refusal.status // 100],
        'code': refusal.code,
        'verdict': refusal.verdict.value,
        'request_id': request_id,
    }
    if refusal.retry_after is not None:
        error['retry_after_ms'] = refusal.retry_after
    return json.dumps({'error': error}).encode()


def refusal_headers(refusal: Refusal, request_id: str) -> dict[str, str]:
    """Return the headers beside ``error_body``."""
    headers = {
        'Content-Type': 'application/json',
        VERDICT_HEADER: refusal.verdict.value,
    }
    if request_id:
        headers[REQUEST_ID_HEADER] = request_id
    if refusal.retry_after is not None:
        seconds = math.ceil(refusal.retry_after / _MILLISECONDS_PER_SECOND)
        headers['Retry-After'] = str(max(1, seconds))
    if refusal.status == 401:
        headers['WWW-Authenticate'] = 'Bearer'
    return headers


def error_event(refusal: Refusal, request_id: str) -> bytes:
    """Return the event that ends an incomplete stream."""
    body = error_body(refusal, request_id)
    return b'event: error\ndata: ' + body + b'\n\n'


def raw_response(refusal: Refusal) -> bytes:
    """Return a whole response for a connection without a parsed request."""
    body = error_body(refusal, '')
    headers = refusal_headers(refusal, '')
    headers['Content-Length'] = str(len(body))
    headers['Connection'] = 'close'
    reason = _REASONS[refusal.status]
    lines = [f'HTTP/1.1 {refusal.status} {reason}']
    lines.extend(f'{name}: {text}' for name, text in headers.items())
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body
