"""Steps for servers whose entries show by chance that they restarted."""

from dataclasses import replace
from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.directory_fixtures import backend_server
from yuccagauge.clock import Millis
from yuccagauge.directory.base import ServerState
from yuccagauge.selection.base import FleetView
from yuccagauge.selection.selector import Selector
from yuccagauge.settings.options import Endpoint

_MODEL = 'm'
_SCOPE = '7/'
_PART = 'p'
_REPORTED = 7

_CHANGES: dict[str, dict[str, Any]] = {
    'another address': {'endpoint': Endpoint('127.0.0.9', 9)},
    'another software': {'software_version': 'v2'},
    'another service': {'service': 'other'},
    'a start': {'started_at': 5},
    'another start': {'started_at': 5},
    'no start': {'started_at': 0},
    'the state draining': {'state': ServerState.DRAINING},
    'other weights': {'weights': {_MODEL: 6}},
}


@given(
    'an engine that states {stated} and is known to hold a part and the weights 7'
)
def start_engine(context: Context, stated: str) -> None:
    """List an engine, and learn what it has."""
    context.engine = replace(
        backend_server('e'),
        started_at=0 if stated == 'no start' else 1,
        software_version='v1',
        weights={_MODEL: 1},
    )
    context.selector = Selector('a', Millis(12_000))
    _list(context)
    context.selector.cache_map.add('e', _SCOPE, _PART)
    context.selector.load_of('e').reported_weights[_MODEL] = _REPORTED


@when('its next entry has {change}')
def change_entry(context: Context, change: str) -> None:
    """List the engine with one other value."""
    context.engine = replace(context.engine, **_CHANGES[change])
    _list(context)


@then('what was known of it is {known}')
def check_known(context: Context, known: str) -> None:
    """Guard against knowledge that passes to the next process."""
    selector = context.selector
    held = selector.cache_map.prefix_tokens(_SCOPE, ((_PART, 1),))
    version = selector.weights.version_of(context.engine, _MODEL)
    is_kept = known == 'kept'
    assert ('e' in held) is is_kept, held
    assert (version == _REPORTED) is is_kept, version


def _list(context: Context) -> None:
    context.selector.update_fleet_view(FleetView(servers={'e': context.engine}))
