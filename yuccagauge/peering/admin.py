"""Ask the admin interfaces of several routers, and render their answers."""

import http.client
import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from tabulate import tabulate

from yuccagauge.documents import parse_document
from yuccagauge.errors import YuccagaugeError
from yuccagauge.membership.base import Membership
from yuccagauge.settings.options import Endpoint, parse_endpoint

#: How long one router may take to answer, in seconds.
TIMEOUT_SECONDS = 5

_OK = 200
_NONE = '-'


class AdminError(YuccagaugeError):
    """An address that is wrong, or an answer that cannot be used."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Answer:
    """What one router answered, or why it did not."""

    address: Endpoint
    document: Mapping[str, Any]
    #: Empty if there is a document.
    failure: str = ''


def members_document(membership: Membership) -> dict[str, Any]:
    """Return what the admin interface answers at ``/members``."""
    return {
        'router': membership.own.name,
        'members': [
            {
                'name': member.name,
                'peer': str(member.peer),
                'data_centre': member.data_centre,
                'region': member.region,
                'incarnation': member.incarnation,
                'state': member.state.name.lower(),
            }
            for member in membership.members()
        ],
    }


def parse_addresses(text: Any) -> tuple[Endpoint, ...]:
    """Read the addresses of an ``--admin`` option.

    Raises
    ------
    AdminError
        If there is none or one is not an IP number and port.
    """
    words = text if isinstance(text, (tuple, list)) else str(text).split(',')
    found: list[Endpoint] = []
    for word in filter(None, (str(part).strip() for part in words)):
        try:
            found.append(parse_endpoint(word))
        except ValueError:
            raise AdminError(
                f'--admin={word}: expected an IP address and port such as '
                '127.0.0.1:8080',
            ) from None
    if not found:
        raise AdminError('--admin: expected at least one ADDRESS:PORT')
    return tuple(found)


def ask_all(addresses: tuple[Endpoint, ...], path: str) -> tuple[Answer, ...]:
    """Ask all routers, one after the other."""
    return tuple(_ask(address, path) for address in addresses)


def find_disagreements(answers: tuple[Answer, ...]) -> tuple[str, ...]:
    """Return the services whose version differs between routers."""
    versions: dict[str, set[int]] = {}
    for answer in answers:
        for service, found in answer.document.get('documents', {}).items():
            versions.setdefault(service, set()).add(found['version'])
    differing = {name for name, seen in versions.items() if len(seen) > 1}
    return tuple(sorted(differing))


def render_status(answers: tuple[Answer, ...]) -> str:
    """Return the versions in force, the drains and the failures."""
    rows = [
        (
            answer.document['router'],
            answer.document['data_centre'],
            'leaving' if answer.document['leaving'] else 'serving',
            answer.document.get('running', _NONE),
            service,
            found['version'],
            found['digest'][:12],
            ', '.join(answer.document['drains'].get(service, ())) or _NONE,
        )
        for answer in answers
        if not answer.failure
        for service, found in _documents(answer)
    ]
    headers = (
        'router',
        'data centre',
        'state',
        'running',
        'service',
        'version',
        'digest',
        'leaving servers',
    )
    lines = [tabulate(rows, headers, tablefmt='simple')] if rows else []
    lines.extend(
        f'{service}: the version in force differs between routers'
        for service in find_disagreements(answers)
    )
    return '\n'.join([*lines, *_failures(answers)])


def render_members(answers: tuple[Answer, ...]) -> str:
    """Return each member's state, and where the views differ."""
    views: dict[str, dict[str, str]] = {}
    places: dict[str, tuple[str, str]] = {}
    for answer in answers:
        for member in answer.document.get('members', ()):
            name = member['name']
            observer = answer.document['router']
            views.setdefault(name, {})[observer] = member['state']
            places[name] = (member['data_centre'], member['peer'])
    rows = [
        (name, *places[name], _merge_states(views[name]))
        for name in sorted(views)
    ]
    headers = ('member', 'data centre', 'peer address', 'state')
    table = tabulate(rows, headers, tablefmt='simple') if rows else ''
    return '\n'.join(filter(None, (table, *_failures(answers))))


def as_json(answers: tuple[Answer, ...]) -> str:
    """Return the answers as one JSON object by address."""
    return json.dumps(
        {
            str(answer.address): (
                {'error': answer.failure} if answer.failure else answer.document
            )
            for answer in answers
        },
        indent=2,
        sort_keys=True,
    )


def _documents(answer: Answer) -> list[tuple[str, Mapping[str, Any]]]:
    found = sorted(answer.document['documents'].items())
    return found or [(_NONE, {'version': _NONE, 'digest': _NONE})]


def _merge_states(views: Mapping[str, str]) -> str:
    states = set(views.values())
    if len(states) == 1:
        return states.pop()
    parts = (f'{state} for {router}' for router, state in sorted(views.items()))
    return ', '.join(parts)


def _failures(answers: tuple[Answer, ...]) -> list[str]:
    return [
        f'{answer.address}: {answer.failure}'
        for answer in answers
        if answer.failure
    ]


def _ask(address: Endpoint, path: str) -> Answer:
    connection = http.client.HTTPConnection(
        address.host,
        address.port,
        timeout=TIMEOUT_SECONDS,
    )
    try:
        document = _read(connection, path)
    except (OSError, http.client.HTTPException) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        return _failed(address, f'no answer ({reason.lower()})')
    except ValueError as error:
        return _failed(address, str(error))
    finally:
        connection.close()
    return Answer(address=address, document=document)


def _read(
    connection: http.client.HTTPConnection,
    path: str,
) -> Mapping[str, Any]:
    connection.request('GET', path)
    response = connection.getresponse()
    body = response.read()
    if response.status != _OK:
        raise ValueError(f'answered {response.status} to {path}')
    document = parse_document(body)
    if not isinstance(document, dict):
        raise ValueError(f'answered no JSON object to {path}')
    return document


def _failed(address: Endpoint, failure: str) -> Answer:
    return Answer(address=address, document={}, failure=failure)
