"""Steps for the routers that read the store for others."""

from behave import given, then, when
from behave.runner import Context

from features.steps.directory_steps import start_follower
from yuccagauge.clock import Millis
from yuccagauge.directory.readpolicy import (
    READERS_PER_FLEET,
    ReadLimits,
    is_reader,
    is_recorder,
    read_delay,
    read_wait,
)
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Topic

_NOW = Millis(11_000)


def _write(context: Context, server: str, *, removes: bool = False) -> None:
    directory = context.directory
    next_offset = directory.next_offset(Topic.SERVERS)
    value = None if removes else f'{next_offset}'.encode()
    record = KeyedRecord(key=server, offset=next_offset, value=value)
    directory.apply_records(Topic.SERVERS, (record,), next_offset + 1, _NOW)


@when(
    'the entries of "{servers}" are written, and then "{server}" {count:d} '
    'times with the same values'
)
def write_entries(
    context: Context,
    servers: str,
    server: str,
    count: int,
) -> None:
    """Write entries that differ in their bytes but not in their values."""
    for each in servers.split():
        _write(context, each)
    for _ in range(count):
        _write(context, server)


@when('the entry of "{server}" is removed after all other records')
def remove_last(context: Context, server: str) -> None:
    """Append the removal of an entry to the topic."""
    _write(context, server, removes=True)


@then('a peer without records gets the entries of "{servers}"')
def check_all(context: Context, servers: str) -> None:
    """Guard against entries that are withheld from a new router."""
    found = context.directory.changes_since(Topic.SERVERS, 0)
    assert sorted(record.key for record in found) == servers.split()


@then('a peer that has all but the last {count:d} records gets none')
def check_none(context: Context, count: int) -> None:
    """Guard against sending entries that repeat known values."""
    next_offset = context.directory.next_offset(Topic.SERVERS) - count
    assert not context.directory.changes_since(Topic.SERVERS, next_offset)


@then(
    'a peer that has all but the last {count:d} records gets the entries of '
    '"{servers}"'
)
def check_some(context: Context, count: int, servers: str) -> None:
    """Guard against a removal that is not sent to peers."""
    next_offset = context.directory.next_offset(Topic.SERVERS) - count
    found = context.directory.changes_since(Topic.SERVERS, next_offset)
    assert [record.key for record in found] == servers.split()


@given('data centres of {routers:d} routers')
def name_routers(context: Context, routers: int) -> None:
    """Name the routers of one data centre."""
    context.names = frozenset(f'r{number}' for number in range(routers))


@given(
    'data centres of {routers:d} routers, and changes that must be in force '
    'after {bound:d} ms'
)
def name_bounded_routers(context: Context, routers: int, bound: int) -> None:
    """Name the routers of one data centre, and set the limits of reads."""
    name_routers(context, routers)
    context.limits = ReadLimits.from_bounds(Millis(bound), Millis(bound))


def _readers(names: frozenset[str]) -> set[str]:
    """Return the readers of a data centre with these routers."""
    data_centres = dict.fromkeys(names, 'a')
    return {name for name in names if is_reader(name, data_centres)}


@then(
    'in each, {count:d} routers read the store, and others replace them if '
    'they fail'
)
def check_readers(context: Context, count: int) -> None:
    """Guard against a data centre without readers."""
    readers = _readers(context.names)
    assert len(readers) == count
    left = context.names - readers
    assert len(_readers(left)) == min(count, len(left))


@then(
    'of {centres:d} such data centres, {count:d} routers record events, '
    '{readers:d} of which read the store'
)
def check_recorders(
    context: Context, centres: int, count: int, readers: int
) -> None:
    """Guard against events that nobody records, or all routers."""
    names = [
        frozenset(f'{number}{name}' for name in context.names)
        for number in range(centres)
    ]
    centre_of = {
        name: str(number)
        for number, members in enumerate(names)
        for name in members
    }
    recorders = {
        name for name in centre_of if is_recorder(name, centre_of, count)
    }
    reading = set().union(*map(_readers, names))
    assert len(recorders) == count, recorders
    assert len(recorders & reading) == readers, recorders


@then(
    'for {topic:w} a router that is {reader:w} reader and whose records were '
    'confirmed {age:d} ms ago reads after {outcome:d} ms'
)
def check_read_delay(
    context: Context,
    topic: str,
    reader: str,
    age: int,
    outcome: int,
) -> None:
    """Check the delay of the next read."""
    readers = _readers(context.names)
    name = next(
        each for each in context.names if (each in readers) is (reader == 'a')
    )
    data_centres = dict.fromkeys(context.names, 'a')
    delay = read_delay(
        Topic[topic], name, data_centres, Millis(age), context.limits
    )
    assert delay == outcome, delay


@then('a read of {topic:w} waits {ms:d} ms')
def check_wait(context: Context, topic: str, ms: int) -> None:
    """Check the wait of a read."""
    data_centres = dict.fromkeys(context.names, 'a')
    assert read_wait(Topic[topic], data_centres, context.limits) == ms


@then(
    'all routers of a data centre read at most {calls:d} times a second while '
    'their records are recent'
)
def check_read_rate(context: Context, calls: int) -> None:
    """Guard against calls to the store that grow with the fleet."""
    limits = context.limits
    data_centres = dict.fromkeys(context.names, 'a')
    wait = read_wait(Topic.OPERATIONS, data_centres, limits)
    rate = 1000 / wait + 1000 / limits.server_read_interval
    assert rate * len(_readers(context.names)) <= calls, rate


