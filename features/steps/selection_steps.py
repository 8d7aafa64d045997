"""Steps for the server selection."""

from dataclasses import replace

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import strategies as st

from features.properties import REPEATABLE
from features.selection_fixture import (
    MODEL,
    NOW,
    new_request,
    place,
    start_selector,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    KvCacheStore,
)
from yuccagauge.relay.base import Placement
from yuccagauge.selection.budget import FleetRetryBudget
from yuccagauge.selection.load import ActiveCall, PeerLoad
from yuccagauge.selection.model import PREFILL_TOKENS_PER_MS
from yuccagauge.settings.options import Endpoint

_STORE = KvCacheStore(endpoint=Endpoint('127.0.0.1', 99), data_centre='a')
_WINDOW = Millis(10_000)


@given('{count:d} plain servers with 6 slots')
def start_plain_servers(context: Context, count: int) -> None:
    """Start with idle plain servers."""
    start_selector(context, count, 0)


@given('{count:d} engines of version {version:d}')
def start_engines(context: Context, count: int, version: int) -> None:
    """Start with idle engines."""
    start_selector(context, count, version)


@given(
    '{count:d} engines of version 1, and version {newest:d} named {ms:d} ms ago'
)
def start_outdated_engines(
    context: Context,
    count: int,
    newest: int,
    ms: int,
) -> None:
    """Start with idle engines that lack the newest weights."""
    start_selector(context, count, 1, newest, ms)


@when('{count:d} calls are placed at once')
def place_calls(context: Context, count: int) -> None:
    """Select a server for each call before any of them is answered."""
    for _ in range(count):
        place(context, new_request(context))


@then('no plain server got more than {count:d} calls')
def check_most_calls(context: Context, count: int) -> None:
    """Guard against a burst that piles up on one server."""
    assert max(context.placed.values()) <= count, context.placed


@when(
    'server "{bad}" fails every call of {count:d} and the others answer in '
    '{ms:d} ms'
)
def fail_calls(context: Context, bad: str, count: int, ms: int) -> None:
    """Place calls one after the other and record their outcomes."""
    now = int(NOW)
    for _ in range(count):
        request = new_request(context)
        decision = place(context, request, now)
        name = decision.placement.server.server_id
        load = context.selector.load_of(name)
        load.own_calls.pop(request.call_id)
        now += ms
        load.record_outcome(failed=name == bad, now=Millis(now))
        if name != bad:
            load.record_service_time(Millis(ms))


@then('server "{name}" got at most {count:d} calls')
def check_server_calls(context: Context, name: str, count: int) -> None:
    """Check the number of calls that one server got."""
    assert context.placed[name] <= count, context.placed


@given('a peer has {count:d} calls at each of "{names}"')
def report_peer_calls(context: Context, count: int, names: str) -> None:
    """Record the load that a peer reported."""
    for name in names.split():
        load = PeerLoad(
            active_calls=count,
            waiting_tokens=0,
            unmovable_calls=0,
            received_at=NOW,
        )
        context.selector.load_of(name).update_peer_load('peer', load)


@then('the next call goes to "{name}"')
def check_next_server(context: Context, name: str) -> None:
    """Check which server is selected."""
    decision = place(context, new_request(context))
    assert decision.placement.server.server_id == name


@given('server "{name}" has not answered a call for {ms:d} ms')
def leave_call_unanswered(context: Context, name: str, ms: int) -> None:
    """Record a call without output as in flight."""
    call = ActiveCall(sent_at=Millis(NOW - ms))
    context.selector.load_of(name).own_calls['old'] = call


_PARTS = (('file', 2500), ('worker', 3500))


@when('a prompt of 6000 shared tokens is placed on engine "{name}"')
def place_on_engine(context: Context, name: str) -> None:
    """Record the parts as cached on one engine."""
    request = new_request(context, _PARTS)
    server = context.selector.view.servers[name]
    placement = Placement(server=server, cache_scope='1/')
    context.selector.record_send(request, placement, NOW)
    context.selector.load_of(name).own_calls.clear()


@then('{count:d} later prompts with the same parts go to "{name}"')
def check_affinity(context: Context, count: int, name: str) -> None:
    """Place prompts one after the other, each on idle engines."""
    for _ in range(count):
        request = new_request(context, _PARTS)
        decision = place(context, request)
        assert decision.placement.server.server_id == name, decision
        context.selector.load_of(name).own_calls.clear()


@then('of {count:d} such prompts at once at most {most:d} go to one engine')
def check_spread(context: Context, count: int, most: int) -> None:
    """Guard against a hot part whose load all goes to one engine."""
    context.placed.clear()
    for _ in range(count):
        place(context, new_request(context, _PARTS))
    assert max(context.placed.values()) <= most, context.placed


@when('{count:d} prompts of {tokens:d} unshared tokens arrive at once')
def place_unshared(context: Context, count: int, tokens: int) -> None:
    """Place prompts without shared parts."""
    for number in range(count):
        place(context, new_request(context, ((f'long{number}', tokens),)))


@then('each engine got {count:d} of them')
def check_each_engine(context: Context, count: int) -> None:
    """Check the number of calls that each engine got."""
    assert set(context.placed.values()) == {count}, context.placed
    assert len(context.placed) == len(context.selector.view.servers)


@then('a prompt is {outcome}')
def check_outcome(context: Context, outcome: str) -> None:
    """Check whether any engine may get the prompt, now and after a wait."""
    decision = place(context, new_request(context), NOW)
    later = place(context, new_request(context), NOW + 100)
    assert (decision.placement is not None) is (outcome == 'placed')
    assert (later.retry_after is not None) is (outcome == 'refused')


