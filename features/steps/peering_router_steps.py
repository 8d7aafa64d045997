"""Steps for routers that exchange over connections."""

import itertools
import json
from dataclasses import dataclass
from typing import Any

from behave import given, then, when
from behave.runner import Context
from klein import Klein
from twisted.internet import reactor
from twisted.web.server import Site

from features.loop import wait_for_call, wait_until
from features.membership_node import peer_settings
from features.steps.peering_steps import ENGINE, LOAD
from yuccagauge.adoption.replay import Snapshot
from yuccagauge.cacheview.base import HotPrefix
from yuccagauge.claims.client import ForwardError
from yuccagauge.clock import Millis, SystemClock
from yuccagauge.load.base import EngineReport
from yuccagauge.peering.hooks import PeeringHooks
from yuccagauge.peering.notices import HeardSuspicion
from yuccagauge.peering.service import Peering
from yuccagauge.settings.options import Endpoint

_SERVER = Endpoint('10.0.0.2', 9102)


_FINGERPRINT = b'0123456789abcdef'


# As long as quarantine makes them: an address and 32 digits. Names that
# were cut off once counted one crash twice.
_CRASH = f'10.100.200.100:9101/{"1" * 32}'


_CLEARED_CRASH = f'10.100.200.100:9101/{"1" * 31}2'


_SERVICE = 'matcher-llm'


class _Store:
    """A document store without a log."""

    services = (_SERVICE,)

    def __init__(self) -> None:
        self.snapshot: Snapshot | None = None

    @property
    def versions(self) -> dict[str, int]:
        """The version in force."""
        return {_SERVICE: self.snapshot.version} if self.snapshot else {}

    def is_behind(self, service: str, version: int) -> bool:
        """Compare with what is held."""
        return version > self.versions.get(service, -1)

    def latest_snapshot(self, service: str) -> Snapshot | None:
        """Return what is held."""
        return self.snapshot

    def merge_snapshot(self, service: str, snapshot: Snapshot) -> bool:
        """Take a higher version."""
        if not self.is_behind(service, snapshot.version):
            return False
        self.snapshot = snapshot
        return True

    def publish(self, version: int) -> None:
        """Put a version in force."""
        sections = {'service': {'name': _SERVICE}}
        self.snapshot = Snapshot(
            version=version,
            as_of=version + 1,
            sections=sections,
        )


@dataclass
class _Suspicions:
    """A table of suspicions that only collects."""

    own: tuple[HeardSuspicion, ...] = ()
    heard: tuple[Any, ...] = ()

    def recent_suspicions(
        self, limit: int, now: Millis
    ) -> tuple[HeardSuspicion, ...]:
        """Return the own ones."""
        return tuple(itertools.islice(self.own, limit))

    def merge_suspicions(
        self, suspicions: tuple[Any, ...], now: Millis
    ) -> None:
        """Collect a peer's."""
        self.heard += suspicions


class _Router:
    """A peering object whose hooks collect what arrives."""

    def __init__(self, name: str, seeds: str, engine: Endpoint) -> None:
        self.store = _Store()
        self.suspicions = _Suspicions()
        self.reports: list[EngineReport] = []
        self.leaving: list[frozenset[Endpoint]] = []
        self.preloaded: tuple[HotPrefix, ...] = ()
        self.demand: dict[str, float] = {}
        self.engine = engine
        self.peering = Peering(
            peer_settings(name, seeds),
            reactor,
            SystemClock(),
        )
        self.peering.start(self._hooks(name))
        self.peering.configure()

    def _hooks(self, name: str) -> PeeringHooks:
        hot = HotPrefix(
            digest=b'\x01' * 16,
            tokens=900,
            engine=ENGINE,
            incarnation='i1',
            rate=2.5,
        )
        return PeeringHooks(
            store=self.store,
            quarantine=self.suspicions,
            answer_claim=lambda payload: bytes(reversed(payload)),
            engines=lambda: {self.engine: 'khomas-a'},
            customers=lambda: ('namport',),
            report=self.reports.append,
            event=lambda event: None,
            gap=lambda engine: None,
            hot=lambda limit: (hot,) if name == 'first' else (),
            preload=self._preload,
            demand=lambda: {'namport': 3.5},
            set_fleet_demand=self._set_fleet_demand,
            leaving=self.leaving.append,
        )

    def _preload(self, prefixes: tuple[HotPrefix, ...]) -> None:
        self.preloaded = prefixes

    def _set_fleet_demand(self, live: int, demand: Any) -> None:
        self.demand = dict(demand)


def _answer_load(request: Any) -> bytes:
    measured = SystemClock().wall_time()
    return json.dumps({**LOAD, 'measured_ms': measured}).encode()