@given(
    '{centres:d} data centres of {routers:d} routers, and changes that must '
    'be in force after {bound:d} ms'
)
def name_fleet(
    context: Context, centres: int, routers: int, bound: int
) -> None:
    """Name the routers of several data centres."""
    context.limits = ReadLimits.from_bounds(Millis(bound), Millis(bound))
    context.centre_of = {
        f'r{centre}-{number}': str(centre)
        for centre in range(centres)
        for number in range(routers)
    }


@then(
    'all routers together read at most {calls:g} times a second while their '
    'records are recent'
)
def check_fleet_rate(context: Context, calls: float) -> None:
    """Guard against calls to the store that grow with the fleet."""
    rate: float = 0
    for topic in Topic:
        wait = context.limits.server_read_interval
        if topic is Topic.OPERATIONS:
            wait = read_wait(topic, context.centre_of, context.limits)
        rate += sum(
            1000 / wait
            for delay in _delays(context, topic, age=1).values()
            if not delay
        )
    assert 0 < rate <= calls, rate


def _delays(context: Context, topic: Topic, age: int) -> dict[str, Millis]:
    """Return how long each router relies on records of an age."""
    return {
        name: read_delay(
            topic, name, context.centre_of, Millis(age), context.limits
        )
        for name in context.centre_of
    }


@then(
    '{servers:d} routers always read SERVERS, and {operations:d} always read '
    'OPERATIONS'
)
def check_always(context: Context, servers: int, operations: int) -> None:
    """Count the routers that read though their records are recent."""
    always = {
        topic: sum(
            not delay for delay in _delays(context, topic, age=1).values()
        )
        for topic in Topic
    }
    assert always == {Topic.SERVERS: servers, Topic.OPERATIONS: operations}


@then(
    'as records of {topic:w} become old, {readers:d} of its routers read them '
    'after {early:d} ms, and all after {late:d} ms'
)
def check_replacement(
    context: Context, topic: str, readers: int, early: int, late: int
) -> None:
    """Guard against readers that nobody replaces, or all routers at once."""
    due = {
        age: sum(
            not delay for delay in _delays(context, Topic[topic], age).values()
        )
        for age in (early - 1, early, late - 1, late)
    }
    assert due[early - 1] <= READERS_PER_FLEET, due
    assert due[early] == due[late - 1] == readers, due
    assert due[late] == len(context.centre_of), due


@given('it awaits evidence that servers live')
def await_evidence(context: Context) -> None:
    """Let the follower read what peers have sent already."""
    context.follower.reads_again = lambda: True


@when('the keys "{keys}" are written and a peer sends all but their entries')
def write_behind_offset(context: Context, keys: str) -> None:
    """Move the offset of the directory past records that nobody has read."""
    # Answers the read that is waiting.
    context.flaky.write('c')
    context.reactor.advance(0)
    for key in keys.split():
        context.flaky.write(key)
    end = len(context.flaky.records)
    context.directory.apply_records(Topic.SERVERS, (), end, Millis(0))


@then('the next read notes the entries of "{keys}"')
def check_next_read(context: Context, keys: str) -> None:
    """Guard against heartbeats that are skipped, so that crashes stay."""
    context.reactor.advance(5)
    missing = set(keys.split()) - set(context.entries)
    assert not missing, context.entries


@when(
    'peers send recent records for {seconds:d} s and the store gets the key '
    '"{key}"'
)
def delay_reads(context: Context, seconds: int, key: str) -> None:
    """Delay the follower's reads, and let it read again afterwards."""
    delays = [Millis(500)]
    context.follower.read_delay = lambda: delays[0]
    # Completes the read that is already waiting.
    context.flaky.write('b')
    before = len(context.flaky.reads)
    for _ in range(seconds * 5):
        context.reactor.advance(0.2)
    context.reads = len(context.flaky.reads) - before
    delays[0] = Millis(0)
    context.flaky.write(key)
    for _ in range(10):
        context.reactor.advance(0.2)


@then('the follower made at most {count:d} read meanwhile')
def check_reads(context: Context, count: int) -> None:
    """Guard against reads of records that peers send anyway."""
    assert context.reads <= count, context.reads


@when('a read is answered {ms:d} ms after it was sent')
def answer_late(context: Context, ms: int) -> None:
    """Answer the waiting read after a time."""
    context.reactor.advance(1)
    context.clock.advance(Millis(ms))
    context.flaky.write('c')


@then('the store confirmed the topic {ms:d} ms ago')
def check_confirmed(context: Context, ms: int) -> None:
    """Guard against dating a delayed answer by its arrival.

    A router that was suspended receives an old answer when it resumes.
    """
    now = context.clock.now()
    assert now - context.follower.confirmed_at == ms


@given('a follower of a store with the keys "{keys}", whose entries are noted')
def note_entries(context: Context, keys: str) -> None:
    """Note the entries that a follower takes for signs of life."""
    context.entries = {}
    start_follower(context, keys, context.entries.__setitem__)


@then('no entry is noted')
def check_no_entry(context: Context) -> None:
    """Guard against a listing that seems to be written at that moment."""
    assert not context.entries, context.entries


@then('the entry of "{key}" is noted as written later than {ms:d} ms ago')
def check_entry(context: Context, key: str, ms: int) -> None:
    """Check the time after which the entry was written."""
    assert context.clock.now() - context.entries[key] == ms, context.entries


@then('the entry of "{key}" is not noted')
def check_entry_missing(context: Context, key: str) -> None:
    """Guard against an entry that was listed after a gap."""
    assert key not in context.entries, context.entries


@then('the store was listed {count:d} times')
def check_listings(context: Context, count: int) -> None:
    """Guard against listings that lead to the same gap again and again."""
    assert context.flaky.listings == count, context.flaky.listings
