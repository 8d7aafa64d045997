"""Steps for the feed of cache events."""

import types
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
from yuccagauge.clock import Millis
from yuccagauge.directory.base import KvCacheStore
from yuccagauge.dispatch.fetch import FetchError
from yuccagauge.selection.kvcachestores import store_holder_name
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint
from yuccagauge.verdict import Verdict

_ENGINE = Endpoint('127.0.0.1', 1)
_STORE = Endpoint('127.0.0.1', 2)
_POLLS = 8
_SCOPE = '1/'
_LOOK_S = 2.0


class ScriptedCacheEventSource:
    """Keeps polls until a step answers them."""

    def __init__(self) -> None:
        """Start without polls."""
        self.polls: list[
            tuple[Endpoint, Millis, Deferred[CacheEventBatch]]
        ] = []

    def poll_events(self, holder: Endpoint, since: int, wait: Millis) -> Any:
        """Keep a poll."""
        answer: Deferred[CacheEventBatch] = Deferred()
        self.polls.append((holder, wait, answer))
        return answer

    def take(self, holder: Endpoint) -> Deferred[CacheEventBatch]:
        """Return the open poll of a holder."""
        answer = next(each for at, _, each in self.polls if at == holder)
        self.polls = [each for each in self.polls if each[0] != holder]
        return answer


def _directory() -> Any:
    service = service_spec(is_model=True, poll_limit=_POLLS)
    kept = service_spec(
        'kept',
        poll_limit=_POLLS,
        kv_cache_store=KvCacheStore(endpoint=_STORE, data_centre='a'),
    )
    engine = backend_server('e', endpoint=_ENGINE)
    services = {'s': service, 'kept': kept}
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
    )
    context.add_cleanup(feed.close)
    feed.update_pollers()
    return feed


def _prepare(context: Context) -> None:
    context.cache_event_source = ScriptedCacheEventSource()
    context.reactor = TaskClock()
    context.selector = Selector('a', Millis(12_000))


@given('{routers:d} routers, 1 engine and 1 kept store that take 8 polls each')
def start_routers(context: Context, routers: int) -> None:
    """Start the feeds of all routers at one port."""
    _prepare(context)
    names = [f'r{number}' for number in range(routers)]
    for name in names:
        _start_feed(context, name, names)


def _count(context: Context, endpoint: Endpoint, *, is_waiting: bool) -> int:
    return sum(
        holder == endpoint and bool(wait) is is_waiting
        for holder, wait, _ in context.cache_event_source.polls
    )


@then(
    'the polls of {count:d} routers wait at the engine, and no other polls it'
)
def check_engine(context: Context, count: int) -> None:
    """Guard against polls beyond what an engine takes."""
    assert _count(context, _ENGINE, is_waiting=True) == count
    assert not _count(context, _ENGINE, is_waiting=False)


@then(
    'the polls of {count:d} routers wait at the store, and {others:d} look at '
    'it now and then'
)
def check_store(context: Context, count: int, others: int) -> None:
    """Guard against routers that never use the kept store."""
    assert _count(context, _STORE, is_waiting=True) == count
    assert _count(context, _STORE, is_waiting=False) == others


@given('a router whose polls do not wait at a kept store')
def start_one(context: Context) -> None:
    """Start one feed among many routers."""
    _prepare(context)
    names = [f'r{number}' for number in range(40)]
    for name in names:
        feed = _start_feed(context, name, names)
        if _count(context, _STORE, is_waiting=False):
            break
        feed.close()
        context.cache_event_source.polls.clear()
    context.epoch = 1


def _answer(context: Context, part: str, *, has_gap: bool = False) -> None:
    event = CacheEvent(is_stored=True, scope=_SCOPE, part_id=part)
    found = CacheEventBatch(
        epoch=context.epoch,
        next_sequence=1,
        has_gap=has_gap,
        events=(event,),
    )
    context.cache_event_source.take(_STORE).callback(found)
    context.reactor.advance(_LOOK_S)


@when('the store answers its look with the part "{part}"')
def answer_look(context: Context, part: str) -> None:
    """Answer with an event."""
    _answer(context, part)


@when('the store answers its look with a gap and the part "{part}"')
def answer_gap(context: Context, part: str) -> None:
    """Answer with an event behind lost ones."""
    _answer(context, part, has_gap=True)


@when('the store starts anew and answers its look with the part "{part}"')
def answer_anew(context: Context, part: str) -> None:
    """Answer with the first event of another start."""
    context.epoch += 1
    _answer(context, part)


@when('the store refuses the next look because of too many polls')
def refuse_look(context: Context) -> None:
    """Refuse a poll."""
    error = HolderBusyError('too many polls', Verdict.NOT_RUN)
    context.cache_event_source.take(_STORE).errback(error)
    context.reactor.advance(_LOOK_S)


@when('the store does not answer the next look')
def lose_look(context: Context) -> None:
    """Let a poll run out."""
    error = FetchError('no answer in time', Verdict.MAY_HAVE_RUN)
    context.cache_event_source.take(_STORE).errback(error)


def _holds(context: Context, part: str) -> bool:
    prefix_tokens = context.selector.cache.prefix_tokens(_SCOPE, ((part, 10),))
    return store_holder_name(_STORE) in prefix_tokens


@then('the store is live and holds "{part}"')
def check_live(context: Context, part: str) -> None:
    """Guard against routers that read what the store has."""
    assert _STORE in context.selector.live_stores
    assert _holds(context, part)


@then('the store is not known to hold "{part}"')
def check_lost(context: Context, part: str) -> None:
    """Guard against fetches of what is not there."""
    assert not _holds(context, part)


@then('the store is not live')
def check_dead(context: Context) -> None:
    """Guard against fetches from a dead store, which cost some 100 ms."""
    assert _STORE not in context.selector.live_stores
