"""Steps for the order of the events of a stream over its responses."""

from dataclasses import dataclass

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as given_values
from hypothesis import settings, strategies

from features.properties import REPEATABLE
from features.stream_caller import StreamCaller

_EXAMPLES = 1000
_MOST_EVENTS = 6
_CONTINUATIONS = 2

#: Differences between two ids.
_STEPS = (1, 4)

#: What an engine may send before its first event.
_PREAMBLES = ((), ('comment',), ('unnumbered',), ('comment', 'unnumbered'))

_LINE_ENDS = strategies.sampled_from((b'\n', b'\r\n', b'\r'))

#: Where the network cuts a response into pieces.
_CUTS = strategies.lists(strategies.integers(0, 200), max_size=8)


def _decoded(text: str) -> bytes:
    return text.encode().decode('unicode_escape').encode('latin-1')


def _events(names: str) -> bytes:
    """Return events whose data is their name, which is their id if a number."""
    return b''.join(
        (f'id: {name}\n' if name.isdigit() else '').encode()
        + f'data: {name}\n\n'.encode()
        for name in names.split()
    )


@given('a stream caller without events')
def new_caller(context: Context) -> None:
    """Begin a stream."""
    context.stream_caller = StreamCaller()


@given('a stream caller with the events up to "{last}"')
def returning_caller(context: Context, last: str) -> None:
    """Take a stream up."""
    context.stream_caller = StreamCaller(last)


@when('an engine sends the events "{names}" and {end}')
def send_named(context: Context, names: str, end: str) -> None:
    """Send a response in one piece."""
    _send(context, _events(names), end)


@when('an engine sends "{text}" and {end}')
def send_text(context: Context, text: str, end: str) -> None:
    """Send a response byte by byte."""
    data = _decoded(text)
    _send(context, data, end)


def _send(context: Context, data: bytes, end: str) -> None:
    pieces = [data[at : at + 1] for at in range(len(data))]
    context.stream_caller.receive(pieces, ends=end == 'ends')


@when('an engine sends an event whose id has {digits:d} digits')
def send_long_id(context: Context, digits: int) -> None:
    """Send an event whose id is longer than a number may be."""
    event = b'id: %b\ndata: x\n\n' % (b'9' * digits)
    context.stream_caller.receive([event], ends=False)


@then('the event is passed on and the stream cannot be continued')
def check_unnamed(context: Context) -> None:
    """Guard against an error of the router, and against events that repeat."""
    assert context.stream_caller.events == [b'x']
    assert not context.stream_caller.response.can_be_continued


@then('the stream is "{names}" and {state}')
def check_stream(context: Context, names: str, state: str) -> None:
    """Guard against events that are missing, repeated or of another stream."""
    caller = context.stream_caller
    found = b' '.join(caller.events).decode()
    assert found == names, caller.received
    assert caller.is_complete is (state == 'complete'), caller.received


@then('the stream is "" and {state}')
def check_no_events(context: Context, state: str) -> None:
    """Guard against events that are not the rest of the caller's stream."""
    check_stream(context, '', state)


@then('an engine is asked for the events after "{last}"')
def check_asked(context: Context, last: str) -> None:
    """Guard against an id that is changed on its way."""
    assert context.stream_caller.response.last_event_id == last


@dataclass(frozen=True, slots=True, kw_only=True)
class _Stream:
    """A stream whose ids have the same gap between them."""

    total: int
    step: int

    @property
    def names(self) -> list[bytes]:
        """The data of its events."""
        return [b'%d' % number for number in range(1, self.total + 1)]

    def encode(self, event: object, line_end: bytes) -> bytes:
        """Return an event by its number, or something else by its name."""
        if event == 'comment':
            lines = [b': waits']
        elif event == 'unnumbered':
            lines = [b'data: other']
        else:
            event_id = b'id: %d' % (event * self.step)
            lines = [b'weights: 1', event_id, b'data: %d' % event]
        return line_end.join([*lines, b'', b''])


@strategies.composite
def _responses(
    draw: strategies.DrawFn, stream: _Stream, known: int
) -> tuple[list[object], bool]:
    """Return what an engine sends, and whether its end may be regular.

    The events begin anywhere, may repeat, and may follow something without a
    number. Without gaps between the ids, events may also be missing: at least
    two follow then, as one alone does not show whether the ids have gaps. An
    engine that has no event to send takes the stream for whole.

    Parameters
    ----------
    known
        Events that the caller has.
    """
    last = stream.total + 1 if stream.step == 1 else known + 1
    first = draw(strategies.integers(1, last))
    numbers: list[object] = list(range(first, stream.total + 1))
    is_alone = len(numbers) == 1 and first > known + 1
    is_empty = not numbers and known < stream.total
    if numbers and draw(strategies.booleans()):
        at = draw(strategies.integers(0, len(numbers) - 1))
        numbers.insert(at, numbers[at])
    preamble = draw(strategies.sampled_from(_PREAMBLES))
    return [*preamble, *numbers], not (is_alone or is_empty)


def _cut(data: bytes, cuts: list[int]) -> list[bytes]:
    places = sorted({min(cut, len(data)) for cut in cuts} | {0, len(data)})
    return [
        data[start:end] for start, end in zip(places, places[1:], strict=False)
    ]


@then('each event of any engines reaches the caller once and in order')
def check_any(context: Context) -> None:
    """Guard against responses that together are no prefix of a stream."""

    @settings(REPEATABLE, max_examples=_EXAMPLES)
    @given_values(strategies.data())
    def check(data: strategies.DataObject) -> None:
        stream = _Stream(
            total=data.draw(strategies.integers(2, _MOST_EVENTS)),
            step=data.draw(strategies.sampled_from(_STEPS)),
        )
        caller = StreamCaller()
        _send_beginning(data, stream, caller)
        for _ in range(_CONTINUATIONS):
            if caller.events:
                _send_any(data, stream, caller)
        found = [each for each in caller.events if each != b'other']
        assert found == stream.names[: len(found)], caller.received
        # Nothing shows that an event without a number is next.
        assert caller.events[-1:] != [b'other'], caller.received
        if caller.is_complete:
            assert found == stream.names, caller.received

    check()


def _send_beginning(
    data: strategies.DataObject, stream: _Stream, caller: StreamCaller
) -> None:
    """Send a stream that breaks off anywhere."""
    line_end = data.draw(_LINE_ENDS)
    whole = b''.join(
        stream.encode(number, line_end) for number in range(1, stream.total + 1)
    )
    sent = whole[: data.draw(strategies.integers(0, len(whole)))]
    caller.receive(_cut(sent, data.draw(_CUTS)), ends=False)


def _send_any(
    data: strategies.DataObject, stream: _Stream, caller: StreamCaller
) -> None:
    """Send any events of the stream, with any end."""
    line_end = data.draw(_LINE_ENDS)
    known = len([each for each in caller.events if each != b'other'])
    events, may_end = data.draw(_responses(stream, known))
    body = b''.join(stream.encode(event, line_end) for event in events)
    is_cut = data.draw(strategies.booleans())
    if is_cut:
        body = body[: data.draw(strategies.integers(0, len(body)))]
    caller.receive(_cut(body, data.draw(_CUTS)), ends=may_end and not is_cut)
