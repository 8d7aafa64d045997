"""Scripts of servers behind a relay, sound and faulty ones."""

from features.scripted_server import Exchange

_ID = 'x-yuccagauge-request-id'


def _identity(exchange: Exchange) -> str:
    return f'X-Yuccagauge-Request-Id: {exchange.headers.get(_ID, "")}'


def _answer(exchange: Exchange) -> None:
    exchange.answer(
        200, b'done', _identity(exchange), 'X-Yuccagauge-Server-Stamp: s'
    )


def _reset(exchange: Exchange) -> None:
    exchange.cut()


def _reset_in_answer(exchange: Exchange) -> None:
    exchange.transport.write(
        f'HTTP/1.1 200 X\r\nContent-Length: 9\r\n{_identity(exchange)}'
        '\r\n\r\nhal'.encode(),
    )
    exchange.transport.loseConnection()


def _unframed(exchange: Exchange) -> None:
    exchange.transport.write(
        f'HTTP/1.1 200 X\r\n{_identity(exchange)}\r\n\r\ndone'.encode(),
    )


def _end_unframed(exchange: Exchange) -> None:
    _unframed(exchange)
    exchange.transport.loseConnection()


def _reset_unframed(exchange: Exchange) -> None:
    _unframed(exchange)
    _later(exchange.cut)


def _fail(exchange: Exchange) -> None:
    exchange.answer(
        500, b'no', _identity(exchange), 'X-Yuccagauge-Server-Stamp: s'
    )


def _not_run(exchange: Exchange) -> None:
    exchange.answer(503, b'', 'X-Yuccagauge-Not-Executed: 1')


def _misdirected(exchange: Exchange) -> None:
    exchange.answer(421, b'', 'X-Yuccagauge-Instance-Id: other')


def _silent(exchange: Exchange) -> None:
    """Answer nothing."""


def _foreign_first(exchange: Exchange) -> None:
    exchange.answer(200, b'foreign', 'X-Yuccagauge-Request-Id: another')
    _answer(exchange)


def _second_answer(exchange: Exchange) -> None:
    _answer(exchange)
    _answer(exchange)


#: Scripts of plain servers, by what the steps call them.
BEHAVIOURS = {
    'answers': _answer,
    'resets after the request': _reset,
    'resets in the answer': _reset_in_answer,
    'resets an unframed answer': _reset_unframed,
    'ends an unframed answer': _end_unframed,
    'answers 500': _fail,
    'says not run': _not_run,
    'never answers': _silent,
    'is another instance': _misdirected,
    'answers another request first': _foreign_first,
    'sends a second answer': _second_answer,
    'refuses connections': _silent,
}


def _later(function: object) -> None:
    from twisted.internet import reactor

    reactor.callLater(0.05, function)


def _event(number: int) -> bytes:
    return b'id: %d\ndata: t%d\n\n' % (number, number)


def stream_events(count: int, *, breaks: bool) -> object:
    """Return a script that streams events from the asked one on."""

    def script(exchange: Exchange) -> None:
        after = exchange.headers.get('last-event-id', '')
        first = int(after) + 1 if after else 0
        exchange.transport.write(
            f'HTTP/1.1 200 X\r\nContent-Type: text/event-stream\r\n'
            f'Transfer-Encoding: chunked\r\n{_identity(exchange)}'
            '\r\n\r\n'.encode(),
        )
        for number in range(first, count):
            exchange.chunk(_event(number))
        if breaks:
            exchange.chunk(b'id: 9\nda')
            _later(exchange.cut)
        else:
            exchange.chunk(b'')

    return script
