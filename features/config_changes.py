"""Changes of a configuration document, by their names in the steps."""

from collections.abc import Callable
from typing import Any

from features.relay_fixture import configuration

_Document = dict[str, Any]


def _change_routes(**fields: Any) -> Callable[[_Document], None]:
    def change(document: _Document) -> None:
        for route in document['routes']:
            route.update(fields)

    return change


def _change_limits(**fields: Any) -> Callable[[_Document], None]:
    def change(document: _Document) -> None:
        document['limits'].update(fields)

    return change


def _keep(document: _Document) -> None:
    """Change nothing but the version."""


def _remove_routes(document: _Document) -> None:
    document['routes'] = []


def _remove_services(document: _Document) -> None:
    document['services'] = []


def _remove_keys(document: _Document) -> None:
    for customer in document['tenants']:
        customer['apiKeys'] = ['other']


def _change_priority(document: _Document) -> None:
    for customer in document['tenants']:
        customer['priority'] = 'first'


CHANGES = {
    'nothing': _keep,
    'the routes go': _remove_routes,
    'the service of the routes changes': _change_routes(service='spare'),
    'the routes are split': _change_routes(
        trafficSplit=[{'service': 'spare', 'weight': 1}]
    ),
    'the services go': _remove_services,
    'the timeout falls below the time used': _change_routes(timeoutMs=1),
    'the timeout rises': _change_routes(timeoutMs=9000),
    'the attempts fall': _change_routes(attempts=1),
    'the keys go': _remove_keys,
    'the idle timeout falls': _change_limits(idleTimeoutMs=1),
    'the idle timeout rises': _change_limits(idleTimeoutMs=9000),
    'the sizes fall': _change_limits(maxBodyBytes=1, maxHeaderBytes=1),
    'an idle timeout is text': _change_limits(idleTimeoutMs='2000'),
    'an idle timeout is null': _change_limits(idleTimeoutMs=None),
    'a size is text': _change_limits(maxHeaderBytes='4096'),
    'a weight is text': _change_routes(
        trafficSplit=[{'service': 'plain', 'weight': '1'}]
    ),
    'a priority is text': _change_priority,
    'a timeout is infinite': _change_routes(timeoutMs=float('inf')),
}


def changed_configuration(name: str, version: int) -> _Document:
    """Return the configuration of the tests after a change."""
    document = configuration()
    document['version'] = version
    spare = {'name': 'spare', 'healthPath': '/h', 'maxConns': 9}
    document['services'].append(spare)
    CHANGES[name](document)
    return document
