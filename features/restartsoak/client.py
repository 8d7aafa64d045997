"""Clients that keep connections open, and take streams up elsewhere."""

import asyncio
import json
from collections import deque
from dataclasses import dataclass, field

from features.restartsoak.plan import STREAMS
from features.restartsoak.servers import MODEL
from review import yard

DEADLINE_MS = 15_000
HOST = 'jepu9.example'
_ANSWER_SECONDS = 10
_CONNECT_SECONDS = 1
_MOST_TRIES = 4
_RETRY_SECONDS = 0.1
_OK = 200
_NOT_RUN = frozenset((408, 421, 429, 503))
_READ_BYTES = 65536
#: ValueError and IndexError: what was read is not HTTP.
_FAILURES = (
    OSError,
    ValueError,
    IndexError,
    asyncio.TimeoutError,
    asyncio.IncompleteReadError,
)


@dataclass(slots=True, kw_only=True)
class Answer:
    """What a client has of one answer."""

    router: str
    request_id: str
    status: int = 0
    headers: list = field(default_factory=list)
    body: bytes = b''
    #: Whether it ended as a whole answer does.
    is_complete: bool = False
    error: str = ''

    @property
    def is_unframed(self):
        """Whether the router sent neither a length nor chunks."""
        names = {name.lower() for name, _ in self.headers}
        return not names & {'content-length', 'transfer-encoding'}


class Client:
    """Sends its requests one after the other.

    Parameters
    ----------
    number
        Chooses the first router.
    routers
        All routers.
    """

    def __init__(self, number, routers):
        """Open no connection."""
        self._router = number
        self._routers = routers
        self._connection = None
        #: How many connections it has opened.
        self.opened = 0

    async def run(self, requests, finished):
        """Send the requests; add each with its answers to a list."""
        waiting = deque(requests)
        while waiting:
            request = waiting.popleft()
            await asyncio.sleep(request.rest)
            answers = await self._send(request)
            finished.append((request, answers))
        self._close()

    async def _send(self, request):
        answers = []
        while len(answers) < _MOST_TRIES:
            answer = await self._try(request, answers)
            answers.append(answer)
            if answer.is_complete and answer.status == _OK:
                break
            if not _may_repeat(request, answer):
                break
            self._close()
            self._router += 1
            await asyncio.sleep(_RETRY_SECONDS)
        return answers

    async def _try(self, request, before):
        router = self._routers[self._router % len(self._routers)]
        answer = Answer(router=router.name, request_id=yard.new_id())
        raw = _request_bytes(request, answer.request_id, before)
        try:
            leaves_after = 0 if before else request.leaves_after
            await asyncio.wait_for(
                self._exchange(router, raw, answer, leaves_after),
                _ANSWER_SECONDS,
            )
        except _FAILURES as error:
            answer.error = f'{type(error).__name__} {error}'
        if not answer.is_complete or answer.is_unframed:
            self._close()
        return answer

    async def _exchange(self, router, raw, answer, leaves_after):
        if self._connection is None:
            self._connection = await asyncio.wait_for(
                asyncio.open_connection(*router.front), _CONNECT_SECONDS
            )
            self.opened += 1
        reader, writer = self._connection
        writer.write(raw)
        first, answer.headers = await yard.read_head(reader)
        answer.status = int(first.split()[1])
        await _read_body(reader, answer, leaves_after)
        answer.is_complete = True
        if yard.header(answer.headers, 'Connection').lower() == 'close':
            self._close()

    def _close(self):
        if self._connection is not None:
            self._connection[1].close()
            self._connection = None


async def _read_body(reader, answer, leaves_after):
    length = yard.header(answer.headers, 'Content-Length')
    if length:
        answer.body = await reader.readexactly(int(length))
    elif answer.is_unframed:
        while part := await reader.read(_READ_BYTES):
            answer.body += part
    else:
        while size := int(await reader.readline(), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
            if leaves_after and answer.body.count(b'\n\n') >= leaves_after:
                raise ConnectionAbortedError('the client leaves')
        await reader.readexactly(2)


def _may_repeat(request, answer):
    """Return whether a client may send a request again after an answer."""
    if answer.is_complete and answer.status in _NOT_RUN:
        return True
    return request.route in {'talk', 'read'}


def _request_bytes(request, request_id, before):
    more = []
    if request.route in STREAMS:
        # Two shared parts, and one of the request itself.
        part = int(request.label.split('.')[0]) % 4
        more += [
            (f'{yard.PREFIX}Model', MODEL),
            (f'{yard.PREFIX}Token-Usage', f'826,{request.pieces}'),
            (
                f'{yard.PREFIX}Prefix-Hash',
                f'{part:08x}:198,{request_id}:628',
            ),
        ]
        more += _resumption(before)
    order = {
        'label': request.label,
        'pieces': request.pieces,
        'unframed': request.is_unframed,
        'gap': request.gap,
    }
    return yard.request_bytes(
        'POST',
        f'/{request.route}/x',
        HOST,
        request_id,
        DEADLINE_MS,
        'k1',
        more,
        json.dumps(order).encode(),
    )


def _resumption(before):
    """Return the headers that take a stream up at its last whole event."""
    begun = [answer for answer in before if b'\n\n' in answer.body]
    if not begun:
        return []
    whole = begun[-1].body.rsplit(b'\n\n', 1)[0]
    last = whole.rsplit(b'id: ', 1)[1].split(b'\n', 1)[0].decode()
    return [('Last-Event-Id', last), ('Resumes', begun[0].request_id)]
