"""Prepares the exchange of one attempt with its backend server."""

from collections.abc import Callable

from yuccagauge.clock import Millis
from yuccagauge.dispatch.connection import ResponseUser
from yuccagauge.dispatch.exchange import Confirmation, Exchange
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.witness import WitnessedPool
from yuccagauge.relay.base import AttemptRequest, Placement, RelayCall
from yuccagauge.relay.context import RelayContext


def open_exchange(
    call: RelayCall,
    placement: Placement,
    last_event_id: str,
    context: RelayContext,
    user: ResponseUser,
    pool: ConnectionPool | WitnessedPool,
    may_send: Callable[[], bool],
    confirm: Confirmation,
) -> Exchange:
    """Return the exchange of an attempt, which is not started.

    Parameters
    ----------
    last_event_id
        The last event that the caller has; empty for the whole answer.
    user
        Receives the response.
    pool
        Opens the connection.
    may_send
        Called before the request is sent; returns whether it may be.
    confirm
        Asks which process a connection leads to.
    """
    attempt = AttemptRequest(
        call=call,
        placement=placement,
        timeout=Millis(max(1, call.deadline - context.clock.now())),
        priority=call.priority,
        last_event_id=last_event_id,
    )
    return Exchange(
        pool,
        placement.server.endpoint,
        context.backend_protocol.encode_attempt(attempt),
        user,
        may_send,
        confirm,
    )
