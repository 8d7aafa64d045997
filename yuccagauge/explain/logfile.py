"""Follow one request through the logs of routers."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

from yuccagauge.errors import NotFoundError

#: Events of the router itself that may explain what happened to a request.
CONTEXT_EVENTS = frozenset(
    (
        'cache_holder_lost',
        'configuration_in_force',
        'lead_changed',
        'lead_handed_over',
        'lines_dropped',
        'order_unanswered',
        'router_leaving',
        'router_started',
        'server_gone',
        'server_known',
        'server_silent',
        'server_told_silent',
        'servers_lapsed',
        'store_lost',
        'store_reached',
        'weights_loaded',
        'weights_named',
        'weights_ordered',
    ),
)

#: Time around a request within which events of the router are shown, in s.
CONTEXT_SECONDS = 3.0

_HIDDEN = frozenset(('time', 'severity', 'event', 'request_id'))


@dataclass(frozen=True, slots=True, kw_only=True)
class LogLine:
    """One line of a router's log."""

    #: What the collector wrote before the line, such as the router's name.
    origin: str
    #: Wall time of the router, in s.
    time: float
    event: str
    fields: dict[str, Any]


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Return the lines that a router wrote; others are passed over."""
    for line in lines:
        origin, brace, rest = line.partition('{')
        if not brace:
            continue
        try:
            fields = json.loads(brace + rest)
        except ValueError:
            # Collectors mix in lines of other programs.
            continue
        if isinstance(fields, dict) and 'event' in fields:
            yield LogLine(
                origin=' '.join(origin.split()[-1:]),
                time=float(fields.get('time', 0)),
                event=fields['event'],
                fields=fields,
            )


def follow_request(
    lines: Iterable[LogLine],
    request_id: str,
) -> tuple[LogLine, ...]:
    """Return the lines of a request and those that may explain them.

    Raises
    ------
    NotFoundError
        If no line names the request.
    """
    known = tuple(lines)
    own = [
        line for line in known if line.fields.get('request_id') == request_id
    ]
    if not own:
        raise NotFoundError(f'no line names the request {request_id!r}')
    origins = {line.origin for line in own}
    servers = {line.fields.get('server') for line in own} - {None, ''}
    start = min(line.time for line in own) - CONTEXT_SECONDS
    end = max(line.time for line in own) + CONTEXT_SECONDS
    context = [
        line
        for line in known
        if line.event in CONTEXT_EVENTS
        and start <= line.time <= end
        and (
            line.fields.get('server') in servers
            or line.fields.get('holder') in servers
            or (line.origin in origins and 'server' not in line.fields)
        )
    ]
    return tuple(sorted((*own, *context), key=lambda line: line.time))


def render_lines(lines: Iterable[LogLine], request_id: str) -> str:
    """Return lines as text, those of the request marked with a star."""
    shown = tuple(lines)
    first = next(
        line.time
        for line in shown
        if line.fields.get('request_id') == request_id
    )
    return '\n'.join(
        _render(line, line.time - first, request_id) for line in shown
    )


def _render(line: LogLine, age: float, request_id: str) -> str:
    is_own = line.fields.get('request_id') == request_id
    fields = ' '.join(
        f'{name}={value}'
        for name, value in line.fields.items()
        if name not in _HIDDEN and value is not None and value != ''
    )
    mark = '*' if is_own else ' '
    return f'{mark} {age:+8.3f} s {line.origin:<18} {line.event}: {fields}'
