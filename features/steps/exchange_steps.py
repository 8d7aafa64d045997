"""Steps for the exchange between routers."""

import random

from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.loop import wait_for_call, wait_until
from features.steps.directory_steps import PlainDecoder
from yuccagauge.clock import Millis, SystemClock
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange.members import Member, MemberList
from yuccagauge.exchange.service import ExchangeService
from yuccagauge.quarantine.base import Quarantine, QuarantineStatus
from yuccagauge.quarantine.parts import PartQuarantine
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.load import ActiveCall
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.wire.client import PeerClient
from yuccagauge.wire.fleetmessages import FleetExchange
from yuccagauge.wire.server import PeerServer

_FINGERPRINT = b'request'

#: Time that covers several exchange periods, in seconds.
_WAIT_S = 0.8


class Router:
    """The state of a router and the service that exchanges it."""

    def __init__(self, name: str, seeds: tuple[Endpoint, ...]) -> None:
        """Open the port and start to exchange."""
        self.name = name
        self.clock = SystemClock()
        self.directory = Directory(PlainDecoder())
        self.selector = Selector('a', Millis(12_000))
        self.quarantine = Quarantine()
        server = PeerServer(reactor, Endpoint('127.0.0.1', 0), name)
        server.start()
        self.endpoint = server.endpoint
        server.start = lambda: None
        self.exchange = ExchangeService(
            name,
            self.endpoint,
            'a',
            seeds=seeds,
            server=server,
            client=PeerClient(reactor, name),
            directory=self.directory,
            selector=self.selector,
            quarantine=self.quarantine,
            part_quarantine=PartQuarantine(),
            reactor=reactor,
            clock=self.clock,
            random_fraction=random.Random(name).random,
        )
        self.leave_count = 0
        self.exchange.merger.on_peer_left = self._count_leave
        self.exchange.start()

    def _count_leave(self) -> None:
        self.leave_count += 1

    def write(self, key: str, offset: int, value: bytes | None) -> None:
        """Apply a record as if read from the store."""
        record = KeyedRecord(key=key, offset=offset, value=value)
        self.directory.apply_records(
            Topic.SERVERS,
            (record,),
            offset + 1,
            self.clock.now(),
        )
        self.selector.update_fleet_view(
            FleetView(servers=dict(self.directory.servers))
        )


@given(
    '{count:d} routers that exchange, of which the first has the servers '
    '"{servers}"'
)
def start_routers(context: Context, count: int, servers: str) -> None:
    """Start routers with the first one as the seed of all others."""
    context.routers = []
    seeds: tuple[Endpoint, ...] = ()
    for number in range(count):
        router = Router(f'r{number}', seeds)
        context.add_cleanup(wait_for_call, router.exchange.close)
        context.routers.append(router)
        seeds = (context.routers[0].endpoint,)
    for offset, server in enumerate(servers.split()):
        context.routers[0].write(server, offset, b'{}')


@then('all routers have the servers "{servers}"')
def check_servers(context: Context, servers: str) -> None:
    """Wait until every directory has the servers."""
    expected = servers.split()
    wait_until(
        lambda: all(
            sorted(router.directory.servers) == expected
            for router in context.routers
        ),
    )


@when('the first router removes server "{server}"')
def remove_server(context: Context, server: str) -> None:
    """Remove an entry at one router."""
    context.routers[0].write(server, 9, None)


@given('each router knows {count:d} others')
@then('each router knows {count:d} others')
def check_known_routers(context: Context, count: int) -> None:
    """Wait until every router knows the others."""
    wait_until(
        lambda: all(
            len(router.exchange.peers) == count for router in context.routers
        ),
    )


@when('the last router leaves')
def announce_leave(context: Context) -> None:
    """Make a router announce that it stops."""
    context.routers[-1].exchange.announce_leave()


@then('the others know {count:d} other')
def check_router_removed(context: Context, count: int) -> None:
    """Wait until the others have removed it."""
    wait_until(
        lambda: all(
            len(router.exchange.peers) == count
            for router in context.routers[:-1]
        ),
    )


@then('the others are notified once that a router leaves')
def check_notified_once(context: Context) -> None:
    """Guard against a check of the lease on each message of one peer.

    A router that stops repeats its announcement in every exchange.
    """
    end = reactor.seconds() + _WAIT_S
    wait_until(lambda: reactor.seconds() > end)
    assert [router.leave_count for router in context.routers[:-1]] == [1, 1]


