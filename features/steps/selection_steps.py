"""Steps for the choice of servers."""

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import strategies as st

from features.properties import REPEATABLE
from features.selection_world import (
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
from yuccagauge.settings.options import Endpoint

_STORE = KvCacheStore(endpoint=Endpoint('127.0.0.1', 99), data_centre='a')
_WINDOW = Millis(10_000)


@given('{count:d} plain servers with 6 slots')
def plain_servers(context: Context, count: int) -> None:
    """Start with idle plain servers."""
    start_selector(context, count, 0)


@given('{count:d} engines of version {version:d}')
def engines(context: Context, count: int, version: int) -> None:
    """Start with idle engines."""
    start_selector(context, count, version)


@given(
    '{count:d} engines of version 1 and the newest version {newest:d} known '
    'for {ms:d} ms'
)
def outdated_engines(
    context: Context,
    count: int,
    newest: int,
    ms: int,
) -> None:
    """Start with engines that lack the newest weights."""
    start_selector(context, count, 1, newest, ms)


@when('{count:d} calls are placed at once')
def place_calls(context: Context, count: int) -> None:
    """Place calls without any answer between."""
    for _ in range(count):
        place(context, new_request(context))


@then('no plain server got more than {count:d} calls')
def check_most(context: Context, count: int) -> None:
    """Guard against routers that pile up calls on one server."""
    assert max(context.placed.values()) <= count, context.placed


@when(
    'server "{bad}" fails every call of {count:d} and the others answer in '
    '{ms:d} ms'
)
def fail_calls(context: Context, bad: str, count: int, ms: int) -> None:
    """Place calls one after the other and report their outcome."""
    now = int(NOW)
    for _ in range(count):
        request = new_request(context)
        decision = place(context, request, now)
        name = decision.placement.server.server_id
        load = context.selector.load_of(name)
        load.calls.pop(request.call_id)
        now += ms
        load.record_outcome(failed=name == bad, now=Millis(now))
        if name != bad:
            load.record_service_time(Millis(ms))


@then('server "{name}" got at most {count:d} calls')
def check_server_calls(context: Context, name: str, count: int) -> None:
    """Compare the calls of one server."""
    assert context.placed[name] <= count, context.placed


@given('a peer has {count:d} calls at each of "{names}"')
def peer_calls(context: Context, count: int, names: str) -> None:
    """Hear the load of a peer."""
    for name in names.split():
        load = PeerLoad(
            active=count,
            waiting_tokens=0,
            unmovable=0,
            received_at=NOW,
        )
        context.selector.load_of(name).update_peer_load('peer', load)


@then('the next call goes to "{name}"')
def check_next(context: Context, name: str) -> None:
    """Compare the chosen server."""
    decision = place(context, new_request(context))
    assert decision.placement.server.server_id == name


@given('server "{name}" has a call since {ms:d} ms without an answer')
def silent_call(context: Context, name: str, ms: int) -> None:
    """Let a call wait for its answer."""
    call = ActiveCall(sent_at=Millis(NOW - ms))
    context.selector.load_of(name).calls['old'] = call


_PARTS = (('file', 2500), ('worker', 3500))


@when('a prompt of 6000 shared tokens is placed on engine "{name}"')
def place_on(context: Context, name: str) -> None:
    """Expect the parts on one engine."""
    request = new_request(context, _PARTS)
    server = context.selector.view.servers[name]
    placement = Placement(server=server, cache_scope='1/')
    context.selector.record_send(request, placement, NOW)
    context.selector.load_of(name).calls.clear()


@then('{count:d} later prompts with the same parts go to "{name}"')
def check_affinity(context: Context, count: int, name: str) -> None:
    """Place one prompt at a time and let each end."""
    for _ in range(count):
        request = new_request(context, _PARTS)
        decision = place(context, request)
        assert decision.placement.server.server_id == name, decision
        context.selector.load_of(name).calls.clear()


@then('of {count:d} such prompts at once at most {most:d} go to one engine')
def check_spread(context: Context, count: int, most: int) -> None:
    """Guard against a hot part that keeps all of its load on one engine."""
    context.placed.clear()
    for _ in range(count):
        place(context, new_request(context, _PARTS))
    assert max(context.placed.values()) <= most, context.placed


@when('{count:d} prompts of {tokens:d} own tokens arrive at once')
def place_long(context: Context, count: int, tokens: int) -> None:
    """Place prompts that share nothing."""
    for number in range(count):
        place(context, new_request(context, ((f'long{number}', tokens),)))


@then('each engine got {count:d} of them')
def check_each(context: Context, count: int) -> None:
    """Compare the calls of every engine."""
    assert set(context.placed.values()) == {count}, context.placed
    assert len(context.placed) == len(context.selector.view.servers)


@then('a prompt is {outcome}')
def check_outcome(context: Context, outcome: str) -> None:
    """Compare whether any engine may take it, at the end of its wait."""
    decision = place(context, new_request(context), NOW)
    later = place(context, new_request(context), NOW + 100)
    assert (decision.placement is not None) is (outcome == 'placed')
    assert (later.retry_after is not None) is (outcome == 'refused')


@given('engine "{name}" shows version {version:d}')
def show_version(context: Context, name: str, version: int) -> None:
    """Hear new weights from an answer."""
    context.selector.load_of(name).reported_weights[MODEL] = version


@then('scopes differ by weights version and by isolated customer')
def check_scopes(context: Context) -> None:
    """Guard against answers from foreign or stale cache."""
    scopes: list[str] = []
    for version in (1, 2):
        for isolated in ('', 'anna', 'ben'):
            start_selector(context, 1, version)
            request = new_request(context, _PARTS, isolated=isolated)
            scopes.append(place(context, request).placement.cache_scope)
    assert len(set(scopes)) == len(scopes), scopes


@given('a live kept store')
def live_store(context: Context) -> None:
    """Let the kept store answer."""
    context.stores = (_STORE,)
    context.selector.live_stores.add(_STORE.endpoint)


@then('the first prompt of 6000 shared tokens is kept and the next is not')
def check_kept(context: Context) -> None:
    """Guard against a store's link that is full of copies."""
    first = place(context, new_request(context, _PARTS)).placement
    second = place(context, new_request(context, _PARTS)).placement
    assert first.kv_save_endpoint == _STORE.endpoint
    assert second.kv_save_endpoint is None


@then('a prompt of 200 shared tokens is neither kept nor fetched')
def check_small(context: Context) -> None:
    """A short part is read sooner than it is moved."""
    placement = place(
        context, new_request(context, (('small', 200),))
    ).placement
    assert placement.kv_save_endpoint is None
    assert placement.kv_fetch_endpoint is None


@given('all of them load for {ms:d} ms')
def all_load(context: Context, ms: int) -> None:
    """Keep calls away from all engines."""
    for name in context.selector.view.servers:
        context.selector.load_of(name).loading_until = Millis(NOW + ms)


@then('a prompt with {left:d} ms left waits')
def check_waits(context: Context, left: int) -> None:
    """Compare the decision."""
    decision = place(context, new_request(context, left=left))
    assert decision.wait_until is not None, decision


@then('a prompt with {left:d} ms left comes back after {ms:d} ms')
def check_comes_back(context: Context, left: int, ms: int) -> None:
    """Compare the time that the caller is told."""
    decision = place(context, new_request(context, left=left))
    assert decision.retry_after == ms, decision


@then(
    'without servers a prompt with an objective of 500 ms waits at most '
    '{ms:d} ms'
)
def check_blind(context: Context, ms: int) -> None:
    """Guard against calls that are held until their time is over."""
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
    'for any traffic the second sends of {routers:d} routers stay within '
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
    def play(pauses: list[int], tries: int) -> None:
        budgets = [
            FleetRetryBudget(ratio, slack, _WINDOW) for _ in range(routers)
        ]
        now = 0
        requests: list[int] = []
        sends: list[int] = []
        for pause in pauses:
            now += pause
            budget = budgets[pause % routers]
            budget.record_request(Millis(now))
            requests.append(now)
            sends.extend(
                now
                for each in budgets
                for _ in range(tries)
                if each.try_spend(routers, Millis(now))
            )
        for end in sends:
            since = end - _WINDOW
            spent = sum(since < at <= end for at in sends)
            served = sum(since < at <= end for at in requests)
            assert spent <= ratio * served + slack, (spent, served)

    play()
