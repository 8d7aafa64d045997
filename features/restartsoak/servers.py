"""Backend servers whose answers may have neither a length nor chunks."""

import asyncio
import json
from collections import deque

from features.restartsoak.statements import (
    ENTRY,
    EPOCH,
    REPORT,
    STATEMENTS,
)
from review import yard

MODEL = 'daka510000'
#: Every so many pieces one is written in two parts, so that some answers
#: break off inside a piece.
_SPLIT_EVERY = 5
_START = 'born'
_OK = 200


class _PieceWriter:
    """Writes one answer, piece by piece, as its request says."""

    def __init__(self, writer, order):
        self._writer = writer
        self._order = order

    async def write(self, head, pieces):
        """Write the answer; raise ConnectionError if it ends the connection."""
        order = self._order
        lines = ['HTTP/1.1 200 OK', *head]
        if not order['unframed']:
            lines.append('Transfer-Encoding: chunked')
        self._writer.write('\r\n'.join([*lines, '', '']).encode())
        waiting = deque(enumerate(pieces, 1))
        while waiting:
            await self._write_piece(*waiting.popleft())
        if order['unframed']:
            self._writer.close()
            raise ConnectionError('the answer ends with its connection')
        self._writer.write(b'0\r\n\r\n')

    async def _write_piece(self, number, piece):
        if number % _SPLIT_EVERY:
            await self._write_part(piece, self._order['gap'])
            return
        half = len(piece) // 2
        await self._write_part(piece[:half], self._order['gap'] / 2)
        await self._write_part(piece[half:], self._order['gap'] / 2)

    async def _write_part(self, part, gap):
        framed = b'%x\r\n%s\r\n' % (len(part), part)
        self._writer.write(part if self._order['unframed'] else framed)
        await self._writer.drain()
        await asyncio.sleep(gap)


class _StatingServer(yard.Engine):
    """States of its process no more than it is told to."""

    software = 'v1'
    states = STATEMENTS
    #: Another one at each start.
    epoch = 0

    def entry(self):
        """Return the entry, with the version of the software."""
        entry = super().entry() | {'version': self.software}
        if ENTRY not in self.states:
            entry.pop(_START)
        return entry


class _StatementWriter:
    """Leaves out of one answer of an engine what it does not state."""

    def __init__(self, writer, changes):
        self._writer = writer
        self._changes = changes

    def write(self, raw):
        """Write the answer with its changes; without a value, none."""
        document = json.loads(raw.split(b'\r\n\r\n', 1)[1]) | self._changes
        stated = {
            name: value for name, value in document.items() if value is not None
        }
        self._writer.write(yard.json_response(_OK, stated))


class RestartedEngine(_StatingServer, yard.ModelEngine):
    """A model engine whose events name its process and its software."""

    async def answer(self, request, reader, writer):
        """Answer, and leave out what is not stated."""
        changes = {}
        if request.path == '/api/report' and REPORT not in self.states:
            changes[_START] = None
        elif request.path == '/api/kv-events':
            is_stated = EPOCH in self.states
            changes['bootEpoch'] = self.epoch if is_stated else None
        if changes:
            writer = _StatementWriter(writer, changes)
        await super().answer(request, reader, writer)

    async def _stream(self, request, writer):
        order = json.loads(request.body)
        names = (
            *self.answer_headers(request),
            ('Content-Type', 'text/event-stream'),
        )
        head = [f'{name}: {value}' for name, value in names]
        head.append(f'{yard.PREFIX}Weight-Versions: {self.version}')
        done = int(request.get('Last-Event-Id') or 0) // self.id_step
        numbers = range(done + 1, order['pieces'] + 1)
        pieces = [self._event(order, number) for number in numbers]
        await _PieceWriter(writer, order).write(head, pieces)

    def _event(self, order, number):
        data = piece_text(self, order, number)
        return f'id: {number * self.id_step}\ndata: {data}\n\n'.encode()


class RestartedServer(_StatingServer, yard.PlainEngine):
    """A plain server whose lines name its process and its software."""

    async def answer(self, request, reader, writer):
        """Answer health checks as all do, and calls line by line."""
        wrong = self.misdirected(request)
        if request.path == '/healthz' or wrong is not None:
            await super().answer(request, reader, writer)
            return
        order = json.loads(request.body)
        head = [
            f'{name}: {text}' for name, text in self.answer_headers(request)
        ]
        pieces = [
            f'{piece_text(self, order, number)}\n'.encode()
            for number in range(1, order['pieces'] + 1)
        ]
        await _PieceWriter(writer, order).write(head, pieces)


def piece_text(server, order, number):
    """Return the text of a piece, which names all that is judged."""
    return json.dumps(
        [order['label'], number, order['pieces'], server.born, server.software]
    )


def build_server(kind, host, zone, store, id_step):
    """Return a server that has not started, and has no port yet."""
    if kind == 'engine':
        return RestartedEngine(
            host,
            store,
            'lm',
            zone,
            64,
            model=MODEL,
            checks_fences=True,
            id_step=id_step,
        )
    return RestartedServer(host, store, 'plain', zone, 64)
