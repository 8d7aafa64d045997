"""Steps for streams that engines break off."""

from behave import given, then, when
from behave.runner import Context

from features.breaking_fleet import BreakingFleet
from features.steps.relay_continuation_steps import record_log
from features.steps.relay_silent_steps import retry_budget
from features.version_fleet import EVENTS

_SENDS = {'once': 1, 'twice': 2}


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
)
def start_fleet(context: Context, slack: int) -> None:
    """Start the routers and the engines."""
    record_log(context)
    context.fleet = BreakingFleet(slack)


@when('streams are sent for {seconds:d} s')
def play(context: Context, seconds: int) -> None:
    """Send streams, and let callers come back."""
    context.fleet.play(seconds)


@then('the streams that were sent {times} are over because of "{reasons}"')
def check_reasons(context: Context, times: str, reasons: str) -> None:
    """Guard against streams that another engine could have gone on with."""
    found = [
        fields['not_resent'] or fields['outcome']
        for name, fields in context.log_lines
        if name == 'call_ended'
        and fields['sends'] == _SENDS[times]
        and fields['answer_begun']
        and fields['outcome'] != 'answered'
    ]
    assert found
    assert set(found) <= set(reasons.split()), found


@then('each stream has all events up to its last one')
def check_events(context: Context) -> None:
    """Guard against streams that look complete and are not."""
    streams = context.fleet.streams
    assert any(stream.is_complete for stream in streams)
    for stream in streams:
        assert len(stream.versions) == stream.last_event, stream
        assert not stream.is_complete or stream.last_event == EVENTS, stream
