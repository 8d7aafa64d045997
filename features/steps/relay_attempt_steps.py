"""Steps for the attempts of calls at a server."""

import types

from behave import given, then, when
from behave.runner import Context

from features.directory_fixtures import service_spec
from yuccagauge.quarantine.base import QuarantineStatus
from yuccagauge.relay.attempt import RunningAttempt
from yuccagauge.relay.base import Placement
from yuccagauge.selection.base import SelectionRequest

_SUSPECT = b'suspect'
_OTHER = b'other'


def _selection_request(context: Context, call_id: str) -> SelectionRequest:
    now = context.path.around.clock.now()
    return SelectionRequest(
        call_id=call_id,
        service=service_spec('plain'),
        received_at=now,
        objective_at=now,
        deadline=now,
        first_output_deadline=now,
    )


@given('two attempts of a suspect request run at the server')
def start_attempts(context: Context) -> None:
    """Start attempts of equal requests that have crashed servers before."""
    around = context.path.around
    now = around.clock.now()
    for crash in ('one', 'two'):
        around.quarantine.record_crash(_SUSPECT, crash, now)
        around.quarantine.record_crash(_OTHER, crash, now)
    assert around.quarantine.status(_SUSPECT, now) is QuarantineStatus.SUSPECT
    context.endpoint = context.path.selector.view.servers['i0'].endpoint
    server = context.path.selector.view.servers['i0']
    context.attempts = [
        RunningAttempt(
            types.SimpleNamespace(fingerprint=_SUSPECT),
            _selection_request(context, call_id),
            Placement(server=server),
            around,
            is_movable=False,
        )
        for call_id in ('c1', 'c2')
    ]


@when('one of them ends, and its call after it')
def end_one(context: Context) -> None:
    """End an attempt, and free it again with its call."""
    attempt = context.attempts.pop()
    attempt.end(failed=False)
    attempt.forget()


@when('the other one ends')
def end_other(context: Context) -> None:
    """End the last attempt."""
    context.attempts.pop().end(failed=False)


def _occupied(context: Context) -> bool:
    around = context.path.around
    now = around.clock.now()
    return context.endpoint in around.quarantine.engines_with_other_suspects(
        _OTHER, now
    )


@then('other suspects are still kept from the server')
def check_kept(context: Context) -> None:
    """Guard against two suspects at one server, which blame each other."""
    assert _occupied(context)


@then('other suspects may run at the server')
def check_free(context: Context) -> None:
    """Guard against a server that is kept from suspects for ever."""
    assert not _occupied(context)
