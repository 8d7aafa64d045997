"""Steps for fleets of which a few routers read the store."""

from collections import Counter
from functools import partial
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.simulated_store import StoreClient
from features.version_fleet import VersionFleet
from yuccagauge.clock import Millis
from yuccagauge.directory.position import StorePosition
from yuccagauge.directory.readpolicy import is_fleet_reader
from yuccagauge.exchange.spread import ChangeSpread

#: Time until all routers know each other, in seconds.
_WARM_UP_S = 6.0

_SERVERS = 3
_NEWEST = 2


class _CountingClient:
    """The store as one router sees it; counts the calls of all."""

    def __init__(self, client: StoreClient, calls: Counter[str]) -> None:
        self._client = client
        self._calls = calls

    def __getattr__(self, name: str) -> Any:
        self._calls[name] += 1
        return getattr(self._client, name)


class SharingFleet(VersionFleet):
    """Routers in several data centres.

    Parameters
    ----------
    routers, centres
        Their numbers.
    """

    def __init__(self, routers: int, centres: int) -> None:
        """Start the fleet."""
        self.calls: Counter[str] = Counter()
        self.sent_messages = 0
        self._centres = centres
        super().__init__(routers, _SERVERS)

    def data_centre(self, name: str) -> str:
        """Return the data centre of a router."""
        return str(int(name.removeprefix('router')) % self._centres)

    def build_store_client(self, name: str) -> Any:
        """Return the store as a router sees it."""
        return _CountingClient(super().build_store_client(name), self.calls)

    def count_messages(self) -> None:
        """Count from now on the messages that routers send by themselves."""
        self.sent_messages = 0
        for name in self.router_names:
            exchange = self.router(name)._exchange
            exchange._send_message = partial(
                self._send_message, exchange._send_message
            )

    def _send_message(self, send: Any, *message: Any) -> None:
        self.sent_messages += 1
        send(*message)


@given('a fleet of {routers:d} routers in {centres:d} data centres')
def start_fleet(context: Context, routers: int, centres: int) -> None:
    """Start a fleet, and let the routers get to know each other."""
    context.fleet = SharingFleet(routers, centres)
    context.fleet.run(_WARM_UP_S)
    context.fleet.calls.clear()


@when('the fleet is at rest for {seconds:d} s')
def pass_time(context: Context, seconds: int) -> None:
    """Let the routers be at rest."""
    context.fleet.run(seconds)
    context.seconds = seconds


@then('they called the store at most {calls:d} times a second')
def check_calls(context: Context, calls: int) -> None:
    """Guard against calls that grow with the routers."""
    total = context.fleet.calls.total()
    assert 0 < total <= calls * context.seconds, context.fleet.calls


@when('weights are named to the fleet')
def name_weights(context: Context) -> None:
    """Name a version, as the operator does."""
    context.fleet.store.append_weights('m', _NEWEST)


@when('the readers of the fleet lose the store, and weights are named')
def lose_store(context: Context) -> None:
    """Cut the two routers that read off from the store."""
    fleet = context.fleet
    centre_of = {name: fleet.data_centre(name) for name in fleet.router_names}
    readers = [name for name in centre_of if is_fleet_reader(name, centre_of)]
    assert len(readers) == 2, readers
    fleet.store.refused.update(readers)
    name_weights(context)


@then('all routers know them within {limit:d} ms')
def check_known(context: Context, limit: int) -> None:
    """Guard against routers that go on with what was replaced."""
    fleet = context.fleet
    fleet.count_messages()
    fleet.run(limit / 1000)
    missing = [
        name
        for name in fleet.router_names
        if fleet.router(name)._directory.targets.get('m') != _NEWEST
    ]
    assert not missing, missing


@then('each has sent at most {count:d} messages on average')
def check_messages(context: Context, count: int) -> None:
    """Guard against a change that each router sends to all others."""
    fleet = context.fleet
    most = count * len(fleet.router_names)
    assert 0 < fleet.sent_messages <= most, fleet.sent_messages


@given(
    'a router of a fleet that {shares} reads has passed on the offset '
    '{offset:d} of era {era:d}'
)
def create_spread(context: Context, shares: str, offset: int, era: int) -> None:
    """Create the decision of a router that knows some records."""
    context.is_shared = shares == 'shares'
    context.position = StorePosition(era=era, offset=offset)
    context.spread = ChangeSpread()
    context.spread.passes_on(context.position, is_shared=context.is_shared)


@when('it has the records up to the offset {offset:d} of era {era:d}')
def advance(context: Context, offset: int, era: int) -> None:
    """Apply records."""
    context.tells = context.spread.passes_on(
        StorePosition(era=era, offset=offset), is_shared=context.is_shared
    )


@then('it tells its partners: {tells:w}')
def check_tells(context: Context, tells: str) -> None:
    """Guard against changes that wait for the next period, and repeats."""
    assert context.tells is (tells == 'yes')


@when(
    'a peer has the offset {first:d} of era 1, and {later:d} ms later one has '
    'the offset {second:d} of era 1'
)
def hear_peers(context: Context, first: int, later: int, second: int) -> None:
    """Receive two messages before an answer."""
    context.asks = [
        context.spread.fetches(
            context.position, StorePosition(era=1, offset=offset), Millis(now)
        )
        for offset, now in ((first, 1000), (second, 1000 + later))
    ]


@then('it asks the peers: {first:w}, {second:w}')
def check_asks(context: Context, first: str, second: str) -> None:
    """Guard against changes that are not fetched, or fetched many times."""
    assert context.asks == [first == 'yes', second == 'yes'], context.asks
