"""Steps for the polling of cache events."""

import types
from itertools import repeat
from typing import Any

from behave import given, then, when
from behave.runner import Context
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as TaskClock

from features.directory_fixtures import backend_server, service_spec
from yuccagauge.cachefeed.base import (
    CacheEvent,
    CacheEventBatch,
    HolderBusyError,
)
from yuccagauge.cachefeed.feed import CacheFeed
from yuccagauge.clock import ManualClock, Millis
from yuccagauge.directory.base import KvCacheStore
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.selection.kvcachestores import store_holder_name
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

_ENGINE = Endpoint('127.0.0.1', 1)
_STORE = Endpoint('127.0.0.1', 2)
_POLL_LIMIT = 8
_SCOPE = '1/'
_SHORT_POLL_S = 2.0

#: Steps of the virtual time, and their number: longer than each pause between
#: two polls of an engine.
_POLL_STEP_S = 0.1
_POLL_STEPS = 20


class ScriptedCacheEventSource:
    """Cache event source whose polls are answered by steps."""

    def __init__(self) -> None:
        """Create a source without open polls."""
        self.polls: list[
            tuple[Endpoint, Millis, Deferred[CacheEventBatch]]
        ] = []

    def poll_events(self, holder: Endpoint, since: int, wait: Millis) -> Any:
        """Add an open poll and return its Deferred."""
        answer: Deferred[CacheEventBatch] = Deferred()
        self.polls.append((holder, wait, answer))
        return answer

    def pop_poll(self, holder: Endpoint) -> Deferred[CacheEventBatch]:
        """Remove the open poll of a holder and return its Deferred."""
        answer = next(poll for at, _, poll in self.polls if at == holder)
        self.polls = [poll for poll in self.polls if poll[0] != holder]
        return answer


def _directory() -> Any:
    service = service_spec(is_model=True, poll_limit=_POLL_LIMIT)
    store_service = service_spec(
        'kept',
        poll_limit=_POLL_LIMIT,
        kv_cache_store=KvCacheStore(endpoint=_STORE, data_centre='a'),
    )
    engine = backend_server('e', endpoint=_ENGINE)
    services = {'s': service, 'kept': store_service}
    return types.SimpleNamespace(
        configuration=types.SimpleNamespace(services=services),
        servers={'e': engine},
    )


def _start_feed(context: Context, name: str, others: list[str]) -> CacheFeed:
    feed = CacheFeed(
        context.cache_event_source,
        _directory(),
        context.selector,
        context.reactor,
        name,
        'a',
        lambda: others,
        ManualClock(),
    )
    context.add_cleanup(feed.close)
    feed.update_pollers()
    return feed


def _reset_context(context: Context) -> None:
    context.cache_event_source = ScriptedCacheEventSource()
    context.reactor = TaskClock()
    context.selector = Selector('a', Millis(12_000))


@given(
    '{routers:d} routers, 1 engine and 1 KV cache store that accept 8 long '
    'polls each'
)
def start_routers(context: Context, routers: int) -> None:
    """Start the feeds of all routers with one cache event source."""
    _reset_context(context)
    names = [f'r{number}' for number in range(routers)]
    for name in names:
        _start_feed(context, name, names)


def _count(context: Context, endpoint: Endpoint, *, is_long_poll: bool) -> int:
    return sum(
        holder == endpoint and bool(wait) is is_long_poll
        for holder, wait, _ in context.cache_event_source.polls
    )


@then('{count:d} routers long-poll the engine, and no other router polls it')
def check_engine(context: Context, count: int) -> None:
    """Guard against more polls than an engine accepts."""
    assert _count(context, _ENGINE, is_long_poll=True) == count
    assert not _count(context, _ENGINE, is_long_poll=False)


@then(
    '{count:d} routers long-poll the store, and {others:d} poll it at intervals'
)
def check_store(context: Context, count: int, others: int) -> None:
    """Guard against routers that never use the KV cache store."""
    assert _count(context, _STORE, is_long_poll=True) == count
    assert _count(context, _STORE, is_long_poll=False) == others


