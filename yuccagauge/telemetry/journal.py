"""Log lines for state changes, one JSON object for each line."""

import json
import logging
from typing import Any

from absl import logging as absl_logging

from yuccagauge.settings.options import Endpoint
from yuccagauge.telemetry.errors import LogFieldError

#: Longest text in a field, in characters; the rest is cut off.
MAXIMUM_TEXT = 300

# Words that name what callers send and receive. A field with such a word
# may only hold a number, such as ``prompt_tokens``.
_PROTECTED_WORDS = frozenset(
    (
        'answer',
        'authorization',
        'body',
        'bearer',
        'chunk',
        'completion',
        'content',
        'cookie',
        'credential',
        'credentials',
        'delta',
        'header',
        'headers',
        'message',
        'messages',
        'password',
        'payload',
        'prompt',
        'prompts',
        'question',
        'secret',
        'text',
        'token',
        'tokens',
    )
)

# Starts of a credential inside of a text.
_CREDENTIAL_MARKS = ('bearer ', 'basic ', '-----begin')
_WITHHELD = 'withheld'
_RESERVED = frozenset(('event', 'severity', 'time'))


class StateChangeFormatter(logging.Formatter):
    """Render every record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line without its end."""
        head = {
            'time': round(record.created, 3),
            'severity': record.levelname.lower(),
        }
        fields = getattr(record, 'state_change', None)
        if fields is None:
            fields = {'event': 'library', 'logger': record.name}
        return json.dumps({**head, **fields}, ensure_ascii=True)


def start_logging() -> None:
    """Write all log records to standard error in the JSON form."""
    handler = absl_logging.get_absl_handler()
    handler.setFormatter(StateChangeFormatter())
    absl_logging.use_absl_handler()
    absl_logging.set_verbosity(absl_logging.INFO)
    absl_logging.set_stderrthreshold(absl_logging.INFO)


def start_bounded_logging(handler: logging.Handler) -> None:
    """Write all log records through a handler that bounds their volume."""
    handler.setFormatter(StateChangeFormatter())
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(handler)
    logger = absl_logging.get_absl_logger()
    logger.setLevel(logging.INFO)
    logger.propagate = True


def log_state_change(event: str, **fields: Any) -> None:
    """Write one line about a change of state.

    Parameters
    ----------
    event
        What changed, such as ``member_dead``.
    fields
        Names, numbers and addresses that belong to the change.

    Raises
    ------
    LogFieldError
        If a field could carry a prompt, an answer or a credential.
    """
    checked = {name: _check(name, value) for name, value in fields.items()}
    absl_logging.get_absl_logger().info(
        event,
        extra={'state_change': {'event': event, **checked}},
    )


def log_decision(event: str, request_id: str, **fields: Any) -> None:
    """Write one line about a decision on a request.

    Parameters
    ----------
    event
        What was decided, such as ``call_sent``.
    request_id
        The request; empty if it had none.
    fields
        The inputs that decided, their age or version, and the outcome.
    """
    # Callers choose ids, and one that is like a credential must not end its
    # request.
    texts = {'request_id': request_id, **fields}
    log_state_change(
        event, **{name: _withhold(value) for name, value in texts.items()}
    )


def _withhold(value: Any) -> Any:
    if isinstance(value, str) and _has_credential_mark(value):
        return _WITHHELD
    return value


def _has_credential_mark(text: str) -> bool:
    lowered = text.lower()
    return any(mark in lowered for mark in _CREDENTIAL_MARKS)


def _check(name: str, value: Any) -> Any:
    if name in _RESERVED:
        raise LogFieldError(f'log field {name!r} is reserved')
    if value is None or isinstance(value, (bool, int, float)):
        return value
    if not _PROTECTED_WORDS.isdisjoint(name.lower().split('_')):
        raise LogFieldError(f'log field {name!r} may only hold a number')
    if isinstance(value, (tuple, list, frozenset)):
        return [_check(name, part) for part in value]
    if isinstance(value, Endpoint):
        return str(value)
    if not isinstance(value, str):
        kind = type(value).__name__
        raise LogFieldError(f'log field {name!r} cannot hold a {kind}')
    if _has_credential_mark(value):
        raise LogFieldError(f'log field {name!r} holds a credential')
    return value[:MAXIMUM_TEXT]
