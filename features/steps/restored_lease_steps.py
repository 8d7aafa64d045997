"""Steps for any history of a leader lease whose store loses records."""

from dataclasses import dataclass, field

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import strategies as st

from features.properties import REPEATABLE
from yuccagauge.clock import Millis
from yuccagauge.rollout.base import LeaseEras, LeaseState
from yuccagauge.rollout.leaderlease import LeaderLease

_LEASE = Millis(3000)
_START = Millis(-100_000)

#: Time after its start from which a router counts as in touch, by the users.
_IN_TOUCH_AFTER = 3000

#: Time between two looks at whether a router may order, in ms.
_CHECK = 100

#: Time between pause, router, whether an answer comes, its delay, number of
#: records that are lost before (-1 if the store stays), and whether the router
#: restarts before.
_STEPS = st.lists(
    st.tuples(
        st.integers(100, 2500),
        st.integers(0, 1),
        st.booleans(),
        st.integers(0, 900),
        st.integers(-3, 4),
        st.booleans(),
    ),
    max_size=30,
)


@dataclass(slots=True)
class _History:
    """Two routers, the records of the lease, and the orders."""

    checks_fences: bool
    hears: bool
    era: int = 4
    records: list[tuple[str, LeaseEras]] = field(default_factory=list)
    leases: list[LeaderLease] = field(default_factory=list)
    #: Time, router and token of each order.
    orders: list[tuple[int, int, int]] = field(default_factory=list)
    #: Time and router of each start.
    starts: list[tuple[int, int]] = field(default_factory=list)

    def start(self, router: int, now: int) -> LeaderLease:
        """Return the lease of a new process."""
        self.starts.append((now, router))
        return LeaderLease(
            f'r{router}',
            _LEASE,
            Millis(now),
            engines_check_fences=self.checks_fences,
        )

    def is_in_touch(self, router: int, at: int) -> bool:
        """Return whether the latest process of a router ran for some time."""
        return not any(
            each == router and started <= at < started + _IN_TOUCH_AFTER
            for started, each in self.starts
        )

    def lose(self, count: int) -> None:
        """Let the store come back without the last records."""
        self.era += 1
        self.records = self.records[: max(0, len(self.records) - count)]

    def read(self, router: int, now: int) -> None:
        """Let a router read the lease."""
        holder, eras = self.records[-1] if self.records else ('', LeaseEras())
        state = LeaseState(
            record_count=len(self.records),
            holder=holder,
            era=self.era,
            eras=eras,
        )
        self.leases[router].observe_state(state, Millis(now))

    def renew(
        self, router: int, now: int, answered_at: int, *, is_answered: bool
    ) -> None:
        """Renew or acquire the lease, as the election does."""
        lease = self.leases[router]
        if not lease.is_leader:
            if not is_answered:
                return
            self.read(router, now)
            if not lease.can_acquire(Millis(now)):
                return
        count = lease.record_count
        if count != len(self.records):
            lease.step_down()
            self.read(router, now)
            return
        self.records.append((f'r{router}', lease.eras))
        if lease.era != self.era:
            lease.step_down()
            self.read(router, now)
        elif is_answered:
            lease.confirm_append(count, Millis(now), Millis(answered_at))

    def order(self, now: int) -> None:
        """Give an order from each router that may."""
        for router, lease in enumerate(self.leases):
            token = lease.fencing_token(Millis(now))
            if token is not None:
                self.orders.append((now, router, token))
                if self.hears:
                    self.leases[1 - router].observe_peer_order(Millis(now))


def _play(history: _History, steps: list[tuple], *, may_restart: bool) -> None:
    history.leases = [history.start(router, _START) for router in (0, 1)]
    now = 0
    for pause, router, is_answered, delay, lost, restarts in steps:
        for at in range(now, now + pause, _CHECK):
            history.order(at)
        now += pause
        if lost >= 0:
            history.lose(lost)
        if restarts and may_restart:
            history.leases[router] = history.start(router, now)
        history.renew(router, now, now + delay, is_answered=is_answered)


@then(
    'in any history of renewals, losses of records and {events}, with engines '
    'that {check:w} fences, tokens never fall'
)
def check_tokens(context: Context, events: str, check: str) -> None:
    """Guard against a token that another router has used, or a lower one."""
    context.may_restart = events == 'restarts'
    context.checks_fences = check == 'check'

    @REPEATABLE
    @forall(_STEPS)
    def replay(steps: list[tuple]) -> None:
        history = _History(checks_fences=context.checks_fences, hears=True)
        _play(history, steps, may_restart=context.may_restart)
        highest = (0, -1)
        for _, router, token in history.orders:
            is_rising = token > highest[0] or (
                token == highest[0] and router == highest[1]
            )
            assert is_rising, history.orders
            highest = (token, router)

    replay()


@then('two routers never order within {gap:d} ms of each other if {heard}')
def check_gap(context: Context, gap: int, heard: str) -> None:
    """Guard against routers that take turns within a lease."""
    counts_touch = 'in touch' in heard

    @REPEATABLE
    @forall(_STEPS)
    def replay(steps: list[tuple]) -> None:
        history = _History(
            checks_fences=context.checks_fences,
            hears='do not' not in heard,
        )
        _play(history, steps, may_restart=context.may_restart)
        last = [_START - _LEASE, _START - _LEASE]
        for at, router, _ in history.orders:
            if not counts_touch or history.is_in_touch(router, at):
                assert at - last[1 - router] >= gap, history.orders
            last[router] = at

    replay()


@given(
    '{count:d} records of the lease by {holder:w}, of which the last names '
    '{eras}, in era {era:d}'
)
def set_records(
    context: Context, count: int, holder: str, eras: str, era: int
) -> None:
    """Let a router that starts read the last record."""
    found = LeaseEras()
    if eras != 'none':
        written, first = (int(word) for word in eras.split())
        found = LeaseEras(written=written, first=first)
    context.lease = LeaderLease('r0', _LEASE, _START, engines_check_fences=True)
    state = LeaseState(
        record_count=count,
        holder='' if holder == 'nobody' else holder,
        era=era,
        eras=found,
    )
    context.lease.observe_state(state, Millis(0))


@when('a router acquires the lease, and renews it in era {era:d}')
def acquire(context: Context, era: int) -> None:
    """Append two records after a lease duration."""
    lease = context.lease
    assert lease.era == era
    assert lease.can_acquire(_LEASE)
    for _ in range(2):
        lease.confirm_append(lease.record_count, _LEASE, _LEASE)


@then('its fencing token is {token:d}')
def check_token(context: Context, token: int) -> None:
    """Compare the token."""
    context.token = context.lease.fencing_token(_LEASE)
    assert context.token == token, context.token


@then('after a loss of {lost:d} records its token in era {era:d} is higher')
def check_next_era(context: Context, lost: int, era: int) -> None:
    """Guard against a token that comes twice."""
    lease = context.lease
    count = max(0, lease.record_count - lost)
    state = LeaseState(
        record_count=count,
        holder='r1' if count else '',
        era=era,
        eras=lease.eras if count else LeaseEras(),
    )
    lease.observe_state(state, _LEASE)
    assert lease.can_acquire(_LEASE)
    lease.confirm_append(count, _LEASE, _LEASE)
    assert lease.fencing_token(_LEASE) > context.token
