"""Prepares the exchange of one attempt with its backend server."""

from collections.abc import Callable
from dataclasses import replace

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import AnswerOwner, OwnerDecision, ResponseHead
from yuccagauge.dispatch.connection import ResponseUser
from yuccagauge.dispatch.exchange import Confirmation, Exchange
from yuccagauge.dispatch.pool import ConnectionPool
from yuccagauge.dispatch.witness import WitnessedPool
from yuccagauge.relay.answers import find_owner
from yuccagauge.relay.base import AttemptRequest, Placement, RelayCall
from yuccagauge.relay.context import RelayContext
from yuccagauge.telemetry.journal import log_decision


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
    message = context.backend_protocol.encode_attempt(attempt)

    def decide(head: ResponseHead) -> OwnerDecision:
        return _find_owner(head, call, placement, context)

    return Exchange(
        pool,
        placement.server.endpoint,
        replace(message, find_owner=decide),
        user,
        may_send,
        confirm,
    )


def _find_owner(
    head: ResponseHead,
    call: RelayCall,
    placement: Placement,
    context: RelayContext,
) -> OwnerDecision:
    """Return which request an answer belongs to; log one of another."""
    request_id = call.fields.request_id
    marks = context.backend_protocol.parse_marks(head, request_id)
    decision = find_owner(marks)
    if decision.owner is not AnswerOwner.REQUEST:
        log_decision(
            'answer_not_owned',
            request_id,
            server=placement.server.server_id,
            owner=decision.owner.value,
            marks=decision.reason,
            framing=head.framing.value,
        )
    return decision
