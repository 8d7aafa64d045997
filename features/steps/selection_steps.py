"""Steps for the choice of servers."""

import dataclasses
from collections import Counter
from typing import Any

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as forall
from hypothesis import strategies as st

from features.properties import REPEATABLE
from yuccagauge.clock import Millis
from yuccagauge.directory.base import (
    BackendServer,
    KeptStore,
    ServerState,
    ServiceSpec,
)
from yuccagauge.relay.base import Placement
from yuccagauge.selection import model
from yuccagauge.selection.base import Choice, Demand, FleetView
from yuccagauge.selection.budget import RetryBudget
from yuccagauge.selection.load import ActiveCall, PeerLoad
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint

_MODEL = 'm'
_NOW = Millis(100_000)
_STORE = KeptStore(endpoint=Endpoint('127.0.0.1', 99), data_centre='a')
_WINDOW = Millis(10_000)


def _server(number: int, version: int) -> BackendServer:
    return BackendServer(
        server_id=f's{number}',
        service='s',
        endpoint=Endpoint('127.0.0.1', number + 1),
        data_centre='a',
        slots=6 if not version else 32,
        state=ServerState.READY,
        weights={_MODEL: version} if version else {},
    )


def _start(
    context: Context,
    count: int,
    version: int,
    newest: int = 0,
    known_for: int = 0,
) -> None:
    context.selector = Selector('a', Millis(12_000))
    context.is_model = bool(version)
    servers = [_server(number, version) for number in range(count)]
    context.selector.adopt(
        FleetView(
            servers={server.server_id: server for server in servers},
            targets={_MODEL: newest or version},
            targets_since={_MODEL: Millis(_NOW - known_for)},
        ),
    )
    context.stores = ()
    context.placed = Counter()
    context.number = 0


def _demand(
    context: Context,
    parts: tuple[tuple[str, int], ...] = (),
    left: int = 5000,
    **kept: str,
) -> Demand:
    context.number += 1
    own = ((f'own{context.number}', 100),)
    is_model = context.is_model
    prompt = (*parts, *own) if is_model else ()
    return Demand(
        call_id=f'c{context.number}',
        service=ServiceSpec(
            name='s',
            health_path='',
            connection_limit=100,
            is_model=is_model,
            kv_tokens=130_000,
        ),
        received_at=_NOW,
        objective_at=Millis(_NOW + 500),
        deadline=Millis(_NOW + left),
        start_by=Millis(_NOW + left),
        model=_MODEL if is_model else '',
        prompt_tokens=sum(tokens for _, tokens in prompt),
        output_tokens=20 if is_model else 0,
        parts=prompt,
        isolated_customer=kept.get('isolated', ''),
    )


def _place(context: Context, demand: Demand, now: int = _NOW) -> Choice:
    choice = context.selector.choose(demand, context.stores, Millis(now))
    if choice.placement is not None:
        context.selector.sent(demand, choice.placement, Millis(now))
        context.placed[choice.placement.server.server_id] += 1
    return choice


@given('{count:d} plain servers with 6 slots')
def plain_servers(context: Context, count: int) -> None:
    """Start with idle plain servers."""
    _start(context, count, 0)


@given('{count:d} engines of version {version:d}')
def engines(context: Context, count: int, version: int) -> None:
    """Start with idle engines."""
    _start(context, count, version)


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
    _start(context, count, 1, newest, ms)


@when('{count:d} calls are placed at once')
def place_calls(context: Context, count: int) -> None:
    """Place calls without any answer between."""
    for _ in range(count):
        _place(context, _demand(context))


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
    now = int(_NOW)
    for _ in range(count):
        demand = _demand(context)
        choice = _place(context, demand, now)
        name = choice.placement.server.server_id
        load = context.selector.load(name)
        load.calls.pop(demand.call_id)
        now += ms
        load.note_outcome(failed=name == bad, now=Millis(now))
        if name != bad:
            load.note_service_time(Millis(ms))


@then('server "{name}" got at most {count:d} calls')
def check_server_calls(context: Context, name: str, count: int) -> None:
    """Compare the calls of one server."""
    assert context.placed[name] <= count, context.placed


@given('a peer has {count:d} calls at each of "{names}"')
def peer_calls(context: Context, count: int, names: str) -> None:
    """Hear the load of a peer."""
    for name in names.split():
        context.selector.load(name).peers['peer'] = PeerLoad(
            active=count,
            waiting_tokens=0,
            fixed=0,
            heard_at=_NOW,
        )


@then('the next call goes to "{name}"')
def check_next(context: Context, name: str) -> None:
    """Compare the chosen server."""
    choice = _place(context, _demand(context))
    assert choice.placement.server.server_id == name


@given('server "{name}" has a call since {ms:d} ms without an answer')
def silent_call(context: Context, name: str, ms: int) -> None:
    """Let a call wait for its answer."""
    call = ActiveCall(sent_at=Millis(_NOW - ms))
    context.selector.load(name).calls['old'] = call


