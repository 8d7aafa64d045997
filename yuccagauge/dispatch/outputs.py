"""Two forms of an answer: a stream of events, or one JSON object."""

import json
from collections.abc import Sequence
from typing import Any

from yuccagauge.dispatch.base import AnswerSink, Header
from yuccagauge.dispatch.sse import is_done, payload
from yuccagauge.verdict import VERDICT_HEADER, Verdict

_OK = 200


class StreamOutput:
    """Passes events on byte for byte.

    Parameters
    ----------
    sink
        The way to the caller.
    """

    def __init__(self, sink: AnswerSink) -> None:
        """Send nothing yet."""
        self._sink = sink

    def open(self, headers: tuple[Header, ...]) -> None:
        """Send the head; the verdict is not known before the end."""
        kind = (b'Content-Type', b'text/event-stream')
        fresh = (b'Cache-Control', b'no-store')
        self._sink.begin(_OK, (kind, fresh, *headers))

    def events(self, events: Sequence[bytes]) -> None:
        """Send the events that arrived together in one write."""
        self._sink.write(b''.join(events))

    def done(self) -> None:
        """End the stream."""
        self._sink.finish()


class CollectedOutput:
    """Builds one ``chat.completion`` object from the events.

    Parameters
    ----------
    sink
        The way to the caller.
    """

    def __init__(self, sink: AnswerSink) -> None:
        """Start without events."""
        self._sink = sink
        self._headers: tuple[Header, ...] = ()
        self._completion: dict[str, Any] = {}
        self._choices: dict[int, dict[str, Any]] = {}

    def open(self, headers: tuple[Header, ...]) -> None:
        """Keep the headers until the answer is complete."""
        self._headers = headers

    def events(self, events: Sequence[bytes]) -> None:
        """Merge chunks into the object."""
        for event in events:
            if not is_done(event):
                self._merge(payload(event))

    def done(self) -> None:
        """Send the whole answer."""
        choices = [self._choices[index] for index in sorted(self._choices)]
        self._completion['object'] = 'chat.completion'
        self._completion['choices'] = choices
        body = json.dumps(self._completion).encode()
        kind = (b'Content-Type', b'application/json')
        length = (b'Content-Length', str(len(body)).encode())
        verdict = (VERDICT_HEADER.encode(), Verdict.ANSWERED.value.encode())
        self._sink.begin(_OK, (kind, length, verdict, *self._headers))
        self._sink.write(body)
        self._sink.finish()

    def _merge(self, chunk: dict[str, Any]) -> None:
        for part in chunk.pop('choices', ()):
            self._merge_choice(part)
        self._completion.update(chunk)

    def _merge_choice(self, part: dict[str, Any]) -> None:
        index = part.get('index', 0)
        choice = self._choices.setdefault(
            index,
            {'index': index, 'message': {}, 'finish_reason': None},
        )
        message = choice['message']
        for name, piece in (part.get('delta') or {}).items():
            joins = isinstance(piece, str) and name != 'role'
            message[name] = message.get(name, '') + piece if joins else piece
        choice['finish_reason'] = (
            part.get('finish_reason') or choice['finish_reason']
        )
