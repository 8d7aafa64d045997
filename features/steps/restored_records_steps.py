"""Steps for what routers know after the store came back from a copy."""

import json

from behave import given, then, when
from behave.runner import Context

from features.relay_fixture import KEY, configuration
from features.restored_fleet import RestoredFleet
from yuccagauge.directory.state import Directory

_WARM_UP_S = 6.0

_CHECK_S = 0.05

_ENDED = 'ended'


def _directories(fleet: RestoredFleet) -> dict[str, Directory]:
    return {
        name: fleet.router(name)._directory  # noqa: SLF001
        for name in fleet.router_names
    }


def _run(context: Context, seconds: float) -> None:
    """Pass time, and note what each router knows."""
    fleet = context.fleet
    for _ in range(round(seconds / _CHECK_S)):
        fleet.run(_CHECK_S)
        for name, directory in _directories(fleet).items():
            found = (
                directory.configuration.version,
                max(directory.targets.values(), default=0),
            )
            context.seen.setdefault(name, []).append(found)
            living = {server.server_id for server in fleet.servers}
            context.missed |= living - directory.servers.keys()


def _write_configuration(context: Context, key: str = KEY) -> None:
    document = configuration()
    context.version += 2
    document['version'] = context.version
    document['tenants'][0]['apiKeys'] = [key]
    context.fleet.store.append_configuration(document)


@given(
    '{routers:d} routers before {engines:d} engines, and {lost:d} '
    'configurations in the last {seconds:d} s'
)
def start_fleet(
    context: Context, routers: int, engines: int, lost: int, seconds: int
) -> None:
    """Let the operator write what will be lost."""
    context.fleet = RestoredFleet(routers, engines)
    context.seen = {}
    context.missed = set()
    context.version = configuration()['version']
    context.fleet.run(_WARM_UP_S)
    for _ in range(lost):
        _run(context, seconds / (lost + 1))
        _write_configuration(context)
    context.fleet.name_weights(2)
    _run(context, seconds / (lost + 1))


@given(
    'an engine that lives and one that has ended wrote their first entries '
    '{seconds:d} s ago'
)
def add_engines(context: Context, seconds: int) -> None:
    """Add an engine, and the entry of one that is gone."""
    fleet = context.fleet
    added = fleet.server_type(fleet, len(fleet.servers))
    added.start()
    entry = added.entry_document()
    fleet.store.append_entry(_ENDED, json.dumps(entry).encode())
    fleet.run(seconds)
    fleet.servers.append(added)
    for directory in _directories(fleet).values():
        assert _ENDED in directory.servers


@when(
    'the store goes away for {away:g} s, loses {age:g} s, and the operator '
    'writes {what} of them again'
)
def restore(context: Context, away: float, age: float, what: str) -> None:
    """Let the store come back from a copy."""
    context.fleet.restore_store(age, away, rewrites_all=what == 'all')
    _run(context, away + _CHECK_S)


@when('{seconds:d} s later a configuration takes the key of a customer away')
def take_key(context: Context, seconds: int) -> None:
    """Take a key away, which is in force soon."""
    _run(context, seconds)
    _write_configuration(context, 'other')


@when('{seconds:d} s pass')
def pass_time(context: Context, seconds: int) -> None:
    """Pass time."""
    _run(context, seconds)


@then('all routers have that configuration within {seconds:d} s')
def check_configuration(context: Context, seconds: int) -> None:
    """Guard against a key that goes on working."""
    _run(context, seconds)
    keys = {
        name: sorted(directory.configuration.customer_by_api_key)
        for name, directory in _directories(context.fleet).items()
    }
    versions = {name: seen[-1][0] for name, seen in context.seen.items()}
    assert set(versions.values()) == {context.version}, versions
    assert not any(KEY in found for found in keys.values()), keys


@then('no router went back to an older configuration or target')
def check_order(context: Context) -> None:
    """Guard against a router that undoes what it knew."""
    for name, seen in context.seen.items():
        for index in range(2):
            values = [found[index] for found in seen]
            assert values == sorted(values), (name, values)


@then(
    'no router has missed an engine that lives, and none has the one that ended'
)
def check_engines(context: Context) -> None:
    """Compare what routers know with the engines that run."""
    assert not context.missed, context.missed
    stale = {
        name
        for name, directory in _directories(context.fleet).items()
        if _ENDED in directory.servers
    }
    assert not stale, stale