@when('the engine names a limit and answers the open polls')
def limit_engine(context: Context) -> None:
    """Name a limit while polls are open, and answer them."""
    context.selector.limits.record_answer('e', 2, Millis(1), Millis(1))
    batch = CacheEventBatch(epoch=1, next_sequence=1, has_gap=False, events=())
    source = context.cache_event_source
    polls = source.polls
    source.polls = []
    for holder, wait, answer in polls:
        if holder == _ENGINE:
            answer.callback(batch)
        else:
            source.polls.append((holder, wait, answer))
    context.reactor.pump(repeat(_POLL_STEP_S, _POLL_STEPS))


@when('the limit of the engine ends')
def end_limit(context: Context) -> None:
    """End the limit, and let the routers notice it."""
    context.selector.limits.record_answer('e', None, Millis(2), Millis(3))
    context.reactor.pump(repeat(_POLL_STEP_S, _POLL_STEPS))


@given('a router that polls a KV cache store at intervals')
def start_router_without_long_poll(context: Context) -> None:
    """Start the feed of one router out of many."""
    _reset_context(context)
    names = [f'r{number}' for number in range(40)]
    for name in names:
        feed = _start_feed(context, name, names)
        if _count(context, _STORE, is_long_poll=False):
            break
        feed.close()
        context.cache_event_source.polls.clear()
    context.epoch = 1


def _answer(
    context: Context, part: str, *, has_gap: bool = False, number: int = 1
) -> None:
    event = CacheEvent(is_stored=True, cache_scope=_SCOPE, part_id=part)
    batch = CacheEventBatch(
        epoch=context.epoch,
        next_sequence=number,
        has_gap=has_gap,
        events=(event,),
    )
    context.cache_event_source.pop_poll(_STORE).callback(batch)
    context.reactor.advance(_SHORT_POLL_S)


@when('the store answers the poll with the part "{part}"')
def answer_poll(context: Context, part: str) -> None:
    """Answer with one event."""
    _answer(context, part)


@when('the store answers the poll with the part "{part}", its event {number:d}')
def answer_poll_with_event(context: Context, part: str, number: int) -> None:
    """Answer with one event that has a number."""
    _answer(context, part, number=number)


@when('the store answers the poll with a gap and the part "{part}"')
def answer_gap(context: Context, part: str) -> None:
    """Answer with one event, before which others were lost."""
    _answer(context, part, has_gap=True)


@when('the store restarts and answers the poll with the part "{part}"')
def answer_after_restart(context: Context, part: str) -> None:
    """Answer with the first event after a restart."""
    context.epoch += 1
    _answer(context, part)


@when('the store refuses the next poll because of too many polls')
def refuse_poll(context: Context) -> None:
    """Refuse the open poll."""
    error = HolderBusyError('too many polls', Verdict.NOT_RUN)
    context.cache_event_source.pop_poll(_STORE).errback(error)
    context.reactor.advance(_SHORT_POLL_S)


@when('the store does not answer the next poll')
def time_out_poll(context: Context) -> None:
    """Let the open poll time out."""
    error = FetchError('no answer in time', Verdict.MAY_HAVE_RUN)
    context.cache_event_source.pop_poll(_STORE).errback(error)


def _holds(context: Context, part: str) -> bool:
    prefix_tokens = context.selector.cache_map.prefix_tokens(
        _SCOPE, ((part, 10),)
    )
    return store_holder_name(_STORE) in prefix_tokens


@then('the store is live and holds "{part}"')
def check_live(context: Context, part: str) -> None:
    """Guard against prompts that are prefilled though the store has them."""
    assert _STORE in context.selector.live_stores
    assert _holds(context, part)


@then('the store is not known to hold "{part}"')
def check_not_held(context: Context, part: str) -> None:
    """Guard against fetches of parts that the store no longer holds."""
    assert not _holds(context, part)


@then('the store is not live')
def check_not_live(context: Context) -> None:
    """Guard against fetches from a failed store, which cost some 100 ms."""
    assert _STORE not in context.selector.live_stores
