"""Steps for the connections to engines whose answers come in chunks."""

from behave import given, then, when
from behave.runner import Context
from twisted.internet.protocol import Protocol

from features.statement_fleet import StatementFleet, StatingEngine

_ENGINES = 4

#: Streams that have ended before; their connections are kept.
_EARLIER_STREAMS = 24

#: Time for the routers to learn of all engines, for streams to end, and for
#: all connections of streams that begin to be open, in seconds.
_WARM_UP_S = 6.0
_STREAM_S = 4.0
_OPENING_S = 1.0


class _CountingEngine(StatingEngine):
    """An engine that counts the connections that it accepts."""

    connections = 0

    def build_protocol(self) -> Protocol:
        """Return the engine's side of a new connection."""
        self.connections += 1
        return super().build_protocol()


class _CountingFleet(StatementFleet):
    """Routers before such engines."""

    server_type = _CountingEngine

    @property
    def connections(self) -> int:
        """Connections that the engines have accepted so far."""
        return sum(engine.connections for engine in self.servers)


@given(
    '{routers:d} routers before engines that state their start in "{places}",'
    ' with an epoch, and whose streams come in chunks'
)
def start_fleet(context: Context, routers: int, places: str) -> None:
    """Start a fleet and let it run."""
    context.fleet = _CountingFleet(
        routers, _ENGINES, places=places, has_cache_events=True
    )
    context.fleet.run(_WARM_UP_S)


@when('{count:d} streams begin at once, after earlier ones have ended')
def begin_streams(context: Context, count: int) -> None:
    """Begin streams that the routers know to come in chunks."""
    fleet = context.fleet
    for _ in range(_EARLIER_STREAMS):
        fleet.begin_stream()
    fleet.run(_STREAM_S)
    assert all(stream.is_complete for stream in fleet.streams)
    before = fleet.connections
    context.begun = [fleet.begin_stream() for _ in range(count)]
    fleet.run(_OPENING_S)
    context.opened = fleet.connections - before
    fleet.run(_STREAM_S)


@then(
    'the engines get no more connections than streams, and one from each router'
)
def check_connections(context: Context) -> None:
    """Guard against older connections that no end needs."""
    assert all(stream.is_complete for stream in context.begun)
    older = len(context.fleet.router_names) * _ENGINES
    assert context.opened <= len(context.begun) + older, context.opened
