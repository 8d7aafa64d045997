"""Steps that test admission."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import settings
from hypothesis import strategies as st

from yuccagauge.admission import (
    AdmissionRequest,
    DeadlinePolicy,
    RetryBudget,
)
from yuccagauge.admission.demand import MAXIMUM_EQUAL_SHARES
from yuccagauge.settings.document import parse_document
from yuccagauge.verdict import Verdict

_LIMIT = 100
_SECONDS = 10


def _policy(**limits: int) -> DeadlinePolicy:
    keys = ''.join(f'{key} = {limit}\n' for key, limit in limits.items())
    policy = DeadlinePolicy()
    policy.configure(
        parse_document(
            '[service]\nname = s\nkind = model\nowner = o\n'
            '[model m]\nweights_version = w1\n'
            f'[customer c]\ncredential_sha256 = {1:064x}\n{keys}',
            'test',
        ),
        0,
    )
    return policy


def _request(tokens=1, now=0, cost=0, priority=5) -> AdmissionRequest:
    return AdmissionRequest(
        customer='c',
        priority=priority,
        prompt_tokens=tokens,
        deadline=now + 1000,
        best_cost_ms=cost,
    )


@given(
    '1 router that admits {requests:d} requests/s and {tokens:d} tokens/s of '
    'a customer',
)
def given_rates(context: Context, requests: int, tokens: int) -> None:
    """Configure the rate limits."""
    context.admission = _policy(
        requests_per_second=requests,
        tokens_per_second=tokens,
    )


@given('1 router that admits {count:d} requests in flight of a customer')
def given_concurrent(context: Context, count: int) -> None:
    """Configure the limit of requests in flight."""
    context.admission = _policy(concurrent=count)


@when(
    'admission has accepted {count:d} requests of {tokens:d} tokens at {now:d}',
)
def when_accepted(context: Context, count: int, tokens: int, now: int) -> None:
    """Admit requests that use up a limit."""
    for _ in range(count):
        assert (
            context.admission.admit_request(_request(tokens, now), now) is None
        )


@then('admission accepts {count:d} request of {tokens:d} tokens at {now:d}')
def then_accepted(context: Context, count: int, tokens: int, now: int) -> None:
    """Guard against buckets that start empty."""
    when_accepted(context, count, tokens, now)


@then(
    'after one request finishes admission accepts 1 request of 1 tokens at '
    '{now:d}',
)
def then_finished(context: Context, now: int) -> None:
    """Guard against in-flight slots that are never released."""
    context.admission.finish_request('c', now)
    when_accepted(context, 1, 1, now)


@then('admission refuses with {status:d} "{code}" after {wait:d} ms')
def then_refused(context: Context, status: int, code: str, wait: int) -> None:
    """Check the refusal, and that a retry after the delay is admitted."""
    refusal = context.admission.admit_request(_request(10), 0)
    assert (refusal.status, refusal.code) == (status, code)
    assert refusal.verdict is Verdict.NOT_RUN
    assert refusal.retry_after == wait
    if code == 'rate_limited':
        assert context.admission.admit_request(_request(10, wait), wait) is None


@then('with a deadline of 1000 ms admission accepts these costs')
def then_costs(context: Context) -> None:
    """Guard against requests that miss their deadline before they start."""
    for row in context.table:
        priority, cost = int(row['priority']), float(row['cost'])
        request = _request(cost=cost, priority=priority)
        refusal = _policy().admit_request(request, 0)
        assert (refusal is None) == (row['accepted'] == 'yes'), row
        if refusal is not None:
            assert refusal.verdict is Verdict.NOT_RUN
            assert refusal.retry_after > 0


def _count_admitted(routers, loads, exchange) -> int:
    """Return the requests that routers admit under loads in requests/s."""
    policies = [_policy(requests_per_second=_LIMIT) for _ in range(routers)]
    for policy in policies:
        policy.set_fleet_demand(routers, {})
    count = 0
    for now in range(0, _SECONDS * 1000, 20):
        if now % 200 == 0:
            exchange(policies, now)
        for policy, load in zip(policies, loads, strict=True):
            answers = [
                policy.admit_request(_request(now=now), now)
                for _ in range(load // 50)
            ]
            count += answers.count(None)
    return count


def _exchange_fresh_demand(policies, now) -> None:
    total = sum(policy.demand(now).get('c', 0) for policy in policies)
    for policy in policies:
        policy.set_fleet_demand(len(policies), {'c': total})


def _set_old_demand(policies, now) -> None:
    for policy in policies:
        policy.set_fleet_demand(len(policies), {'c': 1})


@then(
    'with {demand} demand {routers:d} routers admit at most {factor:d} times '
    'the limit beyond their bursts',
)
def then_limit(
    context: Context, demand: str, routers: int, factor: int
) -> None:
    """Guard against exceeding the bound in section 6.8 of docs/design.md."""
    exchange = {'fresh': _exchange_fresh_demand, 'old': _set_old_demand}[demand]
    loads = st.lists(
        st.integers(0, 6).map(lambda each: each * 50),
        min_size=routers,
        max_size=routers,
    )

    @settings(derandomize=True, database=None, deadline=None, max_examples=6)
    @forall(loads)
    def check(drawn_loads):
        burst = MAXIMUM_EQUAL_SHARES * _LIMIT
        # The demand meters need a whole window before the shares settle.
        bound = factor * _LIMIT * _SECONDS + burst
        bound += 0.1 * _LIMIT * _SECONDS if demand == 'fresh' else 0
        assert _count_admitted(routers, drawn_loads, exchange) <= bound

    check()


@then(
    'the one of two routers that has nine tenths of the demand gets at least '
    '80 % of the limit',
)
def then_follows(context: Context) -> None:
    """Guard against equal shares under uneven demand."""
    count = _count_admitted(2, (450, 50), _exchange_fresh_demand)
    assert count >= 0.8 * _LIMIT * _SECONDS, count


@then(
    'retries of {requests:d} requests in 10 s stay within the budget of '
    '{share:g} and a pause without requests earns none beyond the minimum',
)
def then_retries(context: Context, requests: int, share: float) -> None:
    """Guard against retries that prolong an overload."""
    budget = RetryBudget(share)
    retries = 0
    for number in range(requests):
        now = number * 10_000 // requests
        budget.record_request(now)
        retries += sum(budget.try_spend(now) for _ in range(3))
    assert 0 < retries <= share * requests + 2
    retries_after_pause = sum(budget.try_spend(60_000) for _ in range(100))
    assert retries_after_pause <= 1
