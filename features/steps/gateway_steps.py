"""Steps for the interface for callers."""

import hashlib
import json
import socket

from behave import given, then, when
from behave.runner import Context

from features.loop import run_blocking, wait_for_call, wait_until
from features.router_fleet import (
    CREDENTIAL,
    Answer,
    RouterFleet,
    ask,
    chat_body,
)
from features.scripted_server import Exchange, ScriptedServer, frames
from yuccagauge.settings.options import Endpoint

_CHAT = '/v1/chat/completions'
_BOOKINGS = '/services/roster-api/bookings'
_OTHER = 'another-credential'
_LIMITS = {
    'body_bytes': '4096',
    'header_bytes': '2048',
    'header_timeout_ms': '150',
    'body_timeout_ms': '150',
}
_HEAD = (
    f'POST {_CHAT} HTTP/1.1\r\nHost: router\r\n'
    f'Authorization: Bearer {CREDENTIAL}\r\n'
)
_LONG = 'x' * 5000
_UUID_4 = '0b7d8a4e-2a0c-4c58-9d4b-6a9b8f5c3d21'


def _old_request(method: str, path: str, body: bytes = b'') -> str:
    """Return a request of HTTP/1.0."""
    return (
        f'{method} {path} HTTP/1.0\r\nHost: router\r\n'
        f'Authorization: Bearer {CREDENTIAL}\r\n'
        f'Content-Length: {len(body)}\r\n\r\n{body.decode()}'
    )


#: Bytes on a raw connection.
_RAW_INPUTS = {
    'a body over the limit': f'{_HEAD}Content-Length: 5000\r\n\r\n',
    'a chunked body over the limit': (
        f'{_HEAD}Transfer-Encoding: chunked\r\n\r\n1388\r\n{_LONG}\r\n0\r\n\r\n'
    ),
    'a header over the limit': f'{_HEAD}X-Long: {_LONG}\r\n\r\n',
    'a flood of headers': _HEAD + 'X: y\r\n' * 300 + '\r\n',
    'a stream by HTTP/1.0': _old_request('POST', _CHAT, chat_body()),
    'a collected chat by HTTP/1.0': _old_request(
        'POST', _CHAT, chat_body(stream=False)
    ),
    'a call of bookings by HTTP/1.0': _old_request('GET', _BOOKINGS),
    'a request for a key by HTTP/1.0': _old_request(
        'POST', '/v1/idempotency-keys'
    ),
    'a health check by HTTP/1.0': _old_request('GET', '/healthz'),
    'an unknown route by HTTP/1.0': _old_request('GET', '/v2/none'),
    'no HTTP at all': 'hello router\r\n\r\n',
    'a head that stalls': _HEAD,
    'a body that stalls': f'{_HEAD}Content-Length: 10\r\n\r\n{{',
}

#: Method, path, body and headers of well-formed HTTP requests.
_INPUTS = {
    'a chat of malformed JSON': ('POST', _CHAT, b'{', {}),
    'a chat that is a JSON list': ('POST', _CHAT, b'[]', {}),
    'a chat without messages': ('POST', _CHAT, chat_body(messages=[]), {}),
    'a chat with half a surrogate pair': (
        'POST',
        _CHAT,
        chat_body('\ud800'),
        {},
    ),
    'a chat for an unknown model': ('POST', _CHAT, chat_body(model='m'), {}),
    'a chat for an unknown adapter': (
        'POST',
        _CHAT,
        chat_body(model='matcher-70b:none'),
        {},
    ),
    'a chat beyond the context': ('POST', _CHAT, chat_body('y' * 3000), {}),
    'a chat with a negative timeout': (
        'POST',
        _CHAT,
        chat_body(),
        {'Yuccagauge-Timeout-Ms': '-1'},
    ),
    'a chat without a credential': (
        'POST',
        _CHAT,
        chat_body(),
        {'Authorization': 'Basic eA=='},
    ),
    'a chat with a wrong credential': (
        'POST',
        _CHAT,
        chat_body(),
        {'Authorization': 'Bearer wrong'},
    ),
    'a call by another customer': (
        'GET',
        _BOOKINGS,
        b'',
        {'Authorization': f'Bearer {_OTHER}'},
    ),
    'a call of an unknown service': ('GET', '/services/none/x', b'', {}),
    'a call of an unknown route': ('GET', f'{_BOOKINGS}/x', b'', {}),
    'a request of an unknown route': ('GET', '/v2/none', b'', {}),
    'a request with a wrong method': ('GET', _CHAT, b'', {}),
    'a booking without a key': ('POST', _BOOKINGS, b'{}', {}),
    'a booking with a key without time': (
        'POST',
        _BOOKINGS,
        b'{}',
        {'Idempotency-Key': f'"{_UUID_4}"'},
    ),
    'a booking with two quoted keys': (
        'POST',
        _BOOKINGS,
        b'{}',
        {'Idempotency-Key': '"a", "b"'},
    ),
}


