"""Steps for the configuration when the log comes back from a copy."""

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

from features.simulation import pass_time, settle
from features.steps.adoption_steps import SERVICE, Fleet, document
from yuccagauge.adoption.records import (
    Publication,
    config_stream,
    encode_record,
)
from yuccagauge.adoption.replay import Accepted, Conflict
from yuccagauge.settings.document import compare_sections, digest_sections

_STREAM = config_stream(SERVICE)

#: Deadline of the first version that is written after a loss, in ms.
_LATER_DEADLINE = 5000


def _write(fleet: Fleet, deadline: int) -> None:
    """Append a publication although the routers cannot read the log."""
    base = fleet.replay_whole_log().current
    sections = document(deadline)
    publication = Publication(
        publication_id=f'{fleet.log.era}-{deadline}',
        replaces=base.version,
        change=compare_sections(base.sections, sections),
        digest=digest_sections(sections),
    )
    fleet.log.put(_STREAM, encode_record(publication))


def _deadline(fleet: Fleet, name: str) -> int | None:
    in_force = fleet.stores[name].in_force(SERVICE)
    return in_force and in_force.document.routing.deadline_ms


@given('versions with the deadlines 1000, 2000, 3000 and 4000')
def given_versions(context: Context) -> None:
    fleet = context.configuration
    for number, deadline in enumerate((1000, 2000, 3000, 4000)):
        found = settle(fleet.reactor, fleet.publish(number - 1, deadline))
        assert found == Accepted(version=number), found
    pass_time(fleet.reactor, 1)
    assert _deadline(fleet, 'a') == _deadline(fleet, 'b') == deadline


@given('the version of configuration router "{name}" is saved')
def given_saved(context: Context, name: str) -> None:
    store = context.configuration.stores[name]
    context.saved_snapshot = store.latest_snapshot(SERVICE)


@when(
    'the log loses its last {lost:d} records, and {written:d} versions are '
    'written before routers read it',
)
def when_lost(context: Context, lost: int, written: int) -> None:
    fleet = context.configuration
    fleet.log.outage = True
    pass_time(fleet.reactor, 0.5)
    fleet.log.restore(lost)
    for number in range(written):
        _write(fleet, _LATER_DEADLINE + number)
    fleet.log.outage = False
    context.last_deadline = _LATER_DEADLINE + written - 1


@when('configuration router "{name}" writes checkpoints')
def when_checkpoints(context: Context, name: str) -> None:
    context.execute_steps(
        f'Given configuration router "{name}" writes checkpoints'
    )


@when(
    'the log loses its last {lost:d} records as version {replaces:d} is '
    'replaced with deadline {deadline:d}',
)
def when_lost_while_published(
    context: Context, lost: int, replaces: int, deadline: int
) -> None:
    fleet = context.configuration
    fleet.log.rate_limited = 1
    publication = fleet.publish(replaces, deadline)
    # The publisher has read the versions that the log loses now.
    fleet.log.restore(lost)
    outcome = settle(fleet.reactor, publication)
    assert isinstance(outcome, Conflict), outcome
    context.published = f'conflict with {outcome.version}'


@then(
    'configuration routers "{names}" have the last of these within {limit:d} s'
)
def then_have_last(context: Context, names: str, limit: int) -> None:
    fleet = context.configuration
    pass_time(fleet.reactor, limit)
    found = {_deadline(fleet, name) for name in names.split(', ')}
    assert found == {context.last_deadline}, found


class RestoredLogMachine(RuleBasedStateMachine):
    """Publications, outages, restarts, offers of peers and losses of records.

    Deadlines rise with each publication, so that a deadline that falls while
    a router runs shows that its configuration went back.
    """

    def __init__(self) -> None:
        super().__init__()
        self.fleet = Fleet('ab')
        self.deadline = 1000
        self.in_force: dict[str, int] = {}
        self.saved: list[Any] = []
        _write(self.fleet, self.deadline)
        pass_time(self.fleet.reactor, 1)

    @rule(count=st.integers(1, 4))
    def publish(self, count: int) -> None:
        for _ in range(count):
            self.deadline += 1
            _write(self.fleet, self.deadline)
            # The log's time rises between records.
            pass_time(self.fleet.reactor, 0.02)

    @rule(lost=st.integers(0, 5))
    def lose(self, lost: int) -> None:
        self.fleet.log.restore(lost)

    @rule(is_away=st.booleans())
    def away(self, is_away: bool) -> None:
        self.fleet.log.outage = is_away

    @rule(seconds=st.sampled_from([0.05, 1, 12]))
    def wait(self, seconds: float) -> None:
        pass_time(self.fleet.reactor, seconds)

    @rule(name=st.sampled_from('ab'))
    def restart(self, name: str) -> None:
        self.in_force.pop(name, None)
        self.fleet.restart(name)

    @rule(name=st.sampled_from('ab'))
    def save(self, name: str) -> None:
        snapshot = self.fleet.stores[name].latest_snapshot(SERVICE)
        if snapshot is not None:
            self.saved.append(snapshot)

    @rule(name=st.sampled_from('ab'))
    def offer(self, name: str) -> None:
        for snapshot in self.saved:
            self.fleet.stores[name].merge_snapshot(SERVICE, snapshot)

    @invariant()
    def no_router_goes_back(self) -> None:
        for name in self.fleet.stores:
            found = _deadline(self.fleet, name) or 0
            assert found >= self.in_force.get(name, 0), (name, found)
            self.in_force[name] = found

    def teardown(self) -> None:
        """Check that all routers learn of a last publication."""
        self.fleet.log.outage = False
        pass_time(self.fleet.reactor, 10)
        self.publish(1)
        pass_time(self.fleet.reactor, 10)
        found = {_deadline(self.fleet, name) for name in self.fleet.stores}
        assert found == {self.deadline}, (found, self.deadline)


@then('no history of publications and losses takes a configuration router back')
def then_machine(context: Context) -> None:
    run_state_machine_as_test(
        RestoredLogMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=40,
            stateful_step_count=20,
        ),
    )
