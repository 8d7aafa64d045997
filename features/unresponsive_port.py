"""A port on which connections are never established."""

import socket

from yuccagauge.settings.options import Endpoint

#: Connections that fill the accept queue of the port. The operating system then
#: drops further connection attempts without an answer.
_QUEUE_FILLERS = 4


class UnresponsivePort:
    """Does not answer connection attempts, like a host without power."""

    def __init__(self) -> None:
        """Open the port and fill its accept queue."""
        self._sockets = [socket.socket()]
        listener = self._sockets[0]
        listener.bind(('127.0.0.1', 0))
        listener.listen(0)
        self.endpoint = Endpoint(*listener.getsockname())
        for _ in range(_QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(listener.getsockname())
            self._sockets.append(filler)

    def close(self) -> None:
        """Close the port and the connections in its queue."""
        for each_socket in self._sockets:
            each_socket.close()