@given('engine "{name}" reports version {version:d}')
def report_version(context: Context, name: str, version: int) -> None:
    """Record newer weights that an answer reported."""
    context.selector.load_of(name).reported_weights[MODEL] = version


@then('cache scopes differ by weights version and by isolated customer')
def check_scopes(context: Context) -> None:
    """Guard against cached parts of another customer or of other weights."""
    scopes: list[str] = []
    for version in (1, 2):
        for isolated in ('', 'anna', 'ben'):
            start_selector(context, 1, version)
            request = new_request(context, _PARTS, isolated=isolated)
            scopes.append(place(context, request).placement.cache_scope)
    assert len(set(scopes)) == len(scopes), scopes


@given('a live KV cache store')
def add_live_store(context: Context) -> None:
    """Add a KV cache store that answers."""
    context.stores = (_STORE,)
    context.selector.live_stores.add(_STORE.endpoint)


@then('the first prompt of 6000 shared tokens is saved and the next is not')
def check_saved(context: Context) -> None:
    """Guard against duplicate saves that saturate the store's link."""
    first = place(context, new_request(context, _PARTS)).placement
    second = place(context, new_request(context, _PARTS)).placement
    assert first.kv_save_endpoint == _STORE.endpoint
    assert second.kv_save_endpoint is None


@then('a prompt of 200 shared tokens is neither saved nor fetched')
def check_short_part(context: Context) -> None:
    """Check that a short part, which is faster to compute, is not moved."""
    placement = place(
        context, new_request(context, (('small', 200),))
    ).placement
    assert placement.kv_save_endpoint is None
    assert placement.kv_fetch_endpoint is None


@given('all of them load weights for {ms:d} ms')
def load_all_engines(context: Context, ms: int) -> None:
    """Mark all engines as loading weights."""
    for name in context.selector.view.servers:
        context.selector.load_of(name).loading_until = Millis(NOW + ms)


@given('each engine needs {ms:d} ms for the prompts ahead of the next one')
def fill_engines(context: Context, ms: int) -> None:
    """Record a long prompt that waits at each engine."""
    for name in context.selector.view.servers:
        load = context.selector.load_of(name)
        load.slowdown = 1
        load.own_calls['ahead'] = ActiveCall(
            sent_at=NOW,
            prefill_tokens=int(ms * PREFILL_TOKENS_PER_MS),
            kv_tokens=0,
            is_movable=True,
        )


@then('a prompt with an objective of 4000 ms {outcome}')
def check_patient_call(context: Context, outcome: str) -> None:
    """Check whether an engine gets a call that may start late."""
    request = replace(new_request(context), objective_at=Millis(NOW + 4000))
    decision = place(context, request)
    is_placed = decision.placement is not None
    assert is_placed is (outcome == 'is placed'), decision


@given('engine "{name}" loads weights for {ms:d} ms')
def load_engine(context: Context, name: str, ms: int) -> None:
    """Mark one engine as loading weights."""
    context.selector.load_of(name).loading_until = Millis(NOW + ms)


@then('a prompt with {left:d} ms left waits until {ms:d} ms have passed')
def check_wait_for_load(context: Context, left: int, ms: int) -> None:
    """Check that the call is not refused before the end of the load."""
    request = new_request(context, left=left)
    now = int(NOW)
    while now < NOW + ms:
        decision = context.selector.choose(request, (), Millis(now))
        assert decision.wait_until is not None, (now - NOW, decision)
        now = int(decision.wait_until)
    assert now == NOW + ms, now - NOW


@then('a prompt with {left:d} ms left waits')
def check_waits(context: Context, left: int) -> None:
    """Check that the call waits."""
    decision = place(context, new_request(context, left=left))
    assert decision.wait_until is not None, decision


@then('a prompt with {left:d} ms left may retry after {ms:d} ms')
def check_retry_after(context: Context, left: int, ms: int) -> None:
    """Check the time after which the refused caller may retry."""
    decision = place(context, new_request(context, left=left))
    assert decision.retry_after == ms, decision


@then(
    'without servers a prompt with an objective of 500 ms waits at most '
    '{ms:d} ms'
)
def check_without_servers(context: Context, ms: int) -> None:
    """Guard against calls that wait until their deadline without a server."""
    start_selector(context, 0, 1)
    request = new_request(context)
    now = int(NOW)
    while True:
        decision = context.selector.choose(request, (), Millis(now))
        if decision.wait_until is None:
            break
        now = int(decision.wait_until)
    assert decision.retry_after is not None
    assert now - NOW <= ms, now - NOW


@then(
    'for any traffic the retries of {routers:d} routers stay within '
    'ratio {ratio:g} and slack {slack:g}'
)
def check_budget(
    context: Context,
    routers: int,
    ratio: float,
    slack: float,
) -> None:
    """Guard against retries that double the load on a failing service."""

    @REPEATABLE
    @forall(
        st.lists(st.integers(0, 400), min_size=1, max_size=60),
        st.integers(1, 20),
    )
    def replay(pauses: list[int], attempts: int) -> None:
        budgets = [
            FleetRetryBudget(ratio, slack, _WINDOW) for _ in range(routers)
        ]
        now = 0
        requests: list[int] = []
        retries: list[int] = []
        for pause in pauses:
            now += pause
            budget = budgets[pause % routers]
            budget.record_request(Millis(now))
            requests.append(now)
            retries.extend(
                now
                for other_budget in budgets
                for _ in range(attempts)
                if other_budget.try_spend(routers, Millis(now))
            )
        for window_end in retries:
            window_start = window_end - _WINDOW
            retries_in_window = sum(
                window_start < at <= window_end for at in retries
            )
            requests_in_window = sum(
                window_start < at <= window_end for at in requests
            )
            assert retries_in_window <= ratio * requests_in_window + slack, (
                retries_in_window,
                requests_in_window,
            )

    replay()
