"""Steps for what the stand-ins of the restart soak state of their process."""

import asyncio
import json
from collections.abc import Iterable
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.restartsoak.plan import ENGINES, plan_run
from features.restartsoak.servers import build_server
from features.restartsoak.statements import STATEMENTS, parse_statements
from review.yard import Request

_SECONDS = 12
_EPOCH = 7
_VERSIONS = ('v1', 'v2')
_PLACES = {
    'report': ('/api/report', 'born'),
    'epoch': ('/api/kv-events', 'bootEpoch'),
}


class _Kept:
    """Keeps what is written."""

    def __init__(self) -> None:
        """Have nothing."""
        self.raw = b''

    def write(self, raw: bytes) -> None:
        """Keep it."""
        self.raw += raw


def _document(server: Any, path: str) -> Any:
    """Return what an engine answers to a question about itself."""
    kept = _Kept()
    request = Request('GET', path, [], b'')
    asyncio.run(server.answer(request, None, kept))
    return json.loads(kept.raw.split(b'\r\n\r\n', 1)[1])


@given('a stand-in of the restart soak of kind "{kind}" that states "{names}"')
def given_server(context: Context, kind: str, names: str) -> None:
    """Build one that does not listen."""
    context.server = build_server(kind, '127.0.0.1', 'a', None, 1)
    context.server.states = parse_statements(names)
    context.server.epoch = _EPOCH


@then('its entry has a start: {has_start}')
def then_entry(context: Context, has_start: str) -> None:
    """Check the entry, with all else that the pages name."""
    entry = context.server.entry()
    assert ('born' in entry) == (has_start == 'yes'), entry
    assert {'service', 'address', 'zone', 'version', 'seq'} <= entry.keys()


@then('its answers have "{names}" of the start and the epoch')
def then_answers(context: Context, names: str) -> None:
    """Check the report and the cache events."""
    expected = parse_statements(names)
    for name, (path, key) in _PLACES.items():
        document = _document(context.server, path)
        assert (key in document) == (name in expected), document
    report = _document(context.server, '/api/report')
    assert {'stage', 'models', 'seq', 'active'} <= report.keys(), report


@then('no two starts of the stand-in have the same epoch')
def then_epoch(context: Context) -> None:
    """Check that the epoch does not follow from the start."""
    path, key = _PLACES['epoch']
    first = _document(context.server, path)[key]
    context.server.epoch += 1
    context.server.born += 100000
    assert _document(context.server, path)[key] != first


@when('the statements of the restart soak are chosen with seeds 1 to {last:d}')
def when_chosen(context: Context, last: int) -> None:
    """Take them from the plans."""
    seeds = range(1, last + 1)
    context.choices = [plan_run(seed, _SECONDS).choice for seed in seeds]


def _without_epoch(names: Iterable[str]) -> frozenset[str]:
    return frozenset(names) - {'epoch'}


@then('all processes of some runs state "{names}" of their start')
def then_all_state(context: Context, names: str) -> None:
    """Look for runs with the epoch and without it."""
    expected = _without_epoch(parse_statements(names))
    found = {
        'epoch' in choice.first
        for choice in context.choices
        if choice.spread == 'none' and _without_epoch(choice.first) == expected
    }
    assert found == {True, False}, found


@then('in some runs each statement is made by some servers only')
def then_by_server(context: Context) -> None:
    """Compare servers of the same software version."""
    for name in STATEMENTS:
        assert any(
            {
                name in choice.of(server, _VERSIONS[0])
                for server in range(ENGINES)
            }
            == {True, False}
            for choice in context.choices
        ), name


@then('in some runs each statement is made since an upgrade or until it')
def then_by_software(context: Context) -> None:
    """Compare software versions of the same server."""
    for name in STATEMENTS:
        found = {
            tuple(name in choice.of(0, version) for version in _VERSIONS)
            for choice in context.choices
        }
        assert {(True, False), (False, True)} <= found, (name, found)


@then('some runs remove entries of servers that live, and some do not')
def then_removals(context: Context) -> None:
    """Compare the choices."""
    found = {choice.removes_entries for choice in context.choices}
    assert found == {True, False}
