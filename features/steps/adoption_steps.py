"""Steps for the configuration that is in force."""

import hashlib
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import Clock

from features.memory_log import MemoryLog
from features.simulation import new_reactor, pass_time, settle
from yuccagauge.adoption.publish import publish
from yuccagauge.adoption.records import Checkpoint, encode_record
from yuccagauge.adoption.replay import (
    Accepted,
    ConfigState,
    Invalid,
    apply_record,
)
from yuccagauge.adoption.store import (
    DocumentInForce,
    DocumentStore,
    StoreOptions,
)
from yuccagauge.clock import Millis
from yuccagauge.errors import YuccagaugeError
from yuccagauge.settings.process import BootstrapSection
from yuccagauge.settings.reader import read_file

SAMPLE = Path(__file__).parent.parent / 'settings' / 'matcher-llm.ini'
SERVICE = 'matcher-llm'
_STREAM = f'config-{SERVICE}'


def document(deadline: object) -> dict[str, Any]:
    sections = dict(read_file(str(SAMPLE)))
    sections['routing'] = {'deadline_ms': str(deadline)}
    return sections


class Fleet:
    """Routers that follow one configuration stream."""

    def __init__(self, names: str) -> None:
        self.reactor: Clock = new_reactor()
        self.log = MemoryLog(self.reactor)
        self.stores: dict[str, DocumentStore] = {}
        self.options: dict[str, StoreOptions] = {}
        for name in names:
            self.start(name)

    def start(self, name: str) -> None:
        options = self.options.get(name, StoreOptions())
        store = DocumentStore(
            self.log, (SERVICE,), self.reactor, seed=name, options=options
        )
        self.stores[name] = store
        store.start()
        pass_time(self.reactor, 0.1)

    def restart(self, name: str) -> None:
        self.stores[name].close()
        self.start(name)

    def publish(self, replaces: int, deadline: object) -> Deferred:
        return publish(
            self.log,
            SERVICE,
            replaces,
            document(deadline),
            reactor=self.reactor,
            timeout=Millis(10_000),
        )

    def replay_whole_log(self) -> ConfigState:
        """Return the state after all records, including trimmed ones."""
        state = ConfigState(service=SERVICE)
        for record in self.log.streams.get(_STREAM, ()):
            state = apply_record(state, record)
        return state

    def trim(self, first: int) -> None:
        self.log.trim(_STREAM, max(first, self.log.first.get(_STREAM, 0)))


def _describe(outcome: object) -> str:
    if isinstance(outcome, Accepted):
        return f'accepted as {outcome.version}'
    if isinstance(outcome, Invalid):
        return f'invalid: {outcome.reason}'
    return f'conflict with {outcome.version}'


@given('configuration routers "{names}" on a simulated log')
def given_routers(context: Context, names: str) -> None:
    context.configuration = Fleet(names.replace(', ', ''))


@given('the configuration log has the fault "{fault}"')
def given_fault(context: Context, fault: str) -> None:
    attribute, _, number = fault.partition('=')
    setattr(context.configuration.log, attribute, int(number))


@given('configuration router "{name}" writes checkpoints')
def given_checkpoints(context: Context, name: str) -> None:
    options = StoreOptions(writes_checkpoints=lambda service: True)
    context.configuration.options[name] = options
    context.configuration.restart(name)


@given('a failing configuration listener on router "{name}"')
def given_listener(context: Context, name: str) -> None:
    versions: list[int] = []
    context.received_versions = versions

    def fail_always(in_force: DocumentInForce) -> None:
        raise ValueError(in_force.service)

    store = context.configuration.stores[name]
    store.add_listener(fail_always)
    store.add_listener(lambda found: versions.append(found.version))


@when('version {version:d} is replaced with deadline {deadline}')
def when_replaced(context: Context, version: int, deadline: str) -> None:
    config = context.configuration
    try:
        outcome = settle(config.reactor, config.publish(version, deadline))
    except YuccagaugeError as error:
        context.published = type(error).__name__
    else:
        context.published = _describe(outcome)
    pass_time(config.reactor, 0.1)


@when('version {version:d} is replaced twice at once')
def when_replaced_twice(context: Context, version: int) -> None:
    config = context.configuration
    # Both publishers read the same version before either one appends.
    both = [config.publish(version, deadline) for deadline in (2000, 3000)]
    context.outcomes = settle(config.reactor, gatherResults(both))
    pass_time(config.reactor, 0.1)


