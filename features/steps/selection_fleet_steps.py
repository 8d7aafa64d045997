"""Steps for the selections of many routers that exchange little state."""

import dataclasses
from collections import Counter, defaultdict

from behave import given, then, when
from behave.runner import Context

from features.selection_fixture import (
    MODEL,
    NOW,
    named_weights,
    new_request,
    place,
    start_selector,
)
from yuccagauge.clock import Millis
from yuccagauge.selection.load import PeerLoad


@given('{routers:d} routers and {engines:d} idle engines')
def start_fleet(context: Context, routers: int, engines: int) -> None:
    """Start routers that have received nothing from each other."""
    context.selectors = []
    for _ in range(routers):
        start_selector(context, engines, version=1)
        context.selectors.append(context.selector)


@when(
    'each router gets one prompt for each of {prefixes:d} prefixes of '
    '{tokens:d} shared tokens'
)
def place_prefixes(context: Context, prefixes: int, tokens: int) -> None:
    """Place one prompt for each prefix at every router, on idle engines."""
    context.engines_by_prefix = defaultdict(set)
    for selector in context.selectors:
        context.selector = selector
        for prefix in range(prefixes):
            request = new_request(context, ((f'subject{prefix}', tokens),))
            placement = place(context, request).placement
            context.engines_by_prefix[prefix].add(placement.server.server_id)
            selector.load_of(placement.server.server_id).own_calls.clear()


@then('each prefix was prefilled by {count:d} engine')
def check_prefill_engines(context: Context, count: int) -> None:
    """Guard against a shared prefix that each engine prefills again."""
    found = {
        prefix: len(each) for prefix, each in context.engines_by_prefix.items()
    }
    assert set(found.values()) == {count}, found


@then('no engine got more than {count:d} prefixes')
def check_spread(context: Context, count: int) -> None:
    """Guard against one engine that gets all prefixes that no engine holds."""
    found = Counter(
        name for each in context.engines_by_prefix.values() for name in each
    )
    assert max(found.values()) <= count, found


@when(
    '{count:d} prompts with one prefix of {tokens:d} shared tokens arrive at '
    'once'
)
def place_hot_prefix(context: Context, count: int, tokens: int) -> None:
    """Place prompts with a hot prefix."""
    for _ in range(count):
        place(context, new_request(context, (('subject', tokens),)))


@then('no engine got more of them than its {count:d} slots')
def check_slots(context: Context, count: int) -> None:
    """Guard against a preferred engine that is overloaded by a hot prefix."""
    assert max(context.placed.values()) <= count, context.placed


@given(
    '{alive:d} peers are alive, of which {known:d} reported {calls:d} calls '
    'each at "{name}"'
)
def report_calls(
    context: Context,
    alive: int,
    known: int,
    calls: int,
    name: str,
) -> None:
    """Record the calls that some of the peers reported."""
    for number in range(known):
        load = PeerLoad(
            active_calls=calls,
            waiting_tokens=0,
            unmovable_calls=0,
            received_at=NOW,
        )
        context.selector.load_of(name).update_peer_load(f'peer{number}', load)
    context.selector.peer_coverage.update(alive, known)


@then('{count:d} calls of peers are counted at "{name}"')
@then('{count:d} calls of peers are counted at "{name}" after {ms:d} ms')
def check_peer_calls(
    context: Context, count: int, name: str, ms: int = 0
) -> None:
    """Check the number of calls that are counted for peers."""
    calls = context.selector.load_of(name).active_calls(Millis(NOW + ms))
    assert calls == count, calls


@given('the cache events of the engine {state}')
def receive_events(context: Context, state: str) -> None:
    """Subscribe to the cache events of the engine, or not."""
    if state == 'are received':
        context.selector.engines_with_cache_events.add('s0')


@then('the second prompt of {tokens:d} shared tokens {outcome}')
def check_second_prompt(context: Context, tokens: int, outcome: str) -> None:
    """Guard against shared parts that are prefilled again though stored."""
    parts = (('subject', tokens),)
    place(context, new_request(context, parts))
    placement = place(context, new_request(context, parts)).placement
    assert (placement.kv_fetch_endpoint is not None) is (
        outcome == 'is fetched'
    )


@given('{peers:d} peers reported {ms:d} ms ago that "{name}" is unresponsive')
def report_unresponsive(
    context: Context, peers: int, ms: int, name: str
) -> None:
    """Record reports of unanswered connection attempts."""
    for number in range(peers):
        load = context.selector.load_of(name)
        load.record_unresponsive_report(f'peer{number}', Millis(NOW - ms))


@given('server "{name}" last responded to this router {ms:d} ms ago')
def record_response(context: Context, name: str, ms: int) -> None:
    """Record a response."""
    context.selector.load_of(name).last_activity_at = Millis(NOW - ms)


@then('server "{name}" got {count:w} calls')
def check_unresponsive_calls(context: Context, name: str, count: str) -> None:
    """Guard against many routers that each lose a call to a failed server."""
    assert bool(context.placed[name]) is (count == 'some'), context.placed


@given(
    'the calls of peers use {tokens:d} tokens of KV memory at "{name}", and '
    'none waits'
)
def fill_memory(context: Context, tokens: int, name: str) -> None:
    """Record the KV memory of peers, and the parts as cached there."""
    load = PeerLoad(
        active_calls=1,
        waiting_tokens=0,
        unmovable_calls=0,
        kv_tokens=tokens,
        received_at=NOW,
    )
    context.selector.load_of(name).update_peer_load('peer', load)
    context.selector.cache_map.add(name, '1/', 'subject')


@then('a prompt of {tokens:d} shared tokens goes to "{server}"')
def check_memory(context: Context, tokens: int, server: str) -> None:
    """Guard against many routers that together overfill the KV memory."""
    request = new_request(context, (('subject', tokens),))
    placement = place(context, request).placement
    assert placement.server.server_id == server


@given(
    'version 2 was named {ms:d} ms ago, and versions 3 and 4 followed '
    '{apart:d} ms apart'
)
def name_versions(context: Context, ms: int, apart: int) -> None:
    """Name versions in quick succession, none of which an engine loads."""
    named_at = {
        version: Millis(NOW - ms + step * apart)
        for step, version in enumerate((2, 3, 4))
    }
    view = dataclasses.replace(
        context.selector.view,
        named_weights={MODEL: named_weights(named_at)},
    )
    context.selector.update_fleet_view(view)
