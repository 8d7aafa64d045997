"""Steps for archives whose store comes back from a copy."""

from collections.abc import Callable
from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock as TaskClock

from features.directory_fixtures import backend_server
from features.rollout_engines import MODEL, TargetDecoder, VirtualClock
from yuccagauge.clock import Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.directory.targetarchive import TargetArchive
from yuccagauge.origins.archive import VersionArchive
from yuccagauge.origins.versions import VersionHistory
from yuccagauge.quarantine.archive import CrashArchive, StoredCrash
from yuccagauge.quarantine.base import Quarantine
from yuccagauge.quarantine.ledger import CrashLedger
from yuccagauge.quarantine.parts import PartQuarantine

_REQUEST = b'request'
_CRASHES = 3
_STEP_S = 0.05
_FIRST_ERA = 4


class _Store:
    """Keeps what archives write, by key."""

    def __init__(self) -> None:
        self.kept: dict[Any, Any] = {}
        self.writes = 0

    def write_crashes(self, crashes: tuple[StoredCrash, ...]) -> Deferred[None]:
        """Add or remove crashes."""
        self.writes += 1
        for crash in crashes:
            self.kept.pop(crash.crash, None)
            if crash.crashed_at is not None:
                self.kept[crash.crash] = crash
        return succeed(None)

    def list_crashes(self) -> Deferred[Any]:
        """Return all crashes."""
        return succeed(tuple(self.kept.values()))

    def _write(self, key: str, value: Any) -> Deferred[None]:
        self.writes += 1
        self.kept[key] = value
        return succeed(None)

    write_versions = write_targets = _write

    def list_versions(self) -> Deferred[Any]:
        """Return all that is kept."""
        return succeed(dict(self.kept))

    list_targets = list_versions


class _Router:
    """A router with one archive."""

    def __init__(self) -> None:
        self.reactor = TaskClock()
        self.reactor.advance(20)
        self.clock = VirtualClock(self.reactor)
        self.store = _Store()
        self.quarantine = Quarantine()
        self.directory = Directory(TargetDecoder())
        self.raise_era(_FIRST_ERA)

    @property
    def era(self) -> int:
        """The era of the store."""
        return self.directory.era(Topic.SERVERS)

    def is_isolated(self) -> bool:
        """Return whether the router hears no other one."""
        return False

    def raise_era(self, era: int) -> None:
        """Read the store in a new era."""
        now = self.clock.now()
        for topic in Topic:
            self.directory.begin_era(topic, era, now)
        self.directory.apply_listing(Topic.SERVERS, (), 0, now)
        record = KeyedRecord(key='config', offset=0, value=b'1')
        self.directory.apply_listing(Topic.OPERATIONS, (record,), 1, now)

    def pass_time(self, seconds: float) -> None:
        """Let the archive work."""
        for _ in range(round(seconds / _STEP_S)):
            self.reactor.advance(_STEP_S)


def _store_crashes(router: _Router) -> CrashArchive:
    parts = PartQuarantine()
    archive = CrashArchive(
        CrashLedger(router.quarantine, parts),
        router.store,
        router.reactor,
        router.clock,
        router.is_isolated,
        lambda: router.era,
    )
    archive.start()
    for number in range(_CRASHES):
        router.quarantine.record_crash(
            _REQUEST, f'crash{number}', router.clock.now()
        )
    return archive


def _store_versions(router: _Router) -> VersionArchive:
    history = VersionHistory()
    servers = [
        backend_server(name, software_version=name) for name in ('v1', 'v2')
    ]
    history.observe(servers, router.clock.now())
    archive = VersionArchive(
        history,
        router.store,
        router.reactor,
        router.clock,
        lambda: True,
        lambda: router.era,
    )
    archive.start()
    return archive


def _store_targets(router: _Router) -> TargetArchive:
    now = router.clock.now()
    archive = TargetArchive(
        router.directory,
        router.store,
        router.reactor,
        router.clock,
        heartbeat=Millis(1200),
        is_writer=lambda: True,
        servers_known_until=lambda: now,
    )
    archive.start()
    record = KeyedRecord(key=f'v/{MODEL}', offset=2, value=b'2')
    router.directory.apply_records(
        Topic.OPERATIONS, (record,), 3, now, Millis(now - 100)
    )
    return archive


_ARCHIVES: dict[str, Callable[[_Router], Any]] = {
    'crashes of a request': _store_crashes,
    'the software versions of a service': _store_versions,
    'when weights were named': _store_targets,
}


@given('a router that has stored {what}')
def given_stored(context: Context, what: str) -> None:
    """Let an archive write."""
    context.router = _Router()
    archive = _ARCHIVES[what](context.router)
    context.add_cleanup(archive.close)
    context.router.pass_time(1)
    context.stored = dict(context.router.store.kept)
    assert context.stored


@when('the store comes back from a copy without it')
def when_lost(context: Context) -> None:
    """Lose all that is kept."""
    context.router.store.kept.clear()
    context.router.raise_era(_FIRST_ERA + 1)


@when('the request completes, and the store comes back from a copy {kept} it')
def when_cleared(context: Context, kept: str) -> None:
    """Clear the crashes just before the loss is seen."""
    context.router.quarantine.record_completion(_REQUEST)
    if kept == 'without':
        context.router.store.kept.clear()
    context.router.raise_era(_FIRST_ERA + 1)


@when('the store comes back from a copy with the versions "{versions}"')
def when_older_versions(context: Context, versions: str) -> None:
    """Replace what is kept by something older."""
    kept = context.router.store.kept
    kept.update(dict.fromkeys(kept, tuple(versions.split())))
    context.router.raise_era(_FIRST_ERA + 1)


@then('the store has the versions "{versions}" within {seconds:d} s')
def then_versions(context: Context, versions: str, seconds: int) -> None:
    """Compare what is stored of all services."""
    context.router.pass_time(seconds)
    found = set(context.router.store.kept.values())
    assert found == {tuple(versions.split())}, found


@when('{seconds:d} s pass at the archive')
def when_time_passes(context: Context, seconds: int) -> None:
    """Let the archive look again."""
    context.router.pass_time(seconds)


@then('the store has {what} again within {seconds:d} s')
def then_stored(context: Context, what: str, seconds: int) -> None:
    """Compare the keys with what was stored before."""
    context.router.pass_time(seconds)
    found = context.router.store.kept
    assert found.keys() == context.stored.keys(), (what, found)


@then('the router has written once')
def then_written_once(context: Context) -> None:
    """Guard against calls to the store that change nothing."""
    assert context.router.store.writes == 1, context.router.store.writes


@then('the store has no crashes after {seconds:d} s')
def then_no_crashes(context: Context, seconds: int) -> None:
    """Guard against requests that are refused though they are sound."""
    context.router.pass_time(seconds)
    assert not context.router.store.kept, context.router.store.kept
