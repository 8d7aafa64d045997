"""Steps for streams that engines break off."""

from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from features.breaking_fleet import BreakingFleet
from features.steps.relay_silent_steps import retry_budget
from features.version_fleet import EVENTS
from yuccagauge.relay import relay, report

_RUNS = {'once': 1, 'twice': 2}

#: Ends of engines under a request after which it is refused.
_REFUSED_ENDS = 3


@given('the retry budget of the engines is {state}')
def engine_retry_budget(context: Context, state: str) -> None:
    """Spend all retries that the router may make at its engines, or none."""
    context.service = 'model'
    retry_budget(context, state)


@then('the log has a broken call that was not sent again for "{reason}"')
def check_reason(context: Context, reason: str) -> None:
    """Guard against a log that does not tell why a stream did not go on."""
    context.caller.read_all()
    name, fields = context.log_lines[-1]
    found = (name, fields['outcome'], fields['not_resent'])
    assert found == ('call_ended', 'server_broke', reason), fields


@given(
    'a fleet of which an engine ends every second, with {slack:d} more retries'
    ' and the seed {seed:d}'
)
def start_fleet(context: Context, slack: int, seed: int) -> None:
    """Start the routers and the engines."""
    _record_calls(context)
    context.fleet = BreakingFleet(slack, seed)


def _record_calls(context: Context) -> None:
    """Record the calls that end or are refused, with what engines know then."""
    context.ended_calls = []
    context.refused_ends = []
    write = report.log_decision

    def record(name: str, request_id: str, **fields: Any) -> None:
        write(name, request_id, **fields)
        fleet = context.fleet
        if name == 'call_ended':
            context.ended_calls.append((fleet.runs[request_id], fields))
        if 'crashes_servers' in {fields.get('outcome'), fields.get('code')}:
            stream = fleet.streams_by_request[request_id]
            context.refused_ends.append(len(stream.ended_processes))

    for module in (report, relay):
        patch = mock.patch.object(module, 'log_decision', record)
        patch.start()
        context.add_cleanup(patch.stop)


@when('streams are sent for {seconds:d} s')
def play(context: Context, seconds: int) -> None:
    """Send streams, and let callers come back."""
    context.fleet.play(seconds)


@then('the streams that ran {times} are over because of "{reasons}"')
def check_reasons(context: Context, times: str, reasons: str) -> None:
    """Guard against streams that another engine could have gone on with.

    A request that no engine got, as the one chosen had ended, is no run.
    """
    broken = [
        (runs, fields['not_resent'] or fields['outcome'])
        for runs, fields in context.ended_calls
        if fields['answer_begun'] and fields['outcome'] != 'answered'
    ]
    assert {runs for runs, _ in broken} <= set(_RUNS.values()), broken
    found = [reason for runs, reason in broken if runs == _RUNS[times]]
    assert found
    assert set(found) <= set(reasons.split()), found


@then('each stream that is refused for crashes had 3 engines end under it')
def check_refused(context: Context) -> None:
    """Guard against sound streams that are refused as if they ended engines."""
    found = context.refused_ends
    assert found
    assert all(ends >= _REFUSED_ENDS for ends in found), found


@then('each stream has all events up to its last one')
def check_events(context: Context) -> None:
    """Guard against streams that look complete and are not."""
    streams = context.fleet.streams
    assert any(stream.is_complete for stream in streams)
    for stream in streams:
        assert len(stream.versions) == stream.last_event, stream
        assert not stream.is_complete or stream.last_event == EVENTS, stream
