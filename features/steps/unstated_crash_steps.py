"""Steps for broken connections at servers that need not state their start."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import CrashFleet
from features.crash_server import UNANSWERED, SimulatedServer

#: Wall time at the start of the fleet, in ms. A start at 0 is not stated.
_EPOCH = 1

_WARM_UP_S = 6.0

#: Time from a request to the end of its connection, and to the next request.
_RUN_S = 0.3
_PERIOD_S = 1.5


class _StatingServer(SimulatedServer):
    def entry_document(self) -> dict[str, Any]:
        return {**super().entry_document(), 'born': _EPOCH + self._born}


class _UnstatedServer(SimulatedServer):
    def entry_document(self) -> dict[str, Any]:
        document = super().entry_document()
        document.pop('born')
        return document


class _StatingFleet(CrashFleet):
    server_type = _StatingServer


class _UnstatedFleet(CrashFleet):
    server_type = _UnstatedServer


_FLEETS = {'states': _StatingFleet, 'lacks': _UnstatedFleet}


@given('{routers:d} routers before a server whose entry {states} its start')
def start_fleet(context: Context, routers: int, states: str) -> None:
    """Start a fleet and let it run."""
    context.fleet = _FLEETS[states](routers, 1)
    context.fleet.run(_WARM_UP_S)


@when(
    'the connections of one request break {count:d} times while the server '
    'lives'
)
def break_connections(context: Context, count: int) -> None:
    """Reset the connections while the request runs."""
    fleet = context.fleet
    for _ in range(count):
        fleet.send(fleet.router_names[0], UNANSWERED)
        fleet.run(_RUN_S)
        fleet.servers[0].reset_connections()
        fleet.run(_PERIOD_S)
    assert not fleet.ends, fleet.ends
    assert len(fleet.servers[0].arrivals) == count


@then('the request reaches the server {seconds:g} s later')
def check_arrival(context: Context, seconds: float) -> None:
    """Guard against sound requests that are refused for ten minutes."""
    fleet = context.fleet
    fleet.run(seconds)
    before = len(fleet.servers[0].arrivals)
    fleet.send(fleet.router_names[0], UNANSWERED)
    fleet.run(1)
    assert len(fleet.servers[0].arrivals) == before + 1, before
