"""Parse server-sent events as they arrive."""

import json
from dataclasses import dataclass, field
from typing import Any

_DONE = '[DONE]'


@dataclass(slots=True, kw_only=True)
class StreamedAnswer:
    """What has arrived of a streamed answer; filled as it arrives."""

    text: str = ''
    ids: list[int] = field(default_factory=list)
    usage: dict[str, Any] | None = None
    is_done: bool = False
    #: Data of an ``error`` event.
    error: dict[str, Any] | None = None
    #: Events after the end mark.
    trailing: int = 0

    @property
    def has_gap(self) -> bool:
        """Whether the event ids, if there are any, are not 0, 1, 2, ..."""
        return self.ids != list(range(len(self.ids)))


class EventParser:
    """Feeds the bytes of a response into a ``StreamedAnswer``."""

    def __init__(self, answer: StreamedAnswer) -> None:
        """Start with an empty buffer."""
        self._answer = answer
        self._buffer = b''

    def feed(self, received: bytes) -> int:
        """Parse what arrived; return how many tokens were in it."""
        *frames, self._buffer = (self._buffer + received).split(b'\n\n')
        return sum(self._frame(frame.decode()) for frame in frames)

    def _frame(self, frame: str) -> int:
        fields: dict[str, str] = {}
        for line in frame.splitlines():
            name, _, text = line.partition(':')
            fields[name] = text.removeprefix(' ')
        if 'id' in fields:
            self._answer.ids.append(int(fields['id']))
        if 'data' not in fields:
            return 0
        if self._answer.is_done:
            self._answer.trailing += 1
        return self._data(fields.get('event', ''), fields['data'])

    def _data(self, event: str, text: str) -> int:
        if text == _DONE:
            self._answer.is_done = True
            return 0
        chunk = json.loads(text)
        if event == 'error' or 'error' in chunk:
            self._answer.error = chunk['error']
            return 0
        self._answer.usage = chunk.get('usage') or self._answer.usage
        parts = [
            choice['delta'].get('content') or '' for choice in chunk['choices']
        ]
        self._answer.text += ''.join(parts)
        return sum(1 for part in parts if part)
