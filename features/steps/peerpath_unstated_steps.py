"""Steps for peers that carry streams to engines that restart."""

from behave import given, then
from behave.runner import Context

from features.crash_fleet import router_host
from features.memory_network import ConnectFate

#: Streams without which a scenario shows nothing.
_COUNTED_FROM = 20


@given('{count:d} routers are refused all connections to engines')
def refuse_connections(context: Context, count: int) -> None:
    """Reset the connections of some routers to engines, and refuse new ones."""
    fleet = context.fleet
    context.cut = {router_host(each) for each in fleet.router_names[:count]}
    engines = {engine.host for engine in fleet.servers}

    def fate(source: str, host: str) -> ConnectFate:
        is_cut = source in context.cut and host in engines
        return ConnectFate.REFUSED if is_cut else ConnectFate.OPENED

    fleet.network.connect_fate = fate
    for router in sorted(context.cut):
        for engine in sorted(engines):
            fleet.network.reset_between(router, engine)


@then('streams have events that only peers can have carried')
def check_carried(context: Context) -> None:
    """Guard against a scenario in which no peer carries a stream."""
    carried = [
        attempt
        for attempt in context.fleet.attempts
        if attempt.has_event and attempt.transport.getPeer().host in context.cut
    ]
    resumed = [attempt for attempt in carried if attempt.is_resumption]
    assert len(carried) >= _COUNTED_FROM, len(carried)
    assert resumed or all(each.is_complete for each in context.fleet.streams)
