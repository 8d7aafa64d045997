"""Scripts for correct and faulty backend servers of a relay."""

from features.scripted_server import Exchange

_REQUEST_ID = 'x-yuccagauge-request-id'

CHUNKED = 'Transfer-Encoding: chunked'

#: An event that is cut in the middle.
HALF_EVENT = b'id: 9\nda'


def _id_header(exchange: Exchange) -> str:
    return f'X-Yuccagauge-Request-Id: {exchange.headers.get(_REQUEST_ID, "")}'


def _answer(exchange: Exchange) -> None:
    exchange.answer(
        200,
        b'done',
        _id_header(exchange),
        'X-Yuccagauge-Server-Stamp: s',
    )


def _reset(exchange: Exchange) -> None:
    exchange.cut()


def _reset_in_answer(exchange: Exchange) -> None:
    exchange.write_head(200, 'Content-Length: 9')
    exchange.transport.write(b'hal')
    exchange.transport.loseConnection()


def _write_unframed(exchange: Exchange) -> None:
    exchange.write_head(200)
    exchange.transport.write(b'done')


def _end_unframed(exchange: Exchange) -> None:
    _write_unframed(exchange)
    exchange.transport.loseConnection()


def _reset_unframed(exchange: Exchange) -> None:
    _write_unframed(exchange)
    _call_later(exchange.cut)


def _answer_500(exchange: Exchange) -> None:
    exchange.answer(
        500, b'no', _id_header(exchange), 'X-Yuccagauge-Server-Stamp: s'
    )


def _reject_not_run(exchange: Exchange) -> None:
    exchange.answer(503, b'', 'X-Yuccagauge-Not-Executed: 1')


def _reject_misdirected(exchange: Exchange) -> None:
    exchange.answer(421, b'', 'X-Yuccagauge-Instance-Id: other')


def _answer_nothing(exchange: Exchange) -> None:
    """Send no response."""


def _answer_other_request_first(exchange: Exchange) -> None:
    exchange.answer(200, b'foreign', 'X-Yuccagauge-Request-Id: another')
    _answer(exchange)


def _answer_twice(exchange: Exchange) -> None:
    _answer(exchange)
    _answer(exchange)


def _leave(status: int, *headers: str) -> object:
    """Return a script of a server that leaves."""

    def script(exchange: Exchange) -> None:
        exchange.answer(
            status, b'', _id_header(exchange), 'Server-Leaving: 1', *headers
        )

    return script


_STAMP = 'X-Yuccagauge-Server-Stamp: s'

#: Scripts of plain servers, by their names in the steps.
BEHAVIOURS = {
    'answers': _answer,
    'resets after the request': _reset,
    'resets in the answer': _reset_in_answer,
    'resets an unframed answer': _reset_unframed,
    'ends an unframed answer': _end_unframed,
    'answers 500': _answer_500,
    'says the call did not run': _reject_not_run,
    'never answers': _answer_nothing,
    'reports another instance': _reject_misdirected,
    'answers another request first': _answer_other_request_first,
    'sends a second answer': _answer_twice,
    'answers and says that it leaves': _leave(200, _STAMP),
    'answers 500 and says that it leaves': _leave(500, _STAMP),
    'rejects the call and says that it leaves': _leave(
        503, 'X-Yuccagauge-Not-Executed: 1'
    ),
    'refuses connections': _answer_nothing,
}


def _call_later(function: object) -> None:
    from twisted.internet import reactor

    reactor.callLater(0.05, function)


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return b'id: %d\ndata: t%d\n\n' % (number, number)


def open_event_stream(exchange: Exchange, *framing: str) -> None:
    """Send the head of a stream of events, with the headers of its framing."""
    exchange.write_head(200, 'Content-Type: text/event-stream', *framing)


def stream_events(count: int, *, resets: bool) -> object:
    """Return a script that streams events after the Last-Event-Id."""

    def script(exchange: Exchange) -> None:
        open_event_stream(exchange, CHUNKED)
        for number in _event_numbers(exchange, count):
            exchange.chunk(event(number))
        if resets:
            exchange.chunk(HALF_EVENT)
            _call_later(exchange.cut)
        else:
            exchange.chunk(b'')

    return script


def end_stream(count: int, rest: bytes, framing: str) -> object:
    """Return a script that ends a stream regularly after some bytes.

    Parameters
    ----------
    rest
        The bytes after the last whole event.
    framing
        ``chunks``, ``length`` or ``channel``, by which the stream ends.
    """

    def script(exchange: Exchange) -> None:
        numbers = _event_numbers(exchange, count)
        events = b''.join(map(event, numbers))
        length = len(events) + len(rest)
        headers = {
            'chunks': (CHUNKED,),
            'length': (f'Content-Length: {length}',),
            'channel': (),
        }
        open_event_stream(exchange, *headers[framing])
        is_chunked = framing == 'chunks'
        send = exchange.chunk if is_chunked else exchange.transport.write
        if events:
            send(events)

        def end() -> None:
            if rest:
                send(rest)
            if is_chunked:
                exchange.chunk(b'')
            elif framing == 'channel':
                exchange.transport.loseConnection()

        _call_later(end)

    return script


def _event_numbers(exchange: Exchange, count: int) -> range:
    """Return the numbers of the events that the request still needs."""
    after = exchange.headers.get('last-event-id', '')
    return range(int(after) + 1 if after else 0, count)


def _answer_json(exchange: Exchange, status: int) -> None:
    exchange.answer(
        status,
        b'{"error": "no"}',
        _id_header(exchange),
        _STAMP,
        'Content-Type: application/json',
    )


def _answer_failed_event(exchange: Exchange) -> None:
    exchange.answer(
        500,
        event(2),
        _id_header(exchange),
        _STAMP,
        'Content-Type: text/event-stream',
    )


def _answer_204(exchange: Exchange) -> None:
    exchange.write_head(204)


def send_events(events: bytes, *, resets: bool = False) -> object:
    """Return a script that sends certain events in one chunk."""

    def script(exchange: Exchange) -> None:
        open_event_stream(exchange, CHUNKED)
        exchange.chunk(events)
        if resets:
            _call_later(exchange.cut)
        else:
            exchange.chunk(b'')

    return script


#: Scripts of engines that do not continue the stream that they are asked for.
FAILED_CONTINUATIONS = {
    '500 and JSON': lambda exchange: _answer_json(exchange, 500),
    '500 without a body': lambda exchange: exchange.answer(
        500, b'', _id_header(exchange), _STAMP
    ),
    '500 and an event': _answer_failed_event,
    '404 and JSON': lambda exchange: _answer_json(exchange, 404),
    '200 and JSON': lambda exchange: _answer_json(exchange, 200),
    '204': _answer_204,
    'events without ids': send_events(b'data: x\n\n'),
}


def restart_events(first: int, count: int) -> object:
    """Return a script that streams events from a number on, whatever is asked.

    Parameters
    ----------
    first
        Number of the first event.
    count
        Number after the last event.
    """
    return send_events(b''.join(map(event, range(first, count))))
