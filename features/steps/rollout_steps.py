"""Steps for the rollout of weights."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import strategies as st

from features.properties import REPEATABLE
from features.rollout_engines import (
    MODEL,
    model_engine,
)
from yuccagauge.clock import Millis
from yuccagauge.rollout.base import (
    LeaseState,
)
from yuccagauge.rollout.leaderlease import LeaderLease
from yuccagauge.rollout.plan import EngineWeights, due_order, next_drains

_LEASE = Millis(3000)
_NOW = Millis(10_000)


@then(
    'in any history of renewals, two routers that {how} are never allowed to '
    'order within {gap:d} ms'
)
def check_leads(context: Context, how: str, gap: int) -> None:
    """Guard against two leaders at once, over lost and late answers."""
    trusts = how != 'do not trust fences'
    hears = how == 'hear each other'
    answers = st.lists(
        st.tuples(
            st.integers(100, 2500),
            st.integers(0, 1),
            st.booleans(),
            st.integers(0, 900),
        ),
        max_size=30,
    )

    @REPEATABLE
    @forall(answers)
    def play(steps: list[tuple[int, int, bool, int]]) -> None:
        start = Millis(-100_000)
        leader_leases = tuple(
            LeaderLease(
                f'r{number}', _LEASE, start, engines_check_fences=trusts
            )
            for number in range(2)
        )
        holders: list[str] = []
        now = 0
        last_order = [-100_000, -100_000]
        for pause, asker, is_answered, late in steps:
            now += pause
            _keep_lease(
                leader_leases[asker], asker, holders, now, is_answered, late
            )
            for moment in range(now, now + late + 1, 100):
                _order_where_allowed(
                    leader_leases, last_order, moment, gap, hears
                )

    play()


def _keep_lease(
    leader_lease: LeaderLease,
    asker: int,
    holders: list[str],
    now: int,
    is_answered: bool,
    late: int,
) -> None:
    """Renew or take the lead as the driver does, over a store in memory."""
    after = Millis(now + late)
    if not leader_lease.is_leader:
        if not is_answered:
            return
        holder = holders[-1] if holders else ''
        leader_lease.observe_state(
            LeaseState(record_count=len(holders), holder=holder), after
        )
        if not leader_lease.can_acquire(Millis(now)):
            return
    if leader_lease.record_count != len(holders):
        leader_lease.step_down()
        return
    holders.append(f'r{asker}')
    if is_answered:
        leader_lease.confirm_append(len(holders) - 1, Millis(now), after)


def _order_where_allowed(
    leader_leases: tuple[LeaderLease, ...],
    last_order: list[int],
    moment: int,
    gap: int,
    hears: bool,
) -> None:
    """Order by each router that may, and check the time between two."""
    for index, leader_lease in enumerate(leader_leases):
        if leader_lease.fencing_token(Millis(moment)) is None:
            continue
        other = 1 - index
        assert moment - last_order[other] >= gap, (moment, last_order)
        last_order[index] = moment
        if hears:
            leader_leases[other].observe_peer_order(Millis(moment))


@given('engines with weights "{weights}" and the newest version {newest:d}')
def engines_with_weights(context: Context, weights: str, newest: int) -> None:
    """Keep the versions by number of the engine."""
    context.versions = [int(word) for word in weights.split()]
    context.targets = {MODEL: newest}


@given('of these "{loading}" load since {ms:d} ms and "{draining}" drain')
@given('of these "{loading}" load since {ms:d} ms and "" drain')
@given('of these "" load since {ms:d} ms and "{draining}" drain')
@given('of these "" load since {ms:d} ms and "" drain')
def engines_in_work(
    context: Context,
    ms: int,
    loading: str = '',
    draining: str = '',
) -> None:
    """Build the engines."""
    context.engines = [
        EngineWeights(
            server=model_engine(number),
            model=MODEL,
            version=version,
            active=number % 2,
            is_loading=str(number) in loading.split(),
            ordered_at=(
                Millis(_NOW - ms) if str(number) in loading.split() else None
            ),
            draining_since=(
                Millis(_NOW - ms) if str(number) in draining.split() else None
            ),
        )
        for number, version in enumerate(context.versions)
    ]


@then('the engines "{expected}" drain next with a share of {share:g}')
@then('the engines "" drain next with a share of {share:g}')
def check_drains(context: Context, share: float, expected: str = '') -> None:
    """Compare the engines in their order."""
    found = next_drains(context.engines, context.targets, share, 1500, _NOW)
    names = [engine.server.server_id for engine in found]
    assert names == [f'e{word}' for word in expected.split()], names


@then(
    'an engine with {active:d} calls, {fixed:d} of them fixed, drained for '
    '{ms:d} ms swaps by "{mode}"'
)
def check_mode(
    context: Context,
    active: int,
    fixed: int,
    ms: int,
    mode: str,
) -> None:
    """Compare the way of the swap."""
    engine = EngineWeights(
        server=model_engine(0),
        model=MODEL,
        version=1,
        active=active,
        unmovable=fixed,
        draining_since=Millis(_NOW - ms),
    )
    found = due_order(engine, _NOW)
    assert (found.value if found else 'wait') == mode


@given('a router that heard an order of the leader {ms:d} ms ago')
def heard_leader(context: Context, ms: int) -> None:
    """Start a follower that knows of a leader."""
    context.leader_lease = LeaderLease(
        'r1', _LEASE, Millis(0), engines_check_fences=True
    )
    context.leader_lease.observe_peer_order(Millis(_NOW - ms))


@when('it takes the lead after the leader {end}')
def take_lead(context: Context, end: str) -> None:
    """Write the record that follows the one of the leader."""
    holder = '' if end == 'gave it up' else 'r0'
    seen_at = _NOW if not holder else Millis(_NOW - _LEASE)
    context.leader_lease.observe_state(
        LeaseState(record_count=7, holder=holder), seen_at
    )
    assert context.leader_lease.can_acquire(_NOW)
    context.leader_lease.confirm_append(7, _NOW, _NOW)


@then('it may order at once')
def check_at_once(context: Context) -> None:
    """Guard against a lease without orders after each planned stop."""
    assert context.leader_lease.fencing_token(_NOW) == 8


@then('it may order only after {ms:d} ms')
def check_order_later(context: Context, ms: int) -> None:
    """Guard against two leaders that take turns."""
    for passed in range(0, ms, 100):
        now = Millis(_NOW + passed)
        context.leader_lease.confirm_append(
            context.leader_lease.record_count, now, now
        )
        assert context.leader_lease.fencing_token(now) is None, passed
    now = Millis(_NOW + ms)
    context.leader_lease.confirm_append(
        context.leader_lease.record_count, now, now
    )
    assert context.leader_lease.fencing_token(now) is not None
