"""Steps for the crashes in the platform's store."""

from collections.abc import Callable
from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred, fail, succeed
from twisted.internet.task import Clock as TaskClock
from twisted.internet.task import deferLater

from features.rollout_engines import VirtualClock
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.quarantine.archive import CrashArchive, StoredCrash
from yuccagauge.quarantine.base import Quarantine, QuarantineStatus
from yuccagauge.quarantine.evidence import PartCrash
from yuccagauge.quarantine.ledger import CrashLedger
from yuccagauge.quarantine.parts import PartQuarantine
from yuccagauge.settings.options import Endpoint

_ENGINE = Endpoint('127.0.0.1', 9101)
_STEP_S = 0.1


class _Store:
    """Crashes in memory, with the number of calls."""

    def __init__(self) -> None:
        self.crashes: dict[tuple[bytes, str], StoredCrash] = {}
        self.answers = True
        self.reads = 0
        self.writes = 0
        #: Returns a Deferred that fires when a write is answered.
        self.delay: Callable[[], Deferred[Any]] = lambda: succeed(None)

    def write_crashes(self, crashes: tuple[StoredCrash, ...]) -> Deferred[Any]:
        """Add or remove crashes."""
        self.writes += 1
        if not self.answers:
            return fail(StoreUnavailableError('injected outage'))
        for crash in crashes:
            key = crash.fingerprint, crash.crash
            self.crashes.pop(key, None)
            if crash.crashed_at is not None:
                self.crashes[key] = crash
        return self.delay()

    def list_crashes(self) -> Deferred[Any]:
        """Return all crashes."""
        self.reads += 1
        if not self.answers:
            return fail(StoreUnavailableError('injected outage'))
        return succeed(tuple(self.crashes.values()))


def _prepare(context: Context) -> None:
    if not hasattr(context, 'crash_store'):
        context.crash_store = _Store()
        context.reactor = TaskClock()
        context.clock = VirtualClock(context.reactor)


def _start(context: Context, *, is_isolated: bool) -> None:
    _prepare(context)
    context.quarantine = Quarantine()
    context.parts = PartQuarantine()
    context.archive = CrashArchive(
        CrashLedger(context.quarantine, context.parts),
        context.crash_store,
        context.reactor,
        context.clock,
        lambda: is_isolated,
    )
    context.archive.start()
    context.add_cleanup(context.archive.close)


def _pass_time(context: Context, seconds: float) -> None:
    for _ in range(round(seconds / _STEP_S)):
        context.reactor.advance(_STEP_S)


@given('an isolated router that has read the crashes of the store')
@when('an isolated router starts')
def start_isolated(context: Context) -> None:
    """Start a router that hears no other one."""
    _start(context, is_isolated=True)


@given('a router that hears its peers')
def start_connected(context: Context) -> None:
    """Start a router that other routers reach."""
    _start(context, is_isolated=False)


@given('a store that has {count:d} crashes of request "{name}"')
def fill_store(context: Context, count: int, name: str) -> None:
    """Store crashes that were noticed just now."""
    _prepare(context)
    crashes = tuple(
        StoredCrash(
            fingerprint=name.encode(),
            crash=f'crash{number}',
            crashed_at=context.clock.wall_time(),
        )
        for number in range(count)
    )
    context.crash_store.write_crashes(crashes)


@given('a store that does not answer')
def silence_store(context: Context) -> None:
    """Let all calls fail."""
    _prepare(context)
    context.crash_store.answers = False


@given('a store that answers after {seconds:d} s')
def delay_store(context: Context, seconds: int) -> None:
    """Delay the answers to writes."""
    context.crash_store.delay = lambda: deferLater(context.reactor, seconds)


@when('the store answers again')
def restore_store(context: Context) -> None:
    """End the outage."""
    context.crash_store.answers = True


@when('{seconds:d} s pass in the store')
def pass_seconds(context: Context, seconds: int) -> None:
    """Pass time."""
    _pass_time(context, seconds)


@when('{minutes:d} minutes pass before an isolated router starts')
def start_later(context: Context, minutes: int) -> None:
    """Start a router when the crashes are old."""
    context.reactor.advance(60 * minutes)
    start_isolated(context)
    _pass_time(context, 1)


@when('another isolated router sees request "{name}" break')
def break_elsewhere(context: Context, name: str) -> None:
    """Record a crash at a router whose messages do not arrive."""
    first = context.quarantine
    start_isolated(context)
    break_request(context, name, 1)
    context.quarantine = first


@when('request "{name}" breaks {times:d} times')
def break_request(context: Context, name: str, times: int) -> None:
    """Record broken connections to different incarnations."""
    for number in range(times):
        context.quarantine.record_broken_connection(
            name.encode(), _ENGINE, f'i{number}', context.clock.now()
        )


@when('{count:d} engines crash under requests with the part "{part}"')
def crash_part(context: Context, count: int, part: str) -> None:
    """Crash one engine after the other."""
    for number in range(count):
        context.reactor.advance(_STEP_S)
        now = context.clock.now()
        crash = PartCrash(
            crash=f'c{number}',
            request=f'r{number}',
            sent_at=now,
            noticed_at=now,
        )
        context.parts.record_crash((part,), crash, now)


@when('a request with the part "{part}" is answered')
def answer_part(context: Context, part: str) -> None:
    """Record an answer that begins now."""
    now = context.clock.now()
    context.parts.record_sound((part,), now, now)


@then('that router blames the part "{part}" too')
def check_blames(context: Context, part: str) -> None:
    """Guard against a restart of all routers that starts the crashes anew."""
    _pass_time(context, 1)
    assert context.parts.blamed == {part}, context.parts.blamed


@when('request "{name}" completes')
def complete_request(context: Context, name: str) -> None:
    """Record a complete answer."""
    context.quarantine.record_completion(name.encode())


@then(
    'the first router knows {count:d} crash of request "{name}" {seconds:d} s '
    'later'
)
def check_known(context: Context, count: int, name: str, seconds: int) -> None:
    """Guard against a router that ends servers on its own."""
    _pass_time(context, seconds)
    known = context.quarantine.recent_suspicions(9, context.clock.now())
    found = {each.fingerprint: len(each.crashes) for each in known}
    assert found == {name.encode(): count}, found


@then('the router has read the crashes {times:d} time')
def check_reads(context: Context, times: int) -> None:
    """Guard against calls of every router for what peers tell anyway."""
    assert context.crash_store.reads == times


@then('it is not ready before it refuses request "{name}"')
def check_ready(context: Context, name: str) -> None:
    """Guard against a new router that ends servers others know of."""
    status = context.quarantine.status(name.encode(), context.clock.now())
    assert context.archive.is_ready
    assert status is QuarantineStatus.REFUSED


@then('it is ready after {ms:d} ms')
def check_ready_time(context: Context, ms: int) -> None:
    """Guard against a router that waits for an unreachable store."""
    start = context.clock.now()
    while not context.archive.is_ready:
        context.reactor.advance(_STEP_S)
    assert context.clock.now() - start == ms


@then('the store was written {times:d} times')
def check_writes(context: Context, times: int) -> None:
    """Guard against calls for crashes that no longer count."""
    assert context.crash_store.writes == times


@then('the store has {count:d} crashes')
def check_stored(context: Context, count: int) -> None:
    """Check the number of stored crashes."""
    assert len(context.crash_store.crashes) == count
