"""The event stream of one answer, which can be followed and resumed."""

import json
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer
from twisted.web.http import Request

_DONE = '[DONE]'


@dataclass(frozen=True, slots=True, kw_only=True)
class StreamLimits:
    """Where a connection goes wrong, if at all."""

    stall_after: int | None
    cut_after: int | None


class Follower:
    """One response that carries the events of a stream."""

    def __init__(self, request: Request, limits: StreamLimits) -> None:
        """Start sending to a response."""
        self._request = request
        self._limits = limits
        self._sent = 0
        self.done: defer.Deferred[None] = defer.Deferred()

    @property
    def is_open(self) -> bool:
        """Whether events can still be sent."""
        return not self.done.called

    def send(self, frame: bytes) -> None:
        """Send one event, unless a fault stops it."""
        if not self.is_open or self._is_reached(self._limits.stall_after):
            return
        if self._is_reached(self._limits.cut_after):
            # What was sent before the cut still has to arrive.
            self._request.channel.loseConnection()
            return
        self._sent += 1
        self._request.write(frame)

    def finish(self) -> None:
        """End the response, unless a fault stops it."""
        limits = self._limits
        is_broken = self._is_reached(limits.stall_after) or self._is_reached(
            limits.cut_after,
        )
        if self.is_open and not is_broken:
            self.done.callback(None)

    def cut(self) -> None:
        """Break the connection."""
        if self.is_open:
            self._request.transport.abortConnection()

    def _is_reached(self, bound: int | None) -> bool:
        return bound is not None and self._sent >= bound


class EventStream:
    """All events of one answer so far, and who follows them."""

    def __init__(self, request_id: str, model: str, headers: Any) -> None:
        """Start without events."""
        self._request_id = request_id
        self._model = model
        #: Response headers of every follower.
        self.headers: dict[str, str] = headers
        self._frames: list[bytes] = []
        self._followers: list[Follower] = []
        self._is_finished = False
        #: Whether its removal has been scheduled.
        self.is_expiring = False

    @property
    def is_finished(self) -> bool:
        """Whether the last event has been added."""
        return self._is_finished

    @property
    def is_followed(self) -> bool:
        """Whether any connection is open on it."""
        self._followers = [one for one in self._followers if one.is_open]
        return bool(self._followers)

    def add_token(self, text: str) -> None:
        """Add a chunk with a part of the answer."""
        delta = {'content': text}
        if not self._frames:
            delta['role'] = 'assistant'
        self._add(self._chunk([_choice(delta, None)]))

    def finish(self, reason: str, usage: dict[str, Any]) -> None:
        """Add the finish reason, the usage and the end mark."""
        self._add(self._chunk([_choice({}, reason)]))
        self._add({**self._chunk([]), 'usage': usage})
        self._add_text(_DONE)
        self._is_finished = True
        for follower in self._followers:
            follower.finish()

    def follow(
        self,
        request: Request,
        after: int,
        limits: StreamLimits,
    ) -> defer.Deferred[None]:
        """Send the events after one id, then those that come.

        Returns
        -------
        defer.Deferred[None]
            Fires when the response is complete.
        """
        for name, text in self.headers.items():
            request.setHeader(name, text)
        request.setHeader('Content-Type', 'text/event-stream')
        follower = Follower(request, limits)
        request.write(b'')
        for frame in self._frames[max(after + 1, 0) :]:
            follower.send(frame)
        self._followers.append(follower)
        if self._is_finished:
            follower.finish()
        return follower.done

    def cut(self) -> None:
        """Break all connections."""
        for follower in self._followers:
            follower.cut()

    def _chunk(self, choices: list[dict[str, Any]]) -> dict[str, Any]:
        return {
            'id': self._request_id,
            'object': 'chat.completion.chunk',
            'created': 0,
            'model': self._model,
            'choices': choices,
        }

    def _add(self, chunk: dict[str, Any]) -> None:
        self._add_text(json.dumps(chunk))

    def _add_text(self, text: str) -> None:
        frame = f'id: {len(self._frames)}\ndata: {text}\n\n'.encode()
        self._frames.append(frame)
        for follower in self._followers:
            follower.send(frame)


def _choice(delta: dict[str, str], reason: str | None) -> dict[str, Any]:
    return {'index': 0, 'delta': delta, 'finish_reason': reason}
