"""A port whose connections are never established."""

import socket

from yuccagauge.settings.options import Endpoint

#: Connections that fill the queue of a port that accepts none. The system
#: drops further attempts without an answer.
_FILLERS = 4


class SilentPort:
    """Leaves connection attempts unanswered, like a host without power."""

    def __init__(self) -> None:
        """Open the port and fill its queue."""
        self._sockets = [socket.socket()]
        listener = self._sockets[0]
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        self.endpoint = Endpoint(*listener.getsockname())
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            self._sockets.append(filler)

    def close(self) -> None:
        """Close the port."""
        for each in self._sockets:
            each.close()
