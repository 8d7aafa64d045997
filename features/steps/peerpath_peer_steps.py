"""Steps for the states of a peer in which it refuses to carry."""

from collections.abc import Callable

from behave import given
from behave.runner import Context

from yuccagauge.clock import SystemClock
from yuccagauge.peerpath import carrier as carrier_module
from yuccagauge.peerpath.reach import Loss


def _stop_accepting(context: Context) -> None:
    context.carrier.stop_accepting()


def _fill(context: Context) -> None:
    context.carrier._paths.update(range(carrier_module.MAXIMUM_CARRIED))


def _lose_direct_way(context: Context) -> None:
    now = SystemClock().now()
    context.reach.record_loss(context.server, Loss.REFUSED, now)


def _refuse_calls(context: Context) -> None:
    context.carrier.refuses_calls = lambda server: True


def _remove_server(context: Context) -> None:
    known = context.carrier._directory
    removed = known.servers.pop('s1')
    known.removed_servers = lambda now: (removed,)


#: What makes a peer refuse.
_STATES: dict[str, Callable[[Context], None]] = {
    'is as it was': lambda context: None,
    'is stopping': _stop_accepting,
    'carries as many as it may': _fill,
    'has lost its direct way': _lose_direct_way,
    'was told by it to wait': _refuse_calls,
    'knows that it was removed': _remove_server,
}


@given('the peer {state}')
def given_state(context: Context, state: str) -> None:
    """Make the peer refuse."""
    _STATES[state](context)