@when(
    'the first router has {count:d} calls at "{server}" and pauses it for '
    '{ms:d} ms'
)
def pause_server(context: Context, count: int, server: str, ms: int) -> None:
    """Put calls in flight and announce a pause."""
    first = context.routers[0]
    for number in range(count):
        call = ActiveCall(sent_at=first.clock.now())
        first.selector.load_of(server).own_calls[f'c{number}'] = call
    first.exchange.broadcast_pause((server,), Millis(ms))


def _is_paused(router: Router, server: str) -> bool:
    return router.selector.load_of(server).loading_until > router.clock.now()


@then('all routers pause calls to "{server}"')
def check_paused(context: Context, server: str) -> None:
    """Wait until every router pauses the server."""
    wait_until(
        lambda: all(_is_paused(router, server) for router in context.routers),
    )


@then('the others count {count:d} calls at "{server}"')
def check_peer_calls(context: Context, count: int, server: str) -> None:
    """Wait until the others count the calls of the first router."""
    wait_until(
        lambda: all(
            router.selector.load_of(server).active_calls(router.clock.now())
            == count
            for router in context.routers[1:]
        ),
    )


@when('the first router announces that "{server}" has version {version:d}')
def broadcast_weights(context: Context, server: str, version: int) -> None:
    """Broadcast new weights."""
    context.routers[0].exchange.broadcast_weights(server, 'm', version)


def _record_broadcasts(context: Context) -> ExchangeService:
    """Record the messages that the first router broadcasts."""
    exchange = context.routers[0].exchange
    context.broadcasts = []
    broadcast = exchange._broadcast

    def record(message: FleetExchange) -> None:
        context.broadcasts.append(message)
        broadcast(message)

    exchange._broadcast = record
    return exchange


@when('the first router finds "{server}" unresponsive {count:d} times at once')
def report_often(context: Context, server: str, count: int) -> None:
    """Report a server as many calls would, and wait for a broadcast."""
    exchange = _record_broadcasts(context)
    for _ in range(count):
        exchange.broadcast_unresponsive(server)
    wait_until(lambda: context.broadcasts)


@when(
    'the first router pauses "{first}", "{second}" and "{third}" one by one '
    'and announces that "{loaded}" has version {version:d}'
)
def broadcast_notifications(
    context: Context,
    first: str,
    second: str,
    third: str,
    loaded: str,
    version: int,
) -> None:
    """Broadcast about several engines at nearly the same time."""
    exchange = _record_broadcasts(context)
    for server in (first, second, third):
        exchange.broadcast_pause((server,), Millis(5000))
    exchange.broadcast_weights(loaded, 'm', version)


@then('the first router sent each other router one message')
def check_one_message(context: Context) -> None:
    """Guard against a message to each router for each engine."""
    assert len(context.broadcasts) == 1, context.broadcasts


@when('connections of the first {count:d} routers to "{server}" get no answer')
def report_unanswered_connections(
    context: Context, count: int, server: str
) -> None:
    """Report that connection attempts get no answer."""
    for router in context.routers[:count]:
        router.exchange.broadcast_unresponsive(server)


@then('the last router treats "{server}" as unresponsive')
def check_unresponsive(context: Context, server: str) -> None:
    """Guard against each router losing a call to detect the same fault."""
    last = context.routers[-1]
    load = last.selector.load_of(server)
    wait_until(lambda: load.is_reported_unresponsive(last.clock.now()))


@then('no router pauses calls to "{server}"')
def check_not_paused(context: Context, server: str) -> None:
    """Wait until every router uses the server again."""
    wait_until(
        lambda: (
            not any(_is_paused(router, server) for router in context.routers)
        ),
    )


@when('the first router sees a request crash {count:d} servers')
def record_crashes(context: Context, count: int) -> None:
    """Record crashes of different incarnations."""
    first = context.routers[0]
    for number in range(count):
        first.quarantine.record_crash(
            _FINGERPRINT,
            f'crash{number}',
            first.clock.now(),
        )


@then('all routers refuse that request')
def check_refused(context: Context) -> None:
    """Wait until every router has the crash suspicion."""
    wait_until(
        lambda: all(
            router.quarantine.status(_FINGERPRINT, router.clock.now())
            is QuarantineStatus.REFUSED
            for router in context.routers
        ),
    )


@then('a router last seen {age:d} ms ago {state}')
def check_alive(context: Context, age: int, state: str) -> None:
    """Compare whether the router counts as alive."""
    now = Millis(100_000)
    members = MemberList('self')
    seen = Member(
        name='r1',
        endpoint=Endpoint('127.0.0.1', 1),
        data_centre='a',
        last_seen_at=Millis(now - age),
    )
    members.observe_members((seen,), Millis(now - age))
    assert bool(members.live(now)) is (state == 'is alive')
