"""Steps for the transfer of kept KV cache."""

from typing import Any

import treq
from behave import given, then, when
from behave.runner import Context
from twisted.internet import reactor

from features.loop import wait_for, wait_for_call
from yuccagauge.clock import SystemClock
from yuccagauge.keptkv.catalogue import KeptCatalogue
from yuccagauge.keptkv.rates import ImportRate
from yuccagauge.keptkv.transfer import KeptKvTransfer
from yuccagauge.prefixes.base import CacheScope, Message, prefix_schemes
from yuccagauge.prefixes.messages import MessagesScheme
from yuccagauge.standins import load_kinds
from yuccagauge.standins.base import STANDINS

_MODEL = 'matcher-70b'
_MESSAGES = (
    Message('system', 'Clients of the port, by berth and shift. ' * 100),
    Message('user', 'Does worker 17 match?'),
)


def start(context: Context, kind: str) -> Any:
    """Start a stand-in until the scenario ends."""
    standin = STANDINS.get(kind)({})
    wait_for_call(standin.start)
    context.add_cleanup(wait_for_call, standin.close)
    return standin


def cache_scope(customer: str, version: str) -> CacheScope:
    """Return the identity of the scenario's model."""
    return CacheScope(
        customer=customer,
        model=_MODEL,
        adapter='',
        weights_version=version,
    )


def derive(customer: str, version: str) -> Any:
    """Return the prefix of the scenario's prompt."""
    scheme = prefix_schemes.get(MessagesScheme.name)()
    return scheme.derive_levels(cache_scope(customer, version), _MESSAGES)


def fetch(method: str, url: str, **options: Any) -> Any:
    """Call a stand-in; return status and document."""
    response = wait_for(
        treq.request(method, url, persistent=False, **options),
    )
    return response.code, wait_for(response.json())


@given('a kept-KV transfer with a store and two engines')
def given_transfer(context: Context) -> None:
    """Start the stand-ins and the transfer between them."""
    load_kinds()
    context.store = start(context, 'kept-kv')
    context.engines = {
        1: start(context, 'engine'),
        2: start(context, 'engine'),
    }
    context.transfer = KeptKvTransfer(
        context.store.endpoint,
        reactor,
        SystemClock(),
    )
    context.add_cleanup(wait_for_call, context.transfer.close)


@when(
    'engine {number:d} computes the prefix of customer "{customer}" '
    'at version "{version}"',
)
def when_computed(
    context: Context,
    number: int,
    customer: str,
    version: str,
) -> None:
    """Send the prompt and wait for the whole answer."""
    prefix = derive(customer, version)
    context.level = prefix.levels[prefix.stable_levels - 1]
    levels = [
        {'digest': level.digest.hex(), 'tokens': level.tokens}
        for level in prefix.levels
    ]
    body = {
        'model': _MODEL,
        'customer': customer,
        'messages': [
            {'role': message.role, 'content': message.content}
            for message in _MESSAGES
        ],
        'stream': True,
        'request_id': 'r1',
        'cache_salt': prefix.cache_scope.cache_salt,
        'prefix_levels': levels,
        'max_tokens': 2,
    }
    url = f'http://{context.engines[number].endpoint}/v1/chat/completions'
    response = wait_for(treq.post(url, json=body, persistent=False))
    assert response.code == 200, response.code
    assert b'[DONE]' in wait_for(response.content())


@when('the level is exported from engine {number:d}')
def when_exported(context: Context, number: int) -> None:
    """Export and check that the store took it."""
    assert export(context, number, 'w1')


@when('the level is exported from engine {number:d} as of version "{version}"')
def when_exported_as(context: Context, number: int, version: str) -> None:
    """Export under another version than the engine ran."""
    assert not export(context, number, version)


def export(context: Context, number: int, version: str) -> bool:
    """Export the level of the scenario."""
    return wait_for_call(
        context.transfer.export_level,
        context.engines[number].endpoint,
        cache_scope('namport', version),
        context.level,
    )


@when('the stored manifest has "{field}" set to "{text}"')
def when_changed(context: Context, field: str, text: str) -> None:
    """Change one field of the stored manifest."""
    url = f'http://{context.store.endpoint}/kept/{context.level.digest.hex()}'
    _, document = fetch('GET', url)
    document['manifest'][field] = int(text) if field == 'tokens' else text
    status, _ = fetch('PUT', url, json=document)
    assert status == 200


@when('the kept-KV store has an outage')
def when_outage(context: Context) -> None:
    """Turn the outage on."""
    url = f'http://{context.store.endpoint}/_faults'
    status, _ = fetch('PUT', url, json={'outage': True})
    assert status == 200


@when(
    'the level is imported into engine {number:d} for customer "{customer}" '
    'at version "{version}"',
)
def when_imported(
    context: Context,
    number: int,
    customer: str,
    version: str,
) -> None:
    """Import and keep the result."""
    context.imported = wait_for_call(
        context.transfer.import_level,
        context.engines[number].endpoint,
        cache_scope(customer, version),
        context.level,
    )


@then('the import is "{outcome}"')
def then_import(context: Context, outcome: str) -> None:
    """Check the result of the import."""
    assert context.imported is (outcome == 'done')


def is_held(context: Context, number: int) -> bool:
    """Ask an engine whether it holds the level."""
    endpoint = context.engines[number].endpoint
    url = f'http://{endpoint}/kv/{context.level.digest.hex()}'
    status, _ = fetch('GET', url)
    return status == 200


@then('engine {number:d} holds the level')
def then_held(context: Context, number: int) -> None:
    """Check that the level can be exported."""
    assert is_held(context, number)


@then('engine {number:d} does not hold the level')
def then_not_held(context: Context, number: int) -> None:
    """Check that nothing was imported."""
    assert not is_held(context, number)


@then('nothing is in the store')
def then_empty(context: Context) -> None:
    """Check the records of the store."""
    kinds = [record['kind'] for record in context.store.records]
    assert 'kept' not in kinds


@then('the catalogue holds {count:d} levels')
def then_catalogue(context: Context, count: int) -> None:
    """Check what the transfer believes to be kept."""
    assert context.transfer.catalogue.kept_count == count


@then(
    'with {kept:d} kept and {expected:d} expected tokens '
    'at {rate:d} tokens per ms an import is "{choice}"',
)
def then_choice(
    context: Context,
    kept: int,
    expected: int,
    rate: int,
    choice: str,
) -> None:
    """Check the decision at the initial import rate."""
    is_worth = ImportRate().is_worth_importing(kept, expected, rate)
    assert is_worth is (choice == 'worth it')


@then(
    'of {count:d} requests with the same prefix, request {due:d} alone '
    'is due for export',
)
def then_due(context: Context, count: int, due: int) -> None:
    """Count requests until the level is due."""
    catalogue = KeptCatalogue()
    prefix = derive('namport', 'w1')
    found = [catalogue.requested(prefix) for _ in range(count)]
    numbers = [number for number, level in enumerate(found, 1) if level]
    assert numbers == [due]
