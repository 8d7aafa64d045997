"""Explanations as text for a terminal."""

from collections.abc import Iterable, Mapping
from typing import Any

from tabulate import tabulate

_NONE = '-'


def render_request(record: Mapping[str, Any]) -> str:
    """Return the decision record of one request as text."""
    fields = [
        ('request', record['request_id']),
        ('service', record['service']),
        ('customer', record['customer']),
        ('document version', record['document_version']),
        ('weights version', record['weights_version'] or _NONE),
        ('prompt tokens (estimated)', record['prompt_tokens']),
        ('time to first token, ms', record['time_to_first_token_ms']),
        ('refused by', record['limit'] or _NONE),
        ('verdict', record['verdict'] or 'running'),
    ]
    parts = [
        tabulate(fields, tablefmt='plain'),
        _table('candidates, best first', record['candidates']),
        _table('attempts', record['attempts']),
    ]
    return '\n\n'.join(filter(None, parts))


def render_backends(answers: Iterable[Any]) -> str:
    """Return what each router says of each backend server."""
    rows = [
        (
            found['service'],
            found['backend_server'],
            found['data_centre'],
            answer.address,
            found['explanation'],
        )
        for answer in answers
        for found in answer.document.get('backends', ())
    ]
    headers = ('service', 'backend server', 'data centre', 'router', 'work')
    lines = [tabulate(sorted(rows), headers, tablefmt='simple')] if rows else []
    lines.extend(
        f'{answer.address}: {answer.failure}'
        for answer in answers
        if answer.failure
    )
    return '\n'.join(lines)


def _table(title: str, rows: list[Mapping[str, Any]]) -> str:
    if not rows:
        return ''
    headers = {name: name.replace('_', ' ') for name in rows[0]}
    table = tabulate(rows, headers, tablefmt='simple', floatfmt='.1f')
    return f'{title}\n{table}'
