"""What servers state about the process that runs, in fleets in virtual time."""

import json
import re
from typing import Any, NamedTuple

from twisted.internet.protocol import Protocol

#: How a poll for cache events begins, and the header with its longest wait.
_POLL = b'GET /api/kv-events'
_WAIT = re.compile(rb'wait-ms: (\d+)', re.IGNORECASE)

_EVERYWHERE = frozenset(('entry', 'report'))
_NOWHERE: frozenset[str] = frozenset()

#: The places in which servers state their start, by the words of a feature:
#: at the first start and later ones, for servers of even and odd numbers.
_PLACES = {
    'the entry and the report': (_EVERYWHERE, _EVERYWHERE),
    'the entry': (frozenset(('entry',)),) * 2,
    'the report': (frozenset(('report',)),) * 2,
    'no place': (_NOWHERE, _NOWHERE),
    'both since they were upgraded': (_NOWHERE, _EVERYWHERE),
    'both until they were upgraded': (_EVERYWHERE, _NOWHERE),
}
_EVERY_SECOND = 'both, at every second engine'


class StartedEntry(NamedTuple):
    """What one start of a server writes to the store."""

    server_id: str
    content: bytes
    #: The number of the start.
    start: int


def stating_places(words: str, number: int, starts: int) -> frozenset[str]:
    """Return where a server states its start.

    Parameters
    ----------
    words
        The places, in the words of a feature.
    number, starts
        Number of the server, and of its present start.
    """
    if words == _EVERY_SECOND:
        return _EVERYWHERE if number % 2 else _NOWHERE
    return _PLACES[words][starts > 1]


class PolledProtocol(Protocol):
    """A connection to an engine that answers polls for cache events.

    Parameters
    ----------
    engine
        The engine, which has an ``epoch`` unless it has no such events.
    inner
        Answers everything else.
    """

    def __init__(self, engine: Any, inner: Protocol) -> None:
        """Hand on to another protocol what is not a poll."""
        self._engine = engine
        self._inner = inner

    def connectionMade(self) -> None:  # noqa: N802
        """Hand the connection on to what answers requests."""
        self._inner.makeConnection(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Answer a poll after its wait, or hand the data on."""
        if not data.startswith(_POLL):
            self._inner.dataReceived(data)
            return
        found = _WAIT.search(data)
        wait_s = int(found.group(1)) / 1000 if found else 0
        self._engine.later(wait_s, self._answer)

    def connectionLost(self, *reason: Any) -> None:  # noqa: N802
        """Hand the end on."""
        self._inner.connectionLost(*reason)

    def _answer(self) -> None:
        if self._inner.transport is None:
            return
        epoch = self._engine.epoch
        document = {'bootEpoch': epoch, 'next': 0, 'lost': False, 'events': []}
        body = b'' if epoch is None else json.dumps(document).encode()
        status = b'404' if epoch is None else b'200'
        self.transport.write(
            b'HTTP/1.1 %b X\r\nContent-Length: %d\r\n\r\n%b'
            % (status, len(body), body)
        )
