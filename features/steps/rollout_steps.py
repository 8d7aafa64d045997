"""Steps for the rollout of weights."""

from dataclasses import replace

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
from yuccagauge.rollout.plan import (
    EngineWeights,
    due_swap_mode,
    engines_to_drain,
    has_load_slot,
)

_LEASE = Millis(3000)

#: Time after its start from which a router counts as in touch, by the users.
_IN_TOUCH_AFTER = 3000
_NOW = Millis(10_000)


@then(
    'in any history of renewals, two routers that {how} are never allowed to '
    'order within {gap:d} ms of each other'
)
def check_order_gap(context: Context, how: str, gap: int) -> None:
    """Guard against two leaders at once after lost and late answers."""
    checks_fences = 'ignore fencing tokens' not in how
    counts_touch = how == 'started at least 3 s ago'
    receives_announcements = counts_touch or (
        how == "receive each other's announcements"
    )
    answers = st.lists(
        st.tuples(
            st.integers(100, 2500),
            st.integers(0, 1),
            st.booleans(),
            st.integers(0, 900),
            st.booleans(),
        ),
        max_size=30,
    )
    may_restart = counts_touch or 'may restart' in how

    @REPEATABLE
    @forall(answers)
    def replay(attempts: list[tuple[int, int, bool, int, bool]]) -> None:
        def started_lease(router: int, now: int) -> LeaderLease:
            return LeaderLease(
                f'r{router}',
                _LEASE,
                Millis(now),
                engines_check_fences=checks_fences,
            )

        in_touch_from = [-100_000, -100_000]
        leader_leases = [started_lease(router, -100_000) for router in (0, 1)]
        holders: list[str] = []
        now = 0
        last_order = [-100_000, -100_000]
        for pause, router, is_answered, delay, restarts in attempts:
            now += pause
            if may_restart and restarts:
                leader_leases[router] = started_lease(router, now)
                in_touch_from[router] = now + _IN_TOUCH_AFTER * counts_touch
            _renew_or_acquire(
                leader_leases[router], router, holders, now, is_answered, delay
            )
            for at in range(now, now + delay + 1, 100):
                _give_allowed_orders(
                    leader_leases,
                    last_order,
                    at,
                    in_touch_from,
                    gap,
                    receives_announcements,
                )

    replay()


def _renew_or_acquire(
    leader_lease: LeaderLease,
    router: int,
    holders: list[str],
    now: int,
    is_answered: bool,
    delay: int,
) -> None:
    """Renew or acquire the lease as the election does, with a list as store."""
    after = Millis(now + delay)
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
    holders.append(f'r{router}')
    if is_answered:
        leader_lease.confirm_append(len(holders) - 1, Millis(now), after)


def _give_allowed_orders(
    leader_leases: list[LeaderLease],
    last_order: list[int],
    at: int,
    in_touch_from: list[int],
    gap: int,
    receives_announcements: bool,
) -> None:
    """Give an order from each router that is allowed to; check the gap."""
    for index, leader_lease in enumerate(leader_leases):
        if leader_lease.fencing_token(Millis(at)) is None:
            continue
        other = 1 - index
        if at >= in_touch_from[index]:
            assert at - last_order[other] >= gap, (at, last_order)
        last_order[index] = at
        if receives_announcements:
            leader_leases[other].observe_peer_order(Millis(at))


@given('engines with weights "{weights}" and the newest version {newest:d}')
def set_weights(context: Context, weights: str, newest: int) -> None:
    """Set the version of each engine, by its number, and the target."""
    context.versions = [int(word) for word in weights.split()]
    context.targets = {MODEL: newest}


