"""Steps for the attempts of calls on a server."""

import types

from behave import given, then, when
from behave.runner import Context

from features.directory_fixtures import service_spec
from yuccagauge.quarantine.base import QuarantineStatus
from yuccagauge.relay.attempt import AttemptTracker
from yuccagauge.relay.base import Placement
from yuccagauge.selection.base import SelectionRequest

_SUSPECT = b'suspect'
_OTHER = b'other'


def _selection_request(context: Context, call_id: str) -> SelectionRequest:
    now = context.fixture.relay_context.clock.now()
    return SelectionRequest(
        call_id=call_id,
        service=service_spec('plain'),
        received_at=now,
        objective_at=now,
        deadline=now,
        first_output_deadline=now,
    )


@given('two attempts of a suspect request run on the server')
def start_attempts(context: Context) -> None:
    """Start two attempts of a request that has crashed servers before."""
    relay_context = context.fixture.relay_context
    now = relay_context.clock.now()
    for crash in ('one', 'two'):
        relay_context.quarantine.record_crash(_SUSPECT, crash, now)
        relay_context.quarantine.record_crash(_OTHER, crash, now)
    assert (
        relay_context.quarantine.status(_SUSPECT, now)
        is QuarantineStatus.SUSPECT
    )
    context.endpoint = context.fixture.selector.view.servers['i0'].endpoint
    server = context.fixture.selector.view.servers['i0']
    context.attempts = [
        AttemptTracker(
            types.SimpleNamespace(fingerprint=_SUSPECT, shared_part_ids=()),
            _selection_request(context, call_id),
            Placement(server=server),
            relay_context,
            is_movable=False,
        )
        for call_id in ('c1', 'c2')
    ]


@when('one attempt ends, and then its call ends')
def end_one(context: Context) -> None:
    """End an attempt, and release it again as the end of its call does."""
    attempt = context.attempts.pop()
    attempt.end_attempt(failed=False)
    attempt.release_slot()


@when('the other attempt ends')
def end_other(context: Context) -> None:
    """End the remaining attempt."""
    context.attempts.pop().end_attempt(failed=False)


def _is_avoided_by_suspects(context: Context) -> bool:
    relay_context = context.fixture.relay_context
    now = relay_context.clock.now()
    return (
        context.endpoint
        in relay_context.quarantine.engines_with_other_suspects(_OTHER, now)
    )


@then('other suspects still avoid the server')
def check_still_avoided(context: Context) -> None:
    """Guard against two suspects on one server.

    If it crashed, the crash would count against both requests. An attempt
    that is released twice would allow this.
    """
    assert _is_avoided_by_suspects(context)


@then('other suspects may run on the server')
def check_no_longer_avoided(context: Context) -> None:
    """Guard against a server that suspects avoid forever.

    An attempt that is not released would cause this.
    """
    assert not _is_avoided_by_suspects(context)
