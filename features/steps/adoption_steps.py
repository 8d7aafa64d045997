"""Steps for configuration in force."""

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

    def truth(self) -> ConfigState:
        """Fold the whole log, with what was trimmed."""
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
    return f'lost to {outcome.version}'


@given('configuration routers "{names}" on a simulated log')
def given_routers(context: Context, names: str) -> None:
    context.configuration = Fleet(names.replace(', ', ''))


@given('the configuration log has the fault "{fault}"')
def given_fault(context: Context, fault: str) -> None:
    knob, _, number = fault.partition('=')
    setattr(context.configuration.log, knob, int(number))


@given('configuration router "{name}" writes checkpoints')
def given_checkpoints(context: Context, name: str) -> None:
    context.configuration.options[name] = StoreOptions(
        writes_checkpoints=lambda service: True,
    )
    context.configuration.restart(name)


@given('a failing configuration listener on router "{name}"')
def given_listener(context: Context, name: str) -> None:
    context.heard = []

    def fail_always(in_force: DocumentInForce) -> None:
        raise ValueError(in_force.service)

    store = context.configuration.stores[name]
    store.add_listener(fail_always)
    store.add_listener(lambda found: context.heard.append(found.version))


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
def when_raced(context: Context, version: int) -> None:
    config = context.configuration
    # Both read the same version before either appends.
    context.raced = settle(
        config.reactor,
        gatherResults(
            [
                config.publish(version, 2000),
                config.publish(version, 3000),
            ]
        ),
    )
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
    snapshot = context.configuration.stores[name].latest_snapshot(SERVICE)
    record = Checkpoint(
        version=snapshot.version,
        as_of=snapshot.as_of,
        sections=snapshot.sections,
    )
    context.configuration.log.delayed.append((_STREAM, encode_record(record)))


@when('the delayed configuration appends take effect')
def when_delayed(context: Context) -> None:
    context.configuration.log.deliver_delayed()
    pass_time(context.configuration.reactor, 0.1)


@when('the version of configuration router "{name}" is kept')
def when_kept(context: Context, name: str) -> None:
    context.kept = context.configuration.stores[name].latest_snapshot(SERVICE)


@when('configuration router "{name}" takes the kept version')
def when_takes_kept(context: Context, name: str) -> None:
    context.configuration.stores[name].merge_snapshot(SERVICE, context.kept)


@when('configuration router "{name}" takes the version of "{other}"')
def when_takes(context: Context, name: str, other: str) -> None:
    stores = context.configuration.stores
    version = stores[other].versions[SERVICE]
    assert stores[name].is_behind(SERVICE, version)
    assert stores[name].merge_snapshot(
        SERVICE, stores[other].latest_snapshot(SERVICE)
    )


@then('the publication is "{words}"')
def then_published(context: Context, words: str) -> None:
    expected, found = words, context.published
    if words.startswith('invalid'):
        kind, _, reason = words.partition(': ')
        assert found.startswith(kind) and reason in found, found
    else:
        assert found == expected, found


@then('one publication is accepted and the other one lost to it')
def then_raced(context: Context) -> None:
    versions = {outcome.version for outcome in context.raced}
    kinds = sorted(type(outcome).__name__ for outcome in context.raced)
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
    'heard of version {version:d}',
)
def then_heard(context: Context, name: str, version: int) -> None:
    assert context.heard == [version], context.heard


class ConfigMachine(RuleBasedStateMachine):
    """Operators race while log and routers fail."""

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet('ab')
        self.fleet.options['a'] = StoreOptions(
            checkpoint_every=Millis(10_000),
            writes_checkpoints=lambda service: True,
        )
        self.fleet.restart('a')
        self.floors = {'a': -1, 'b': -1}
        self.kept: list[Any] = []
        self.digests: dict[int, str] = {}
        self.fleet.publish(-1, 500)
        pass_time(self.fleet.reactor, 1)

    @rule(deadline=st.integers(1000, 9000), ahead=st.integers(-1, 1))
    def publish(self, deadline: int, ahead: int) -> None:
        replaces = self.fleet.truth().current.version + ahead
        self.fleet.publish(replaces, deadline).addErrback(
            lambda failure: failure.trap(YuccagaugeError),
        )

    @rule(seconds=st.sampled_from([0.05, 1, 12]))
    def wait(self, seconds: float) -> None:
        pass_time(self.fleet.reactor, seconds)

    @rule(name=st.sampled_from('ab'))
    def restart(self, name: str) -> None:
        self.floors[name] = -1
        self.fleet.restart(name)

    @rule(
        knob=st.sampled_from(['outage', 'lose_answers', 'delay_appends']),
        number=st.integers(0, 2),
    )
    def fault(self, knob: str, number: int) -> None:
        setattr(self.fleet.log, knob, number)

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
        self.kept.append(self.fleet.stores[name].latest_snapshot(SERVICE))

    @rule(name=st.sampled_from('ab'))
    def offer(self, name: str) -> None:
        for snapshot in filter(None, self.kept):
            self.fleet.stores[name].merge_snapshot(SERVICE, snapshot)

    @invariant()
    def versions_are_true_and_never_fall(self) -> None:
        truth = self.fleet.truth().current
        self.digests[truth.version] = hashlib.sha256(
            repr(sorted(truth.sections.items())).encode(),
        ).hexdigest()
        for name, store in self.fleet.stores.items():
            in_force = store.in_force(SERVICE)
            version = -1 if in_force is None else in_force.version
            assert version >= self.floors[name], (name, version)
            assert version <= truth.version, (name, version)
            self.floors[name] = version

    def teardown(self) -> None:
        """After the faults end, all routers reach the true version.

        The log tells a router the truth unless records were trimmed before
        it could read them; such a router learns it from a peer that knows.
        """
        log = self.fleet.log
        log.outage = log.lose_answers = log.delay_appends = 0
        pass_time(self.fleet.reactor, 25)
        truth = self.fleet.truth().current.version
        stores = self.fleet.stores
        knowing = [each for each in stores.values() if self._knows_place(each)]
        for name, store in stores.items():
            if store in knowing:
                assert store.versions.get(SERVICE, -1) == truth, (name, truth)
            else:
                assert self._is_trimmed(), name
                self._ask(store, knowing)
        versions = {each.versions.get(SERVICE, -1) for each in stores.values()}
        # With every checkpoint trimmed, nobody can tell any more.
        if knowing:
            assert versions == {truth}, (versions, truth)

    def _is_trimmed(self) -> bool:
        """Return whether the log no longer tells a new reader its place."""
        return self.fleet.log.first.get(_STREAM, 0) > 0

    def _ask(self, store: DocumentStore, peers: list[DocumentStore]) -> None:
        for peer in peers:
            snapshot = peer.latest_snapshot(SERVICE)
            if snapshot is not None:
                store.merge_snapshot(SERVICE, snapshot)

    def _knows_place(self, store: DocumentStore) -> bool:
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
