"""Answers of servers with and without the marks that sound ones have."""

from collections.abc import Callable

from features.scripted_server import Exchange

BODY = b'done'

#: By which an answer ends.
FRAMINGS = ('length', 'chunks', 'connection')

_REQUEST_ID = 'x-yuccagauge-request-id'
_EVENT = b'id: 0\ndata: t0\n\n'

#: Header lines by the names of marks in the steps; ``{id}`` is the request's.
_MARKS = {
    'no marks': (),
    'own id': ('X-Yuccagauge-Request-Id: {id}',),
    'other id': ('X-Yuccagauge-Request-Id: another',),
    'two ids': (
        'X-Yuccagauge-Request-Id: {id}',
        'X-Yuccagauge-Request-Id: another',
    ),
    'stamp': ('X-Yuccagauge-Server-Stamp: s',),
    'empty stamp': ('X-Yuccagauge-Server-Stamp:',),
    'not run': ('X-Yuccagauge-Not-Executed: 1',),
    'instance': ('X-Yuccagauge-Instance-Id: other',),
    'encoding': ('Content-Encoding: gzip',),
    'no encoding': ('Content-Encoding: identity',),
    'events': ('Content-Type: text/event-stream',),
    'limit': ('Server-Limit: 0.5',),
    'leaving': ('Server-Leaving: 1',),
    'interim answer': (),
}


def answer_with(
    status: int, marks: str, framing: str = 'length'
) -> Callable[[Exchange], None]:
    """Return a script that answers with a status, marks and a framing.

    Parameters
    ----------
    marks
        Names of marks, separated by commas.
    """
    names = marks.split(', ')
    lines = [line for name in names for line in _MARKS[name]]
    body = _EVENT if 'events' in names else BODY

    def script(exchange: Exchange) -> None:
        request_id = exchange.headers.get(_REQUEST_ID, '')
        heads = [line.format(id=request_id) for line in lines]
        if 'interim answer' in names:
            exchange.transport.write(b'HTTP/1.1 103 Early\r\n\r\n')
        write_answer(exchange, status, heads, body, framing)

    return script


def write_answer(
    exchange: Exchange,
    status: int,
    headers: list[str],
    body: bytes,
    framing: str,
) -> None:
    """Write an answer with these headers and no others but its framing."""
    length = {
        'length': [f'Content-Length: {len(body)}'],
        'chunks': ['Transfer-Encoding: chunked'],
        'connection': [],
    }[framing]
    lines = [f'HTTP/1.1 {status} X', *headers, *length, '', '']
    exchange.transport.write('\r\n'.join(lines).encode())
    if framing == 'chunks':
        exchange.chunk(body)
        exchange.chunk(b'')
        return
    exchange.transport.write(body)
    if framing == 'connection':
        exchange.transport.loseConnection()