@when('{seconds:d} s pass at the configuration routers')
def when_time_passes(context: Context, seconds: int) -> None:
    pass_time(context.configuration.reactor, seconds)


@when('the configuration stream is trimmed to offset {offset:d}')
def when_trimmed(context: Context, offset: int) -> None:
    context.configuration.trim(offset)


@when('configuration router "{name}" restarts')
def when_restarts(context: Context, name: str) -> None:
    context.configuration.restart(name)


@when('configuration router "{name}" restarts with a bootstrap document')
def when_bootstraps(context: Context, name: str) -> None:
    section = BootstrapSection(enabled=True, document=str(SAMPLE))
    context.configuration.options[name] = StoreOptions(bootstrap=section)
    context.configuration.restart(name)


@when('a checkpoint of configuration router "{name}" is delayed')
def when_checkpoint(context: Context, name: str) -> None:
    found = context.configuration.stores[name].latest_snapshot(SERVICE)
    record = Checkpoint(
        version=found.version, as_of=found.as_of, sections=found.sections
    )
    context.configuration.log.delayed.append((_STREAM, encode_record(record)))


@when('the delayed configuration appends take effect')
def when_delayed(context: Context) -> None:
    context.configuration.log.deliver_delayed()
    pass_time(context.configuration.reactor, 0.1)


@when('the version of configuration router "{name}" is saved')
def when_saved(context: Context, name: str) -> None:
    stores = context.configuration.stores
    context.saved_snapshot = stores[name].latest_snapshot(SERVICE)


@when('configuration router "{name}" merges the saved version')
def when_merges_saved(context: Context, name: str) -> None:
    stores = context.configuration.stores
    stores[name].merge_snapshot(SERVICE, context.saved_snapshot)


@when('configuration router "{name}" merges the version of "{other}"')
def when_merges(context: Context, name: str, other: str) -> None:
    stores = context.configuration.stores
    version = stores[other].versions[SERVICE]
    assert stores[name].is_behind(SERVICE, version)
    snapshot = stores[other].latest_snapshot(SERVICE)
    assert stores[name].merge_snapshot(SERVICE, snapshot)


@then('the publication is "{words}"')
def then_published(context: Context, words: str) -> None:
    expected, found = words, context.published
    if words.startswith('invalid'):
        kind, _, reason = words.partition(': ')
        assert found.startswith(kind) and reason in found, found
    else:
        assert found == expected, found


@then('one publication is accepted and the other one conflicts with it')
def then_one_accepted(context: Context) -> None:
    versions = {outcome.version for outcome in context.outcomes}
    kinds = sorted(type(outcome).__name__ for outcome in context.outcomes)
    assert kinds == ['Accepted', 'Conflict'], kinds
    assert len(versions) == 1


@then('configuration routers "{names}" have the same version')
def then_same(context: Context, names: str) -> None:
    stores = context.configuration.stores
    found = {stores[name].versions[SERVICE] for name in names.split(', ')}
    assert len(found) == 1, found


@then('configuration router "{name}" has no document')
def then_none(context: Context, name: str) -> None:
    assert context.configuration.stores[name].in_force(SERVICE) is None


@then(
    'configuration router "{name}" has deadline {deadline:d} '
    'as version {version:d}',
)
def then_in_force(
    context: Context, name: str, deadline: int, version: int
) -> None:
    in_force = context.configuration.stores[name].in_force(SERVICE)
    assert in_force is not None
    assert in_force.version == version, in_force.version
    assert in_force.document.routing.deadline_ms == deadline


@then(
    'the later listener of configuration router "{name}" '
    'received version {version:d}',
)
def then_received(context: Context, name: str, version: int) -> None:
    assert context.received_versions == [version], context.received_versions


