"""Keeps the origins of streams in the store, for a restart of all routers.

While a service has several software versions, a few routers append what all
begin. The store drops these records after some time, like the callers that
have not come back.
"""

from collections import defaultdict
from collections.abc import Callable, Mapping
from typing import Any, Protocol

from twisted.internet.defer import Deferred, inlineCallbacks

from yuccagauge.clock import Millis, in_seconds
from yuccagauge.directory.store import StoreUnavailableError
from yuccagauge.origins.base import StreamOrigin
from yuccagauge.telemetry.journal import log_state_change

#: Routers whose streams one router appends.
ROUTERS_PER_WRITER = 64

#: How long streams wait for others that are appended in the same call. The
#: first event of a stream takes about as long.
_APPEND_DELAY = Millis(100)

#: Reads of the log after a start until one succeeds.
_MAXIMUM_READS = 10


class OriginLogStore(Protocol):
    """Appends the origins of streams to a log, and reads them."""

    def append_origins(
        self, streams: Mapping[StreamOrigin, tuple[bytes, ...]]
    ) -> Deferred[None]:
        """Append the keys of streams by their origin.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """

    def read_origins(self) -> Deferred[Mapping[bytes, StreamOrigin]]:
        """Return the origin of each stream in the log, by its key.

        Raises
        ------
        StoreUnavailableError
            If the store does not answer.
        """


class OriginLog:
    """Appends streams in groups, and reads all of them once after a start.

    Parameters
    ----------
    store
        Keeps the log.
    reactor
        Schedules the appends.
    """

    def __init__(self, store: OriginLogStore, reactor: Any) -> None:
        """Create a log that makes no call yet."""
        self._store = store
        self._reactor = reactor
        self._pending: dict[bytes, StreamOrigin] = {}
        self._reads = 0
        self._is_reading = False

    @property
    def must_be_read(self) -> bool:
        """Whether the log has not been read, and a read may succeed."""
        return not self._is_reading and self._reads < _MAXIMUM_READS

    def add(self, key: bytes, origin: StreamOrigin) -> None:
        """Append a stream soon."""
        if not self._pending:
            self._reactor.callLater(in_seconds(_APPEND_DELAY), self._append)
        self._pending[key] = origin

    @inlineCallbacks
    def read(self, on_stream: Callable[[bytes, StreamOrigin], None]) -> Any:
        """Read the log; call a function with each stream in it."""
        self._is_reading = True
        self._reads += 1
        try:
            streams = yield self._store.read_origins()
        except StoreUnavailableError as error:
            log_state_change('origin_log_unread', reason=str(error))
            return
        finally:
            self._is_reading = False
        self._reads = _MAXIMUM_READS
        log_state_change('origin_log_read', streams=len(streams))
        for key, begun_by in streams.items():
            on_stream(key, begun_by)

    @inlineCallbacks
    def _append(self) -> Any:
        pending, self._pending = self._pending, {}
        groups: dict[StreamOrigin, tuple[bytes, ...]] = defaultdict(tuple)
        for key, origin in pending.items():
            groups[origin] += (key,)
        try:
            yield self._store.append_origins(groups)
        except StoreUnavailableError as error:
            # Peers keep the streams as well.
            log_state_change(
                'origin_log_not_written',
                streams=len(pending),
                reason=str(error),
            )
