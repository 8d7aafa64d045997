"""Steps for the ends of answers."""

from behave import given
from behave.runner import Context
from twisted.internet import reactor

from features.relay_servers import (
    CHUNKED,
    HALF_EVENT,
    end_stream,
    event,
    open_event_stream,
)
from features.scripted_server import Exchange
from features.steps.relay_steps import add_engine, start_relay_with_engine


@given(
    'a relay with a model engine that streams {count:d} events and ends by '
    '{framing}'
)
def relay_with_ending_engine(
    context: Context, count: int, framing: str
) -> None:
    """Start a relay with one engine that ends its streams regularly."""
    start_relay_with_engine(context, end_stream(count, b'', framing))


@given(
    'a relay with a model engine that streams {count:d} events and half of '
    'one, and ends by {framing}'
)
def relay_with_cutting_engine(
    context: Context, count: int, framing: str
) -> None:
    """Start a relay with one engine that ends its streams in an event."""
    start_relay_with_engine(context, end_stream(count, HALF_EVENT, framing))


@given(
    'a second model engine that streams {count:d} events and half of one, and '
    'ends by {framing}'
)
def second_cutting_engine(context: Context, count: int, framing: str) -> None:
    """Add an engine that ends its streams in an event."""
    add_engine(context, end_stream(count, HALF_EVENT, framing))


@given('a relay with a model engine that fails with 500 and half of an event')
def relay_with_failing_engine(context: Context) -> None:
    """Start a relay with one engine that fails with an event stream."""

    def fail(exchange: Exchange) -> None:
        exchange.answer(
            500,
            HALF_EVENT,
            'Content-Type: text/event-stream',
            'X-Yuccagauge-Server-Stamp: s',
        )

    start_relay_with_engine(context, fail)


@given('a relay with a model engine that sends half an event as "{media_type}"')
def relay_with_spelled_type(context: Context, media_type: str) -> None:
    """Start a relay with an engine that spells the media type in a way."""

    def answer(exchange: Exchange) -> None:
        exchange.answer(200, HALF_EVENT, f'Content-Type: {media_type}')

    start_relay_with_engine(context, answer)


@given(
    'a relay with a model engine that streams {count:d} events, one every '
    '{ms:d} ms'
)
def relay_with_slow_engine(context: Context, count: int, ms: int) -> None:
    """Start a relay with an engine that is slow and sound."""

    def stream(exchange: Exchange) -> None:
        open_event_stream(exchange, CHUNKED)
        for number in range(count):
            reactor.callLater(number * ms / 1000, exchange.chunk, event(number))
        reactor.callLater(count * ms / 1000, exchange.chunk, b'')

    start_relay_with_engine(context, stream)


@given(
    'a relay with a model engine that sends a byte of one event every {ms:d} ms'
)
def relay_with_dripping_engine(context: Context, ms: int) -> None:
    """Start a relay with an engine whose event never ends."""

    def drip(exchange: Exchange) -> None:
        if not exchange.lost:
            exchange.chunk(b'x')
            reactor.callLater(ms / 1000, drip, exchange)

    def stream(exchange: Exchange) -> None:
        open_event_stream(exchange, CHUNKED)
        drip(exchange)

    start_relay_with_engine(context, stream)