def _stream(exchange: Exchange) -> None:
    request_id = json.loads(exchange.body)['request_id']
    exchange.open_stream('i1', 'w1')
    for event in frames(request_id, 'yes ', 'it fits'):
        exchange.chunk(event)
    exchange.chunk(b'')


@given('a gateway before a scripted engine and a scripted plain server')
def given_gateway(context: Context) -> None:
    """Start both and a router with small limits."""
    fleet = RouterFleet()
    context.add_cleanup(fleet.close)
    context.bodies = []

    def run(exchange: Exchange) -> None:
        context.bodies.append(json.loads(exchange.body))
        _stream(exchange)

    context.engine = ScriptedServer(run)
    context.plain = ScriptedServer(lambda each: each.answer(200, b'{"n": 1}'))
    for server in (context.engine, context.plain):
        wait_for_call(server.start)
        context.add_cleanup(wait_for_call, server.close)
    model = {'weights_version': 'w1', 'context_tokens': '512'}
    other = {'credential_sha256': hashlib.sha256(_OTHER.encode()).hexdigest()}
    sections = {'model matcher-70b': model, 'customer keetmans': other}
    fleet.publish_model([context.engine], **sections)
    fleet.publish_plain([context.plain])
    context.router = fleet.router(limits=_LIMITS)
    fleet.wait_for_engines(1)


@when('the gateway gets {name}')
def when_input(context: Context, name: str) -> None:
    """Send the input."""
    context.refused_before = _refusals(context)
    endpoint = context.router.endpoints[0]
    if name in _RAW_INPUTS:
        context.answer = run_blocking(
            _send_raw,
            endpoint,
            _RAW_INPUTS[name].encode(),
        )
        return
    method, path, body, headers = _INPUTS[name]
    context.answer = ask(endpoint, method, path, body, **headers)


def _send_raw(endpoint: Endpoint, data: bytes) -> Answer:
    address = (endpoint.host, endpoint.port)
    with socket.create_connection(address, timeout=10) as connection:
        connection.sendall(data)
        found = b''
        while part := connection.recv(65_536):
            found += part
    head, _, body = found.partition(b'\r\n\r\n')
    status, *lines = head.decode().split('\r\n')
    pairs = (line.partition(': ') for line in lines)
    return Answer(
        status=int(status.split(' ')[1]),
        headers={pair[0].lower(): pair[2] for pair in pairs},
        body=body,
        broken=False,
    )


def _refusals(context: Context) -> dict[str, float]:
    text = ask(context.router.endpoints[1], 'GET', '/metrics').body.decode()
    found: dict[str, float] = {}
    for line in text.splitlines():
        if line.startswith('yuccagauge_refusals_total{'):
            labels, _, amount = line.rpartition(' ')
            found[labels] = float(amount)
    return found


