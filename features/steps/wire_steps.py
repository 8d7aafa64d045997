"""Steps for the messages between routers."""

import contextlib
import dataclasses
import socket
import typing
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as for_any
from hypothesis import settings
from hypothesis import strategies as st
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from features.loop import wait_for_call, wait_until
from yuccagauge.clock import Millis
from yuccagauge.errors import UnavailableError
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire import messages
from yuccagauge.wire.base import KINDS, Received
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.codec import decode, encode
from yuccagauge.wire.datagram import DatagramEndpoint
from yuccagauge.wire.errors import (
    MalformedMessageError,
    UnknownKindError,
    WireError,
)
from yuccagauge.wire.server import PeerServer

_LOOPBACK = Endpoint('127.0.0.1', 0)
_SOURCE = Endpoint('127.0.0.1', 7100)
_PROPERTY = settings(derandomize=True, database=None, deadline=None)
_REQUEST = messages.DocumentRequest(service='matcher-llm', above=3)
_BOUNDS = {'state': 255, 'topic': 255, 'scope': 255, 'status': 65535}
_BOUNDS |= {'limit': 65535, 'version': 2**64 - 1, 'above': 2**64 - 1}
_BOUNDS |= {'as_of': 2**64 - 1}


def _field_values(name: str, hint: Any) -> st.SearchStrategy[Any]:
    if hint is int:
        return st.integers(0, _BOUNDS.get(name, 2**32 - 1))
    if hint is Endpoint:
        hosts = st.sampled_from(['10.1.2.3', '2001:db8::7'])
        return st.builds(Endpoint, hosts, st.integers(0, 65535))
    if typing.get_origin(hint) is tuple:
        part = typing.get_args(hint)[0]
        return st.lists(_values(part), max_size=4).map(tuple)
    plain = {
        str: st.text(
            st.characters(exclude_categories=['Cs'], exclude_characters='\0'),
        ),
        bytes: st.binary(max_size=64),
        bool: st.booleans(),
    }
    return plain[hint]


def _values(message: type) -> st.SearchStrategy[Any]:
    hints = typing.get_type_hints(message)
    return st.builds(
        message,
        **{
            field.name: _field_values(field.name, hints[field.name])
            for field in dataclasses.fields(message)
        },
    )


def _close_later(context: Context, *closables: Any) -> None:
    for closable in closables:
        context.add_cleanup(wait_for_call, closable.close)


@then('any wire message is equal after a round trip')
def then_round_trip(context: Context) -> None:
    """Generate messages of all kinds from their data classes."""

    @_PROPERTY
    @for_any(
        st.sampled_from(sorted(KINDS)).flatmap(
            lambda kind: _values(KINDS[kind])
        ),
        st.integers(0, 2**32 - 1),
    )
    def check(message: Any, sequence: int) -> None:
        received = decode(encode(message, 'router-1', sequence), _SOURCE)
        assert received.message == message
        assert (received.sender, received.sequence) == ('router-1', sequence)

    check()


@then('the wire decoder refuses arbitrary and damaged bytes cleanly')
def then_damaged(context: Context) -> None:
    """No other exception may leave the decoder, whatever arrives."""
    update = messages.MemberUpdate(
        name='a',
        peer=_SOURCE,
        data_centre='khomas-a',
        region='khomas',
        incarnation=1,
        state=0,
    )
    sound = encode(messages.Gossip(updates=(update, update)), 'router-1')

    @_PROPERTY
    @for_any(
        st.binary(max_size=200),
        st.integers(0, len(sound) - 1),
        st.integers(0, 255),
    )
    def check(noise: bytes, index: int, byte: int) -> None:
        damaged = bytearray(sound)
        damaged[index] = byte
        for packed in (noise, bytes(damaged), sound[:index]):
            with contextlib.suppress(MalformedMessageError, UnknownKindError):
                decode(packed, _SOURCE)

    check()


@given('two wire datagram endpoints')
def given_datagram_endpoints(context: Context) -> None:
    """Open both on ephemeral ports."""
    context.near = DatagramEndpoint(reactor, _LOOPBACK, 'near')
    context.far = DatagramEndpoint(reactor, _LOOPBACK, 'far')
    context.received = []
    context.far.add_handler(messages.Ping, context.received.append)
    for endpoint in (context.near, context.far):
        endpoint.start()
    _close_later(context, context.near, context.far)


@when(
    'a wire datagram of an unknown kind, one of another version '
    'and a ping arrive',
)
def when_unknown(context: Context) -> None:
    """Patch the kind and the version of a sound packed envelope."""
    ping = messages.Ping(target='far')
    sound = encode(ping, 'near')
    # Packed form: segment table, root pointer, then the data word with a
    # tag byte, the version and the kind.
    position = sound.index(b'\x01\x01')
    other_version = sound[:position] + b'\x09\x01' + sound[position + 2 :]
    other_kind = sound[:position] + b'\x01\xee' + sound[position + 2 :]
    for packed in (other_kind, other_version):
        try:
            decode(packed, _SOURCE)
        except UnknownKindError:
            context.near.send_packed((context.far.endpoint,), ping, packed)
            continue
        raise AssertionError('the patch did not change kind or version')
    context.near.send(context.far.endpoint, ping)