_PARTS = (('file', 2500), ('worker', 3500))


@when('a prompt of 6000 shared tokens is placed on engine "{name}"')
def place_on(context: Context, name: str) -> None:
    """Expect the parts on one engine."""
    demand = _demand(context, _PARTS)
    server = context.selector.view.servers[name]
    placement = Placement(server=server, cache_scope='1/')
    context.selector.sent(demand, placement, _NOW)
    context.selector.load(name).calls.clear()


@then('{count:d} later prompts with the same parts go to "{name}"')
def check_affinity(context: Context, count: int, name: str) -> None:
    """Place one prompt at a time and let each end."""
    for _ in range(count):
        demand = _demand(context, _PARTS)
        choice = _place(context, demand)
        assert choice.placement.server.server_id == name, choice
        context.selector.load(name).calls.clear()


@then('of {count:d} such prompts at once at most {most:d} go to one engine')
def check_spread(context: Context, count: int, most: int) -> None:
    """Guard against a hot part that keeps all of its load on one engine."""
    context.placed.clear()
    for _ in range(count):
        _place(context, _demand(context, _PARTS))
    assert max(context.placed.values()) <= most, context.placed


@when('{count:d} prompts of {tokens:d} own tokens arrive at once')
def place_long(context: Context, count: int, tokens: int) -> None:
    """Place prompts that share nothing."""
    for number in range(count):
        _place(context, _demand(context, ((f'long{number}', tokens),)))


@then('each engine got {count:d} of them')
def check_each(context: Context, count: int) -> None:
    """Compare the calls of every engine."""
    assert set(context.placed.values()) == {count}, context.placed
    assert len(context.placed) == len(context.selector.view.servers)


@then('a prompt is {outcome}')
def check_outcome(context: Context, outcome: str) -> None:
    """Compare whether any engine may take it, at the end of its wait."""
    choice = _place(context, _demand(context), _NOW)
    later = _place(context, _demand(context), _NOW + 100)
    assert (choice.placement is not None) is (outcome == 'placed')
    assert (later.retry_after is not None) is (outcome == 'refused')


@given('engine "{name}" shows version {version:d}')
def show_version(context: Context, name: str, version: int) -> None:
    """Hear new weights from an answer."""
    context.selector.load(name).shown_weights[_MODEL] = version


@then('scopes differ by weights version and by isolated customer')
def check_scopes(context: Context) -> None:
    """Guard against answers from foreign or stale cache."""
    scopes: list[str] = []
    for version in (1, 2):
        for isolated in ('', 'anna', 'ben'):
            _start(context, 1, version)
            demand = _demand(context, _PARTS, isolated=isolated)
            scopes.append(_place(context, demand).placement.cache_scope)
    assert len(set(scopes)) == len(scopes), scopes


@given('a live kept store')
def live_store(context: Context) -> None:
    """Let the kept store answer."""
    context.stores = (_STORE,)
    context.selector.live_stores.add(_STORE.endpoint)


@then('the first prompt of 6000 shared tokens is kept and the next is not')
def check_kept(context: Context) -> None:
    """Guard against a store's link that is full of copies."""
    first = _place(context, _demand(context, _PARTS)).placement
    second = _place(context, _demand(context, _PARTS)).placement
    assert first.keep_in == _STORE.endpoint
    assert second.keep_in is None


@then('a prompt of 200 shared tokens is neither kept nor fetched')
def check_small(context: Context) -> None:
    """A short part is read sooner than it is moved."""
    placement = _place(context, _demand(context, (('small', 200),))).placement
    assert placement.keep_in is None
    assert placement.fetch_from is None


@given('all of them load for {ms:d} ms')
def all_load(context: Context, ms: int) -> None:
    """Keep calls away from all engines."""
    for name in context.selector.view.servers:
        context.selector.load(name).loading_until = Millis(_NOW + ms)


@then('a prompt with {left:d} ms left waits')
def check_waits(context: Context, left: int) -> None:
    """Compare the decision."""
    choice = _place(context, _demand(context, left=left))
    assert choice.wait_until is not None, choice


@then('a prompt with {left:d} ms left comes back after {ms:d} ms')
def check_comes_back(context: Context, left: int, ms: int) -> None:
    """Compare the time that the caller is told."""
    choice = _place(context, _demand(context, left=left))
    assert choice.retry_after == ms, choice


@then(
    'without servers a prompt with an objective of 500 ms waits at most '
    '{ms:d} ms'
)
def check_blind(context: Context, ms: int) -> None:
    """Guard against calls that are held until their time is over."""
    _start(context, 0, 1)
    demand = _demand(context)
    now = int(_NOW)
    while True:
        choice = context.selector.choose(demand, (), Millis(now))
        if choice.wait_until is None:
            break
        now = int(choice.wait_until)
    assert choice.retry_after is not None
    assert now - _NOW <= ms, now - _NOW


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
        budgets = [RetryBudget(ratio, slack, _WINDOW) for _ in range(routers)]
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


