"""Steps for what a router knows of the rate limit of a server."""

from behave import given, then, when
from behave.runner import Context

from yuccagauge.clock import Millis
from yuccagauge.dispatch.base import ResponseHead
from yuccagauge.platform.requests import PlatformBackendProtocol
from yuccagauge.ratelimit.limits import LimitReport, ServerLimits

_SERVER = 's0'
_NO_LIMIT = 'none'

#: When the first answer of the scenarios arrives.
_FIRST_NAMED_AT = Millis(1000)


@when('a server states the limits {stated}')
def state_limits(context: Context, stated: str) -> None:
    """Parse an answer with a limit in each of its headers of that name."""
    texts = {'no': [], 'empty': ['']}.get(stated, stated.split())
    head = ResponseHead(
        status=200,
        headers=tuple(
            (b'Server-Limit', text.encode('latin-1')) for text in texts
        ),
    )
    context.info = PlatformBackendProtocol().parse_head(head)


@then('the limit is read as {limit}')
def check_parsed(context: Context, limit: str) -> None:
    """Guard against a limit that stops the router or lifts all bounds."""
    info = context.info
    is_malformed = bool(info.malformed_rate_limit)
    assert is_malformed == (limit == 'malformed'), info
    expected = None if limit in {'malformed', _NO_LIMIT} else float(limit)
    assert info.rate_limit == expected, info


@given('a server that named a limit of {limit:g} at {at:d}')
def name_limit(context: Context, limit: float, at: int) -> None:
    """Start with one answer that names a limit."""
    context.limits = ServerLimits()
    context.limits.record_answer(_SERVER, limit, Millis(at - 10), Millis(at))


@when('it answers with a malformed limit')
def answer_malformed(context: Context) -> None:
    """Record a malformed limit twice."""
    context.limits.record_malformed(_SERVER, 'nan')
    context.limits.record_malformed(_SERVER, 'nan')


@when('an answer without a limit to a call of {sent:d} arrives at {at:d}')
def answer_without(context: Context, sent: int, at: int) -> None:
    """Record an answer without a limit."""
    context.limits.record_answer(_SERVER, None, Millis(sent), Millis(at))


@when('a peer reports a limit of {limit:g} named {age:d} ms before {at:d}')
def report_limit(context: Context, limit: float, age: int, at: int) -> None:
    """Merge the report of a limit."""
    report = LimitReport(server_id=_SERVER, per_second=limit, age=Millis(age))
    context.limits.merge_report(report, 'peer', Millis(at))


@when(
    'peers report a limit of {limit:g} named 0 ms before each ms from '
    '{start:d} to {end:d}'
)
def report_often(context: Context, limit: float, start: int, end: int) -> None:
    """Merge one report each ms."""
    for at in range(start, end):
        report_limit(context, limit, 0, at)


@when('a peer reports that it named none {age:d} ms before {at:d}')
def report_end(context: Context, age: int, at: int) -> None:
    """Merge the report of an end."""
    report = LimitReport(server_id=_SERVER, per_second=None, age=Millis(age))
    context.limits.merge_report(report, 'peer', Millis(at))


@when('it restarts')
def restart(context: Context) -> None:
    """Forget the server as after a restart."""
    context.limits.forget((_SERVER,))


@then('its limit has changed once')
def check_changed_once(context: Context) -> None:
    """Guard against a limit that flaps between two roundings."""
    assert context.limits.changed_at(_SERVER) == _FIRST_NAMED_AT


@when('an answer {status:d} with the headers {headers} arrives')
def parse_answer(context: Context, status: int, headers: str) -> None:
    """Parse an answer."""
    pairs = (text.split(': ') for text in headers.split('; '))
    context.info = PlatformBackendProtocol().parse_head(
        ResponseHead(
            status=status,
            headers=tuple(
                (name.encode(), value.encode()) for name, value in pairs
            ),
        )
    )


@then('it shows a limit: {shows}')
def check_shows(context: Context, shows: str) -> None:
    """Guard against a limit that ends by an answer which cannot tell."""
    assert context.info.shows_rate_limit is (shows == 'yes'), context.info


@then('its limit is {limit}')
def check_limit(context: Context, limit: str) -> None:
    """Guard against a limit that is lost, or kept for too long."""
    expected = None if limit == _NO_LIMIT else float(limit)
    found = context.limits.limit_of(_SERVER)
    assert found == expected, found
