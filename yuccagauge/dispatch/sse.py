"""Server-sent events: splitting a byte stream, and the fields we need."""

import json
import re
from typing import Any

from yuccagauge.dispatch.errors import BackendProtocolError

#: An event that is longer than this is a fault of the engine.
_MAXIMUM_EVENT_BYTES = 1_048_576

_BLANK_LINE = b'\n\n'
_DONE = re.compile(rb'^data: ?\[DONE\]\s*$', re.MULTILINE)

#: The byte order mark that a stream may begin with.
BYTE_ORDER_MARK = b'\xef\xbb\xbf'

#: Lines end with CR, LF or both. A CR at the end of what has arrived may be
#: the first half of a line end, unless it follows another CR.
_EVENT_END = re.compile(
    rb'(?:\r\n|\n|\r(?!\n))(?:\r\n|\n|\r(?=[^\n])|(?<=\r)\r\Z)'
)
_LINE_START = rb'(?:\A(?:\xef\xbb\xbf)?|(?<=[\r\n]))'
_EVENT_ID = re.compile(_LINE_START + rb'id(?:: ?([^\r\n]*))?[\r\n]')
_DATA = re.compile(_LINE_START + rb'data[:\r\n]')

#: Ids that are longer are no numbers.
_NUMBER = re.compile(rb'[0-9]{1,64}')
_PAYLOAD = re.compile(rb'^data: ?(.*?)\r?$', re.MULTILINE)
_USAGE = b'"usage"'


class EventSplitter:
    """Cuts a byte stream into whole events, byte for byte.

    Parameters
    ----------
    maximum
        Longest event, in bytes. As much may be buffered for each stream.
    """

    def __init__(self, maximum: int = _MAXIMUM_EVENT_BYTES) -> None:
        """Start at an event boundary."""
        self._maximum = maximum
        self._rest = b''

    @property
    def rest(self) -> bytes:
        """The bytes behind the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> list[bytes]:
        """Return the events that became complete.

        Raises
        ------
        BackendProtocolError
            If an event does not end within its bound.
        """
        buffered = self._rest + data if self._rest else data
        if b'\r' in buffered:
            return self._feed_lines(buffered)
        *whole, self._rest = buffered.split(_BLANK_LINE)
        self._check_rest()
        return [event + _BLANK_LINE for event in whole]

    def _feed_lines(self, buffered: bytes) -> list[bytes]:
        events: list[bytes] = []
        start = 0
        for match in _EVENT_END.finditer(buffered):
            events.append(buffered[start : match.end()])
            start = match.end()
        self._rest = buffered[start:]
        self._check_rest()
        return events

    def _check_rest(self) -> None:
        if len(self._rest) > self._maximum:
            raise BackendProtocolError('an event does not end')


def event_id(event: bytes) -> bytes | None:
    """Return the last ``id`` field, which counts, or ``None``."""
    found = _EVENT_ID.findall(event)
    return found[-1] if found else None


def id_number(text: bytes) -> int | None:
    """Return the number that an id is, or ``None``."""
    return int(text) if _NUMBER.fullmatch(text) else None


def event_number(event: bytes) -> int | None:
    """Return the number in the ``id`` field, or ``None``."""
    text = event_id(event)
    return None if text is None else id_number(text)


def has_data(event: bytes) -> bool:
    """Return whether there is a ``data`` field, unlike in a comment."""
    return _DATA.search(event) is not None


def is_done(event: bytes) -> bool:
    """Return whether this is the event that ends a complete answer."""
    return b'[DONE]' in event and _DONE.search(event) is not None


def payload(event: bytes) -> dict[str, Any]:
    """Decode the JSON object in the ``data`` field.

    Raises
    ------
    BackendProtocolError
        If there is none.
    """
    text = b'\n'.join(_PAYLOAD.findall(event))
    try:
        decoded = json.loads(text)
    except ValueError:
        raise BackendProtocolError('an event has no JSON') from None
    if not isinstance(decoded, dict):
        raise BackendProtocolError('an event has no JSON object')
    return decoded


def usage_of(event: bytes) -> dict[str, Any] | None:
    """Return the token counts that an event reports, or ``None``."""
    if _USAGE not in event:
        return None
    found = payload(event).get('usage')
    return found if isinstance(found, dict) else None


def comparable(event: bytes) -> bytes:
    """Return the part of an event that a replay has to repeat.

    The usage depends on what the engine had cached, so two correct answers
    may differ in it.
    """
    if _USAGE not in event:
        return event
    decoded = payload(event)
    decoded.pop('usage', None)
    return json.dumps(decoded, sort_keys=True).encode()
