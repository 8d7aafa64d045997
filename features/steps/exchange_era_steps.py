"""Steps for eras of the store in exchanges between routers."""

from behave import given, then, when
from behave.runner import Context

from features.steps.directory_steps import PlainDecoder
from yuccagauge.clock import Millis
from yuccagauge.directory.records import KeyedRecord
from yuccagauge.directory.state import Directory, Topic
from yuccagauge.exchange import parts
from yuccagauge.wire import codec
from yuccagauge.wire.fleetmessages import FleetMark

_NOW = Millis(0)


@given(
    'a router that knows the servers "{servers}" from offset 0 on, in era '
    '{era:d}'
)
def create_directory(context: Context, servers: str, era: int) -> None:
    """Apply one record for each server."""
    records = tuple(
        KeyedRecord(key=server, offset=offset, value=b'{}')
        for offset, server in enumerate(servers.split())
    )
    context.directory = Directory(PlainDecoder())
    context.directory.begin_era(Topic.SERVERS, era, _NOW)
    context.directory.apply_listing(Topic.SERVERS, records, len(records), _NOW)


@when('a peer names the offset {offset:d} of era {era:d}')
def name_offset(context: Context, offset: int, era: int) -> None:
    """Build what the peer gets."""
    topic = Topic.SERVERS
    marks = (FleetMark(topic=topic.value, mark=offset, age_ms=0, era=era),)
    context.records = parts.records(context.directory, marks)
    context.mark = parts.marks(context.directory, {topic: Millis(0)}, marks)[0]


@then('it gets the servers "{servers}", as a whole listing: {whole:w}')
def check_sent(context: Context, servers: str, whole: str) -> None:
    """Compare the records, and what the mark says of them."""
    expected = [] if servers == 'none' else servers.split()
    assert [record.key for record in context.records] == expected
    assert context.mark.is_listing is (whole == 'yes'), context.mark
    assert (context.mark.era, context.mark.mark) == (5, 3), context.mark


@then('a mark that was encoded without an era has the era {era:d}')
def check_default(context: Context, era: int) -> None:
    """Guard against a default by which an older build names an era."""
    struct = codec._struct(FleetMark).new_message(mark=3)  # noqa: SLF001
    mark = codec._read(struct, FleetMark)  # noqa: SLF001
    assert (mark.mark, mark.era, mark.is_listing) == (3, era, False), mark