@given(
    'of these "{loading}" have been loading for {ms:d} ms and "{draining}" '
    'drain'
)
@given('of these "{loading}" have been loading for {ms:d} ms and "" drain')
@given('of these "" have been loading for {ms:d} ms and "{draining}" drain')
@given('of these "" have been loading for {ms:d} ms and "" drain')
def create_engines(
    context: Context,
    ms: int,
    loading: str = '',
    draining: str = '',
) -> None:
    """Create the engines, some of which load or drain."""
    context.engines = [
        EngineWeights(
            server=model_engine(number),
            model=MODEL,
            version=version,
            active_calls=number % 2,
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


@then('the engines "{expected}" drain next with a load share of {share:g}')
@then('the engines "" drain next with a load share of {share:g}')
def check_drains(context: Context, share: float, expected: str = '') -> None:
    """Compare the engines and their order."""
    found = engines_to_drain(
        context.engines, context.targets, share, 1500, _NOW
    )
    names = [engine.server.server_id for engine in found]
    assert names == [f'e{word}' for word in expected.split()], names


@then(
    'an engine with {active:d} calls, {unmovable:d} of them unmovable, that '
    'drained for {ms:d} ms swaps in the mode "{mode}"'
)
def check_swap_mode(
    context: Context,
    active: int,
    unmovable: int,
    ms: int,
    mode: str,
) -> None:
    """Compare the swap mode."""
    engine = EngineWeights(
        server=model_engine(0),
        model=MODEL,
        version=1,
        active_calls=active,
        unmovable_calls=unmovable,
        draining_since=Millis(_NOW - ms),
    )
    found = due_swap_mode(engine, _NOW)
    assert (found.value if found else 'wait') == mode


@given('a router to which the leader announced an order {ms:d} ms ago')
def create_follower(context: Context, ms: int) -> None:
    """Create a follower that received a leader's announcement."""
    context.leader_lease = LeaderLease(
        'r1', _LEASE, Millis(0), engines_check_fences=True
    )
    context.leader_lease.observe_peer_order(Millis(_NOW - ms))


@when('it acquires the lease after the leader {end}')
def acquire_lease(context: Context, end: str) -> None:
    """Append the record that follows the last one of the leader."""
    holder = '' if end == 'released it' else 'r0'
    seen_at = _NOW if not holder else Millis(_NOW - _LEASE)
    context.leader_lease.observe_state(
        LeaseState(record_count=7, holder=holder), seen_at
    )
    assert context.leader_lease.can_acquire(_NOW)
    context.leader_lease.confirm_append(7, _NOW, _NOW)


@then('it may give orders at once')
def check_at_once(context: Context) -> None:
    """Guard against a lease duration without orders after a planned stop."""
    assert context.leader_lease.fencing_token(_NOW) == 8


@then('it may give orders only after {ms:d} ms')
def check_order_later(context: Context, ms: int) -> None:
    """Guard against two leaders that may both give orders."""
    for elapsed in range(0, ms, 100):
        now = Millis(_NOW + elapsed)
        context.leader_lease.confirm_append(
            context.leader_lease.record_count, now, now
        )
        assert context.leader_lease.fencing_token(now) is None, elapsed
    now = Millis(_NOW + ms)
    context.leader_lease.confirm_append(
        context.leader_lease.record_count, now, now
    )
    assert context.leader_lease.fencing_token(now) is not None


@given('a router that held the lease when it was killed')
@given('a router that held the lease when it was killed, before another')
def kill_leader(context: Context) -> None:
    """Leave records of former leaders behind."""
    context.checks_fences = True


@given('a router that held the lease where engines ignore fencing tokens')
def kill_leader_without_fences(context: Context) -> None:
    """Leave a record behind where an old fencing token is accepted."""
    context.checks_fences = False


@when('it starts again and reads its own record')
def read_own_record(context: Context) -> None:
    """Read the record that the former process wrote."""
    read_records(context, 'r0')


@when('it starts again and reads the record of "{holders}"')
def read_records(context: Context, holders: str) -> None:
    """Read one record after the other, the first at once."""
    context.leader_lease = LeaderLease(
        'r0', _LEASE, _NOW, engines_check_fences=context.checks_fences
    )
    for number, holder in enumerate(holders.split()):
        state = LeaseState(record_count=7 + number, holder=holder)
        context.leader_lease.observe_state(state, _NOW)


@then('it takes the lease over and may give orders at once')
def check_takes_over(context: Context) -> None:
    """Guard against restarts that leave engines on old weights for ever."""
    assert context.leader_lease.can_acquire(_NOW)
    context.leader_lease.confirm_append(7, _NOW, _NOW)
    assert context.leader_lease.fencing_token(_NOW) is not None


@then('it takes the lease over and may give orders only after {ms:d} ms')
def check_resumes_later(context: Context, ms: int) -> None:
    """Guard against orders within a lease duration of another router's."""
    leader_lease = context.leader_lease
    assert leader_lease.can_acquire(_NOW)
    for elapsed in range(0, ms + 1, 100):
        now = Millis(_NOW + elapsed)
        leader_lease.confirm_append(leader_lease.record_count, now, now)
        may_order = leader_lease.fencing_token(now) is not None
        assert may_order == (elapsed >= ms), elapsed


@then('its fencing token is higher than the former one')
def check_higher_token(context: Context) -> None:
    """Guard against two processes that use one fencing token."""
    assert context.leader_lease.fencing_token(_NOW) == 8


@then('it may acquire the lease only after {ms:d} ms')
def check_acquires_later(context: Context, ms: int) -> None:
    """Guard against a lease that is taken from a leader that may give orders."""
    leader_lease = context.leader_lease
    for elapsed in range(0, ms, 100):
        assert not leader_lease.can_acquire(Millis(_NOW + elapsed)), elapsed
    assert leader_lease.can_acquire(Millis(_NOW + ms))


@then(
    'an unusable engine with {active:d} calls, {unmovable:d} of them '
    'unmovable, swaps in the mode "{mode}" at once'
)
def check_unusable_swap(
    context: Context, active: int, unmovable: int, mode: str
) -> None:
    """Guard against a drain that keeps no call away and delays the load."""
    engine = EngineWeights(
        server=model_engine(0),
        model=MODEL,
        version=1,
        active_calls=active,
        unmovable_calls=unmovable,
        draining_since=_NOW,
        is_usable=False,
    )
    found = due_swap_mode(engine, _NOW)
    assert found is not None
    assert found.value == mode, found


@given(
    '{count:d} engines of which {loading:d} load, {ordered:d} have been sent an '
    'order and the others drain'
)
def create_ordered_engines(
    context: Context, count: int, loading: int, ordered: int
) -> None:
    """Create the engines of one service."""
    context.engines = [
        EngineWeights(
            server=model_engine(number),
            model=MODEL,
            version=1,
            ordered_at=_NOW if number < loading else None,
            is_loading=number < loading,
            is_ordering=loading <= number < loading + ordered,
            draining_since=None if number < loading else _NOW,
        )
        for number in range(count)
    ]


@then('one more engine may load with a load share of {share:g}: {expected:w}')
def check_load_slot(context: Context, share: float, expected: str) -> None:
    """Guard against loads that slow each other down."""
    found = has_load_slot(context.engines, share, _NOW)
    assert found == (expected == 'yes'), found


@when('this router pauses its calls to {count:d} of them')
def pause_engines(context: Context, count: int) -> None:
    """Let the first engines count as unreachable."""
    context.engines = [
        replace(engine, is_reachable=number >= count)
        for number, engine in enumerate(context.engines)
    ]
