"""Holds the first event of a stream back until peers know where it began."""

from collections.abc import Callable
from typing import Any

from yuccagauge.clock import Millis
from yuccagauge.directory.base import BackendServer
from yuccagauge.dispatch.timers import Timers
from yuccagauge.relay.base import RelayCall
from yuccagauge.relay.origins import StreamOrigins

#: Longest time for which an event waits for the answer of a peer.
_KEEPING_LIMIT = Millis(100)

_LIMIT = 'first event'


class FirstEvent:
    """Holds the beginning of a stream back while its origin is not kept.

    Load pattern: an engine restarts with other software, and a router is killed
    as it passes on the first events of streams there. Their callers take them
    up at routers that know of one software version only.

    Parameters
    ----------
    origins
        Tells peers where streams begin.
    timers
        Timers of the call.
    on_release
        Called with what was held back.
    """

    def __init__(
        self,
        origins: StreamOrigins,
        timers: Timers,
        on_release: Callable[[bytes], None],
    ) -> None:
        """Hold nothing back."""
        self._origins = origins
        self._timers = timers
        self._on_release = on_release
        self._held: list[bytes] = []

    def holds(self, data: bytes) -> bool:
        """Return whether data has to wait behind what is held back."""
        if self._held:
            self._held.append(data)
        return bool(self._held)

    def hold(self, data: bytes, call: RelayCall, server: BackendServer) -> None:
        """Hold data back until a peer keeps the origin of the stream."""
        self._held.append(data)
        self._timers.start(_LIMIT, _KEEPING_LIMIT, self.release)
        self._origins.keep_beginning(call, server).addCallback(self._handle)

    def release(self) -> None:
        """Pass on what is held back; the stream has begun."""
        self._timers.stop(_LIMIT)
        held, self._held = self._held, []
        if held:
            self._on_release(b''.join(held))

    def close(self) -> None:
        """Drop what is held back, as the call has ended."""
        self._held.clear()

    def _handle(self, _: Any) -> None:
        if self._held:
            self._timers.start(_LIMIT, 0, self.release)
