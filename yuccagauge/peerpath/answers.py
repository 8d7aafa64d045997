"""The head of an answer that this router carries for a peer."""

from collections.abc import Callable

import h11

from yuccagauge.dispatch.base import ResponseHead

#: Stands for the request, of which the parser has to know that there was one.
_REQUEST = h11.Request(method='POST', target='/', headers=(('Host', '-'),))


class CarriedAnswer:
    """Reads the heads of the answers on a carried connection.

    The router at the near end may ask the server who it is before it sends the
    call. Answers of the router's own have a length; others are the last.
    Bytes that are no answer are for the router at the near end to judge.

    Parameters
    ----------
    on_head
        Called with the head of each final answer.
    """

    def __init__(self, on_head: Callable[[ResponseHead], None]) -> None:
        """Expect a head."""
        self._on_head = on_head
        self._parser: h11.Connection | None = _expecting_parser()

    def receive(self, data: bytes) -> None:
        """Take bytes of the server; those of bodies are ignored."""
        if self._parser is None:
            return
        self._parser.receive_data(data)
        try:
            self._read_events()
        except h11.RemoteProtocolError:
            self._parser = None

    def _read_events(self) -> None:
        while self._parser is not None:
            event = self._parser.next_event()
            if isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.EndOfMessage):
                rest = self._parser.trailing_data[0]
                self._parser = _expecting_parser()
                if rest:
                    self._parser.receive_data(rest)
            elif not isinstance(event, h11.InformationalResponse | h11.Data):
                return

    def _take_head(self, event: h11.Response) -> None:
        headers = tuple(event.headers.raw_items())
        head = ResponseHead(status=event.status_code, headers=headers)
        if not head.get(b'content-length'):
            self._parser = None
        self._on_head(head)


def _expecting_parser() -> h11.Connection:
    """Return a parser that has seen a request."""
    parser = h11.Connection(h11.CLIENT)
    parser.send(_REQUEST)
    return parser
