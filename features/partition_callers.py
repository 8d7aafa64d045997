"""Callers that send one request each, for fleets with partitions."""

import re
from dataclasses import dataclass

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from features.partition_servers import EVENTS
from features.relay_fixture import HOST, KEY
from yuccagauge.clock import Clock, Millis

#: How long callers of each kind of request wait for the whole answer.
_PLAIN_DEADLINE = Millis(600)
_STREAM_DEADLINE = Millis(5000)

#: Routes that callers use, and how long they wait there.
DEADLINES = {
    'read': _PLAIN_DEADLINE,
    'book': _PLAIN_DEADLINE,
    'talk': _STREAM_DEADLINE,
    'stream': _STREAM_DEADLINE,
}

#: Routes of requests that may run once.
ONCE_ROUTES = frozenset(('book', 'talk'))

STREAM_ROUTES = frozenset(('talk', 'stream'))

#: Status codes that promise that a request has not run and never will.
PROMISES = frozenset((429, 503))

_SUCCESS = 200
_LAST_CHUNK = b'\r\n0\r\n\r\n'
_STATUS = re.compile(rb'HTTP/1.1 (\d+)')
_LENGTH = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
_EVENT = re.compile(rb'id: (\d+)\n')


@dataclass(slots=True, kw_only=True, eq=False)
class FirstAttempt:
    """What a caller has of its first attempt."""

    request_id: str
    router: str
    route: str
    sent_at: Millis
    body: bytes = b'x'
    #: Whether the router accepted the connection.
    is_connected: bool = False
    status: int = 0
    answered_at: Millis | None = None
    #: Whether the answer is a success with its whole body.
    is_whole: bool = False
    #: Whether the router ended the connection before the answer.
    is_lost: bool = False
    #: The body of the answer, as it arrived.
    answer: bytes = b''

    @property
    def deadline_at(self) -> Millis:
        """When the caller no longer needs the answer."""
        return Millis(self.sent_at + DEADLINES[self.route])

    @property
    def is_served(self) -> bool:
        """Whether the whole answer came in time."""
        return self.is_whole and self.answered_at <= self.deadline_at


class CallerProtocol(Protocol):
    """The caller's side of the connection for one request."""

    def __init__(self, attempt: FirstAttempt, clock: Clock) -> None:
        """Create a caller that is not connected yet."""
        self._attempt = attempt
        self._clock = clock
        self._received = b''

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request."""
        self._attempt.is_connected = True
        self.transport.write(_request(self._attempt))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Note the answer, and leave after it."""
        attempt = self._attempt
        self._received += data
        found = _STATUS.match(self._received)
        attempt.status = int(found.group(1)) if found else 0
        head, _, body = self._received.partition(b'\r\n\r\n')
        length = _LENGTH.search(head)
        is_ended = (
            len(body) >= int(length.group(1))
            if length
            else self._received.endswith(_LAST_CHUNK)
        )
        if is_ended:
            self._finish(body)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Note a connection that ends before the answer."""
        self._attempt.is_lost = not self._attempt.status

    def leave(self) -> None:
        """Close the connection if it is open."""
        if self.transport is not None:
            self.transport.loseConnection()

    def _finish(self, body: bytes) -> None:
        attempt = self._attempt
        attempt.answered_at = self._clock.now()
        attempt.answer = body
        attempt.is_whole = attempt.status == _SUCCESS and (
            attempt.route not in STREAM_ROUTES
            or [int(number) for number in _EVENT.findall(body)]
            == list(range(1, EVENTS + 1))
        )
        self.leave()


def _request(attempt: FirstAttempt) -> bytes:
    lines = [
        f'POST /{attempt.route}/x HTTP/1.1',
        f'Host: {HOST}',
        f'X-Yuccagauge-Request-Id: {attempt.request_id}',
        f'X-Yuccagauge-Deadline-Ms: {DEADLINES[attempt.route]}',
        f'Authorization: Bearer {KEY}',
        f'Content-Length: {len(attempt.body)}',
    ]
    if attempt.route in STREAM_ROUTES:
        lines.append('X-Yuccagauge-Model: m')
        lines.append(
            f'X-Yuccagauge-Prefix-Hash: aa:200,{attempt.request_id}:100'
        )
        lines.append('X-Yuccagauge-Token-Usage: 300,8')
    return '\r\n'.join([*lines, '', '']).encode() + attempt.body