class ConfigMachine(RuleBasedStateMachine):
    """Concurrent publications under faults of the log and of routers.

    Guards against a router whose version decreases, exceeds the version in
    force, or differs from that of the other routers after the faults.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet('ab')
        self.fleet.options['a'] = StoreOptions(
            checkpoint_interval=Millis(10_000),
            writes_checkpoints=lambda service: True,
        )
        self.fleet.restart('a')
        self.minimum_versions = {'a': -1, 'b': -1}
        self.saved_snapshots: list[Any] = []
        self.digests: dict[int, str] = {}
        self.fleet.publish(-1, 500)
        pass_time(self.fleet.reactor, 1)

    @rule(deadline=st.integers(1000, 9000), ahead=st.integers(-1, 1))
    def publish(self, deadline: int, ahead: int) -> None:
        replaces = self.fleet.replay_whole_log().current.version + ahead
        self.fleet.publish(replaces, deadline).addErrback(
            lambda failure: failure.trap(YuccagaugeError),
        )

    @rule(seconds=st.sampled_from([0.05, 1, 12]))
    def wait(self, seconds: float) -> None:
        pass_time(self.fleet.reactor, seconds)

    @rule(name=st.sampled_from('ab'))
    def restart(self, name: str) -> None:
        self.minimum_versions[name] = -1
        self.fleet.restart(name)

    @rule(
        attribute=st.sampled_from(['outage', 'lose_answers', 'delay_appends']),
        number=st.integers(0, 2),
    )
    def fault(self, attribute: str, number: int) -> None:
        setattr(self.fleet.log, attribute, number)

    @rule(repeat=st.booleans())
    def deliver(self, repeat: bool) -> None:
        delayed = list(self.fleet.log.delayed)
        self.fleet.log.deliver_delayed()
        self.fleet.log.delayed = delayed if repeat else []

    @rule(keep=st.integers(0, 4))
    def trim(self, keep: int) -> None:
        self.fleet.trim(len(self.fleet.log.streams[_STREAM]) - keep)

    @rule(name=st.sampled_from('ab'))
    def keep(self, name: str) -> None:
        snapshot = self.fleet.stores[name].latest_snapshot(SERVICE)
        self.saved_snapshots.append(snapshot)

    @rule(name=st.sampled_from('ab'))
    def offer(self, name: str) -> None:
        for snapshot in filter(None, self.saved_snapshots):
            self.fleet.stores[name].merge_snapshot(SERVICE, snapshot)

    @invariant()
    def versions_are_valid_and_never_decrease(self) -> None:
        expected = self.fleet.replay_whole_log().current
        self.digests[expected.version] = hashlib.sha256(
            repr(sorted(expected.sections.items())).encode(),
        ).hexdigest()
        for name, store in self.fleet.stores.items():
            in_force = store.in_force(SERVICE)
            version = -1 if in_force is None else in_force.version
            assert version >= self.minimum_versions[name], (name, version)
            assert version <= expected.version, (name, version)
            self.minimum_versions[name] = version

    def teardown(self) -> None:
        """Check that all routers reach the same version after the faults.

        A router finds the version by reading the log, unless records were
        trimmed before it could read them. Such a router has to get it from a
        peer whose current state is known.
        """
        log = self.fleet.log
        log.outage = log.lose_answers = log.delay_appends = 0
        pass_time(self.fleet.reactor, 25)
        expected = self.fleet.replay_whole_log().current.version
        stores = self.fleet.stores
        synchronized = [
            each for each in stores.values() if self._has_current_state(each)
        ]
        for name, store in stores.items():
            if store in synchronized:
                found = store.versions.get(SERVICE, -1)
                assert found == expected, (name, expected)
            else:
                assert self._is_trimmed(), name
                self._merge_from_peers(store, synchronized)
        versions = {each.versions.get(SERVICE, -1) for each in stores.values()}
        # No router knows the version if all checkpoints were trimmed too.
        if synchronized:
            assert versions == {expected}, (versions, expected)

    def _is_trimmed(self) -> bool:
        """Return whether the first records of the log were trimmed."""
        return self.fleet.log.first.get(_STREAM, 0) > 0

    def _merge_from_peers(
        self, store: DocumentStore, peers: list[DocumentStore]
    ) -> None:
        for peer in peers:
            snapshot = peer.latest_snapshot(SERVICE)
            if snapshot is not None:
                store.merge_snapshot(SERVICE, snapshot)

    def _has_current_state(self, store: DocumentStore) -> bool:
        return store._streams[SERVICE].state.current is not None


@then('no interleaving of configuration faults breaks agreement')
def then_machine(context: Context) -> None:
    run_state_machine_as_test(
        ConfigMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=25,
            stateful_step_count=15,
        ),
    )