@then('only the ping reaches the wire handler')
def then_only_ping(context: Context) -> None:
    """Datagrams on loopback keep their order, so the ping comes last."""
    wait_until(lambda: bool(context.received))
    assert [received.sender for received in context.received] == ['near']


@then('sending a wire message of {size:d} bytes raises "{name}"')
def then_too_long(context: Context, size: int, name: str) -> None:
    """Send noise, which the packing cannot shorten."""
    share = messages.LoadShare(age_ms=1, readings=b'\xa5' * size)
    try:
        context.near.send(context.far.endpoint, share)
    except WireError as error:
        assert type(error).__name__ == name
        return
    raise AssertionError('the message was sent')


def _answer(received: Received) -> messages.DocumentReply:
    return messages.DocumentReply(
        found=True,
        service='matcher-llm',
        version=received.message.above,
    )


class _Answers:
    """What the server of a scenario does with a request."""

    def __init__(self) -> None:
        self.server: PeerServer | None = None
        self.waiting: list[Deferred[Any]] = []

    def behave(self, name: str) -> Any:
        methods = {
            'answers': _answer,
            'answers later': self.later,
            'answers in reverse': self.reverse,
            'fails': self.fail,
            'never answers': self.never,
            'closes the connection': self.close,
        }
        return methods[name]

    def later(self, received: Received) -> Any:
        answer: Deferred[Any] = Deferred()
        reactor.callLater(0.01, answer.callback, _answer(received))
        return answer

    def reverse(self, received: Received) -> Any:
        answer: Deferred[Any] = Deferred()
        answer.addCallback(lambda _nothing: _answer(received))
        self.waiting.append(answer)
        if len(self.waiting) == 5:
            for waiting in reversed(self.waiting):
                waiting.callback(None)
        return answer

    def fail(self, received: Received) -> None:
        raise UnavailableError('no document')

    def never(self, received: Received) -> Any:
        return Deferred()

    def close(self, received: Received) -> Any:
        self.server.close()
        return Deferred()


@given('a wire server that "{behaviour}"')
def given_server(context: Context, behaviour: str) -> None:
    """Start a server and a client, with certificates if there are any."""
    tls = getattr(context, 'tls', {'server': None, 'client': None})
    server = PeerServer(reactor, _LOOPBACK, 'far', tls['server'])
    answers = _Answers()
    answers.server = server
    server.start()
    context.peer = server.endpoint
    context.client = PeerClient(reactor, 'near', tls['client'])
    _close_later(context, context.client, server)
    if behaviour == 'is down':
        wait_for_call(server.close)
    elif behaviour != 'has no handler':
        handler = answers.behave(behaviour)
        server.add_handler(messages.DocumentRequest, handler)


@when('a wire request is sent with {timeout:d} ms to answer')
def when_request(context: Context, timeout: int) -> None:
    """Send one request and keep the answer or the error."""
    try:
        context.outcome = wait_for_call(
            context.client.request,
            context.peer,
            _REQUEST,
            Millis(timeout),
        )
    except (WireError, UnavailableError) as error:
        context.outcome = error


@then('the wire request ends with "{name}"')
def then_outcome(context: Context, name: str) -> None:
    """Compare the type of the answer or the error."""
    assert type(context.outcome).__name__ == name, repr(context.outcome)


@then('the wire error says "{words}"')
def then_words(context: Context, words: str) -> None:
    """The operator has to see what is wrong with the certificate."""
    assert words in str(context.outcome), str(context.outcome)


@then('the wire error says ""')
def then_no_error(context: Context) -> None:
    """There is none."""
    assert not isinstance(context.outcome, Exception)


@when('{count:d} wire requests are sent at once')
def when_many(context: Context, count: int) -> None:
    """Send requests that differ in one number."""
    context.answers = {}

    def keep(reply: messages.DocumentReply, key: int) -> None:
        context.answers[key] = reply.version

    for number in range(count):
        request = messages.DocumentRequest(service='s', above=number)
        answer = context.client.request(context.peer, request, Millis(9000))
        answer.addCallback(keep, number)
    wait_until(lambda: len(context.answers) == count)


@then('each wire request gets its own answer')
def then_own_answer(context: Context) -> None:
    """The answer repeats the number of its request."""
    assert all(key == found for key, found in context.answers.items())


@when('a raw connection announces a frame of {length:d} bytes')
def when_raw(context: Context, length: int) -> None:
    """Write only the length."""
    raw = socket.create_connection((context.peer.host, context.peer.port))
    context.add_cleanup(raw.close)
    raw.sendall(length.to_bytes(4, 'big'))
    raw.setblocking(False)
    context.raw = raw


@then('the wire server closes the raw connection')
def then_raw_closed(context: Context) -> None:
    """Reading ends at once instead of waiting for the frame."""

    def is_closed() -> bool:
        try:
            return context.raw.recv(1) == b''
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True

    wait_until(is_closed)
