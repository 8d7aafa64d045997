"""Steps for claims when the log comes back from a copy."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule, run_state_machine_as_test

from features.simulation import key_at, pass_time, settle
from features.steps.claims_steps import ClaimMachine
from yuccagauge.claims.client import Granted


@given('claim routers have used the log for {seconds:d} s')
def given_used(context: Context, seconds: int) -> None:
    fleet = context.fleet
    end = fleet.reactor.seconds() + seconds
    number = 1000
    while fleet.reactor.seconds() < end:
        number += 1
        key = key_at(fleet.reactor.seconds(), number)
        settle(fleet.reactor, fleet.claim('a', key))
        pass_time(fleet.reactor, 1)


@given('the granted call is answered')
def given_answered(context: Context) -> None:
    context.execute_steps('When the granted call is answered with 2 bytes')


@given('the granted call is not answered')
def given_not_answered(context: Context) -> None:
    assert isinstance(context.decision, Granted), context.decision


def _lose(context: Context, lost: int, names: str) -> None:
    fleet = context.fleet
    fleet.log.outage = True
    pass_time(fleet.reactor, 0.5)
    fleet.log.restore(lost)
    for name in names:
        fleet.clients[name].close()
    fleet.log.outage = False
    for name in names:
        fleet.start(name)


@when(
    'the claim log loses its last {lost:d} records, and the routers '
    '"{names}" restart'
)
def when_lost(context: Context, lost: int, names: str) -> None:
    _lose(context, lost, names)


@when('the claim log loses its last {lost:d} records, and no routers restart')
def when_lost_alone(context: Context, lost: int) -> None:
    _lose(context, lost, '')


@then('the claim decision is not "{name}"')
def then_not(context: Context, name: str) -> None:
    assert type(context.decision).__name__ != name, context.decision


class RestoredLogMachine(ClaimMachine):
    """The faults of ``ClaimMachine``, and a log that loses records."""

    @rule(lost=st.integers(1, 6), restarting=st.sampled_from(['', 'a', 'ab']))
    def lose(self, lost: int, restarting: str) -> None:
        self.fleet.log.restore(lost)
        for name in restarting:
            self.restart(name)

    @rule(
        name=st.sampled_from('ab'),
        number=st.integers(0, 2),
        lost=st.integers(1, 3),
        restarting=st.sampled_from(['', 'b', 'ab']),
        delay=st.sampled_from([0, 0.03, 0.5]),
    )
    def claim_and_lose(
        self, name: str, number: int, lost: int, restarting: str, delay: float
    ) -> None:
        """Lose records around a claim, and claim its key again."""
        self.claim(name, number, sends=True, answers=False)
        self.wait(delay)
        self.lose(lost, restarting)
        self.claim(name, number, sends=True, answers=True)
        self.wait(0.5)


@then('no history of claims and losses of the log runs a call twice')
def then_machine(context: Context) -> None:
    run_state_machine_as_test(
        RestoredLogMachine,
        settings=settings(
            derandomize=True,
            database=None,
            deadline=None,
            max_examples=60,
            stateful_step_count=20,
        ),
    )
