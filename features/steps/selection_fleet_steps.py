"""Steps for the choices of many routers that hear little of each other."""

import dataclasses
from collections import Counter, defaultdict

from behave import given, then, when
from behave.runner import Context

from features.selection_world import (
    MODEL,
    NOW,
    new_request,
    place,
    start_selector,
)
from yuccagauge.clock import Millis
from yuccagauge.directory.base import ObservedTarget
from yuccagauge.selection.load import PeerLoad


@given('{routers:d} routers before {engines:d} idle engines')
def start_fleet(context: Context, routers: int, engines: int) -> None:
    """Start routers that have heard nothing of each other."""
    context.selectors = []
    for _ in range(routers):
        start_selector(context, engines, version=1)
        context.selectors.append(context.selector)


@when(
    'each router gets one prompt of each of {subjects:d} subjects of '
    '{tokens:d} shared tokens'
)
def place_subjects(context: Context, subjects: int, tokens: int) -> None:
    """Place each subject at every router, each time without other calls."""
    context.readers = defaultdict(set)
    for selector in context.selectors:
        context.selector = selector
        for subject in range(subjects):
            request = new_request(context, ((f'subject{subject}', tokens),))
            found = place(context, request).placement
            context.readers[subject].add(found.server.server_id)
            selector.load_of(found.server.server_id).calls.clear()


@then('each subject was read by {count:d} engine')
def check_readers(context: Context, count: int) -> None:
    """Guard against a shared part that is read again at each engine."""
    found = {subject: len(each) for subject, each in context.readers.items()}
    assert set(found.values()) == {count}, found


@then('no engine got more than {count:d} subjects')
def check_spread(context: Context, count: int) -> None:
    """Guard against one engine that gets every unknown prompt."""
    found = Counter(name for each in context.readers.values() for name in each)
    assert max(found.values()) <= count, found


@when(
    '{count:d} prompts of one subject of {tokens:d} shared tokens arrive at '
    'once'
)
def place_hot(context: Context, count: int, tokens: int) -> None:
    """Place prompts of a hot subject."""
    for _ in range(count):
        place(context, new_request(context, (('subject', tokens),)))


@then('no engine got more than its {count:d} slots of them')
def check_hot(context: Context, count: int) -> None:
    """Guard against a home that takes more than its share under load."""
    assert max(context.placed.values()) <= count, context.placed


@given(
    '{alive:d} peers are alive, of which {known:d} told {calls:d} calls each '
    'at "{name}"'
)
def tell_calls(
    context: Context,
    alive: int,
    known: int,
    calls: int,
    name: str,
) -> None:
    """Hear the calls of some of the peers."""
    for number in range(known):
        load = PeerLoad(
            active=calls,
            waiting_tokens=0,
            unmovable=0,
            received_at=NOW,
        )
        context.selector.load_of(name).update_peer_load(f'peer{number}', load)
    context.selector.peer_coverage.update(alive, known)


@then('{count:d} calls of peers are counted at "{name}"')
@then('{count:d} calls of peers are counted at "{name}" after {ms:d} ms')
def check_peers(context: Context, count: int, name: str, ms: int = 0) -> None:
    """Compare the calls that are counted beside the router's own."""
    found = context.selector.load_of(name).active_calls(Millis(NOW + ms))
    assert found == count, found


@given('the cache events of the engine {heard}')
def hear_events(context: Context, heard: str) -> None:
    """Follow the engine or not."""
    if heard == 'are heard':
        context.selector.followed.add('s0')


@then('the second prompt of {tokens:d} shared tokens {outcome}')
def check_second(context: Context, tokens: int, outcome: str) -> None:
    """Guard against shared parts that are read again though they are kept."""
    parts = (('subject', tokens),)
    place(context, new_request(context, parts))
    found = place(context, new_request(context, parts)).placement
    assert (found.kv_fetch_endpoint is not None) is (outcome == 'is fetched')


@given('{peers:d} peers told {ms:d} ms ago that "{name}" is silent')
def tell_silence(context: Context, peers: int, ms: int, name: str) -> None:
    """Hear that the calls of peers wait at a server."""
    for number in range(peers):
        load = context.selector.load_of(name)
        load.record_unresponsive_report(f'peer{number}', Millis(NOW - ms))


@given('this router heard from "{name}" {ms:d} ms ago')
def hear_server(context: Context, name: str, ms: int) -> None:
    """Note a sign of life."""
    context.selector.load_of(name).last_activity_at = Millis(NOW - ms)


@then('server "{name}" got {count:w} calls')
def check_silent_calls(context: Context, name: str, count: str) -> None:
    """Guard against many routers that each lose a call to a silent server."""
    assert bool(context.placed[name]) is (count == 'some'), context.placed


@given(
    'peers have calls of {tokens:d} tokens of memory at "{name}", of which '
    'none waits'
)
def fill_memory(context: Context, tokens: int, name: str) -> None:
    """Hear of the memory that peers take; the parts are at this engine."""
    load = PeerLoad(
        active=1,
        waiting_tokens=0,
        unmovable=0,
        kv_tokens=tokens,
        received_at=NOW,
    )
    context.selector.load_of(name).update_peer_load('peer', load)
    context.selector.cache.add(name, '1/', 'subject')


@then('a prompt of {tokens:d} shared tokens goes to "{server}"')
def check_memory(context: Context, tokens: int, server: str) -> None:
    """Guard against an engine whose memory many routers fill together."""
    request = new_request(context, (('subject', tokens),))
    found = place(context, request).placement
    assert found.server.server_id == server


@given(
    'the versions 2, 3 and 4 were named {ms:d} ms ago and {apart:d} ms apart '
    'since'
)
def name_versions(context: Context, ms: int, apart: int) -> None:
    """Name versions in quick succession, none of which is loaded."""
    target_history = tuple(
        ObservedTarget(
            version=version, observed_at=Millis(NOW - ms + step * apart)
        )
        for step, version in enumerate((2, 3, 4))
    )
    view = dataclasses.replace(
        context.selector.view,
        target_history={MODEL: target_history},
    )
    context.selector.update_fleet_view(view)
