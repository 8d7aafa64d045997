"""The head of an answer that this router carries for a peer."""

from collections.abc import Callable

import h11

from yuccagauge.dispatch.base import ResponseHead

#: Stands for the request, of which the parser has to know that there was one.
_REQUEST = h11.Request(method='POST', target='/', headers=(('Host', '-'),))


class CarriedAnswer:
    """Reads the head of the one answer on a carried connection.

    Bytes that are no answer are for the router at the near end to judge.

    Parameters
    ----------
    on_head
        Called once with the head of the final answer, if there is one.
    """

    def __init__(self, on_head: Callable[[ResponseHead], None]) -> None:
        """Expect the head."""
        self._on_head = on_head
        self._parser: h11.Connection | None = h11.Connection(h11.CLIENT)
        self._parser.send(_REQUEST)

    def receive(self, data: bytes) -> None:
        """Take bytes of the server; those behind the head are ignored."""
        if self._parser is None:
            return
        self._parser.receive_data(data)
        try:
            event = self._next_event()
        except h11.RemoteProtocolError:
            self._parser = None
            return
        if isinstance(event, h11.Response):
            self._parser = None
            headers = tuple(event.headers.raw_items())
            self._on_head(
                ResponseHead(status=event.status_code, headers=headers)
            )

    def _next_event(self) -> object:
        event = self._parser.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = self._parser.next_event()
        return event