@when(
    '{count:d} prompts of {tokens:d} own tokens arrive at once, and 2 more '
    'each {ms:d} ms for {seconds:d} s'
)
def overload(
    context: Context,
    count: int,
    tokens: int,
    ms: int,
    seconds: int,
) -> None:
    """Replay arrivals beyond what the engines read, on a virtual clock.

    Each engine reads its prompts one after the other, at the rate of the
    data sheet.
    """
    rate = 93.6
    end = seconds * 1000
    queues: dict[str, list[list[Any]]] = {}
    waiting: list[tuple[int, Demand]] = []
    context.first: list[tuple[int, int]] = []
    context.seconds = seconds
    for now in range(0, end + 6000, 10):
        at = Millis(_NOW + now)
        if now < end and now % ms == 0:
            arriving = count if now == 0 else 2
            for _ in range(arriving):
                parts = ((f'p{context.number}', tokens),)
                demand = _demand(context, parts)
                demand = dataclasses.replace(
                    demand,
                    received_at=at,
                    objective_at=Millis(at + 500),
                    deadline=Millis(at + 5000),
                    start_by=Millis(at + 5000),
                )
                waiting.append((now, demand))
        _place_due(context, waiting, queues, now)
        for name, queue in queues.items():
            for demand, placement, sent_at in _read(queue, 10 * rate):
                load = context.selector.load(name)
                load.calls.pop(demand.call_id)
                took = int(at - sent_at)
                load.note_first_output(took, placement.work_ms)
                first = at + model.FIRST_MS - demand.received_at
                context.first.append((now, int(first)))


def _place_due(
    context: Context,
    waiting: list[tuple[int, Demand]],
    queues: dict[str, list[list[Any]]],
    now: int,
) -> None:
    """Decide for the calls whose time to decide has come."""
    at = Millis(_NOW + now)
    due = [entry for entry in waiting if entry[0] <= now]
    for entry in due:
        waiting.remove(entry)
        choice = context.selector.choose(entry[1], (), at)
        if choice.wait_until is not None:
            again = int(choice.wait_until - _NOW)
            waiting.append((max(again, now + 10), entry[1]))
        elif choice.placement is not None:
            context.selector.sent(entry[1], choice.placement, at)
            name = choice.placement.server.server_id
            queues.setdefault(name, []).append(
                [entry[1], entry[1].prompt_tokens, choice.placement, at],
            )


def _read(queue: list[list[Any]], tokens: float) -> list[tuple[Any, ...]]:
    """Read tokens of the prompts in a queue; return those that are whole."""
    done: list[tuple[Any, ...]] = []
    while queue and tokens > 0:
        entry = queue[0]
        part = min(tokens, entry[1])
        tokens -= part
        entry[1] -= part
        if not entry[1]:
            queue.pop(0)
            done.append((entry[0], entry[2], entry[3]))
    return done


@then('at least {count:d} calls a second start within their objective')
def check_on_time(context: Context, count: int) -> None:
    """Compare the calls whose first token was on time."""
    on_time = sum(took <= 500 for _, took in context.first)
    assert on_time >= count * context.seconds, (on_time, len(context.first))


@then('no call waits for longer than {ms:d} ms')
def check_starving(context: Context, ms: int) -> None:
    """Guard against calls that wait until their deadline."""
    assert max(took for _, took in context.first) <= ms, context.first


@given('the engine has {ms:d} ms of prompts before it')
def backlog(context: Context, ms: int) -> None:
    """Put one long prompt in flight."""
    load = context.selector.load('s0')
    load.slowdown = 1.0
    load.calls['before'] = ActiveCall(
        sent_at=_NOW,
        missing_tokens=int(ms * model.READ_TOKENS_PER_MS),
    )


@given('late calls {before}')
def late_calls(context: Context, before: str) -> None:
    """Note how the waits before this call ended."""
    if before == 'have not waited lately':
        return
    ago = 4000 if before.endswith('4 s ago') else 0
    refused = 'refused' in before
    waited = Millis(2000 if refused else 200)
    for _ in range(20):
        context.selector.late.note(
            waited,
            Millis(_NOW - ago),
            refused=refused,
        )


@then('a prompt that waits at most {ms:d} ms {outcome}')
def check_late(context: Context, ms: int, outcome: str) -> None:
    """Guard against calls that are held and then refused."""
    demand = dataclasses.replace(
        _demand(context),
        start_by=Millis(_NOW + 5200 + ms),
    )
    choice = _place(context, demand)
    if outcome == 'waits':
        assert choice.wait_until is not None, choice
    else:
        assert choice.retry_after is not None, choice
