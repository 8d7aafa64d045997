"""Steps for broken connections at servers that need not state their start."""

import json
from collections.abc import Callable
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.crash_fleet import CrashFleet
from features.crash_server import POISON, UNANSWERED, SimulatedServer

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

#: Time from the return of a server to the next request, which it gets while its
#: count is low.
_RETURN_S = 6.0

#: A Unix time, in seconds.
_UNIX_S = 1_700_000_000


class _WordedServer(SimulatedServer):
    """A server that states what the words of a feature say.

    Parameters
    ----------
    fleet
        The fleet, which has the words.
    number
        Number of the server, which names its first host.
    """

    def __init__(self, fleet: Any, number: int) -> None:
        """Create a server that does not run yet."""
        super().__init__(fleet, number)
        #: Entries that it has written, over its restarts.
        self.entries = 0

        #: Whether it states something else from now on.
        self.has_changed = False

    @property
    def start_count(self) -> int:
        """How often it has started."""
        return self._starts

    @property
    def now_s(self) -> float:
        """The time, in seconds."""
        return self._fleet.clock.now() / 1000

    def entry_document(self) -> dict[str, Any]:
        """Return what the server writes to the store."""
        self.entries += 1
        document = {**super().entry_document(), 'born': _EPOCH + self._born}
        return {**document, **_CHANGES[self._fleet.statement](self, document)}

    def report(self) -> bytes:
        """State nothing but in the entry."""
        return b'{}'

    def _entry(self) -> tuple[str, bytes]:
        server_id, content = super()._entry()
        document = {
            field: stated
            for field, stated in json.loads(content).items()
            if stated is not None
        }
        return server_id, json.dumps(document).encode()


class _WordedFleet(CrashFleet):
    server_type = _WordedServer

    def __init__(self, routers: int, servers: int, statement: str) -> None:
        """Start a fleet whose servers state what some words say."""
        self.statement = statement
        super().__init__(routers, servers)


#: Fields that replace those of an entry; None leaves a field out.
_Change = Callable[[_WordedServer, dict[str, Any]], dict[str, Any]]


def _count(change: Callable[[_WordedServer, int], Any]) -> _Change:
    """Return a change of the count, with no start beside it."""
    return lambda server, document: {
        'born': None,
        'seq': change(server, document['seq']),
    }


_CHANGES: dict[str, _Change] = {
    'its start': lambda server, document: {'seq': None},
    'its count': _count(lambda server, count: count),
    'its start in every second entry': lambda server, document: {
        'seq': None,
        'born': document['born'] if server.entries % 2 else None,
    },
    'its count in every second entry': _count(
        lambda server, count: count if server.entries % 2 else None
    ),
    'neither start nor count': _count(lambda server, count: None),
    'a count that is text': _count(lambda server, count: str(count)),
    'a count that is a fraction': _count(lambda server, count: count + 0.5),
    'a count that is true': _count(lambda server, count: True),
    'a count below zero': _count(lambda server, count: count - 1000),
    'a count that stays the same': _count(lambda server, count: 50),
    'a count that rises by 3 with each entry': _count(
        lambda server, count: count * 3
    ),
    'the time in seconds as its count': _count(
        lambda server, count: _UNIX_S + round(server.now_s)
    ),
    'its start since the last of the runs': lambda server, document: {
        'seq': document['seq'],
        'born': document['born'] if server.has_changed else None,
    },
    'its start since it was upgraded': lambda server, document: {
        'version': f'v{server.start_count}',
        'born': document['born'] if server.start_count > 1 else None,
    },
    'its start until it was upgraded': lambda server, document: {
        'version': f'v{min(2, server.start_count)}',
        'born': document['born'] if server.start_count == 1 else None,
    },
    'a count that starts at 1000': _count(lambda server, count: 1000 + count),
    'a count that goes on': _count(lambda server, count: server.entries),
    'a count that goes on, with its software': lambda server, document: {
        'seq': server.entries,
        'born': None,
        'version': f'v{server.start_count}',
    },
}


@given('{routers:d} routers before a server whose entry {states} its start')
def start_fleet(context: Context, routers: int, states: str) -> None:
    """Start a fleet and let it run."""
    context.fleet = _FLEETS[states](routers, 1)
    context.fleet.run(_WARM_UP_S)


@given('{routers:d} routers before a server that states {statement}')
def start_worded_fleet(context: Context, routers: int, statement: str) -> None:
    """Start a fleet whose server states something else than its start."""
    context.fleet = _WordedFleet(routers, 1, statement)
    context.fleet.run(_WARM_UP_S)


@given(
    '{routers:d} routers before {servers:d} servers that state {statement} '
    'and are back after {down:g} s'
)
def start_returning_fleet(
    context: Context, routers: int, servers: int, statement: str, down: float
) -> None:
    """Start a fleet whose servers end under a request, and return."""
    context.fleet = _WordedFleet(routers, servers, statement)
    context.fleet.down_s = down
    context.route = 'read'
    context.fleet.run(_WARM_UP_S)


@when(
    'one request ends the server {count:d} times, which is back after '
    '{down:g} s'
)
def end_server(context: Context, count: int, down: float) -> None:
    """Send a request that ends the server, and wait until it serves again."""
    fleet = context.fleet
    fleet.down_s = down
    for _ in range(count):
        fleet.send(fleet.router_names[0], POISON)
        fleet.run(down + _RETURN_S)
    assert len(fleet.ends) == count, fleet.ends
    context.body = POISON


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
    fleet.servers[0].has_changed = True
    context.body = UNANSWERED


@then('the request {reaches} the server again {seconds:g} s later')
def check_next_arrival(context: Context, reaches: str, seconds: float) -> None:
    """Guard against sound requests that are refused, and crashes that are not.

    A request that ends servers must not come to another one because something
    that need not be stated is taken for a proof that they live.
    """
    fleet = context.fleet
    fleet.run(seconds)
    before = len(fleet.servers[0].arrivals)
    fleet.send(fleet.router_names[0], context.body)
    fleet.run(1)
    arrived = len(fleet.servers[0].arrivals) - before
    assert arrived == (reaches == 'reaches'), (arrived, before)


@then('the request reaches the server {seconds:g} s later')
def check_arrival(context: Context, seconds: float) -> None:
    """Guard against sound requests that are refused for ten minutes."""
    fleet = context.fleet
    fleet.run(seconds)
    before = len(fleet.servers[0].arrivals)
    fleet.send(fleet.router_names[0], UNANSWERED)
    fleet.run(1)
    assert len(fleet.servers[0].arrivals) == before + 1, before