@given(
    '2 peering routers, the first one with a document at version {version:d}',
)
def given_routers(context: Context, version: int) -> None:
    """Start an engine's load interface and both routers."""
    app = Klein()
    app.route('/load')(_answer_load)
    port = reactor.listenTCP(0, Site(app.resource()), interface='127.0.0.1')
    engine = Endpoint('127.0.0.1', port.getHost().port)
    context.engine = engine
    context.first = _Router('first', '', engine)
    seed = str(context.first.peering.server.endpoint)
    context.first.store.publish(version)
    context.second = _Router('second', seed, engine)
    context.add_cleanup(wait_for_call, port.stopListening)
    for router in (context.first, context.second):
        context.add_cleanup(wait_for_call, router.peering.close)


@then('the second peering router gets the document at version {version:d}')
def then_document(context: Context, version: int) -> None:
    """Version and offset arrive together."""
    store = context.second.store
    wait_until(lambda: store.versions.get(_SERVICE) == version)
    assert store.snapshot.as_of == version + 1
    assert store.snapshot.sections == {'service': {'name': _SERVICE}}


@when('the first peering router publishes the document at version {version:d}')
def when_published(context: Context, version: int) -> None:
    """A newer version comes into force at one router."""
    context.first.store.publish(version)


@then('both peering routers get the load of the one engine')
def then_load(context: Context) -> None:
    """One of them polls it, the other one hears of it."""
    routers = (context.first, context.second)
    wait_until(lambda: all(router.reports for router in routers))
    polled = [each.peering._engines.polled for each in routers]
    assert sorted(map(len, polled)) == [0, 1], polled
    for router in routers:
        report = router.reports[-1]
        assert (report.engine, report.running) == (context.engine, 3)


@then('both peering routers know a demand of {rate:d} requests/s')
def then_known_demand(context: Context, rate: int) -> None:
    """Share at once instead of after the period."""
    routers = (context.first, context.second)

    def has_arrived() -> bool:
        for each in routers:
            each.peering._share_demand()
        return all(router.demand == {'namport': rate} for router in routers)

    wait_until(has_arrived)


@then("the second peering router is warmed with the first's hot prefixes")
def then_warm(context: Context) -> None:
    """A restarted router starts with what its neighbours know."""
    wait_until(lambda: bool(context.second.preloaded))
    hot = context.second.preloaded[0]
    assert (hot.tokens, hot.rate, hot.engine) == (900, 2.5, ENGINE)


@when('the first peering router finds a server leaving')
def when_leaving(context: Context) -> None:
    """A refusal or a load report said so."""
    context.first.peering.notify_leaving(_SERVER)


@then('the second peering router takes the server as leaving')
def then_leaving(context: Context) -> None:
    """Wait for the notice."""
    wait_until(lambda: context.second.leaving == [frozenset((_SERVER,))])


@when('a request crashes an engine at the first peering router')
def when_crashed(context: Context) -> None:
    """Give the first router a suspicion."""
    context.first.suspicions.own = (
        HeardSuspicion(
            fingerprint=_FINGERPRINT,
            crashes=frozenset((_CRASH, _CLEARED_CRASH)),
            cleared=frozenset((_CLEARED_CRASH,)),
            age=Millis(1000),
        ),
    )


@then('the second peering router suspects the request')
def then_suspects(context: Context) -> None:
    """Each crash arrives with what became of it."""
    table = context.second.suspicions
    wait_until(lambda: len(table.heard) >= 2)
    crashes = {tuple(found.crashes): found.cleared for found in table.heard}
    assert crashes == {
        (_CRASH,): frozenset(),
        (_CLEARED_CRASH,): frozenset((_CLEARED_CRASH,)),
    }
    assert all(found.fingerprint == _FINGERPRINT for found in table.heard)
    assert all(1000 <= found.age < 30_000 for found in table.heard)


@then('a claim forwarded to the first peering router is answered')
def then_forwarded(context: Context) -> None:
    """The payload is passed on as it is."""
    forwarder = context.second.peering.forwarder
    assert forwarder.routers == ('first',)
    timeout = Millis(5000)
    answer = wait_for_call(forwarder.forward, 'first', b'abc', timeout)
    assert answer == b'cba'


@then('a claim forwarded to an unknown peering router fails')
def then_not_forwarded(context: Context) -> None:
    """The error is the one that the claims expect."""
    forwarder = context.second.peering.forwarder
    try:
        wait_for_call(forwarder.forward, 'third', b'abc', Millis(5000))
    except ForwardError:
        return
    raise AssertionError('the claim was answered')
