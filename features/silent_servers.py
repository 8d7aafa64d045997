"""Scripts of servers that send nothing for some time and then go on."""

from collections.abc import Callable

from twisted.internet import reactor

from features.marked_answers import answer_with
from features.relay_servers import (
    BEHAVIOURS,
    CHUNKED,
    FAILED_CONTINUATIONS,
    HALF_EVENT,
    end_stream,
    event,
    open_event_stream,
    restart_events,
    send_events,
    stream_events,
)
from features.scripted_server import Exchange

#: Events of a whole stream.
EVENTS = 4

LARGE_EVENTS_PER_MB = 20
_LARGE_EVENT_BYTES = 50_000

#: Time to the answer of a server that is busy, and to the end of one that
#: breaks its answer off.
_LATE_BEGIN_S = 0.5
_BREAK_S = 0.1

#: The part of event 2 that is sent before the silence, and the one after it.
_EVENT_PARTS = (event(2)[:5], event(2)[5:])


def _after(silence_s: float, function: Callable[[], None]) -> None:
    reactor.callLater(silence_s, function)


def _send(exchange: Exchange, parts: tuple[bytes, ...]) -> None:
    for part in parts:
        exchange.chunk(part)


def _answer_late(silence_s: float) -> Callable[[Exchange], None]:
    return lambda exchange: _after(
        silence_s, lambda: BEHAVIOURS['answers'](exchange)
    )


def _begin_late(silence_s: float) -> Callable[[Exchange], None]:
    def script(exchange: Exchange) -> None:
        whole = stream_events(EVENTS, resets=False)
        _after(silence_s, lambda: whole(exchange))

    return script


def _pause_stream(
    silence_s: float, before: tuple[bytes, ...], after: tuple[bytes, ...]
) -> Callable[[Exchange], None]:
    def script(exchange: Exchange) -> None:
        open_event_stream(exchange, CHUNKED)
        _send(exchange, before)
        _after(silence_s, lambda: _send(exchange, (*after, b'')))

    return script


def pausing_script(
    place: str, silence_s: float
) -> tuple[str, Callable[[Exchange], None]]:
    """Return the service and the script of a server that pauses once.

    Parameters
    ----------
    place
        Where in its answer the server pauses.
    silence_s
        Length of the pause, in seconds.
    """
    first = (event(0), event(1))
    last = (event(2), event(3))
    half, rest = _EVENT_PARTS
    return {
        'before a plain answer': ('plain', _answer_late(silence_s)),
        'before a stream': ('model', _begin_late(silence_s)),
        'between two events': ('model', _pause_stream(silence_s, first, last)),
        'inside an event': (
            'model',
            _pause_stream(silence_s, (*first, half), (rest, event(3))),
        ),
    }[place]


def large_stream(megabytes: int) -> Callable[[Exchange], None]:
    """Return a script that sends a stream of so many events of 50 KB each."""

    def script(exchange: Exchange) -> None:
        open_event_stream(exchange, CHUNKED)
        for number in range(megabytes * LARGE_EVENTS_PER_MB):
            filler = b'x' * _LARGE_EVENT_BYTES
            exchange.chunk(b'id: %d\ndata: %s\n\n' % (number, filler))
        exchange.chunk(b'')

    return script


def _break_stream(exchange: Exchange) -> None:
    open_event_stream(exchange, CHUNKED)
    _after(_BREAK_S, exchange.cut)


def other_script(
    service: str, behaviour: str, silence_s: float
) -> Callable[[Exchange], None]:
    """Return the script of the other server of a service.

    Parameters
    ----------
    silence_s
        How long it sends nothing, if it is silent as well, in seconds.
    """
    is_model = service == 'model'
    return {
        'is sound': (
            stream_events(EVENTS, resets=False)
            if is_model
            else BEHAVIOURS['answers']
        ),
        'sends a foreign page': answer_with(200, 'no marks'),
        'sends a foreign 503': answer_with(503, 'no marks'),
        'answers without a stamp': answer_with(
            200, 'own id, events' if is_model else 'own id'
        ),
        'is full': BEHAVIOURS['says the call did not run'],
        'fails': FAILED_CONTINUATIONS['500 and JSON'],
        'resets': BEHAVIOURS['resets after the request'],
        'is silent as well': (
            _begin_late(silence_s) if is_model else _answer_late(silence_s)
        ),
        'refuses connections': BEHAVIOURS['never answers'],
        'answers JSON': FAILED_CONTINUATIONS['200 and JSON'],
        'starts at another event': restart_events(0, EVENTS),
        'ends inside its first event': end_stream(0, HALF_EVENT, 'chunks'),
        'begins with an event without a number': send_events(
            b'data: x\n\n' + event(0)
        ),
        'ends without an event': end_stream(0, b'', 'chunks'),
        'ends its channel without an event': end_stream(0, b'', 'channel'),
        'breaks after its head': (
            _break_stream if is_model else BEHAVIOURS['resets in the answer']
        ),
        'begins after 0.5 s': (
            _begin_late(_LATE_BEGIN_S)
            if is_model
            else _answer_late(_LATE_BEGIN_S)
        ),
    }[behaviour]