@then(
    'the gateway answers {status:d} with code "{code}" and verdict "{verdict}"',
)
def then_answer(
    context: Context,
    status: int,
    code: str,
    verdict: str,
) -> None:
    """Check status, header and body."""
    found = context.answer
    assert found.status == status, found
    assert found.error['code'] == code, found
    assert found.verdict == found.error['verdict'] == verdict, found


@then('the answer has status {status:d} and a length')
def then_length(context: Context, status: int) -> None:
    """Guard against answers that end with their connection."""
    found = context.answer
    assert found.status == status, found
    assert found.headers['content-length'] == str(len(found.body)), found


@then('the gateway counted the refusal "{code}"')
def then_counted(context: Context, code: str) -> None:
    """Check that exactly this counter moved."""
    after = _refusals(context)
    moved = {
        labels
        for labels, amount in after.items()
        if amount != context.refused_before.get(labels, 0)
    }
    assert len(moved) == 1, moved
    assert f'code="{code}"' in moved.pop()


@then('no backend server got anything from the gateway')
def then_nothing(context: Context) -> None:
    """Check what the scripted servers saw."""
    assert not context.engine.requests
    assert not context.plain.requests


@when('the gateway issues an idempotency key')
def when_issue(context: Context) -> None:
    """Ask for a key."""
    endpoint = context.router.endpoints[0]
    answered = ask(endpoint, 'POST', '/v1/idempotency-keys')
    assert answered.status == 201, answered
    context.key = json.loads(answered.body)['idempotency_key']


@when('a booking with the issued key reaches the gateway twice')
def when_twice(context: Context) -> None:
    """Book, and again until the outcome is recorded."""
    endpoint = context.router.endpoints[0]
    headers = {'Idempotency-Key': f'"{context.key}"'}
    context.first = ask(endpoint, 'POST', _BOOKINGS, b'{}', **headers)

    def replayed() -> bool:
        context.second = ask(endpoint, 'POST', _BOOKINGS, b'{}', **headers)
        return context.second.status == 200

    wait_until(replayed)


@then('the scripted plain server of the gateway got one booking')
def then_one(context: Context) -> None:
    """Count the calls."""
    assert context.plain.requests == [('POST', '/bookings')]


@then('the second answer is a replay of the first')
def then_replay(context: Context) -> None:
    """Compare the bodies."""
    assert context.second.body == context.first.body
    assert context.second.headers['yuccagauge-replayed'] == 'true'
    assert context.second.verdict == 'answered'


@when('a chat names another cache salt, customer, priority and request id')
def when_own_fields(context: Context) -> None:
    """Send fields that only the router may set."""
    context.forged = {
        'cache_salt': 'salt of another customer',
        'customer': 'keetmans',
        'priority': -100,
        'request_id': 'ygr-forged',
        'prefix_levels': [{'digest': 'ff', 'tokens': 1}],
    }
    body = chat_body(**context.forged)
    endpoint = context.router.endpoints[0]
    context.answer = ask(endpoint, 'POST', _CHAT, body)
    assert context.answer.status == 200, context.answer


@then("the scripted engine of the gateway got the router's own values")
def then_own_values(context: Context) -> None:
    """Check the body that the engine got."""
    got = context.bodies[0]
    assert got['customer'] == 'namport'
    assert got['priority'] == 5
    for name, forged in context.forged.items():
        assert got[name] != forged, name


@when('a chat that is not streamed reaches the gateway')
def when_collected(context: Context) -> None:
    """Ask for one JSON object."""
    endpoint = context.router.endpoints[0]
    body = chat_body(stream=False)
    context.answer = ask(endpoint, 'POST', _CHAT, body)


@then('the gateway answers with one chat completion object')
def then_collected(context: Context) -> None:
    """Check text, usage and verdict."""
    found = context.answer
    completion = json.loads(found.body)
    assert found.verdict == 'answered', found
    assert completion['object'] == 'chat.completion'
    message = completion['choices'][0]['message']
    assert message['content'] == 'yes it fits'
    assert completion['usage']['completion_tokens'] == 2
